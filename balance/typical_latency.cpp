#include "balance/typical_latency.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Keeps ratios to the median finite.
constexpr Duration LeastMedian = Milliseconds(1);
} // namespace

void TypicalLatency::record(Duration Latency) {
  Samples[Count++ % WindowSize] = Latency;
  if (Count % Stride != 0)
    return;
  std::array<Duration, WindowSize> Sorted = Samples;
  auto End =
      Sorted.begin() + static_cast<std::ptrdiff_t>(std::min(Count, WindowSize));
  auto Middle = Sorted.begin() + (End - Sorted.begin()) / 2;
  std::nth_element(Sorted.begin(), Middle, End);
  Median = std::max(LeastMedian, *Middle);
}

} // namespace mimosa
