// Frames that the daemon's own parts exchange.

#ifndef MIMOSA_DAEMON_MESSAGES_H
#define MIMOSA_DAEMON_MESSAGES_H

#include "backend/messages.h"
#include "ownership/messages.h"

namespace mimosa {

/// Type 15, from an owner to the hosts of the service: what it owns and what it
/// knows of the backend servers. Sent on each change and at intervals.
struct OwnerReport {
  ServiceId Service;
  RegionId Region;
  HostId Owner;
  Incarnation OwnerIncarnation;
  /// Grows with each report of this incarnation.
  uint64_t Sequence = 0;
  /// All partitions that the host owns.
  std::vector<Partition> Owned;
  /// The backend servers that changed, or all.
  std::vector<BackendSummary> Summaries;
  MSGPACK_DEFINE_MAP(Service, Region, Owner, OwnerIncarnation, Sequence, Owned,
                     Summaries);
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_MESSAGES_H
