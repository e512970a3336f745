#include "balance/typical_latency.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Lower bound of the median: keeps the ratios of latencies to it finite.
constexpr Duration MinMedian = Milliseconds(1);
/// Samples from before a longer pause of a service's traffic are dropped.
constexpr Duration MaxSampleAge = Seconds(10);
/// Assumed typical latency without samples, as a share of the target latency.
constexpr double InitialTypicalShare = 0.15;
/// Samples of all services of a route.
constexpr size_t RouteWindow = 128;
/// Samples of one service: at a few samples a second, a lasting change shows
/// within a few seconds.
constexpr size_t ServiceWindow = 32;
/// The median is computed again after this share of the window.
constexpr size_t UpdatesPerWindow = 8;
/// A service whose median differs from the route's by at most this factor
/// counts as typical of the route: differences of this size are within the
/// spread of a median of few samples.
constexpr double MinDifference = 1.5;
} // namespace

void TypicalLatency::record(Duration Latency, MonotonicTime Now) {
  if (Now - LastSampleAt > MaxSampleAge)
    Count = 0;
  LastSampleAt = Now;
  Samples.resize(WindowSize);
  Samples[Count++ % WindowSize] = Latency;
  if (Count % (WindowSize / UpdatesPerWindow) != 0)
    return;
  std::vector<Duration> Sorted = Samples;
  auto SamplesEnd =
      Sorted.begin() + static_cast<std::ptrdiff_t>(std::min(Count, WindowSize));
  auto Middle = Sorted.begin() + (SamplesEnd - Sorted.begin()) / 2;
  std::nth_element(Sorted.begin(), Middle, SamplesEnd);
  Median = std::max(MinMedian, *Middle);
  Measured = true;
}

LatencyBook::RouteLatencies::RouteLatencies(Duration Initial)
    : AllServices(Initial, RouteWindow) {}

Duration LatencyBook::typical(const RouteId &Route, const ServiceId &Service,
                              Duration TargetLatency) {
  auto Found = Routes.find(Route);
  if (Found == Routes.end()) {
    Duration Initial = scaled(TargetLatency, InitialTypicalShare);
    Found = Routes.emplace(Route, std::max(MinMedian, Initial)).first;
  }
  Duration OfRoute = Found->second.AllServices.median();
  auto &Services = Found->second.Services;
  const TypicalLatency &OfService =
      Services.try_emplace(Service, OfRoute, ServiceWindow).first->second;
  double Ratio = inSeconds(OfService.median()) / inSeconds(OfRoute);
  bool Differs = Ratio > MinDifference || Ratio * MinDifference < 1;
  return OfService.measured() && Differs ? OfService.median() : OfRoute;
}

void LatencyBook::record(const RouteId &Route, const ServiceId &Service,
                         Duration Latency, MonotonicTime Now) {
  RouteLatencies &Latencies = Routes.at(Route);
  Latencies.AllServices.record(Latency, Now);
  Latencies.Services.at(Service).record(Latency, Now);
}

} // namespace mimosa
