// Orders to move the traffic of a service to one version of its backend
// servers, and the state of carrying them out. See docs/design/rollout.md.

#ifndef MIMOSA_ROLLOUT_ROLLOUT_ORDER_H
#define MIMOSA_ROLLOUT_ROLLOUT_ORDER_H

#include "base/ids.h"
#include "base/time.h"
#include "store_cache/store_cache.h"

#include <string>
#include <vector>

namespace mimosa {

/// An operators' order. Its revision identifies it.
struct RolloutOrder {
  ServiceId Service;
  VersionId TargetVersion;
  /// The decision is to be made about this long after the order.
  Duration Ramp{0};
  StoreRevision Revision;
};

enum class RolloutPhase : uint32_t {
  /// The target version gets a small share of the requests.
  Testing,
  /// The target version gets all requests; requests at other versions end.
  Moving,
  Completed,
  RolledBack,
};

/// "testing", "moving", "completed" or "rolled_back".
const char *rolloutPhaseName(RolloutPhase Phase);
constexpr bool isDecided(RolloutPhase Phase) {
  return Phase == RolloutPhase::Completed || Phase == RolloutPhase::RolledBack;
}

/// What has been recorded in the store about the last order of a service.
struct RolloutStatus {
  ServiceId Service;
  VersionId TargetVersion;
  RolloutPhase Phase = RolloutPhase::Testing;
  /// Revision of the order that it is about.
  StoreRevision Order;
  /// Targets of earlier orders that were not completed. They get no requests.
  std::vector<VersionId> Excluded;
  /// Host that wrote it, and why; for operators.
  std::string DecidedBy;
  std::string Reason;
  /// The evidence for the decision, for operators.
  std::string Evidence;
  /// One line for each earlier order, newest first.
  std::vector<std::string> Previous;
  /// Revision of this item; 0 if it does not exist.
  StoreRevision Revision;
};

/// Bounds on what a bad version may cause.
struct RolloutLimits {
  /// Largest share of the requests of a service that a bad version may get, and
  /// the number of requests on top of it.
  double ExposureShare = 0.1;
  double ExposureSlack = 50;
  /// Longest time from the 50th bad answer to the last request.
  Duration RollbackTime = Milliseconds(5000);
};

} // namespace mimosa

#endif // MIMOSA_ROLLOUT_ROLLOUT_ORDER_H
