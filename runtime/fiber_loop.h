// The event loop of a program: one thread that runs fibers over an io_context.
// All code of a daemon runs in this thread, so it needs no locks.
//
//   FiberLoop Loop;
//   Loop.run([&] {
//     Loop.spawn([&] { serve(); });
//     Loop.waitForStop();
//   });
//
// run() returns when its function returns. SIGTERM and SIGINT call stop(). A
// program calls deferSignals() first, so that a signal during its start does
// not end it.

#ifndef MIMOSA_RUNTIME_FIBER_LOOP_H
#define MIMOSA_RUNTIME_FIBER_LOOP_H

#include "base/result.h"
#include "base/timer_service.h"

#include <functional>
#include <memory>

namespace mimosa {

/// Defers the signals that FiberLoop handles until FiberLoop::run().
void deferSignals();

class FiberLoop : public TimerService {
public:
  FiberLoop();
  ~FiberLoop() override;
  FiberLoop(const FiberLoop &) = delete;
  FiberLoop &operator=(const FiberLoop &) = delete;

  /// Runs \p Main as the first fiber and returns when it returns. Other fibers
  /// that are still running are not waited for; the process is expected to
  /// exit.
  void run(const std::function<void()> &Main);

  /// Starts a fiber that runs \p Body. An exception ends it; see
  /// caughtExceptions().
  void spawn(std::function<void()> Body);
  /// Starts a fiber for a task that lasts as long as the process: if an
  /// exception ends \p Body, it is called again after a pause.
  void spawnService(std::function<void()> Body);

  /// Suspends the calling fiber for \p Time.
  static void sleepFor(Duration Time);

  /// Lets other ready fibers run.
  static void yield();

  /// Makes waitForStop() return; may be called more than once.
  void stop();
  bool stopping() const;
  /// Suspends the calling fiber until stop() or a termination signal.
  void waitForStop();

  /// Sets the callback for SIGHUP, which is handled during run(). It is called
  /// at once if the signal has arrived before.
  void onReload(std::function<void()> Callback);

  MonotonicTime now() const override;
  [[nodiscard]] ScopedTimer every(Duration Interval,
                                  std::function<void()> Callback) override;
  [[nodiscard]] ScopedTimer after(Duration Delay,
                                  std::function<void()> Callback) override;

  struct Impl;
  Impl &impl() { return *State; }

private:
  std::unique_ptr<Impl> State;
};

/// Calls \p Work, which no exception may leave: it is logged as
/// event=exception with \p Where and counted. Returns whether there was none.
/// What a class must do after an exception, it does itself.
bool callGuarded(const char *Where, const std::function<void()> &Work);

/// Exceptions that callGuarded(), fibers, timers and event handlers have caught
/// since the start of the process.
uint64_t caughtExceptions();

/// A manual-reset event for the fibers of one thread.
class FiberEvent {
public:
  FiberEvent();
  ~FiberEvent();
  /// Wakes all waiting fibers. The event stays set until clear().
  void set();
  void clear();
  /// Suspends the calling fiber until the event is set or \p Deadline has
  /// passed; MonotonicTime::max() is no deadline. Returns whether the event is
  /// set.
  bool waitUntil(MonotonicTime Deadline);
  /// Suspends the calling fiber until the event is set.
  void wait();

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_FIBER_LOOP_H
