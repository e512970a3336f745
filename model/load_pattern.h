// A load pattern: the systems around the entry hosts and their behaviour over
// time, as input of a simulation (simulation.h). It is written as JSON:
//
//   {"seed": 7, "length_ms": 5000, "hosts": 2, "zones": 1,
//    "services": [{"name": "shard", "count": 10, "servers": 2, "slots": 4}],
//    "routes": [{"name": "search", "shards": ["shard"], "work_us": 2000,
//                "target_ms": 150, "deadline_ms": 800}],
//    "callers": [{"route": "search", "closed_loop": 8, "think_ms": 20}],
//    "events": [{"at_ms": 2000, "kind": "slow", "service": "shard",
//                "factor": 20, "for_ms": 1000}]}
//
// A service with a count is that many services, NAME-1, NAME-2 and so on, and
// routes and events name all of them by NAME.

#ifndef MIMOSA_MODEL_LOAD_PATTERN_H
#define MIMOSA_MODEL_LOAD_PATTERN_H

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/route.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace mimosa {

/// One service and its backend servers, which are spread over the zones.
struct ServiceModel {
  /// Name in the pattern, without the number.
  std::string Group;
  ServiceId Id;
  uint32_t Servers = 1;
  uint32_t Slots = 1;
  /// Requests that a backend server queues; it refuses further ones.
  uint32_t QueueLimit = 8;
  uint32_t MaxConnections = 1;
  /// Service time relative to the work of a route.
  double WorkFactor = 1;
  /// Factors of WorkFactor, and numbers of slots in place of Slots, for the
  /// backend servers in turn; empty if all are alike.
  std::vector<double> WorkFactors;
  std::vector<uint32_t> SlotCounts;
  /// Each backend server stands still for this time, at its own times.
  Duration Pause{0};
  Duration PauseInterval{0};
};

/// A route and the work of its requests.
struct RouteModel {
  Route Definition;
  /// Service time of a request at a backend server.
  Duration Work{0};
  /// Largest deviation of a request's service time from Work, as a share.
  double WorkSpread = 0;
};

/// Callers that send the requests of one route.
struct CallerModel {
  RouteId Route;
  /// The team of the callers; empty if they have none.
  TeamId Team;
  /// The zone whose hosts they ask, from 1; 0 for all hosts.
  uint32_t Zone = 0;
  /// Callers that each send one request at a time; 0 for an open loop.
  uint32_t ClosedLoop = 0;
  /// Pause of a closed-loop caller after each answer.
  Duration ThinkTime{0};
  /// Requests per second of an open loop, at random times.
  double RatePerSecond = 0;
  /// How often a caller retries a request that was refused or failed.
  uint32_t Retries = 0;
};

enum class ModelEventKind {
  /// Service times are Factor times as long.
  Slow,
  /// A share of Factor of the requests is refused as not run.
  Shed,
  /// Requests are not answered.
  Silent,
  /// Connections are refused.
  Crash,
  /// All requests are refused, with a wish for a pause of Factor seconds.
  Pause,
  /// Answers say that the backend server is leaving; it is not.
  Leave,
  /// Answers state a limit of Factor requests per second; it is not enforced.
  Limit,
  /// Callers send Factor times the requests; open loops only.
  Burst,
};

/// A change of the systems from At until At + For.
struct ModelEvent {
  MonotonicTime At;
  Duration For{0};
  ModelEventKind Kind = ModelEventKind::Slow;
  /// Group of the services, or name of the route or the team of a burst.
  std::string Subject;
  /// The first affected backend server of each service, from 1.
  uint32_t FirstServer = 1;
  /// Number of backend servers of each service; 0 for all that follow.
  uint32_t Servers = 0;
  double Factor = 1;
};

struct LoadPattern {
  uint64_t Seed = 1;
  Duration Length{0};
  uint32_t Hosts = 1;
  uint32_t Zones = 1;
  /// One-way network time within a zone, and the addition between zones.
  Duration NetworkTime{0};
  Duration CrossZoneTime{0};
  /// See RetryBudgetOptions.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  std::vector<ServiceModel> Services;
  std::vector<RouteModel> Routes;
  std::vector<CallerModel> Callers;
  std::vector<ModelEvent> Events;
};

/// Parses \p Text; fails with BadJson, MissingField or BadField, and names the
/// field.
Result<LoadPattern> parseLoadPattern(std::string_view Text);

} // namespace mimosa

#endif // MIMOSA_MODEL_LOAD_PATTERN_H
