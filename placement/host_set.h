// Which hosts serve which service in one region: rendezvous hashing with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with
// bounded loads", SODA 2018) and an even spread over availability zones.
//
//   std::vector<HostSetDemand> Demands = {{ServiceId("storm"), 4}};
//   std::vector<HostSet> Sets = assignHostSets(Hosts, Demands);
//
// Equal input gives equal sets on every host. No host is in more than
// ceil(1.25 x the mean) sets. Where this bound and an even spread conflict, the
// bound takes precedence.

#ifndef MIMOSA_PLACEMENT_HOST_SET_H
#define MIMOSA_PLACEMENT_HOST_SET_H

#include "base/ids.h"

#include <string>
#include <vector>

namespace mimosa {

/// A host that can be a member of host sets.
struct HostInZone {
  HostId Host;
  AvailabilityZoneId Zone;

  friend bool operator==(const HostInZone &A, const HostInZone &B) {
    return A.Host == B.Host && A.Zone == B.Zone;
  }
};

/// The size of the host set that a service needs.
struct HostSetDemand {
  ServiceId Service;
  /// At most the number of hosts in the region.
  size_t Size = 0;
};

/// The hosts of one service in one region.
struct HostSet {
  ServiceId Service;
  /// By descending rendezvous weight for the service.
  std::vector<HostInZone> Hosts;
};

inline constexpr size_t MinHostSetSize = 4;
inline constexpr size_t MaxHostSetSize = 32;

/// Size of the host set of a service that has \p Backends of \p AllBackends
/// backend servers, in a region with \p LiveHosts hosts (docs/design.md, 4.1).
size_t hostSetSize(size_t LiveHosts, size_t Backends, size_t AllBackends);

/// Maximum number of sets that contain the same host: ceil(1.25 x the mean).
size_t hostLoadBound(size_t Hosts, const std::vector<HostSetDemand> &Demands);

/// One set per demand, in the order of \p Demands.
std::vector<HostSet> assignHostSets(const std::vector<HostInZone> &Hosts,
                                    const std::vector<HostSetDemand> &Demands);

/// \p Hosts by descending rendezvous weight for \p Key.
std::vector<HostInZone> rankByWeight(const std::string &Key,
                                     std::vector<HostInZone> Hosts);

/// Chooses \p Count hosts. Each next one is the first of \p Ranked that is in a
/// zone with the fewest hosts chosen so far.
std::vector<HostInZone> spreadOverZones(const std::vector<HostInZone> &Ranked,
                                        size_t Count);

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_HOST_SET_H
