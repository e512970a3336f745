#include "balance/retry_budget.h"

#include <algorithm>

namespace mimosa {

namespace {
constexpr Duration SliceLength = Milliseconds(250);
/// Share of the limit that is used. The rest covers two errors: hosts notice
/// late that the number of hosts has changed, and requests reach the backend
/// servers later than they are counted here.
constexpr double LimitShare = 0.85;
} // namespace

RetryBudget::Slice &RetryBudget::currentSlice(MonotonicTime Now) {
  // One slice more than the window, which begins within the first one.
  while (!Slices.empty() &&
         Now - Slices.front().Begin > Options.Window + SliceLength)
    Slices.pop_front();
  if (Slices.empty() || Now - Slices.back().Begin >= SliceLength)
    Slices.push_back({Now, 0, 0});
  return Slices.back();
}

void RetryBudget::recordRequest(MonotonicTime Now) {
  ++currentSlice(Now).Requests;
}

std::pair<double, double> RetryBudget::limitAndUsed(MonotonicTime Now) {
  currentSlice(Now);
  uint64_t Requests = 0;
  uint64_t ExtraAttempts = 0;
  for (const Slice &Each : Slices) {
    Requests += Each.Requests;
    ExtraAttempts += Each.ExtraAttempts;
  }
  double Limit =
      Options.Ratio * static_cast<double>(Requests) + Options.Slack / HostCount;
  return {LimitShare * Limit, static_cast<double>(ExtraAttempts)};
}

bool RetryBudget::tryTake(MonotonicTime Now, double Reserve) {
  auto [Limit, Used] = limitAndUsed(Now);
  if (Used + 1 > Limit * (1 - Reserve))
    return false;
  ++currentSlice(Now).ExtraAttempts;
  return true;
}

} // namespace mimosa
