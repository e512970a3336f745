// Timers for drivers. Classes that perform no I/O do not use them; the current
// time is passed to them.
//
//   ScopedTimer Ticks = Timers.every(Milliseconds(100), [&] { onTick(); });
//
// A timer is cancelled when its ScopedTimer is destroyed.

#ifndef MIMOSA_BASE_TIMER_SERVICE_H
#define MIMOSA_BASE_TIMER_SERVICE_H

#include "base/time.h"

#include <functional>
#include <memory>

namespace mimosa {

/// Owns a running timer and cancels it when destroyed.
class ScopedTimer {
public:
  ScopedTimer() = default;
  /// The deleter of \p Timer must cancel the timer.
  explicit ScopedTimer(std::shared_ptr<void> Timer) : Timer(std::move(Timer)) {}
  void cancel() { Timer.reset(); }

private:
  std::shared_ptr<void> Timer;
};

/// Starts timers whose callbacks run in the thread of the event loop.
class TimerService {
public:
  virtual ~TimerService() = default;

  virtual MonotonicTime now() const = 0;

  /// Calls \p Callback once per \p Interval.
  [[nodiscard]] virtual ScopedTimer every(Duration Interval,
                                          std::function<void()> Callback) = 0;

  /// Calls \p Callback once after \p Delay.
  [[nodiscard]] virtual ScopedTimer after(Duration Delay,
                                          std::function<void()> Callback) = 0;
};

} // namespace mimosa

#endif // MIMOSA_BASE_TIMER_SERVICE_H
