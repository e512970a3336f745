// The source of time for the parts that act by themselves. Decision code does
// not use it: it gets the time as an argument. Drivers subscribe:
//
//   ScopedTimer Ticks = Timers.every(Milliseconds(100), [&] { onTick(); });
//
// A subscription ends when its object is destroyed.

#ifndef MIMOSA_BASE_TIMER_SERVICE_H
#define MIMOSA_BASE_TIMER_SERVICE_H

#include "base/time.h"

#include <functional>
#include <memory>

namespace mimosa {

/// Keeps a timer alive; destroying it cancels the timer.
class ScopedTimer {
public:
  ScopedTimer() = default;
  explicit ScopedTimer(std::shared_ptr<void> Timer) : Timer(std::move(Timer)) {}
  void cancel() { Timer.reset(); }

private:
  std::shared_ptr<void> Timer;
};

/// Calls back in the thread of the event loop.
class TimerService {
public:
  virtual ~TimerService() = default;

  virtual MonotonicTime now() const = 0;

  /// Calls \p Callback after each \p Interval.
  [[nodiscard]] virtual ScopedTimer every(Duration Interval,
                                          std::function<void()> Callback) = 0;

  /// Calls \p Callback once after \p Delay.
  [[nodiscard]] virtual ScopedTimer after(Duration Delay,
                                          std::function<void()> Callback) = 0;
};

} // namespace mimosa

#endif // MIMOSA_BASE_TIMER_SERVICE_H
