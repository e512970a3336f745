#include "backend/backend_directory.h"
#include "backend/shard_ranges.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

const MonotonicTime Start{Seconds(1000)};
const SnapshotId V1("v1");
const HostId Owner("h1");

BackendSummary summary(const std::string &Backend, uint64_t Sequence) {
  BackendSummary S;
  S.Backend = BackendServerId(Backend);
  S.Owner = Owner;
  S.OwnerIncarnation = Incarnation(5);
  S.Sequence = Sequence;
  S.BackendIncarnation = Incarnation(1);
  S.State = BackendState::Serving;
  S.Limit = 4;
  S.Snapshots.push_back({V1, 0, 2, packShards({0, 1})});
  return S;
}

/// A directory of backend servers a, b and c in partition 0, which h1 owns.
struct TestDirectory : BackendDirectory {
  TestDirectory() {
    std::vector<ConfiguredBackendServer> Listed;
    for (const char *Name : {"a", "b", "c"})
      Listed.push_back({BackendServerId(Name), {}});
    setBackendServers(Listed, Start);
    setOwners({Owner}, Start);
    for (const char *Name : {"a", "b", "c"})
      onSummary(summary(Name, 10), Start);
  }
  size_t replicaCount() const { return replicas(V1, ShardId(1)).size(); }
};

// Guards against sub-requests to backend servers that cannot or must not run
// them.
TEST(BackendDirectory, OnlyUsableBackendServersAreReplicas) {
  struct UsableCase {
    const char *Name;
    BackendState State;
    uint32_t Limit;
    bool Draining, ZoneOut, Owned, Usable;
  };
  const UsableCase Cases[] = {
      {"serving", BackendState::Serving, 1, false, false, true, true},
      {"cold", BackendState::Cold, 1, false, false, true, true},
      {"unknown", BackendState::Unknown, 1, false, false, true, false},
      {"draining", BackendState::Draining, 1, false, false, true, false},
      {"no limit", BackendState::Serving, 0, false, false, true, false},
      {"draining by configuration", BackendState::Serving, 1, true, false, true,
       false},
      {"zone out", BackendState::Serving, 1, false, true, true, false},
      {"no owner", BackendState::Serving, 1, false, false, false, false},
  };
  for (const UsableCase &Case : Cases) {
    TestDirectory Directory;
    BackendSummary Changed = summary("a", 11);
    Changed.State = Case.State;
    Changed.Limit = Case.Limit;
    Directory.onSummary(Changed, Start);
    Directory.setBackendServers(
        {{BackendServerId("a"), {}, 0, Case.Draining, Case.ZoneOut}}, Start);
    if (!Case.Owned)
      Directory.setOwners({std::nullopt}, Start);
    EXPECT_EQ(Directory.replicaCount(), Case.Usable ? 1u : 0u) << Case.Name;
    EXPECT_EQ(Directory.chooseSnapshot({}, Start).has_value(), Case.Usable);
  }
}

// Guards against late summaries, and summaries from other hosts, that overwrite
// a newer one of the owner.
TEST(BackendDirectory, IgnoredSummariesChangeNothingAndAreCounted) {
  using Counter = uint64_t BackendDirectoryCounters::*;
  struct IgnoredCase {
    const char *Name;
    void (*Change)(BackendSummary &);
    Counter Incremented;
  };
  const IgnoredCase Cases[] = {
      {"received twice", [](BackendSummary &) {},
       &BackendDirectoryCounters::SummariesStale},
      {"older", [](BackendSummary &S) { S.Sequence = 9; },
       &BackendDirectoryCounters::SummariesStale},
      {"former incarnation of the owner",
       [](BackendSummary &S) {
         S.Sequence = 99;
         S.OwnerIncarnation = Incarnation(4);
       },
       &BackendDirectoryCounters::SummariesStale},
      {"another host",
       [](BackendSummary &S) {
         S.Sequence = 99;
         S.Owner = HostId("h2");
       },
       &BackendDirectoryCounters::SummariesFromNonOwner},
      {"unknown backend server",
       [](BackendSummary &S) { S.Backend = BackendServerId("x"); },
       &BackendDirectoryCounters::SummariesUnknownBackend},
      {"invalid shard ranges",
       [](BackendSummary &S) {
         S.Sequence = 99;
         S.Snapshots[0].Ranges = {0, 3};
       },
       &BackendDirectoryCounters::SummariesMalformed},
  };
  for (const IgnoredCase &Case : Cases) {
    TestDirectory Directory;
    BackendSummary Late = summary("a", 10);
    Late.State = BackendState::Draining;
    Case.Change(Late);
    EXPECT_FALSE(Directory.onSummary(Late, Start)) << Case.Name;
    EXPECT_EQ(Directory.counters().*Case.Incremented, 1u) << Case.Name;
    EXPECT_EQ(Directory.replicaCount(), 3u) << Case.Name;
  }
}

