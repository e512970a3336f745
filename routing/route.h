// The routing configuration: which services run which requests, and the limits
// on callers' requests.
//
// A request is assigned to a route by its host name and the longest matching
// path prefix; see route_table.h. A route has either targets, one of which runs
// the request, or shards, all of which run it and whose records are merged.

#ifndef MIMOSA_ROUTING_ROUTE_H
#define MIMOSA_ROUTING_ROUTE_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosa {

using RouteId = TextId<struct RouteIdTag>;

/// A service, and its weight in the split of a route's requests.
struct WeightedService {
  ServiceId Service;
  double Weight = 1;
};

struct Route {
  RouteId Id;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// Whether a request may be run more than once.
  bool Idempotent = false;
  /// Upper limit on the time until a caller is answered.
  Duration Timeout{0};
  /// Callers should be answered within this time.
  Duration TargetLatency{0};
  /// Maximum number of backend servers (of each shard) that may run one
  /// request.
  uint32_t MaxAttempts = 1;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  /// The services of which one runs a request; empty if there are shards.
  std::vector<WeightedService> Targets;
  /// The services that all run a request; empty if there are targets.
  std::vector<ServiceId> Shards;
  /// Maximum number of records in a merged answer.
  uint32_t TopK = 0;
  /// Minimum share of the shards in a merged answer.
  double MinCoverage = 1;

  bool isGather() const { return !Shards.empty(); }
  /// Minimum number of shard results in a merged answer.
  size_t minShardResults() const;
};

/// The operators' settings for the backend servers of one service.
struct ServiceLimits {
  /// Number of connections that a backend server accepts from all hosts
  /// together.
  uint32_t MaxConnections = 1;
  /// Requests per second that a cold backend server can run; 0 if not limited.
  double ColdRate = 0;
  std::string HealthPath;
};

/// Limits on callers' requests and connections.
struct CallerLimits {
  size_t MaxHeaderBytes = 16384;
  size_t MaxBodyBytes = 262144;
  Duration HeaderTimeout = Milliseconds(3000);
  Duration IdleTimeout = Milliseconds(15000);
};

/// A version of the operators' configuration.
struct RoutingConfig {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<ServiceId, ServiceLimits> Services;
  CallerLimits Limits;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_ROUTE_H
