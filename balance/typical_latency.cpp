#include "balance/typical_latency.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Lower bound of the median: keeps the ratios of latencies to it finite.
constexpr Duration MinMedian = Milliseconds(1);
} // namespace

void TypicalLatency::record(Duration Latency) {
  Samples[Count++ % WindowSize] = Latency;
  if (Count % SamplesPerUpdate != 0)
    return;
  std::array<Duration, WindowSize> Sorted = Samples;
  auto SamplesEnd =
      Sorted.begin() + static_cast<std::ptrdiff_t>(std::min(Count, WindowSize));
  auto Middle = Sorted.begin() + (SamplesEnd - Sorted.begin()) / 2;
  std::nth_element(Sorted.begin(), Middle, SamplesEnd);
  Median = std::max(MinMedian, *Middle);
}

} // namespace mimosa
