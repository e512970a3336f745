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
#include "routing/key_table.h"

#include <algorithm>
#include <cstdint>
#include <optional>
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
  /// Requests need no key of a team.
  bool Anonymous = false;
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

/// Callers that are identified by common keys and share a quota.
struct Team {
  TeamId Id;
  /// Goes before the priority of a route; 0 is the most urgent.
  uint32_t Priority = 0;
  /// Requests per second of all hosts together; 0 if not limited.
  double RatePerSecond = 0;
  /// Requests that may exceed the rate at once.
  double Burst = 0;
};

/// The priority of a request of a team of \p TeamPriority on a route of
/// \p RoutePriority: the team's goes first. Callers without a team have the
/// priority 0 of a team.
constexpr uint32_t combinedPriority(uint32_t TeamPriority,
                                    uint32_t RoutePriority) {
  constexpr uint32_t Limit = 1 << 16;
  return std::min(TeamPriority, Limit - 1) * Limit +
         std::min(RoutePriority, Limit - 1);
}

/// The teams of a configuration.
struct TeamConfig {
  std::vector<Team> Teams;
  /// The keys; they refer to indexes of Teams.
  KeyTable Keys;
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
  /// If present, requests on routes that are not anonymous need a key.
  std::optional<TeamConfig> Teams;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_ROUTE_H
