// Typical latency of one route's requests to backend servers: the median of the
// last ones over all backend servers, which a few slow ones do not change.
//
//   TypicalLatency Typical(Initial);
//   Typical.record(Latency);            // for each successful request
//   Typical.median();

#ifndef MIMOSA_BALANCE_TYPICAL_LATENCY_H
#define MIMOSA_BALANCE_TYPICAL_LATENCY_H

#include "base/time.h"

#include <array>
#include <cstddef>

namespace mimosa {

class TypicalLatency {
public:
  /// \p Initial is the median until there are enough samples.
  explicit TypicalLatency(Duration Initial) : Median(Initial) {}

  void record(Duration Latency);
  Duration median() const { return Median; }

private:
  static constexpr size_t WindowSize = 128;
  /// Number of samples after which the median is computed again.
  static constexpr size_t SamplesPerUpdate = 16;

  std::array<Duration, WindowSize> Samples{};
  size_t Count = 0;
  Duration Median;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_TYPICAL_LATENCY_H
