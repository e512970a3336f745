// Time as decision code sees it: a monotonic time point that is passed in, and
// durations in microseconds. Decision code never reads a clock.
//
//   void onTick(MonotonicTime Now);
//   constexpr Duration VoteLifetime = Milliseconds(2000);

#ifndef MIMOSA_BASE_TIME_H
#define MIMOSA_BASE_TIME_H

#include <chrono>

namespace mimosa {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Time since an arbitrary origin that never goes back.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \p Time in whole milliseconds, rounded down.
inline int64_t inMilliseconds(Duration Time) {
  return std::chrono::duration_cast<Milliseconds>(Time).count();
}

/// \p Time in seconds with a fraction.
inline double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace mimosa

#endif // MIMOSA_BASE_TIME_H
