// The typical latency of one route's requests to backend servers: the median of
// the last ones, taken over all backend servers, so that a few slow ones do not
// move it.

#ifndef MIMOSA_BALANCE_TYPICAL_LATENCY_H
#define MIMOSA_BALANCE_TYPICAL_LATENCY_H

#include "base/time.h"

#include <array>
#include <cstddef>

namespace mimosa {

class TypicalLatency {
public:
  /// \p Initial is used until there are samples.
  explicit TypicalLatency(Duration Initial) : Median(Initial) {}

  void record(Duration Latency);
  Duration median() const { return Median; }

private:
  static constexpr size_t WindowSize = 128;
  /// Samples between two computations of the median.
  static constexpr size_t SamplesPerUpdate = 16;

  std::array<Duration, WindowSize> Samples{};
  size_t Count = 0;
  Duration Median;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_TYPICAL_LATENCY_H
