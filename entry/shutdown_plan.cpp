#include "entry/shutdown_plan.h"

namespace mimosa {

namespace {
/// Shares of the limit. Callers keep an address for 5 s, some three times as
/// long; the later a request begins, the more likely it is broken off.
constexpr double AcceptShare = 0.62;
constexpr double FinishShare = 0.93;
/// The time between the two is for writing the last answers.
constexpr double ExitShare = 0.97;
} // namespace

MonotonicTime ShutdownPlan::acceptUntil() const {
  return Begin + scaled(Limit, AcceptShare);
}

MonotonicTime ShutdownPlan::finishBy() const {
  return Begin + scaled(Limit, FinishShare);
}

MonotonicTime ShutdownPlan::exitBy() const {
  return Begin + scaled(Limit, ExitShare);
}

} // namespace mimosa
