// Which hosts serve which service in one region: rendezvous hashing with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
// bounded loads", SODA 2018) and an even spread over availability zones.
//
//   std::vector<HostSetDemand> Demands = {{ServiceId("storm"), 4}};
//   std::vector<HostSet> Sets = assignHostSets(Hosts, Demands);
//
// Equal input gives equal sets on every host. No host is in more than
// ceil(1.25 x the mean) sets; where that and the even spread cannot both be
// had, the bound on the load wins.

#ifndef MIMOSA_PLACEMENT_HOST_SET_H
#define MIMOSA_PLACEMENT_HOST_SET_H

#include "base/ids.h"

#include <string>
#include <vector>

namespace mimosa {

/// A host that can be in host sets.
struct HostInZone {
  HostId Host;
  AvailabilityZoneId Zone;

  friend bool operator==(const HostInZone &A, const HostInZone &B) {
    return A.Host == B.Host && A.Zone == B.Zone;
  }
};

struct HostSetDemand {
  ServiceId Service;
  /// Number of hosts, at most the number of hosts that there are.
  size_t Size = 0;
};

/// The hosts of one service in one region.
struct HostSet {
  ServiceId Service;
  /// In order of falling weight for the service.
  std::vector<HostInZone> Hosts;
};

inline constexpr size_t MinHostSetSize = 4;
inline constexpr size_t MaxHostSetSize = 32;

/// Number of hosts of a service with \p Backends of \p AllBackends backend
/// servers in a region with \p LiveHosts (docs/design.md, 4.1).
size_t hostSetSize(size_t LiveHosts, size_t Backends, size_t AllBackends);

/// Most sets that one of \p Hosts hosts may be in: ceil(1.25 x the mean).
size_t hostLoadBound(size_t Hosts, const std::vector<HostSetDemand> &Demands);

/// One set per demand, in the order of \p Demands.
std::vector<HostSet> assignHostSets(const std::vector<HostInZone> &Hosts,
                                    const std::vector<HostSetDemand> &Demands);

/// \p Hosts by falling rendezvous weight for \p Key.
std::vector<HostInZone> byWeight(const std::string &Key,
                                 std::vector<HostInZone> Hosts);

/// The first \p Count of \p Ranked when each next one is the first of a zone
/// with the fewest chosen hosts.
std::vector<HostInZone> spreadOverZones(const std::vector<HostInZone> &Ranked,
                                        size_t Count);

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_HOST_SET_H
