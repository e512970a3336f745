// Durations in microseconds and monotonic points in time. Classes that perform
// no I/O never read a clock; the current time is passed in:
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

/// A point in time on a clock that never goes back; its origin is arbitrary.
using MonotonicTime =
    std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \p Time in whole milliseconds, rounded towards zero.
inline int64_t inMilliseconds(Duration Time) {
  return std::chrono::duration_cast<Milliseconds>(Time).count();
}

/// \p Time in seconds, fractions included.
inline double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// \p Factor times \p Time, rounded towards zero.
inline Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(Time.count()) * Factor));
}

} // namespace mimosa

#endif // MIMOSA_BASE_TIME_H
