#include "placement/placement.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace mimosa {

namespace {

/// Seats of a service by the size of its host set (docs/design.md, 4.2).
size_t seatCount(size_t HostSetSize) {
  if (HostSetSize >= 5)
    return 5;
  return HostSetSize >= 3 ? 3 : std::min<size_t>(HostSetSize, 1);
}

} // namespace

Placement::HostsOfRegions
Placement::placeable(const std::vector<Member> &Members) const {
  HostsOfRegions Found;
  for (const Member &Each : Members) {
    bool Live =
        Each.State == MemberState::Alive || Each.State == MemberState::Suspect;
    const AvailabilityZone *Zone = Document->zone(Each.Zone);
    // A zone that the configuration does not name has not been taken out.
    bool Out = Zone && Zone->State == ZoneState::Out;
    if (Live && !Out)
      Found[Each.Region].push_back({Each.Host, Each.Zone});
  }
  // The order of equal views must not depend on the order of their members.
  for (auto &[Region, List] : Found)
    std::sort(List.begin(), List.end(),
              [](const HostInZone &A, const HostInZone &B) {
                return A.Host < B.Host;
              });
  return Found;
}

bool Placement::update(const std::vector<Member> &Members,
                       std::shared_ptr<const Config> NewDocument) {
  bool Changed = NewDocument != Document;
  Document = std::move(NewDocument);
  Known.clear();
  for (const Member &Each : Members)
    Known[Each.Host] = {Each.CallerAddress, Each.State == MemberState::Suspect};
  HostsOfRegions NewHosts = placeable(Members);
  if (!Changed && NewHosts == Hosts)
    return false;
  Hosts = std::move(NewHosts);
  Sets.clear();
  for (const auto &[Region, List] : Hosts)
    computeRegion(Region, List);
  ++Recomputations;
  return true;
}

void Placement::computeRegion(const RegionId &Region,
                              const std::vector<HostInZone> &List) {
  size_t All = Document->backendServerCount();
  std::vector<HostSetDemand> Demands;
  for (const Service &Each : Document->Services)
    Demands.push_back(
        {Each.Name, hostSetSize(List.size(), Each.BackendServers.size(), All)});
  for (HostSet &Set : assignHostSets(List, Demands))
    Sets[Region].emplace(Set.Service, std::move(Set));
}

const HostSet *Placement::hostSet(const ServiceId &Service,
                                  const RegionId &Region) const {
  auto OfRegion = Sets.find(Region);
  if (OfRegion == Sets.end())
    return nullptr;
  auto Found = OfRegion->second.find(Service);
  return Found == OfRegion->second.end() ? nullptr : &Found->second;
}

bool Placement::isInHostSet(const ServiceId &Service, const RegionId &Region,
                            const HostId &Host) const {
  const HostSet *Set = hostSet(Service, Region);
  if (!Set)
    return false;
  for (const HostInZone &Each : Set->Hosts)
    if (Each.Host == Host)
      return true;
  return false;
}

std::optional<PartitionId>
Placement::partitionOf(const ServiceId &Service,
                       const BackendServer &Backend) const {
  const Region *Home = Document->regionOfZone(Backend.Zone);
  const HostSet *Set = Home ? hostSet(Service, Home->Name) : nullptr;
  if (!Set || Set->Hosts.empty())
    return std::nullopt;
  uint64_t Index = hash64(Backend.Name.text()) % Set->Hosts.size();
  return PartitionId{Service, Home->Name, static_cast<uint32_t>(Index)};
}

std::vector<HostInZone>
Placement::suspectsLast(std::vector<HostInZone> Ranked) const {
  std::stable_partition(Ranked.begin(), Ranked.end(),
                        [this](const HostInZone &Each) {
                          auto It = Known.find(Each.Host);
                          return It != Known.end() && !It->second.Suspect;
                        });
  return Ranked;
}

std::vector<HostId> Placement::ownerOrder(const PartitionId &Partition) const {
  const HostSet *Set = hostSet(Partition.Service, Partition.Region);
  if (!Set)
    return {};
  std::string Key =
      Partition.Service.text() + "/" + std::to_string(Partition.Index);
  std::vector<HostId> Order;
  for (HostInZone &Each : suspectsLast(byWeight(Key, Set->Hosts)))
    Order.push_back(std::move(Each.Host));
  return Order;
}

std::optional<HostId>
Placement::preferredOwner(const PartitionId &Partition) const {
  std::vector<HostId> Order = ownerOrder(Partition);
  if (Order.empty())
    return std::nullopt;
  return Order.front();
}

std::vector<HostId> Placement::voterCandidates(const ServiceId &Service,
                                               const RegionId &Region) const {
  const HostSet *Set = hostSet(Service, Region);
  if (!Set)
    return {};
  std::vector<HostInZone> Ranked =
      suspectsLast(byWeight(Service.text() + "/seats", Set->Hosts));
  std::vector<HostId> Seats;
  for (HostInZone &Each : spreadOverZones(Ranked, seatCount(Ranked.size())))
    Seats.push_back(std::move(Each.Host));
  return Seats;
}

std::vector<CallerAddress> Placement::usable(const HostSet &Set) const {
  std::vector<CallerAddress> Alive;
  std::vector<CallerAddress> Suspect;
  for (const HostInZone &Each : Set.Hosts) {
    const KnownHost &Host = Known.at(Each.Host);
    (Host.Suspect ? Suspect : Alive).push_back({Host.CallerAddress, Each.Zone});
  }
  // A suspect is better than no address at all.
  return Alive.empty() ? Suspect : Alive;
}

/// The regions whose hosts a caller may be sent to, the best one first.
std::vector<RegionId>
Placement::regionsFor(const AvailabilityZoneId &CallerZone) const {
  std::vector<RegionId> Order;
  if (const Region *Home = Document->regionOfZone(CallerZone))
    Order.push_back(Home->Name);
  Order.push_back(OwnRegion);
  for (const auto &[Region, List] : Hosts)
    Order.push_back(Region);
  return Order;
}

Result<AddressAnswer> Placement::addresses(const ServiceId &Service,
                                           const AvailabilityZoneId &CallerZone,
                                           Random &Choices) const {
  if (!Document->service(Service))
    return Error{ResultCode::UnknownService,
                 "service \"" + Service.text() +
                     "\" is not in the configuration"};
  for (const RegionId &Region : regionsFor(CallerZone)) {
    const HostSet *Set = hostSet(Service, Region);
    if (!Set || Set->Hosts.empty())
      continue;
    return AddressAnswer{orderForCaller(usable(*Set), CallerZone, Choices),
                         AddressLifetime, Document->ConfigRevision};
  }
  return Error{ResultCode::NotFound,
               "no host can serve service \"" + Service.text() +
                   "\": all are leaving or in an availability zone that has "
                   "been taken out"};
}

} // namespace mimosa
