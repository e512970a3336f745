#include "placement/placement.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace mimosa {
namespace {

constexpr uint64_t Seed = 20261204;

/// \p Count hosts, distributed round-robin over the zones of all regions of
/// \p TestConfig.
std::vector<Member> membersFor(const Config &TestConfig, size_t Count) {
  std::vector<std::pair<RegionId, AvailabilityZoneId>> Zones;
  for (const Region &Each : TestConfig.Regions)
    for (const AvailabilityZone &Zone : Each.Zones)
      Zones.emplace_back(Each.Name, Zone.Name);
  std::vector<Member> Members;
  for (size_t I = 0; I < Count; ++I) {
    Member Next;
    std::string Ip =
        "10.0." + std::to_string(I / 256) + "." + std::to_string(I % 256);
    Next.Host = HostId(Ip + ":7000");
    Next.CallerAddress = Ip + ":8000";
    Next.Region = Zones[I % Zones.size()].first;
    Next.Zone = Zones[I % Zones.size()].second;
    Next.State = MemberState::Alive;
    Members.push_back(Next);
  }
  return Members;
}

/// A configuration of regions with the given numbers of zones and services with
/// the given numbers of backend servers.
Config configFor(const std::vector<size_t> &ZonesOfRegions,
                 const std::vector<size_t> &Services,
                 const std::string &Prefix = "s") {
  Config NewConfig;
  NewConfig.ConfigRevision = Revision(7);
  std::vector<AvailabilityZoneId> Zones;
  for (size_t R = 0; R < ZonesOfRegions.size(); ++R) {
    Region Next;
    Next.Name = RegionId("r" + std::to_string(R));
    for (size_t Z = 0; Z < ZonesOfRegions[R]; ++Z) {
      Zones.emplace_back("z" + std::to_string(Zones.size()));
      Next.Zones.push_back({Zones.back(), ZoneState::In});
    }
    NewConfig.Regions.push_back(std::move(Next));
  }
  for (size_t S = 0; S < Services.size(); ++S) {
    Service Next;
    Next.Name = ServiceId(Prefix + std::to_string(S));
    for (size_t B = 0; B < Services[S]; ++B) {
      BackendServer Backend;
      Backend.Name =
          BackendServerId(Next.Name.text() + "-" + std::to_string(B));
      Backend.Zone = Zones[B % Zones.size()];
      Next.BackendServers.push_back(Backend);
    }
    NewConfig.Services.push_back(std::move(Next));
  }
  return NewConfig;
}

std::shared_ptr<const Config> shared(Config TestConfig) {
  return std::make_shared<const Config>(std::move(TestConfig));
}

/// The number of backend servers of each of the utility's services
/// (docs/design.md, 1.3).
std::vector<size_t> utilityServices() {
  std::vector<size_t> Sizes(25, 3);
  Sizes.push_back(35);
  Sizes.push_back(17);
  return Sizes;
}

// Guards against host sets of a wrong size.
TEST(HostSetSize, FollowsTheFormula) {
  struct Case {
    size_t Live, Backends, All, Expected;
  };
  const Case Cases[] = {
      {0, 1, 1, 0},        {2, 3, 127, 2},        {8, 3, 127, 4},
      {8, 35, 127, 4},     {8, 127, 127, 8},      {270, 85, 3400, 11},
      {540, 85, 3400, 21}, {540, 3400, 3400, 32}, {8, 0, 0, 4},
  };
  for (const Case &Each : Cases)
    EXPECT_EQ(hostSetSize(Each.Live, Each.Backends, Each.All), Each.Expected)
        << Each.Live << " " << Each.Backends;
}

struct Spread {
  /// Number of sets of the host that is in the most sets.
  size_t MaxLoad = 0;
  /// The bound on MaxLoad, from hostLoadBound().
  size_t LoadBound = 0;
  /// Number of sets whose zones differ by more than one host.
  size_t UnevenSets = 0;
};

Spread spreadOf(const std::vector<HostInZone> &Hosts,
                const std::vector<HostSetDemand> &Demands) {
  std::map<AvailabilityZoneId, size_t> HostsOfZone;
  for (const HostInZone &Each : Hosts)
    ++HostsOfZone[Each.Zone];
  std::map<HostId, size_t> Load;
  Spread Result;
  Result.LoadBound = hostLoadBound(Hosts.size(), Demands);
  auto Sets = assignHostSets(Hosts, Demands);
  for (size_t I = 0; I < Sets.size(); ++I) {
    EXPECT_EQ(Sets[I].Service, Demands[I].Service);
    EXPECT_EQ(Sets[I].Hosts.size(), Demands[I].Size);
    std::map<AvailabilityZoneId, size_t> Chosen;
    std::set<HostId> Distinct;
    for (const HostInZone &Each : Sets[I].Hosts) {
      ++Chosen[Each.Zone];
      ++Load[Each.Host];
      Distinct.insert(Each.Host);
    }
    EXPECT_EQ(Distinct.size(), Demands[I].Size);
    size_t Most = 0;
    size_t Least = SIZE_MAX;
    for (const auto &[Zone, Count] : HostsOfZone) {
      Most = std::max(Most, Chosen[Zone]);
      // A zone whose hosts are all chosen cannot provide more.
      if (Chosen[Zone] < Count)
        Least = std::min(Least, Chosen[Zone]);
    }
    Result.UnevenSets += Least != SIZE_MAX && Most > Least + 1;
  }
  for (const auto &[Host, Count] : Load)
    Result.MaxLoad = std::max(Result.MaxLoad, Count);
  return Result;
}

// Guards against a host in too many sets, a set that is too small or contains a
// host twice, for random numbers of hosts per zone and sizes of sets.
RC_GTEST_PROP(HostSets, LoadIsBounded,
              (const std::vector<uint8_t> &ZoneSizes,
               const std::vector<uint8_t> &Sizes)) {
  std::vector<HostInZone> Hosts;
  for (size_t Z = 0; Z < ZoneSizes.size() && Z < 8; ++Z)
    for (int I = 0; I < ZoneSizes[Z] % 12; ++I)
      Hosts.push_back({HostId("h" + std::to_string(Hosts.size())),
                       AvailabilityZoneId("z" + std::to_string(Z))});
  std::vector<HostSetDemand> Demands(Sizes.size());
  for (size_t I = 0; I < Sizes.size(); ++I)
    Demands[I] = {ServiceId("s" + std::to_string(I)),
                  std::min<size_t>(Sizes[I] % 32, Hosts.size())};
  Spread Result = spreadOf(Hosts, Demands);
  RC_ASSERT(Result.MaxLoad <= Result.LoadBound);
}

// Guards against a set that is too small because too few hosts can join another
// set: with 4 of 6 hosts in each of 6 sets, about 6 in 1,000 assignments need a
// swap between two sets.
TEST(HostSets, AreFullWhenFewHostsHaveRoom) {
  std::vector<HostInZone> Hosts;
  Hosts.reserve(6);
  for (int I = 0; I < 6; ++I)
    Hosts.push_back({HostId(std::to_string(I)), AvailabilityZoneId("z")});
  for (size_t Trial = 0; Trial < 3000; ++Trial) {
    std::vector<HostSetDemand> Demands(6);
    for (size_t I = 0; I < 6; ++I)
      Demands[I] = {ServiceId(std::to_string(Trial * 6 + I)), 4};
    Spread Result = spreadOf(Hosts, Demands);
    EXPECT_LE(Result.MaxLoad, Result.LoadBound);
  }
}

// Guards against sets with too many hosts in one availability zone, at the
// present sizes and at the target sizes.
TEST(HostSets, AreEvenOverZones) {
  struct Case {
    size_t Hosts, Zones;
    std::vector<size_t> Services;
  };
  const Case Cases[] = {{6, 3, utilityServices()},
                        {8, 3, utilityServices()},
                        {8, 4, utilityServices()},
                        {308, 4, std::vector<size_t>(30, 113)},
                        {232, 3, std::vector<size_t>(80, 42)}};
  for (size_t Trial = 0; Trial < 20 * std::size(Cases); ++Trial) {
    const Case &Each = Cases[Trial % std::size(Cases)];
    Config TestConfig = configFor({Each.Zones}, Each.Services,
                                  "s" + std::to_string(Trial) + "-");
    std::vector<HostInZone> Hosts;
    Hosts.reserve(Each.Hosts);
    for (const Member &Host : membersFor(TestConfig, Each.Hosts))
      Hosts.push_back({Host.Host, Host.Zone});
    std::vector<HostSetDemand> Demands;
    Demands.reserve(Each.Services.size());
    for (const Service &Next : TestConfig.Services)
      Demands.push_back(
          {Next.Name, hostSetSize(Each.Hosts, Next.BackendServers.size(),
                                  TestConfig.backendServerCount())});
    Spread Result = spreadOf(Hosts, Demands);
    EXPECT_LE(Result.MaxLoad, Result.LoadBound) << Each.Hosts;
    EXPECT_EQ(Result.UnevenSets, 0u) << Each.Hosts << " in " << Each.Zones;
  }
}

// Guards against hosts with equal views that compute different sets or owners,
// and against recomputation without a change.
TEST(Placement, EqualViewsAgreeAndAreComputedOnce) {
  auto TestConfig = shared(configFor({3}, utilityServices()));
  std::vector<Member> Members = membersFor(*TestConfig, 8);
  Placement One(RegionId("r0"));
  Placement Two(RegionId("r0"));
  One.update(Members, TestConfig);
  std::reverse(Members.begin(), Members.end());
  auto Copy = shared(*TestConfig);
  Two.update(Members, Copy);
  for (const Service &Each : TestConfig->Services) {
    EXPECT_EQ(One.hostSet(Each.Name, RegionId("r0"))->Hosts,
              Two.hostSet(Each.Name, RegionId("r0"))->Hosts);
    EXPECT_EQ(One.voterCandidates(Each.Name, RegionId("r0")),
              Two.voterCandidates(Each.Name, RegionId("r0")));
    for (const BackendServer &Backend : Each.BackendServers) {
      auto Partition = One.partitionOf(Each.Name, Backend);
      ASSERT_TRUE(Partition);
      EXPECT_EQ(*Partition, *Two.partitionOf(Each.Name, Backend));
      EXPECT_EQ(One.preferredOwner(*Partition), Two.preferredOwner(*Partition));
      EXPECT_TRUE(One.isInHostSet(Each.Name, Partition->Region,
                                  *One.preferredOwner(*Partition)));
    }
  }
  Members[3].State = MemberState::Suspect;
  EXPECT_FALSE(Two.update(Members, Copy));
  Members[3].State = MemberState::Leaving;
  EXPECT_TRUE(Two.update(Members, Copy));
  EXPECT_EQ(Two.recomputations(), 2u);
}

// Guards against a majority of voters in one availability zone, whose loss
// would stop the election of owners.
TEST(Placement, VotersAreInDifferentZones) {
  struct Case {
    size_t Hosts, Zones, Voters, MaxPerZone;
  };
  for (const Case &Each : {Case{40, 3, 5, 2}, Case{40, 7, 5, 1},
                           Case{8, 4, 3, 1}, Case{2, 2, 1, 1}}) {
    auto TestConfig = shared(configFor({Each.Zones}, {10, 10, 10}));
    std::vector<Member> Members = membersFor(*TestConfig, Each.Hosts);
    std::map<HostId, AvailabilityZoneId> ZoneOf;
    for (const Member &Host : Members)
      ZoneOf[Host.Host] = Host.Zone;
    Placement TestPlacement(RegionId("r0"));
    TestPlacement.update(Members, TestConfig);
    auto Voters =
        TestPlacement.voterCandidates(ServiceId("s1"), RegionId("r0"));
    EXPECT_EQ(Voters.size(), Each.Voters);
    std::map<AvailabilityZoneId, size_t> Count;
    for (const HostId &Voter : Voters)
      EXPECT_LE(++Count[ZoneOf[Voter]], Each.MaxPerZone);
  }
}

// Guards against callers that get the address of a host that is leaving,
// joining, suspect or in an availability zone that was taken out (fault matrix,
// P4).
TEST(Placement, AddressesExcludeUnusableHosts) {
  Config TestConfig = configFor({3}, utilityServices());
  TestConfig.Regions[0].Zones[2].State = ZoneState::Out;
  std::vector<Member> Members = membersFor(TestConfig, 8);
  Members[0].State = MemberState::Leaving;
  Members[1].State = MemberState::Suspect;
  Members[3].State = MemberState::Joining;
  Placement TestPlacement(RegionId("r0"));
  TestPlacement.update(Members, shared(TestConfig));
  SeededRandom Choices(Seed);
  std::set<std::string> Allowed = {Members[4].CallerAddress,
                                   Members[6].CallerAddress,
                                   Members[7].CallerAddress};
  for (const Service &Each : TestConfig.Services) {
    auto Answer =
        TestPlacement.addresses(Each.Name, AvailabilityZoneId("z2"), Choices);
    ASSERT_TRUE(ok(Answer));
    EXPECT_FALSE(valueOf(Answer).Addresses.empty());
    for (const CallerAddress &Address : valueOf(Answer).Addresses)
      EXPECT_EQ(Allowed.count(Address.Address), 1u) << Address.Address;
  }
  auto Unknown =
      TestPlacement.addresses(ServiceId("x"), AvailabilityZoneId(), Choices);
  EXPECT_EQ(errorOf(Unknown).Code, ResultCode::UnknownService);
}

// Guards against answers that overload the hosts of a small zone, ignore the
// caller's zone or are always in the same order.
TEST(OrderForCaller, OwnZoneFirstAndEveryHostEquallyOften) {
  const char *Zones[] = {"a", "a", "a", "a", "b", "b", "c"};
  std::vector<CallerAddress> Usable;
  for (const char *Zone : Zones)
    Usable.push_back({std::to_string(Usable.size()), AvailabilityZoneId(Zone)});
  SeededRandom Choices(Seed);
  std::map<std::string, int> First;
  constexpr int Trials = 7000;
  for (const char *Caller : {"a", "b", "c"}) {
    int Own = 0;
    for (int I = 0; I < Trials; ++I) {
      auto Answer = orderForCaller(Usable, AvailabilityZoneId(Caller), Choices);
      ASSERT_EQ(Answer.size(), Usable.size());
      ++First[Answer[0].Address];
      Own += Answer[0].Zone.text() == Caller;
    }
    double Share = static_cast<double>(Own) / Trials;
    EXPECT_GE(Share, Caller == std::string("c") ? 0.4 : 0.8) << Caller;
  }
  for (const auto &[Address, Count] : First)
    EXPECT_NEAR(Count, 3.0 * Trials / 7, 0.1 * 3 * Trials / 7) << Address;
}

} // namespace
} // namespace mimosa
