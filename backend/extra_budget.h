// The budget for hedges, retries and probes of one service: a token bucket that
// earns 5% of a token for each first sub-request, and 10% while there are
// faults. An extra sub-request costs one token.
//
// A fault is either
// * an event of the last 5 s that the directory reports with noteFault(): a
//   partition lost its owner, or a backend server restarted or stopped
//   answering its owner; or
// * a share of over 1% of recent sub-requests for which a retry was asked,
//   which is how the loss of single replicas shows before their owners say so.
//
// Hedges and probes leave the last tokens to retries, since a missing retry
// costs coverage and a missing hedge only costs time.

#ifndef MIMOSA_BACKEND_EXTRA_BUDGET_H
#define MIMOSA_BACKEND_EXTRA_BUDGET_H

#include "backend/replica_source.h"
#include "base/time.h"

#include <cstdint>

namespace mimosa {

/// Settings of an ExtraBudget.
struct ExtraBudgetOptions {
  /// Tokens per first sub-request without and with faults.
  double SteadyShare = 0.05;
  double FaultShare = 0.10;
  /// Tokens at the start, and the most that are kept. 64 pays for the retries
  /// of one query whose owner was lost.
  double InitialTokens = 8;
  double MaxTokens = 64;
  /// Tokens that only retries may take.
  double RetryReserve = 4;
  /// Share of sub-requests with retries above which there is a fault.
  double FaultRetryShare = 0.01;
  /// How long an event counts as a fault.
  Duration FaultDuration = Seconds(5);
};

/// Counts tokens; see above.
class ExtraBudget {
public:
  explicit ExtraBudget(ExtraBudgetOptions Options = {}) : Options(Options) {
    Tokens = Options.InitialTokens;
  }

  /// Takes one token; false if there is none for \p Kind.
  bool take(ExtraLoad Kind);

  /// Notes a sub-request. The next ones after successful take() calls are taken
  /// to be the extra ones and earn nothing.
  void onSubRequestSent(MonotonicTime Now);

  /// Notes that a fault was seen.
  void noteFault(MonotonicTime Now) {
    FaultUntil = Now + Options.FaultDuration;
  }

  /// Whether there are faults at \p Now.
  bool faulty(MonotonicTime Now) const {
    return Now < FaultUntil || RetryShare > Options.FaultRetryShare;
  }

private:
  ExtraBudgetOptions Options;
  double Tokens = 0;
  double RetryShare = 0;
  uint64_t ExtrasToSend = 0;
  MonotonicTime FaultUntil = MonotonicTime::min();
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_EXTRA_BUDGET_H
