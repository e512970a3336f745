// The table of faults and steps (docs/design.md, section 10): what a cell of
// the matrix injects, when, and which properties it checks, or why the cell
// does not apply. The rigs run the cells; docs/fault-matrix.md is printed from
// the same table.
//
//   for (const Cell &C : allCells())
//     if (C.Reason.empty())
//       Outcome Result = runCell(C, Break::None);

#ifndef MIMOSA_PROOF_FAULT_MATRIX_H
#define MIMOSA_PROOF_FAULT_MATRIX_H

#include "proof/record.h"

#include <string>
#include <vector>

namespace mimosa {

/// A fault of docs/design.md, section 1.5.
enum class Fault {
  Straggle,
  ReplicaLost,
  Repartition,
  TurnsCold,
  StoreDown,
  StoreSlow,
  StoreReplyLost,
  LeaseLapses,
  TwoOperators,
  CrashingRequest,
  SilentConnection,
};
inline constexpr size_t FaultCount = 11;

/// The moment at which the faults of a cell begin.
enum class Step {
  // A query.
  Plan,
  Canary,
  Sent,
  Hedged,
  Merging,
  Answered,
  // A non-idempotent request.
  ClaimAsked,
  ClaimGranted,
  RequestSent,
  ReplyLost,
  SentAgain,
  // A configuration change.
  ConfigRead,
  ConfigWrite,
  ConfigReply,
  ConfigSpread,
  // A host's start and stop.
  Joining,
  TakingOver,
  Serving,
  Releasing,
  // An availability zone's leaving and return.
  ZoneLeaves,
  ZoneReturns,
};
inline constexpr size_t StepCount = 21;

/// What the step is a step of.
enum class Flow { Query, Request, Config, Host, Zone };

/// The names that the page and the test output use.
const char *faultName(Fault F);
const char *stepName(Step S);
const char *flowName(Flow F);
Flow flowOf(Step S);

/// One cell. The second fault, if any, begins at the same time as the first
/// one; the same fault twice begins again RepeatDelay later.
struct Cell {
  Step At = Step::Plan;
  std::vector<Fault> Faults{};
  /// Empty if the cell does not apply.
  std::vector<Property> Checked{};
  /// Why the cell does not apply.
  std::string Reason{};

  /// Such as "query/sent: replica lost + store down".
  std::string name() const;
};

/// Time between the two beginnings of a fault that comes twice.
inline constexpr Duration RepeatDelay = Milliseconds(700);

/// Every step with every fault and every pair of faults, in a fixed order.
std::vector<Cell> allCells();

/// The text of docs/fault-matrix.md.
std::string printMatrix();

/// What became of a cell.
struct Outcome {
  /// Breaches as "P7: ...".
  std::vector<std::string> Breaches;
  /// False if the run never came to the step; then it has checked nothing.
  bool Reached = false;
  Record Seen;
};

/// Runs \p C with \p Broken behaviour. The seed of all random numbers is fixed.
Outcome runCell(const Cell &C, Break Broken);

} // namespace mimosa

#endif // MIMOSA_PROOF_FAULT_MATRIX_H
