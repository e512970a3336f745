// This host's share of the extra sends to one service. All hosts together may
// send, in any window, a share of the service's requests beyond the first of
// each, and a constant on top. Each host keeps to the share of its own
// requests and to its part of the constant, so that the sum keeps the bound
// without messages between hosts.
//
//   Budget.request(Now);             // each request of a caller
//   if (Budget.takeExtra(Now))       // each retry and hedge
//     sendAgain();

#ifndef MIMOSA_BALANCE_RETRY_BUDGET_H
#define MIMOSA_BALANCE_RETRY_BUDGET_H

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace mimosa {

struct RetryBudgetOptions {
  /// Extra sends for each request.
  double Ratio = 0.2;
  /// Extra sends of all hosts in a window beyond the ratio.
  double Slack = 50;
  Duration Window = Seconds(10);
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options = {}) : Options(Options) {}

  void setOptions(RetryBudgetOptions NewOptions) { Options = NewOptions; }
  void setHostCount(uint32_t Count) { HostCount = Count; }

  void recordRequest(MonotonicTime Now);
  /// Takes one extra send; false if none is left. \p Reserve is the share of
  /// the bound that is left to others.
  bool tryTake(MonotonicTime Now, double Reserve = 0);

private:
  /// Counts of a slice of time.
  struct Slice {
    MonotonicTime Begin;
    uint32_t Requests = 0;
    uint32_t Extra = 0;
  };

  Slice &currentSlice(MonotonicTime Now);
  /// Extra sends of a window, and how many of them have been taken.
  std::pair<double, double> limitAndUsed(MonotonicTime Now);

  RetryBudgetOptions Options;
  uint32_t HostCount = 1;
  std::deque<Slice> Slices;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_RETRY_BUDGET_H
