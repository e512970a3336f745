#include "balance/retry_after.h"

#include <algorithm>

namespace mimosa {

namespace {
/// A queue that is too long shrinks within about the run time of one request.
constexpr Duration OverloadedRetryAfter = Milliseconds(60);
/// Least time if it is known when the next request can be taken: a caller that
/// returns soon can still be answered within its target latency.
constexpr Duration KnownRetryAfter = Milliseconds(10);
/// Backend servers that are down get a trial request after 250 ms.
constexpr Duration UnavailableRetryAfter = Milliseconds(150);
/// Largest random addition to the time, as a share of it.
constexpr double Jitter = 0.5;
} // namespace

Duration retryAfter(CallReason Reason, Duration AvailableIn, Random &Rng) {
  Duration Base = Reason == CallReason::Unavailable ? UnavailableRetryAfter
                  : AvailableIn > Duration(0)       ? KnownRetryAfter
                                                    : OverloadedRetryAfter;
  return scaled(std::max(Base, AvailableIn), 1 + Jitter * Rng.uniform01());
}

} // namespace mimosa
