// Distribution of the sub-request latencies of one service over the last few
// seconds, for the hedge delay.
//
//   Window.record(Milliseconds(3), Now);
//   Duration Delay = Window.hedgeDelay(Now);
//
// The window is a ring of histograms, one for each time slice; a slice that has
// left the window is cleared and reused. Computing a quantile adds up all
// slices, so the result is cached for 100 ms.

#ifndef MIMOSA_BACKEND_LATENCY_WINDOW_H
#define MIMOSA_BACKEND_LATENCY_WINDOW_H

#include "base/time.h"

#include <memory>

namespace mimosa {

/// Settings of a LatencyWindow.
struct LatencyWindowOptions {
  /// Quantile of the latencies that is the hedge delay. The 97th percentile
  /// hedges 3% of the sub-requests and leaves 2% of the extra-load budget of 5%
  /// for bursts; at the 95th, hedges use up the budget without any fault.
  double Quantile = 0.97;
  /// Lowest hedge delay.
  Duration Floor = Milliseconds(1);
  /// Hedge delay until the window first holds \c MinSamples.
  Duration Initial = Milliseconds(20);
  /// With fewer samples in the window the last hedge delay is kept. The 95th
  /// percentile of fewer than 20 samples is their maximum.
  uint32_t MinSamples = 20;
};

/// Distribution of the latencies of the last 5 s.
class LatencyWindow {
public:
  explicit LatencyWindow(LatencyWindowOptions Options = {});
  ~LatencyWindow();
  LatencyWindow(LatencyWindow &&) noexcept;
  LatencyWindow &operator=(LatencyWindow &&) noexcept;

  /// Adds one latency; \p Now must not decrease from call to call.
  void record(Duration Latency, MonotonicTime Now);

  /// The configured quantile of the window, at least \c Floor.
  Duration hedgeDelay(MonotonicTime Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_LATENCY_WINDOW_H
