#include "balance/retry_after.h"

#include <algorithm>

namespace mimosa {

namespace {
/// A queue that is too long shrinks within about the run time of one request.
constexpr Duration OverloadedRetryAfter = Milliseconds(60);
/// Backend servers that are down get a trial request after 250 ms.
constexpr Duration UnavailableRetryAfter = Milliseconds(150);
/// Largest random addition to the time, as a share of it.
constexpr double Jitter = 0.5;
} // namespace

Duration retryAfter(CallReason Reason, Duration AvailableIn, Random &Rng) {
  Duration Base = Reason == CallReason::Unavailable ? UnavailableRetryAfter
                                                    : OverloadedRetryAfter;
  return scaled(std::max(Base, AvailableIn), 1 + Jitter * Rng.uniform01());
}

} // namespace mimosa
