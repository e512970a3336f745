#include "membership/simulated_cluster_test.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

constexpr uint64_t Seed = 20261204;
constexpr std::initializer_list<MemberState> NotAlive = {
    MemberState::Suspect, MemberState::Leaving, MemberState::Dead};

double secondsSince(MonotonicTime Start, const SimulatedCluster &Cluster) {
  return inSeconds(Cluster.Now - Start);
}

void startCluster(SimulatedCluster &Cluster) {
  Cluster.run(Seconds(60), [&] { return Cluster.isConverged(); });
  ASSERT_TRUE(Cluster.isConverged());
  Cluster.run(Seconds(10));
}

// Guards against callers that are still sent to a dead host after 5 s. The
// addresses of suspect hosts are not given to callers, so it is enough that
// every other host suspects it by then.
TEST(Membership, DeadHostIsSuspectedWithinFiveSeconds) {
  for (size_t Count : {2, 8, 32}) {
    double WorstSuspected = 0;
    double WorstDead = 0;
    for (uint64_t Trial = 0; Trial < 20; ++Trial) {
      SimulatedCluster Cluster(Count, Seed + Trial);
      startCluster(Cluster);
      size_t Victim = Trial % Count;
      Cluster.Hosts[Victim].Dead = true;
      MonotonicTime Start = Cluster.Now;
      Cluster.run(Seconds(30),
                  [&] { return Cluster.allHaveState(Victim, NotAlive); });
      WorstSuspected = std::max(WorstSuspected, secondsSince(Start, Cluster));
      Cluster.run(Seconds(30), [&] {
        return Cluster.allHaveState(Victim, {MemberState::Dead});
      });
      WorstDead = std::max(WorstDead, secondsSince(Start, Cluster));
    }
    EXPECT_LE(WorstSuspected, 5.0) << Count << " hosts";
    RecordProperty("dead_s_" + std::to_string(Count),
                   std::to_string(WorstDead));
    RecordProperty("out_s_" + std::to_string(Count),
                   std::to_string(WorstSuspected));
  }
}

// Guards against callers that are still sent to a leaving host after 3 s.
TEST(Membership, LeavingIsSeenWithinThreeSeconds) {
  for (size_t Count : {2, 8, 32, 128}) {
    SimulatedCluster Cluster(Count, Seed);
    Cluster.LossRate = 0.01;
    startCluster(Cluster);
    Cluster.perform(1, Cluster.Hosts[1].Members->leave(Cluster.Now));
    MonotonicTime Start = Cluster.Now;
    Cluster.run(Seconds(30), [&] {
      return Cluster.allHaveState(1, {MemberState::Leaving});
    });
    EXPECT_LE(secondsSince(Start, Cluster), 3.0) << Count << " hosts";
    // It is not declared dead while it finishes the requests of its callers.
    Cluster.run(Seconds(10));
    EXPECT_TRUE(Cluster.allHaveState(1, {MemberState::Leaving}));
  }
}

// Guards against false deaths at 1% loss, which would contradict the choice of
// protocol in docs/design.md, 4.3.
TEST(Membership, NoFalseDeathAtOnePercentLoss) {
  SimulatedCluster Cluster(32, Seed);
  startCluster(Cluster);
  Cluster.LossRate = 0.01;
  Cluster.run(Seconds(30 * 60));
  EXPECT_EQ(Cluster.countDeclaredDead([](size_t, size_t) { return true; }), 0u);
  EXPECT_TRUE(Cluster.isConverged());
}

// Guards against two halves that stay apart after a network partition, and
// against a host that spreads the deaths that it declared during the partition.
TEST(Membership, HalvesMergeAfterANetworkPartition) {
  for (int PartitionSeconds : {3, 6, 20, 300}) {
    SimulatedCluster Cluster(32, Seed + PartitionSeconds);
    startCluster(Cluster);
    Cluster.IsPartitioned = [](size_t A, size_t B) {
      return (A < 16) != (B < 16);
    };
    Cluster.run(Seconds(PartitionSeconds));
    Cluster.IsPartitioned = {};
    MonotonicTime Start = Cluster.Now;
    Cluster.run(Seconds(120), [&] { return Cluster.isConverged(); });
    EXPECT_LE(secondsSince(Start, Cluster), 60.0) << PartitionSeconds;
    EXPECT_EQ(Cluster.countDeclaredDead([](size_t Observer, size_t Subject) {
      return (Observer < 16) == (Subject < 16);
    }),
              0u)
        << PartitionSeconds;
  }
}

