#include "membership/simulated_cluster_test.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

constexpr uint64_t Seed = 20261204;
constexpr std::initializer_list<MemberState> NotUsable = {
    MemberState::Suspect, MemberState::Leaving, MemberState::Dead};

double secondsSince(MonotonicTime Start, const SimulatedCluster &Cluster) {
  return inSeconds(Cluster.Now - Start);
}

void startUp(SimulatedCluster &Cluster) {
  Cluster.run(Seconds(60), [&] { return Cluster.isWhole(); });
  ASSERT_TRUE(Cluster.isWhole());
  Cluster.run(Seconds(10));
}

// Guards against a dead host that callers are still sent to after 5 s. Suspect
// hosts are not handed out, so the bound is on every host holding it suspect.
TEST(Membership, DeadHostIsOutWithinFiveSeconds) {
  for (size_t Count : {2, 8, 32}) {
    double WorstOut = 0;
    double WorstDead = 0;
    for (uint64_t Trial = 0; Trial < 20; ++Trial) {
      SimulatedCluster Cluster(Count, Seed + Trial);
      startUp(Cluster);
      size_t Victim = Trial % Count;
      Cluster.Hosts[Victim].Dead = true;
      MonotonicTime Start = Cluster.Now;
      Cluster.run(Seconds(30),
                  [&] { return Cluster.allHold(Victim, NotUsable); });
      WorstOut = std::max(WorstOut, secondsSince(Start, Cluster));
      Cluster.run(Seconds(30),
                  [&] { return Cluster.allHold(Victim, {MemberState::Dead}); });
      WorstDead = std::max(WorstDead, secondsSince(Start, Cluster));
    }
    EXPECT_LE(WorstOut, 5.0) << Count << " hosts";
    RecordProperty("dead_s_" + std::to_string(Count),
                   std::to_string(WorstDead));
    RecordProperty("out_s_" + std::to_string(Count), std::to_string(WorstOut));
  }
}

// Guards against a leaving host that callers are still sent to after 3 s.
TEST(Membership, LeavingHostIsOutWithinThreeSeconds) {
  for (size_t Count : {2, 8, 32, 128}) {
    SimulatedCluster Cluster(Count, Seed);
    Cluster.Loss = 0.01;
    startUp(Cluster);
    Cluster.perform(1, Cluster.Hosts[1].Members->leave(Cluster.Now));
    MonotonicTime Start = Cluster.Now;
    Cluster.run(Seconds(30),
                [&] { return Cluster.allHold(1, {MemberState::Leaving}); });
    EXPECT_LE(secondsSince(Start, Cluster), 3.0) << Count << " hosts";
    // It is not declared dead while it serves out its callers.
    Cluster.run(Seconds(10));
    EXPECT_TRUE(Cluster.allHold(1, {MemberState::Leaving}));
  }
}

// Guards against false deaths at 1% loss, the condition that overturns 4.3.
TEST(Membership, NoFalseDeathAtOnePercentLoss) {
  SimulatedCluster Cluster(32, Seed);
  startUp(Cluster);
  Cluster.Loss = 0.01;
  Cluster.run(Seconds(30 * 60));
  EXPECT_EQ(Cluster.deathsSeen([](size_t, size_t) { return true; }), 0u);
  EXPECT_TRUE(Cluster.isWhole());
}

// Guards against two halves that stay apart after a network partition, and
// against a host that spreads the deaths that it believed in meanwhile.
TEST(Membership, HalvesJoinAgainAfterACut) {
  for (int CutSeconds : {3, 6, 20, 300}) {
    SimulatedCluster Cluster(32, Seed + CutSeconds);
    startUp(Cluster);
    Cluster.IsCut = [](size_t A, size_t B) { return (A < 16) != (B < 16); };
    Cluster.run(Seconds(CutSeconds));
    Cluster.IsCut = {};
    MonotonicTime Start = Cluster.Now;
    Cluster.run(Seconds(120), [&] { return Cluster.isWhole(); });
    EXPECT_LE(secondsSince(Start, Cluster), 60.0) << CutSeconds;
    EXPECT_EQ(Cluster.deathsSeen([](size_t Observer, size_t Subject) {
      return (Observer < 16) == (Subject < 16);
    }),
              0u)
        << CutSeconds;
  }
}

