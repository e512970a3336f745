#include "placement/placement.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace mimosa {

namespace {

/// Number of voters of a service by the size of its host set (docs/design.md,
/// 4.2).
size_t voterCount(size_t HostSetSize) {
  if (HostSetSize >= 5)
    return 5;
  return HostSetSize >= 3 ? 3 : std::min<size_t>(HostSetSize, 1);
}

} // namespace

Placement::HostsByRegion
Placement::eligibleHosts(const std::vector<Member> &Members) const {
  HostsByRegion Eligible;
  for (const Member &Each : Members) {
    bool Live =
        Each.State == MemberState::Alive || Each.State == MemberState::Suspect;
    const AvailabilityZone *Zone = ActiveConfig->zone(Each.Zone);
    // A zone that is not in the configuration has not been taken out.
    bool ZoneOut = Zone && Zone->State == ZoneState::Out;
    if (Live && !ZoneOut)
      Eligible[Each.Region].push_back({Each.Host, Each.Zone});
  }
  // The result must not depend on the order in which members are listed.
  for (auto &[Region, RegionHosts] : Eligible)
    std::sort(RegionHosts.begin(), RegionHosts.end(),
              [](const HostInZone &A, const HostInZone &B) {
                return A.Host < B.Host;
              });
  return Eligible;
}

bool Placement::update(const std::vector<Member> &Members,
                       std::shared_ptr<const Config> NewConfig) {
  bool ConfigChanged = NewConfig != ActiveConfig;
  ActiveConfig = std::move(NewConfig);
  HostInfos.clear();
  for (const Member &Each : Members)
    HostInfos[Each.Host] = {Each.CallerAddress,
                            Each.State == MemberState::Suspect};
  HostsByRegion NewHosts = eligibleHosts(Members);
  if (!ConfigChanged && NewHosts == EligibleHosts)
    return false;
  EligibleHosts = std::move(NewHosts);
  HostSets.clear();
  for (const auto &[Region, RegionHosts] : EligibleHosts)
    computeRegion(Region, RegionHosts);
  ++Recomputations;
  return true;
}

void Placement::computeRegion(const RegionId &Region,
                              const std::vector<HostInZone> &RegionHosts) {
  size_t AllBackends = ActiveConfig->backendServerCount();
  std::vector<HostSetDemand> Demands;
  for (const Service &Each : ActiveConfig->Services)
    Demands.push_back(
        {Each.Name, hostSetSize(RegionHosts.size(), Each.BackendServers.size(),
                                AllBackends)});
  for (HostSet &Set : assignHostSets(RegionHosts, Demands))
    HostSets[Region].emplace(Set.Service, std::move(Set));
}

const HostSet *Placement::hostSet(const ServiceId &Service,
                                  const RegionId &Region) const {
  auto OfRegion = HostSets.find(Region);
  if (OfRegion == HostSets.end())
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
  const Region *HomeRegion = ActiveConfig->regionOfZone(Backend.Zone);
  const HostSet *Set =
      HomeRegion ? hostSet(Service, HomeRegion->Name) : nullptr;
  if (!Set || Set->Hosts.empty())
    return std::nullopt;
  uint64_t Index = hash64(Backend.Name.text()) % Set->Hosts.size();
  return PartitionId{Service, HomeRegion->Name, static_cast<uint32_t>(Index)};
}

std::vector<HostInZone>
Placement::suspectsLast(std::vector<HostInZone> Ranked) const {
  std::stable_partition(Ranked.begin(), Ranked.end(),
                        [this](const HostInZone &Each) {
                          auto It = HostInfos.find(Each.Host);
                          return It != HostInfos.end() && !It->second.Suspect;
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
  for (HostInZone &Each : suspectsLast(rankByWeight(Key, Set->Hosts)))
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
      suspectsLast(rankByWeight(Service.text() + "/seats", Set->Hosts));
  std::vector<HostId> Voters;
  for (HostInZone &Each : spreadOverZones(Ranked, voterCount(Ranked.size())))
    Voters.push_back(std::move(Each.Host));
  return Voters;
}

std::vector<CallerAddress>
Placement::usableAddresses(const HostSet &Set) const {
  std::vector<CallerAddress> Alive;
  std::vector<CallerAddress> Suspect;
  for (const HostInZone &Each : Set.Hosts) {
    const HostInfo &Host = HostInfos.at(Each.Host);
    (Host.Suspect ? Suspect : Alive).push_back({Host.CallerAddress, Each.Zone});
  }
  // A suspect host is better than no address at all.
  return Alive.empty() ? Suspect : Alive;
}

/// The regions whose hosts can serve a caller, in order of preference.
std::vector<RegionId>
Placement::regionsFor(const AvailabilityZoneId &CallerZone) const {
  std::vector<RegionId> Order;
  if (const Region *HomeRegion = ActiveConfig->regionOfZone(CallerZone))
    Order.push_back(HomeRegion->Name);
  Order.push_back(OwnRegion);
  for (const auto &[Region, RegionHosts] : EligibleHosts)
    Order.push_back(Region);
  return Order;
}

Result<AddressAnswer> Placement::addresses(const ServiceId &Service,
                                           const AvailabilityZoneId &CallerZone,
                                           Random &Rand) const {
  if (!ActiveConfig->service(Service))
    return Error{ResultCode::UnknownService,
                 "service \"" + Service.text() +
                     "\" is not in the configuration"};
  for (const RegionId &Region : regionsFor(CallerZone)) {
    const HostSet *Set = hostSet(Service, Region);
    if (!Set || Set->Hosts.empty())
      continue;
    return AddressAnswer{
        orderForCaller(usableAddresses(*Set), CallerZone, Rand),
        AddressLifetime, ActiveConfig->ConfigRevision};
  }
  return Error{ResultCode::NotFound,
               "no host can serve service \"" + Service.text() +
                   "\": all are leaving or in an availability zone that has "
                   "been taken out"};
}

} // namespace mimosa
