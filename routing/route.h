// The routing configuration: which services answer which requests, and what
// callers may send.
//
// A route is chosen by the host name and the longest path prefix, see
// route_table.h. It has either targets, of which one runs the request, or
// shards, to all of which the request goes and whose records are merged.

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

/// A service and its share of a route's requests.
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
  /// Longest time that a caller is kept waiting.
  Duration Timeout{0};
  /// An answer within this time is of full use to the caller.
  Duration TargetLatency{0};
  /// Most backend servers (of each shard) that may run one request.
  uint32_t MaxAttempts = 1;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  std::vector<WeightedService> Targets;
  std::vector<ServiceId> Shards;
  /// Records in a merged answer.
  uint32_t TopK = 0;
  /// Least share of the shards in a merged answer.
  double MinCoverage = 1;

  bool isGather() const { return !Shards.empty(); }
  /// Fewest shards that make up an answer.
  size_t minShardResults() const;
};

/// What the operators say of one service's backend servers.
struct ServiceLimits {
  /// Connections that a backend server accepts from all hosts together.
  uint32_t MaxConnections = 1;
  /// Requests per second that a cold backend server bears; 0 if no bound is
  /// stated.
  double ColdRate = 0;
  std::string HealthPath;
};

/// What callers may send, and how long they may take or stay idle.
struct CallerLimits {
  size_t MaxHeaderBytes = 16384;
  size_t MaxBodyBytes = 262144;
  Duration HeaderTimeout = Milliseconds(3000);
  Duration IdleTimeout = Milliseconds(15000);
};

struct RoutingConfig {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<ServiceId, ServiceLimits> Services;
  CallerLimits Limits;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_ROUTE_H