// Guards against a returning host that spreads the deaths of all others.
TEST(Membership, HostThatWasCutOffHarmsNobody) {
  for (int CutSeconds : {4, 8, 30}) {
    SimulatedCluster Cluster(8, Seed + CutSeconds);
    startUp(Cluster);
    Cluster.IsCut = [](size_t A, size_t B) { return (A == 3) != (B == 3); };
    Cluster.run(Seconds(CutSeconds));
    Cluster.IsCut = {};
    Cluster.run(Seconds(60), [&] { return Cluster.isWhole(); });
    EXPECT_TRUE(Cluster.isWhole()) << CutSeconds;
    EXPECT_EQ(Cluster.deathsSeen([](size_t Observer, size_t Subject) {
      return Observer != 3 && Subject != 3;
    }),
              0u)
        << CutSeconds;
  }
}

// Guards against a restart that is not seen, be it quick or after the death,
// and with a wall clock that went back.
TEST(Membership, RestartedHostIsANewIncarnation) {
  for (int DownMs : {200, 10000}) {
    for (uint64_t StartTimeMs : {500, 5000}) {
      SimulatedCluster Cluster(8, Seed);
      startUp(Cluster);
      Incarnation Before = Cluster.Hosts[5].Members->self().HostIncarnation;
      Cluster.Hosts[5].Dead = true;
      Cluster.run(Milliseconds(DownMs));
      Cluster.start(5, StartTimeMs);
      Cluster.run(Seconds(5));
      EXPECT_TRUE(Cluster.isWhole());
      for (const SimulatedHost &Host : Cluster.Hosts)
        EXPECT_GT(Host.Members->member(Cluster.id(5))->HostIncarnation, Before);
    }
  }
}

// Guards against a host that takes its own pause for the death of the others.
TEST(Membership, PausedHostDeclaresNobodyDead) {
  for (int PauseMs : {600, 1200, 3000, 20000}) {
    SimulatedCluster Cluster(8, Seed + PauseMs);
    startUp(Cluster);
    Cluster.Hosts[2].Paused = true;
    Cluster.run(Milliseconds(PauseMs));
    Cluster.Hosts[2].Paused = false;
    Cluster.run(Seconds(35));
    EXPECT_TRUE(Cluster.Hosts[2].DeathsSeen.empty()) << PauseMs;
    EXPECT_EQ(Cluster.Hosts[2].Pauses, 1u) << PauseMs;
    EXPECT_TRUE(Cluster.isWhole()) << PauseMs;
  }
}

// Guards against a cost that grows with the number of members. Per second: 2
// probes, 2 answers and at most 4 messages of exchanges in 30 s.
TEST(Membership, CostPerHostIsConstant) {
  for (size_t Count : {8, 32, 128}) {
    SimulatedCluster Cluster(Count, Seed);
    startUp(Cluster);
    Cluster.run(Seconds(60));
    for (SimulatedHost &Host : Cluster.Hosts)
      Host.MessagesSent = 0;
    Cluster.MeasureBytes = true;
    Cluster.run(Seconds(120));
    uint64_t Messages = 0, Bytes = 0, Most = 0;
    for (SimulatedHost &Host : Cluster.Hosts) {
      Messages += Host.MessagesSent;
      Bytes += Host.BytesSent;
      Most = std::max(Most, Host.MessagesSent);
    }
    double PerSecond = static_cast<double>(Messages) / Count / 120;
    EXPECT_LE(PerSecond, 4 + 4.0 / 30) << Count << " hosts";
    RecordProperty("bytes_per_s_" + std::to_string(Count),
                   std::to_string(Bytes / Count / 120));
  }
}

// Guards against a record that goes back to an older version or state by late
// or repeated claims, and against a death that is taken over by hearsay.
RC_GTEST_PROP(MemberTable, RecordsNeverGoBack,
              (const std::vector<std::tuple<uint8_t, uint8_t>> &Claims)) {
  Member Self;
  Self.Host = HostId("a");
  MemberTable Table(Self, {});
  for (const auto &[Number, State] : Claims) {
    Member Claim;
    Claim.Host = HostId(Number % 2 ? "b" : "c");
    Claim.Zone = AvailabilityZoneId(Number < 200 ? "z" : "");
    Claim.HostIncarnation = Incarnation(Number / 2 % 3);
    Claim.Refutations = Number / 6 % 3;
    Claim.State = static_cast<MemberState>(State % 7);
    const Member *Held = Table.find(Claim.Host);
    Member Before = Held ? *Held : Member();
    bool Known = Held != nullptr;
    ClaimResult Outcome = Table.apply(Claim, MonotonicTime());
    if (Outcome != ClaimResult::Changed)
      continue;
    RC_ASSERT(Claim.State <= MemberState::Dead);
    RC_ASSERT(!Known || replaces(Claim, Before));
    RC_ASSERT(!Table.find(Claim.Host)->isShort());
    if (Known && Claim.State == MemberState::Dead)
      RC_ASSERT(Before.State >= MemberState::Leaving);
  }
}

} // namespace
} // namespace mimosa
