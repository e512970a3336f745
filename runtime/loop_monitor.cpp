#include "runtime/loop_monitor.h"

#include "runtime/log.h"

namespace mimosa {

namespace {
constexpr Duration SampleInterval = Milliseconds(100);
/// Lateness that is logged: callers notice it.
constexpr Duration LoggedLateness = Milliseconds(100);
} // namespace

LoopMonitor::LoopMonitor(TimerService &Timers, MetricsRegistry &Metrics)
    : Timers(Timers), Lateness(Metrics.histogram("mimosa_loop_late_seconds")),
      Expected(Timers.now() + SampleInterval),
      Timer(Timers.every(SampleInterval, [this] { onTimer(); })) {}

void LoopMonitor::onTimer() {
  MonotonicTime Now = Timers.now();
  Duration Late = std::max(Duration(0), Now - Expected);
  Expected = Now + SampleInterval;
  Lateness.record(Late);
  if (Late >= LoggedLateness)
    logInfo("node",
            "event=loop_late late_ms=" + std::to_string(inMilliseconds(Late)));
}

} // namespace mimosa
