#include "placement/serving_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace mimosa {
namespace {

std::vector<ServingCandidate> fleet(size_t HostCount, size_t Zones) {
  std::vector<ServingCandidate> Hosts;
  for (size_t I = 0; I < HostCount; ++I)
    Hosts.push_back({"h" + std::to_string(I),
                     AvailabilityZoneId("z" + std::to_string(I % Zones)),
                     I % 2 ? 0.12 : 0.5, false});
  return Hosts;
}

// Guards against hosts of a small deployment that are left out of the set.
TEST(ServingSet, AllHostsOfASmallFleetServe) {
  EXPECT_EQ(servingSet(fleet(8, 4)).size(), 8u);
  EXPECT_EQ(servingSet({}).size(), 0u);
}

// Guards against weak hosts that serve while strong ones are idle, and against
// a set of which the loss of one zone removes more than a quarter.
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

// Guards against weak hosts that serve a part of the callers late although the
// strong ones have enough capacity, and against too few hosts once strong ones
// are lost.
TEST(ServingSet, WeakHostsServeOnlyIfTheyAreNeeded) {
  struct Case {
    size_t Strong;
    size_t Weak;
    size_t Zones;
    size_t Serving;
  };
  const Case Cases[] = {
      {8, 74, 4, 8},  // Two strong hosts in each zone.
      {6, 74, 3, 6},  // The loss of some of them.
      {5, 74, 3, 16}, // Too few are left.
      {3, 74, 4, 16}, // A zone would have none.
      {40, 40, 4, 16},
  };
  for (const Case &C : Cases) {
    std::vector<ServingCandidate> Hosts;
    for (size_t I = 0; I < C.Strong + C.Weak; ++I)
      Hosts.push_back({"h" + std::to_string(I),
                       AvailabilityZoneId("z" + std::to_string(I % C.Zones)),
                       I < C.Strong ? 0.5 : 0.12, false});
    EXPECT_EQ(servingSet(Hosts).size(), C.Serving) << C.Strong;
    for (ServingCandidate &Host : Hosts)
      Host.Busy = Host.Capacity == 0.5;
    if (C.Serving < 16) {
      EXPECT_GT(servingSet(Hosts).size(), C.Serving) << "busy " << C.Strong;
    }
  }
}

// Guards against a set that does not grow to all 540 hosts of a large
// deployment although its hosts are busy.
TEST(ServingSet, GrowsWhileHostsAreBusy) {
  std::vector<ServingCandidate> Hosts = fleet(540, 7);
  for (int Step = 0; Step < 10; ++Step)
    for (size_t I : servingSet(Hosts))
      Hosts[I].Busy = true;
  EXPECT_EQ(servingSet(Hosts).size(), 540u);
}

// Guards against different sets at hosts that list the candidates in different
// orders.
RC_GTEST_PROP(ServingSet, OrderOfTheListDoesNotMatter, ()) {
  std::vector<ServingCandidate> Hosts = fleet(60, 3);
  auto Names = [&] {
    std::set<std::string> Serving;
    for (size_t I : servingSet(Hosts))
      Serving.insert(Hosts[I].Name);
    return Serving;
  };
  std::set<std::string> Before = Names();
  for (size_t I = Hosts.size(); I > 1; --I)
    std::swap(Hosts[I - 1], Hosts[*rc::gen::inRange<size_t>(0, I)]);
  RC_ASSERT(Names() == Before);
}

} // namespace
} // namespace mimosa
