// The budget for extra sub-requests (hedges, retries and probes) of one
// service: a token bucket that is filled with 5% of a token for each first
// sub-request, and with 10% while there are faults. An extra sub-request takes
// one token.
//
//   Budget.onSubRequestSent(Now); // the first sub-request
//   if (Budget.tryTake(ExtraLoad::Hedge)) {
//     // Send the hedge.
//     Budget.onSubRequestSent(Now);
//   }
//
// A fault is either
// * an event of the last 5 s that the directory reports with recordFault(): a
//   partition lost its owner, or a backend server restarted or stopped
//   answering its owner; or
// * a share above 1% of recent sub-requests for which a retry was requested,
//   whether granted or denied, because the loss of a single replica causes
//   retries before its owner reports it.
//
// The last tokens are reserved for retries, since a denied retry costs coverage
// and a denied hedge only costs time.

#ifndef MIMOSA_BACKEND_EXTRA_BUDGET_H
#define MIMOSA_BACKEND_EXTRA_BUDGET_H

#include "backend/replica_source.h"
#include "base/time.h"

#include <cstdint>

namespace mimosa {

/// Settings of an ExtraBudget.
struct ExtraBudgetOptions {
  /// Tokens added for each first sub-request, without and with faults.
  double SteadyShare = 0.05;
  double FaultShare = 0.10;
  /// Tokens at the start, and the size of the bucket. 64 tokens are enough for
  /// the retries of one query that loses an owner.
  double InitialTokens = 8;
  double MaxTokens = 64;
  /// Tokens that only retries may take.
  double RetryReserve = 4;
  /// A higher share of requested retries, denied ones included, counts as a
  /// fault.
  double FaultRetryShare = 0.01;
  /// Time for which an event counts as a fault.
  Duration FaultDuration = Seconds(5);
};

/// See the head of this file.
class ExtraBudget {
public:
  explicit ExtraBudget(ExtraBudgetOptions Options = {}) : Options(Options) {
    Tokens = Options.InitialTokens;
  }

  /// Takes one token; false if there is none for \p Kind.
  bool tryTake(ExtraLoad Kind);

  /// Adds tokens for a sub-request. After each successful tryTake() one call is
  /// taken to be for the extra sub-request and adds nothing.
  void onSubRequestSent(MonotonicTime Now);

  void recordFault(MonotonicTime Now) {
    FaultUntil = Now + Options.FaultDuration;
  }

  /// Whether one of the faults described at the head of this file applies.
  bool hasRecentFault(MonotonicTime Now) const {
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
