// Measures how late the event loop is: by how much a periodic timer fires after
// its time. A loop that is late reads requests late and computes the time left
// of a deadline late.
//
//   LoopMonitor Monitor(Loop, Metrics);

#ifndef MIMOSA_RUNTIME_LOOP_MONITOR_H
#define MIMOSA_RUNTIME_LOOP_MONITOR_H

#include "base/timer_service.h"
#include "runtime/metrics.h"

namespace mimosa {

class LoopMonitor {
public:
  /// Both arguments must outlive the monitor.
  LoopMonitor(TimerService &Timers, MetricsRegistry &Metrics);

private:
  void onTimer();

  TimerService &Timers;
  LatencyHistogram &Lateness;
  MonotonicTime Expected;
  ScopedTimer Timer;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_LOOP_MONITOR_H
