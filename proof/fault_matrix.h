// The fault matrix (docs/design.md, section 10). Each cell names the faults
// that are injected, the step at which they start, and the properties that are
// checked, or why the cell does not apply. The rigs run the cells, and
// docs/fault-matrix.md is printed from the same table.
//
//   for (const Cell &C : allCells())
//     if (C.ExclusionReason.empty())
//       CellResult Result = runCell(C, InjectedBug::None);

#ifndef MIMOSA_PROOF_FAULT_MATRIX_H
#define MIMOSA_PROOF_FAULT_MATRIX_H

#include "proof/event_log.h"

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

/// The step of a flow at which the faults of a cell start.
enum class Step {
  // A query.
  Plan,
  Canary,
  Sent,
  Hedged,
  Merging,
  Answered,
  // A non-idempotent request.
  ClaimRequested,
  ClaimGranted,
  RequestSent,
  ReplyLost,
  RequestRetried,
  // A configuration change.
  ConfigRead,
  ConfigWrite,
  ConfigReply,
  ConfigPropagation,
  // A host's start and stop.
  Joining,
  TakingOver,
  Serving,
  Releasing,
  // An availability zone's evacuation and return.
  ZoneEvacuated,
  ZoneReturned,
};
inline constexpr size_t StepCount = 21;

/// The operation that a step belongs to.
enum class Flow { Query, NonIdempotentRequest, Config, Host, Zone };

/// The names in docs/fault-matrix.md and in test output.
const char *faultName(Fault F);
const char *stepName(Step S);
const char *flowName(Flow F);
Flow flowOf(Step S);

/// One cell of the matrix. Two different faults start at the same time; if a
/// fault is listed twice, it starts a second time after RepeatDelay.
struct Cell {
  Step AtStep = Step::Plan;
  std::vector<Fault> Faults{};
  /// Empty if the cell does not apply.
  std::vector<Property> Properties{};
  /// Why the cell does not apply.
  std::string ExclusionReason{};

  /// For example "query/sent: replica lost + store down".
  std::string name() const;
};

/// Delay between the two starts of a fault that is listed twice.
inline constexpr Duration RepeatDelay = Milliseconds(700);

/// Returns the cells of every step with every fault and every pair of faults,
/// in a fixed order.
std::vector<Cell> allCells();

/// The text of docs/fault-matrix.md.
std::string printMatrix();

/// The result of running a cell.
struct CellResult {
  /// Violations of properties, as "P7: ...".
  std::vector<std::string> Violations;
  /// False if the run did not reach the step, so that no fault was injected.
  bool StepReached = false;
  EventLog Log;
};

/// Runs \p C with \p Bug injected. All random numbers have a fixed seed.
CellResult runCell(const Cell &C, InjectedBug Bug);

} // namespace mimosa

#endif // MIMOSA_PROOF_FAULT_MATRIX_H