// Guards against a host that was isolated and spreads the deaths of all others
// when it returns.
TEST(Membership, IsolatedHostCausesNoDeathsOnReturn) {
  for (int PartitionSeconds : {4, 8, 30}) {
    SimulatedCluster Cluster(8, Seed + PartitionSeconds);
    startCluster(Cluster);
    Cluster.IsPartitioned = [](size_t A, size_t B) {
      return (A == 3) != (B == 3);
    };
    Cluster.run(Seconds(PartitionSeconds));
    Cluster.IsPartitioned = {};
    Cluster.run(Seconds(60), [&] { return Cluster.isConverged(); });
    EXPECT_TRUE(Cluster.isConverged()) << PartitionSeconds;
    EXPECT_EQ(Cluster.countDeclaredDead([](size_t Observer, size_t Subject) {
      return Observer != 3 && Subject != 3;
    }),
              0u)
        << PartitionSeconds;
  }
}

// Guards against a restart that is not detected: before or after the host was
// declared dead, and with a wall clock that went back.
TEST(Membership, RestartedHostIsANewIncarnation) {
  for (int DownMs : {200, 10000}) {
    for (uint64_t StartTimeMs : {500, 5000}) {
      SimulatedCluster Cluster(8, Seed);
      startCluster(Cluster);
      Incarnation Before = Cluster.Hosts[5].Members->self().HostIncarnation;
      Cluster.Hosts[5].Dead = true;
      Cluster.run(Milliseconds(DownMs));
      Cluster.start(5, StartTimeMs);
      Cluster.run(Seconds(5));
      EXPECT_TRUE(Cluster.isConverged());
      for (const SimulatedHost &Host : Cluster.Hosts)
        EXPECT_GT(Host.Members->member(Cluster.id(5))->HostIncarnation, Before);
    }
  }
}

// Guards against a host that declares others dead because it was paused itself.
TEST(Membership, PausedHostDeclaresNobodyDead) {
  for (int PauseMs : {600, 1200, 3000, 20000}) {
    SimulatedCluster Cluster(8, Seed + PauseMs);
    startCluster(Cluster);
    Cluster.Hosts[2].Paused = true;
    Cluster.run(Milliseconds(PauseMs));
    Cluster.Hosts[2].Paused = false;
    Cluster.run(Seconds(35));
    EXPECT_TRUE(Cluster.Hosts[2].DeclaredDead.empty()) << PauseMs;
    EXPECT_EQ(Cluster.Hosts[2].Pauses, 1u) << PauseMs;
    EXPECT_TRUE(Cluster.isConverged()) << PauseMs;
  }
}

// Guards against a cost that grows with the number of members. The bound is 2
// probes and 2 replies per second, and 4 messages of exchanges in 30 s.
TEST(Membership, CostPerHostIsConstant) {
  for (size_t Count : {8, 32, 128}) {
    SimulatedCluster Cluster(Count, Seed);
    startCluster(Cluster);
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

// Guards against late or repeated updates that take a record back to an older
// version or state, and against a death that is adopted from another host.
RC_GTEST_PROP(MemberTable, RecordsNeverGoBack,
              (const std::vector<std::tuple<uint8_t, uint8_t>> &Updates)) {
  Member Self;
  Self.Host = HostId("a");
  MemberTable Table(Self, {});
  for (const auto &[Number, State] : Updates) {
    Member Update;
    Update.Host = HostId(Number % 2 ? "b" : "c");
    Update.Zone = AvailabilityZoneId(Number < 200 ? "z" : "");
    Update.HostIncarnation = Incarnation(Number / 2 % 3);
    Update.Refutations = Number / 6 % 3;
    Update.State = static_cast<MemberState>(State % 7);
    const Member *Existing = Table.find(Update.Host);
    Member Before = Existing ? *Existing : Member();
    bool Known = Existing != nullptr;
    UpdateResult Outcome = Table.apply(Update, MonotonicTime());
    if (Outcome != UpdateResult::Changed)
      continue;
    RC_ASSERT(Update.State <= MemberState::Dead);
    RC_ASSERT(!Known || overrides(Update, Before));
    RC_ASSERT(!Table.find(Update.Host)->isShort());
    if (Known && Update.State == MemberState::Dead)
      RC_ASSERT(Before.State >= MemberState::Leaving);
  }
}

} // namespace
} // namespace mimosa
