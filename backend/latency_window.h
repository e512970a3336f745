// Distribution of the sub-request latencies of one service over the last few
// seconds, for the hedge delay.
//
//   Window.record(Milliseconds(3), Now);
//   Duration Delay = Window.hedgeDelay(Now);
//
// The window is a ring of histograms, one for each slice of time; a slice that
// has passed out of the window is cleared. Reading a quantile adds up all
// slices, so the result is kept for 100 ms.

#ifndef MIMOSA_BACKEND_LATENCY_WINDOW_H
#define MIMOSA_BACKEND_LATENCY_WINDOW_H

#include "base/time.h"

#include <memory>

namespace mimosa {

/// Settings of a LatencyWindow.
struct LatencyWindowOptions {
  /// Share of latencies that are below the hedge delay.
  /// The 97th percentile leaves 2% of the extra-load budget of 5% for bursts;
  /// at the 95th, hedges of healthy replies alone use it up.
  double Quantile = 0.97;
  /// Lowest hedge delay.
  Duration Floor = Milliseconds(1);
  /// Hedge delay until \c MinSamples have been seen for the first time.
  Duration Initial = Milliseconds(20);
  /// Samples in the window below which the last hedge delay is kept. The 95th
  /// percentile of fewer than 20 samples is only their maximum.
  uint32_t MinSamples = 20;
};

/// Latencies of the last 5 s.
class LatencyWindow {
public:
  explicit LatencyWindow(LatencyWindowOptions Options = {});
  ~LatencyWindow();
  LatencyWindow(LatencyWindow &&) noexcept;
  LatencyWindow &operator=(LatencyWindow &&) noexcept;

  /// Adds one latency; \p Now must not go back.
  void record(Duration Latency, MonotonicTime Now);

  /// The configured quantile of the window, recomputed at most every 100 ms.
  Duration hedgeDelay(MonotonicTime Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_LATENCY_WINDOW_H
