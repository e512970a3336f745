// Typical latency of one kind of request: the median of the last ones.
//
//   TypicalLatency Typical(Initial);
//   Typical.record(Latency, Now);       // for each successful request
//   Typical.median();
//
// LatencyBook keeps one for each service of each route. Shards of one route
// differ in size, caches and hardware, so that a backend server must be
// compared with the others of its own shard. The median over all services of
// the route has more samples. It is used for a service without samples, and for
// one whose own median differs little from it.

#ifndef MIMOSA_BALANCE_TYPICAL_LATENCY_H
#define MIMOSA_BALANCE_TYPICAL_LATENCY_H

#include "base/ids.h"
#include "base/time.h"
#include "routing/route.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace mimosa {

class TypicalLatency {
public:
  /// \p Initial is the median until there are enough samples. The median is
  /// over \p WindowSize samples.
  TypicalLatency(Duration Initial, size_t WindowSize)
      : WindowSize(WindowSize), Median(Initial) {}

  void record(Duration Latency, MonotonicTime Now);
  Duration median() const { return Median; }
  /// Whether median() is over samples.
  bool measured() const { return Measured; }

private:
  size_t WindowSize;
  std::vector<Duration> Samples;
  size_t Count = 0;
  MonotonicTime LastSampleAt;
  Duration Median;
  bool Measured = false;
};

/// The times that are passed in must not decrease.
class LatencyBook {
public:
  /// The typical latency of requests on \p Route at \p Service. While there are
  /// no samples of the route, it is estimated from \p TargetLatency.
  Duration typical(const RouteId &Route, const ServiceId &Service,
                   Duration TargetLatency);
  /// Records the latency of a request for which typical() has been called.
  void record(const RouteId &Route, const ServiceId &Service, Duration Latency,
              MonotonicTime Now);

private:
  struct RouteLatencies {
    explicit RouteLatencies(Duration Initial);
    TypicalLatency AllServices;
    std::unordered_map<ServiceId, TypicalLatency> Services;
  };

  std::unordered_map<RouteId, RouteLatencies> Routes;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_TYPICAL_LATENCY_H
