// Why a host that is up serves no requests, or not those of teams with a
// quota.

#ifndef MIMOSA_ENTRY_SERVING_STATUS_H
#define MIMOSA_ENTRY_SERVING_STATUS_H

#include "shared_limit/shared_limits.h"

#include <string>

namespace mimosa {

enum class ServingObstacle {
  None,
  /// A planned stop has begun.
  Stopping,
  /// There is no configuration yet.
  Unconfigured,
  /// Keys may have been withdrawn since the configuration was last confirmed.
  KeysUnconfirmed,
  /// No backend server is listed.
  NoBackendServers,
  /// No request of a team with a quota is admitted.
  NoQuota,
};

/// The name of an obstacle in logs and metrics.
const char *nameOf(ServingObstacle Obstacle);

/// What decides whether a host can serve.
struct ServingFacts {
  bool Stopping = false;
  bool Configured = false;
  bool KeysConfirmed = true;
  size_t BackendServers = 0;
  TokenObstacle Quota = TokenObstacle::None;
};

/// The first obstacle in the order of the enumeration.
ServingObstacle servingObstacle(const ServingFacts &Facts);

} // namespace mimosa

#endif // MIMOSA_ENTRY_SERVING_STATUS_H
