// Maps services and their backend servers to hosts, from the membership view
// and the configuration (docs/design.md, 4.1 and 4.2): the host set of each
// service and region, the partitions of a service's backend servers, their
// preferred owners, the hosts that vote on owners, and the addresses for
// callers. Equal views give equal results.
//
//   Placement HostPlacement(OwnRegion);
//   HostPlacement.update(Members, NewConfig);  // when either changes
//   const HostSet *Set = HostPlacement.hostSet(Service, Region);
//   auto Partition = HostPlacement.partitionOf(Service, Backend);
//   auto Owner = HostPlacement.preferredOwner(*Partition);
//
// Host sets are recomputed only when the hosts that can be in one or the
// configuration have changed. A suspect host stays in its sets, because most
// suspicions are refuted, but callers get its address only if no host of the
// set is alive.

#ifndef MIMOSA_PLACEMENT_PLACEMENT_H
#define MIMOSA_PLACEMENT_PLACEMENT_H

#include "base/result.h"
#include "config/config.h"
#include "membership/messages.h"
#include "placement/address_answer.h"
#include "placement/host_set.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mimosa {

/// Identifies a partition of a service's backend servers, which has one owner.
struct PartitionId {
  ServiceId Service;
  RegionId Region;
  /// Below the size of the host set.
  uint32_t Index = 0;

  friend bool operator==(const PartitionId &A, const PartitionId &B) {
    return A.Service == B.Service && A.Region == B.Region && A.Index == B.Index;
  }
  friend bool operator<(const PartitionId &A, const PartitionId &B) {
    return std::tie(A.Service, A.Region, A.Index) <
           std::tie(B.Service, B.Region, B.Index);
  }
};

/// See the head of this file.
class Placement {
public:
  /// \p OwnRegion is used for callers in an unknown zone.
  explicit Placement(RegionId OwnRegion) : OwnRegion(std::move(OwnRegion)) {}

  /// Replaces the membership view and the configuration. True if a host set may
  /// have changed.
  bool update(const std::vector<Member> &Members,
              std::shared_ptr<const Config> NewConfig);

  /// The host set of \p Service in \p Region, null if either is unknown.
  const HostSet *hostSet(const ServiceId &Service,
                         const RegionId &Region) const;

  /// True if \p Host is in the host set of \p Service in \p Region.
  bool isInHostSet(const ServiceId &Service, const RegionId &Region,
                   const HostId &Host) const;

  /// The partition of \p Backend, a backend server of \p Service; nothing if
  /// its region has no host for the service.
  std::optional<PartitionId> partitionOf(const ServiceId &Service,
                                         const BackendServer &Backend) const;

  /// The hosts of the set in the order of preference as owner of \p Partition:
  /// by descending rendezvous weight, suspect hosts last.
  std::vector<HostId> ownerOrder(const PartitionId &Partition) const;

  /// The first of ownerOrder(), nothing if there is no host.
  std::optional<HostId> preferredOwner(const PartitionId &Partition) const;

  /// The hosts that vote on the owners of the service's partitions: 5, or 3 or
  /// 1 for smaller sets, in different availability zones as far as possible,
  /// suspect hosts last.
  std::vector<HostId> voterCandidates(const ServiceId &Service,
                                      const RegionId &Region) const;

  /// Addresses for a caller in \p CallerZone, which may be empty. Fails with
  /// UnknownService, and with NotFound if no region has a host for the service.
  Result<AddressAnswer> addresses(const ServiceId &Service,
                                  const AvailabilityZoneId &CallerZone,
                                  Random &Rand) const;

  /// How often the host sets were computed.
  uint64_t recomputations() const { return Recomputations; }

private:
  struct HostInfo {
    std::string CallerAddress;
    bool Suspect = false;
  };
  using HostsByRegion = std::map<RegionId, std::vector<HostInZone>>;

  HostsByRegion eligibleHosts(const std::vector<Member> &Members) const;
  void computeRegion(const RegionId &Region,
                     const std::vector<HostInZone> &Hosts);
  std::vector<HostInZone> suspectsLast(std::vector<HostInZone> Ranked) const;
  std::vector<CallerAddress> usableAddresses(const HostSet &Set) const;
  std::vector<RegionId> regionsFor(const AvailabilityZoneId &CallerZone) const;

  RegionId OwnRegion;
  std::shared_ptr<const Config> ActiveConfig = std::make_shared<const Config>();
  /// The hosts that can be in host sets.
  HostsByRegion EligibleHosts;
  std::map<HostId, HostInfo> HostInfos;
  std::map<RegionId, std::map<ServiceId, HostSet>> HostSets;
  uint64_t Recomputations = 0;
};

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_PLACEMENT_H
