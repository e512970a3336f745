#include "placement/registration.h"

#include <gtest/gtest.h>

#include <map>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(1000)};

ServingCandidate host(size_t Number, size_t Zones, double Capacity = 0.25) {
  return {"h" + std::to_string(Number),
          AvailabilityZoneId("z" + std::to_string(Number % Zones)), Capacity,
          false};
}

/// Hosts that register by their own decision; entries become visible to all
/// after Visibility.
class Fleet {
public:
  static constexpr Duration Visibility = Milliseconds(400);

  Fleet(size_t Count, size_t Zones, bool FirstStart) {
    for (size_t I = 0; I < Count; ++I) {
      Hosts.push_back(host(I, Zones, I % 3 == 0 ? 0.5 : 0.12));
      Decisions.emplace_back(Hosts.back(), FirstStart, Rng);
    }
  }

  void run(Duration Length) {
    constexpr Duration Step = Milliseconds(20);
    for (MonotonicTime End = Now + Length; Now < End; Now += Step) {
      std::vector<ServingCandidate> Listed;
      for (auto [I, At] : Registered)
        if (At + Visibility <= Now)
          Listed.push_back(Hosts[I]);
      for (size_t I = 0; I < Hosts.size(); ++I) {
        if (Stopped.count(I))
          continue;
        Decisions[I].setListed(Listed, Now);
        auto At = Decisions[I].registerAt();
        if (At && *At <= Now)
          Registered.emplace(I, Now);
      }
    }
  }

  void lose(size_t I) {
    Stopped.insert(I);
    Registered.erase(I);
  }

  SeededRandom Rng{7};
  MonotonicTime Now = Start;
  std::vector<ServingCandidate> Hosts;
  std::vector<Registration> Decisions;
  std::map<size_t, MonotonicTime> Registered;
  std::set<size_t> Stopped;
};

TEST(Registration, AllHostsOfASmallFleetRegister) {
  Fleet Small(8, 4, true);
  Small.run(Seconds(5));
  EXPECT_EQ(Small.Registered.size(), 8u);
}

// Guards against an entry, with its renewals, for each of 295 hosts.
TEST(Registration, FewHostsOfALargeFleetRegister) {
  Fleet Large(295, 5, true);
  Large.run(Seconds(5));
  std::map<AvailabilityZoneId, size_t> PerZone;
  size_t Strong = 0;
  for (auto [I, At] : Large.Registered) {
    ++PerZone[Large.Hosts[I].Zone];
    Strong += Large.Hosts[I].Capacity == 0.5 ? 1 : 0;
  }
  EXPECT_EQ(PerZone.size(), 5u);
  for (const auto &[Zone, Count] : PerZone) {
    EXPECT_GE(Count, Registration::MinEntriesPerZone) << Zone.text();
    EXPECT_LE(Count, 30u) << Zone.text();
  }
  EXPECT_GE(Strong, 5 * Registration::MinEntriesPerZone);
}

// Guards against zones that stay without candidates when the registered hosts
// are lost, whatever their number.
TEST(Registration, LostHostsAreReplacedWithinTwoSeconds) {
  Fleet Large(295, 5, true);
  Large.run(Seconds(5));
  std::map<size_t, MonotonicTime> Lost = Large.Registered;
  for (auto [I, At] : Lost)
    Large.lose(I);
  Large.run(Seconds(2));
  std::map<AvailabilityZoneId, size_t> PerZone;
  for (auto [I, At] : Large.Registered)
    ++PerZone[Large.Hosts[I].Zone];
  EXPECT_EQ(PerZone.size(), 5u);
  for (const auto &[Zone, Count] : PerZone)
    EXPECT_GE(Count, Registration::MinEntriesPerZone) << Zone.text();
}

// Guards against a wait after a loss of power of all hosts, when their old
// entries are still listed.
TEST(Registration, HostTakesOverItsOldEntryAtOnce) {
  SeededRandom Rng{7};
  Registration Decision(host(0, 1), false, Rng);
  std::vector<ServingCandidate> Listed;
  for (size_t I = 0; I < 40; ++I)
    Listed.push_back(host(I, 1));
  Decision.setListed(Listed, Start);
  ASSERT_TRUE(Decision.registerAt());
  EXPECT_LE(*Decision.registerAt(), Start);
}

} // namespace
} // namespace mimosa
