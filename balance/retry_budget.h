// This host's part of the retry budget of one service, which limits the extra
// attempts: retries and hedges.
//
//   Budget.recordRequest(Now);       // for each call
//   if (Budget.tryTake(Now))         // before each retry and hedge
//     retry();
//
// In any window, all hosts together may send extra attempts for a share of the
// service's requests, plus a constant. Each host keeps to that share of its own
// requests and to its part of the constant, so that the sum stays within the
// limit without messages between hosts.

#ifndef MIMOSA_BALANCE_RETRY_BUDGET_H
#define MIMOSA_BALANCE_RETRY_BUDGET_H

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace mimosa {

struct RetryBudgetOptions {
  /// Extra attempts per request.
  double Ratio = 0.2;
  /// Extra attempts of all hosts in a window beyond the ratio.
  double Slack = 50;
  Duration Window = Seconds(10);
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {}) : Options(Options) {}

  void setOptions(RetryBudgetOptions NewOptions) { Options = NewOptions; }
  void setHostCount(uint32_t Count) { HostCount = Count; }

  void recordRequest(MonotonicTime Now);
  /// Takes one extra attempt from the budget; false if none is left. \p Reserve
  /// is the share of the limit that must remain.
  bool tryTake(MonotonicTime Now, double Reserve = 0);

private:
  /// Counts within SliceLength from Begin.
  struct Slice {
    MonotonicTime Begin;
    uint32_t Requests = 0;
    uint32_t ExtraAttempts = 0;
  };

  Slice &currentSlice(MonotonicTime Now);
  /// The limit on extra attempts in the window, and the number taken.
  std::pair<double, double> limitAndUsed(MonotonicTime Now);

  RetryBudgetOptions Options;
  uint32_t HostCount = 1;
  std::deque<Slice> Slices;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_RETRY_BUDGET_H
