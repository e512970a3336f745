#include "entry/serving_status.h"

namespace mimosa {

const char *nameOf(ServingObstacle Obstacle) {
  switch (Obstacle) {
  case ServingObstacle::None:
    return "none";
  case ServingObstacle::Stopping:
    return "stopping";
  case ServingObstacle::Unconfigured:
    return "unconfigured";
  case ServingObstacle::KeysUnconfirmed:
    return "keys_unconfirmed";
  case ServingObstacle::NoBackendServers:
    return "no_backend_servers";
  case ServingObstacle::NoQuota:
    return "no_quota";
  }
  return "unknown";
}

ServingObstacle servingObstacle(const ServingFacts &Facts) {
  if (Facts.Stopping)
    return ServingObstacle::Stopping;
  if (!Facts.Configured)
    return ServingObstacle::Unconfigured;
  if (!Facts.KeysConfirmed)
    return ServingObstacle::KeysUnconfirmed;
  if (Facts.BackendServers == 0)
    return ServingObstacle::NoBackendServers;
  // A host without callers does not share the quotas until it has one.
  if (Facts.Quota != TokenObstacle::None &&
      Facts.Quota != TokenObstacle::NotSharing)
    return ServingObstacle::NoQuota;
  return ServingObstacle::None;
}

} // namespace mimosa
