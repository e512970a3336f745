#include "placement/serving_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace mimosa {
namespace {

std::vector<ServingCandidate> fleet(size_t Hosts, size_t Zones) {
  std::vector<ServingCandidate> Out;
  for (size_t I = 0; I < Hosts; ++I)
    Out.push_back({"h" + std::to_string(I),
                   AvailabilityZoneId("z" + std::to_string(I % Zones)),
                   I % 2 ? 0.12 : 0.5, false});
  return Out;
}

// Guards against hosts of a small deployment that callers are not sent to.
TEST(ServingSet, SmallFleetsServeWhole) {
  EXPECT_EQ(servingSet(fleet(8, 4)).size(), 8u);
  EXPECT_EQ(servingSet({}).size(), 0u);
}

// Guards against weak hosts that serve while strong ones are idle, and against
// a set that one zone's loss takes away.
TEST(ServingSet, StrongHostsOfAllZonesServe) {
  std::vector<ServingCandidate> Hosts = fleet(89, 5);
  std::map<std::string, int> Zones;
  for (size_t I : servingSet(Hosts)) {
    EXPECT_EQ(Hosts[I].Capacity, 0.5);
    ++Zones[Hosts[I].Zone.text()];
  }
  ASSERT_EQ(Zones.size(), 5u);
  for (const auto &[Zone, Count] : Zones)
    EXPECT_LE(Count, 4);
}

// Guards against a fleet of letter 1's size that is served by a few hosts.
TEST(ServingSet, BusyHostsBringMore) {
  std::vector<ServingCandidate> Hosts = fleet(540, 7);
  for (int Step = 0; Step < 10; ++Step)
    for (size_t I : servingSet(Hosts))
      Hosts[I].Busy = true;
  EXPECT_EQ(servingSet(Hosts).size(), 540u);
}

// Guards against hosts that name different sets.
RC_GTEST_PROP(ServingSet, OrderOfTheListDoesNotMatter, ()) {
  std::vector<ServingCandidate> Hosts = fleet(60, 3);
  auto Names = [&] {
    std::set<std::string> Out;
    for (size_t I : servingSet(Hosts))
      Out.insert(Hosts[I].Name);
    return Out;
  };
  std::set<std::string> Before = Names();
  for (size_t I = Hosts.size(); I > 1; --I)
    std::swap(Hosts[I - 1], Hosts[*rc::gen::inRange<size_t>(0, I)]);
  RC_ASSERT(Names() == Before);
}

} // namespace
} // namespace mimosa
