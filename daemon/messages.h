// Bodies of the frames that ServiceNodes exchange.

#ifndef MIMOSA_DAEMON_MESSAGES_H
#define MIMOSA_DAEMON_MESSAGES_H

#include "backend/messages.h"
#include "ownership/messages.h"

namespace mimosa {

/// Frame type 15, from an owner to the hosts of the service: the partitions
/// that it owns and the state of their backend servers. Sent after each change
/// and at intervals.
struct OwnerReport {
  ServiceId Service;
  RegionId Region;
  HostId Owner;
  Incarnation OwnerIncarnation;
  /// Increases with each report of this incarnation.
  uint64_t Sequence = 0;
  /// All partitions that the owner owns.
  std::vector<Partition> Owned;
  /// The backend servers that have changed, or all of them.
  std::vector<BackendSummary> Summaries;
  MSGPACK_DEFINE_MAP(Service, Region, Owner, OwnerIncarnation, Sequence, Owned,
                     Summaries);
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_MESSAGES_H
