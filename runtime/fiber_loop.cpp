#include "runtime/fiber_loop.h"

#include "runtime/asio_fiber.h"
#include "runtime/log.h"

#include <csignal>
#include <utility>

namespace mimosa {

namespace {

// Only touched pages of a stack take up physical memory. 128 KiB leaves room
// for the JSON parser and the log library.
constexpr size_t FiberStackBytes = 128 * 1024;
/// Pause before a task that an exception has ended is started again: long
/// enough for requests that hold memory to end.
constexpr Duration ServiceRestartDelay = Milliseconds(100);

uint64_t CaughtExceptions = 0;

/// Logs an exception without throwing another one.
void recordException(const char *Where, const char *Reason) noexcept {
  ++CaughtExceptions;
  try {
    logError("runtime", std::string("event=exception in=") + Where +
                            " reason=\"" + Reason + "\"");
  } catch (const std::exception &) {
    // The counter is all that is left without memory.
  }
}

/// Calls a callback once or repeatedly until cancel().
class Timer : public std::enable_shared_from_this<Timer> {
public:
  Timer(asio::io_context &Io, Duration Interval, bool Repeats,
        std::function<void()> Callback)
      : SteadyTimer(Io), Interval(Interval), Repeats(Repeats),
        Callback(std::move(Callback)) {}

  void start() {
    SteadyTimer.expires_after(Interval);
    arm();
  }
  void cancel() {
    Cancelled = true;
    SteadyTimer.cancel();
  }

private:
  void arm() {
    SteadyTimer.async_wait([Self = shared_from_this()](error_code Failure) {
      if (Failure || Self->Cancelled)
        return;
      callGuarded("timer", Self->Callback);
      if (!Self->Repeats || Self->Cancelled)
        return;
      // The next interval starts now, so that a process that was paused makes
      // one call and not a burst.
      Self->SteadyTimer.expires_after(Self->Interval);
      Self->arm();
    });
  }

  asio::steady_timer SteadyTimer;
  Duration Interval;
  bool Repeats;
  bool Cancelled = false;
  std::function<void()> Callback;
};

ScopedTimer startTimer(asio::io_context &Io, Duration Interval, bool Repeats,
                       std::function<void()> Callback) {
  auto NewTimer =
      std::make_shared<Timer>(Io, Interval, Repeats, std::move(Callback));
  NewTimer->start();
  return ScopedTimer(std::shared_ptr<void>(
      NewTimer.get(), [NewTimer](void *) { NewTimer->cancel(); }));
}

constexpr int StopSignalNumbers[] = {SIGTERM, SIGINT};
constexpr int ReloadSignalNumber = SIGHUP;

sigset_t handledSignals() {
  sigset_t Out;
  sigemptyset(&Out);
  for (int Number : StopSignalNumbers)
    sigaddset(&Out, Number);
  sigaddset(&Out, ReloadSignalNumber);
  return Out;
}

} // namespace

void deferSignals() {
  sigset_t Handled = handledSignals();
  sigprocmask(SIG_BLOCK, &Handled, nullptr);
}

FiberLoop::FiberLoop() : State(std::make_unique<Impl>()) {
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

FiberLoop::~FiberLoop() = default;

void FiberLoop::run(const std::function<void()> &Main) {
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(State->Io);
  auto KeepIoRunning = asio::make_work_guard(State->Io);
  asio::signal_set StopSignals(State->Io);
  for (int Number : StopSignalNumbers)
    StopSignals.add(Number);
  StopSignals.async_wait([this](error_code Failure, int) {
    if (!Failure)
      stop();
  });
  std::function<void()> AwaitReloadSignal;
  asio::signal_set ReloadSignals(State->Io, ReloadSignalNumber);
  AwaitReloadSignal = [&] {
    ReloadSignals.async_wait([&](error_code Failure, int) {
      if (Failure)
        return;
      State->ReloadPending = !State->ReloadCallback;
      if (State->ReloadCallback)
        callGuarded("reload", State->ReloadCallback);
      AwaitReloadSignal();
    });
  };
  AwaitReloadSignal();
  sigset_t Handled = handledSignals();
  sigprocmask(SIG_UNBLOCK, &Handled, nullptr);
  Main();
}

void FiberLoop::onReload(std::function<void()> Callback) {
  State->ReloadCallback = std::move(Callback);
  if (std::exchange(State->ReloadPending, false))
    callGuarded("reload", State->ReloadCallback);
}

void FiberLoop::spawn(std::function<void()> Body) {
  static boost::fibers::pooled_fixedsize_stack Stacks(FiberStackBytes);
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, Stacks,
                       [Body = std::move(Body)] { callGuarded("fiber", Body); })
      .detach();
}

void FiberLoop::spawnService(std::function<void()> Body) {
  spawn([Body = std::move(Body)] {
    while (!callGuarded("service", Body))
      sleepFor(ServiceRestartDelay);
  });
}

bool callGuarded(const char *Where, const std::function<void()> &Work) {
  // Boost.Context unwinds a fiber by an exception of another kind, which must
  // pass.
  try {
    Work();
    return true;
  } catch (const std::exception &E) {
    recordException(Where, E.what());
    return false;
  }
}

uint64_t caughtExceptions() { return CaughtExceptions; }

void FiberLoop::sleepFor(Duration Time) { boost::this_fiber::sleep_for(Time); }

void FiberLoop::yield() { boost::this_fiber::yield(); }

void FiberLoop::stop() {
  State->Stopping = true;
  State->StopRequested.notify_all();
}

bool FiberLoop::stopping() const { return State->Stopping; }

void FiberLoop::waitForStop() {
  std::unique_lock<boost::fibers::mutex> Guard(State->StopMutex);
  State->StopRequested.wait(Guard, [this] { return State->Stopping; });
}

MonotonicTime FiberLoop::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

ScopedTimer FiberLoop::every(Duration Interval,
                             std::function<void()> Callback) {
  return startTimer(State->Io, Interval, true, std::move(Callback));
}

ScopedTimer FiberLoop::after(Duration Delay, std::function<void()> Callback) {
  return startTimer(State->Io, Delay, false, std::move(Callback));
}

struct FiberEvent::Impl {
  bool IsSet = false;
  boost::fibers::condition_variable_any SetCondition;
};

namespace {
/// A lock that does nothing, since all fibers run in one thread.
struct NoLock {
  void lock() {}
  void unlock() {}
};
} // namespace

FiberEvent::FiberEvent() : State(std::make_unique<Impl>()) {}
FiberEvent::~FiberEvent() = default;

void FiberEvent::set() {
  State->IsSet = true;
  State->SetCondition.notify_all();
}

void FiberEvent::clear() { State->IsSet = false; }

bool FiberEvent::waitUntil(MonotonicTime Deadline) {
  // The latest time overflows in the finer unit of the scheduler's clock.
  if (Deadline == MonotonicTime::max()) {
    wait();
    return true;
  }
  NoLock Lock;
  return State->SetCondition.wait_until(Lock, Deadline,
                                        [this] { return State->IsSet; });
}

void FiberEvent::wait() {
  NoLock Lock;
  State->SetCondition.wait(Lock, [this] { return State->IsSet; });
}

} // namespace mimosa
