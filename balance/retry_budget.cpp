#include "balance/retry_budget.h"

#include <algorithm>

namespace mimosa {

namespace {
constexpr Duration SliceLength = Milliseconds(250);
/// Share of the bound that is used: hosts see their peers come and go late,
/// and a window seen by the backend servers is shifted by the time of the way.
constexpr double LimitShare = 0.85;
} // namespace

RetryBudget::Slice &RetryBudget::currentSlice(MonotonicTime Now) {
  // One slice more than the window, because the first one is cut by it.
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
  uint64_t Extra = 0;
  for (const Slice &S : Slices) {
    Requests += S.Requests;
    Extra += S.Extra;
  }
  double Bound =
      Options.Ratio * static_cast<double>(Requests) + Options.Slack / HostCount;
  return {LimitShare * Bound, static_cast<double>(Extra)};
}

bool RetryBudget::tryTake(MonotonicTime Now, double Reserve) {
  auto [Bound, Taken] = limitAndUsed(Now);
  if (Taken + 1 > Bound * (1 - Reserve))
    return false;
  ++currentSlice(Now).Extra;
  return true;
}

} // namespace mimosa