// Guards against a change of owner after which a summary of the new owner is
// lost because it came before the change, or a late summary of a former owner
// that owns the partition again is accepted.
TEST(BackendDirectory, OwnerChangesAndReturns) {
  TestDirectory Directory;
  BackendSummary FromNewOwner = summary("a", 1);
  FromNewOwner.Owner = HostId("h2");
  FromNewOwner.State = BackendState::Draining;
  EXPECT_FALSE(Directory.onSummary(FromNewOwner, Start));
  EXPECT_EQ(Directory.replicaCount(), 3u);
  Directory.setOwners({HostId("h2")}, Start + Seconds(1));
  EXPECT_EQ(Directory.replicaCount(), 2u);
  EXPECT_EQ(Directory.owner(BackendServerId("a")), HostId("h2"));
  Directory.setOwners({Owner}, Start + Seconds(2));
  EXPECT_FALSE(Directory.onSummary(summary("a", 9), Start + Seconds(2)));
  EXPECT_EQ(Directory.replicaCount(), 2u);
  BackendSummary Restarted = summary("a", 1);
  Restarted.OwnerIncarnation = Incarnation(6);
  EXPECT_TRUE(Directory.onSummary(Restarted, Start + Seconds(2)));
  EXPECT_EQ(Directory.replicaCount(), 3u);
}

// Guards against a summary that loses a field when it is encoded and decoded.
TEST(BackendDirectory, SummarySurvivesEncoding) {
  BackendSummary Sent = summary("a", 12);
  Sent.State = BackendState::Cold;
  auto Read = unpackBody<BackendSummary>(packBody(Sent));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(valueOf(Read).State, BackendState::Cold);
  EXPECT_EQ(valueOf(Read).Sequence, 12u);
  TestDirectory Directory;
  EXPECT_TRUE(Directory.onSummary(valueOf(Read), Start));
  EXPECT_EQ(Directory.replicaCount(), 3u);
}

// Guards against a configuration change that resets the count of sub-requests
// in flight, which would make a busy backend server look idle.
TEST(BackendDirectory, ConfigurationChangeKeepsState) {
  TestDirectory Directory;
  Directory.onSubRequestSent(BackendServerId("c"), Start);
  Directory.setBackendServers(
      {{BackendServerId("c"), {}}, {BackendServerId("n"), {}}}, Start);
  EXPECT_EQ(Directory.replicaCount(), 1u);
  EXPECT_EQ(Directory.status()[0].InFlight, 1u);
  EXPECT_EQ(Directory.status()[1].InFlight, 0u);
  Directory.onSubRequestEnded(BackendServerId("a"), Milliseconds(1), Start);
}

// Guards against lost owners and restarts that leave the extra-load budget at
// 5%, and against planned changes that raise it to 10%.
TEST(BackendDirectory, FaultsAreDetected) {
  struct FaultCase {
    const char *Name;
    void (*Event)(TestDirectory &);
    bool Fault;
  };
  const FaultCase Cases[] = {
      {"nothing", [](TestDirectory &) {}, false},
      {"owner lost",
       [](TestDirectory &Directory) {
         Directory.setOwners({std::nullopt}, Start);
       },
       true},
      {"owner changed",
       [](TestDirectory &Directory) {
         Directory.setOwners({HostId("x")}, Start);
       },
       false},
      {"restart",
       [](TestDirectory &Directory) {
         BackendSummary S = summary("a", 11);
         S.BackendIncarnation = Incarnation(2);
         Directory.onSummary(S, Start);
       },
       true},
      {"status lost",
       [](TestDirectory &Directory) {
         BackendSummary S = summary("a", 11);
         S.State = BackendState::Unknown;
         Directory.onSummary(S, Start);
       },
       true},
      {"drained",
       [](TestDirectory &Directory) {
         BackendSummary S = summary("a", 11);
         S.State = BackendState::Draining;
         Directory.onSummary(S, Start);
       },
       false},
  };
  for (const FaultCase &Case : Cases) {
    TestDirectory Directory;
    Case.Event(Directory);
    EXPECT_EQ(Directory.hasRecentFault(Start + Seconds(1)), Case.Fault)
        << Case.Name;
    EXPECT_FALSE(Directory.hasRecentFault(Start + Seconds(6))) << Case.Name;
  }
}

} // namespace
} // namespace mimosa
