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

/// A directory of backend servers a, b and c in partition 0 of host h1.
struct Directory : BackendDirectory {
  Directory() {
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

// Guards against new work for a backend server that cannot or must not take it.
TEST(BackendDirectory, OnlyUsableBackendServersAreReplicas) {
  struct UsableCase {
    const char *What;
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
    Directory All;
    BackendSummary Changed = summary("a", 11);
    Changed.State = Case.State;
    Changed.Limit = Case.Limit;
    All.onSummary(Changed, Start);
    All.setBackendServers(
        {{BackendServerId("a"), {}, 0, Case.Draining, Case.ZoneOut}}, Start);
    if (!Case.Owned)
      All.setOwners({std::nullopt}, Start);
    EXPECT_EQ(All.replicaCount(), Case.Usable ? 1u : 0u) << Case.What;
    EXPECT_EQ(All.chooseSnapshot({}, Start).has_value(), Case.Usable);
  }
}

// Guards against late and foreign summaries that undo what a newer one of the
// owner said.
TEST(BackendDirectory, IgnoredSummariesChangeNothingAndAreCounted) {
  using Counter = uint64_t BackendDirectoryCounters::*;
  struct IgnoredCase {
    const char *What;
    void (*Change)(BackendSummary &);
    Counter Counted;
  };
  const IgnoredCase Cases[] = {
      {"same again", [](BackendSummary &) {},
       &BackendDirectoryCounters::SummariesOld},
      {"older", [](BackendSummary &S) { S.Sequence = 9; },
       &BackendDirectoryCounters::SummariesOld},
      {"former incarnation of the owner",
       [](BackendSummary &S) {
         S.Sequence = 99;
         S.OwnerIncarnation = Incarnation(4);
       },
       &BackendDirectoryCounters::SummariesOld},
      {"another host",
       [](BackendSummary &S) {
         S.Sequence = 99;
         S.Owner = HostId("h2");
       },
       &BackendDirectoryCounters::SummariesNotByOwner},
      {"unknown backend server",
       [](BackendSummary &S) { S.Backend = BackendServerId("x"); },
       &BackendDirectoryCounters::SummariesUnknownBackend},
      {"impossible shards",
       [](BackendSummary &S) {
         S.Sequence = 99;
         S.Snapshots[0].Ranges = {0, 3};
       },
       &BackendDirectoryCounters::SummariesMalformed},
  };
  for (const IgnoredCase &Case : Cases) {
    Directory All;
    BackendSummary Late = summary("a", 10);
    Late.State = BackendState::Draining;
    Case.Change(Late);
    EXPECT_FALSE(All.onSummary(Late, Start)) << Case.What;
    EXPECT_EQ(All.counters().*Case.Counted, 1u) << Case.What;
    EXPECT_EQ(All.replicaCount(), 3u) << Case.What;
  }
}

// Guards against a change of owner after which summaries of the new owner are
// lost, or late ones of a former owner are taken for new.
TEST(BackendDirectory, OwnerChangesAndReturns) {
  Directory All;
  BackendSummary ByNew = summary("a", 1);
  ByNew.Owner = HostId("h2");
  ByNew.State = BackendState::Draining;
  EXPECT_FALSE(All.onSummary(ByNew, Start));
  EXPECT_EQ(All.replicaCount(), 3u);
  All.setOwners({HostId("h2")}, Start + Seconds(1));
  EXPECT_EQ(All.replicaCount(), 2u);
  EXPECT_EQ(All.owner(BackendServerId("a")), HostId("h2"));
  All.setOwners({Owner}, Start + Seconds(2));
  EXPECT_FALSE(All.onSummary(summary("a", 9), Start + Seconds(2)));
  EXPECT_EQ(All.replicaCount(), 2u);
  BackendSummary Restarted = summary("a", 1);
  Restarted.OwnerIncarnation = Incarnation(6);
  EXPECT_TRUE(All.onSummary(Restarted, Start + Seconds(2)));
  EXPECT_EQ(All.replicaCount(), 3u);
}

// Guards against losing a field between hosts.
TEST(BackendDirectory, SummaryPassesThroughItsFrame) {
  BackendSummary Sent = summary("a", 12);
  Sent.State = BackendState::Cold;
  auto Read = unpackBody<BackendSummary>(packBody(Sent));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(valueOf(Read).State, BackendState::Cold);
  EXPECT_EQ(valueOf(Read).Sequence, 12u);
  Directory All;
  EXPECT_TRUE(All.onSummary(valueOf(Read), Start));
  EXPECT_EQ(All.replicaCount(), 3u);
}

// Guards against a configuration change that forgets load in flight, which
// would make a full backend server look idle.
TEST(BackendDirectory, ListChangeKeepsWhatIsKnown) {
  Directory All;
  All.onSubRequestSent(BackendServerId("c"), Start);
  All.setBackendServers(
      {{BackendServerId("c"), {}}, {BackendServerId("n"), {}}}, Start);
  EXPECT_EQ(All.replicaCount(), 1u);
  EXPECT_EQ(All.status()[0].InFlight, 1u);
  EXPECT_EQ(All.status()[1].InFlight, 0u);
  All.onSubRequestEnded(BackendServerId("a"), Milliseconds(1), Start);
}

// Guards against owner losses and restarts that leave the budget at 5%, and
// against planned changes that raise it.
TEST(BackendDirectory, FaultsAreRecognised) {
  struct FaultCase {
    const char *What;
    void (*Event)(Directory &);
    bool Fault;
  };
  const FaultCase Cases[] = {
      {"nothing", [](Directory &) {}, false},
      {"owner lost", [](Directory &D) { D.setOwners({std::nullopt}, Start); },
       true},
      {"owner changed", [](Directory &D) { D.setOwners({HostId("x")}, Start); },
       false},
      {"restart",
       [](Directory &D) {
         BackendSummary S = summary("a", 11);
         S.BackendIncarnation = Incarnation(2);
         D.onSummary(S, Start);
       },
       true},
      {"no status",
       [](Directory &D) {
         BackendSummary S = summary("a", 11);
         S.State = BackendState::Unknown;
         D.onSummary(S, Start);
       },
       true},
      {"drained",
       [](Directory &D) {
         BackendSummary S = summary("a", 11);
         S.State = BackendState::Draining;
         D.onSummary(S, Start);
       },
       false},
  };
  for (const FaultCase &Case : Cases) {
    Directory All;
    Case.Event(All);
    EXPECT_EQ(All.faulty(Start + Seconds(1)), Case.Fault) << Case.What;
    EXPECT_FALSE(All.faulty(Start + Seconds(6))) << Case.What;
  }
}

} // namespace
} // namespace mimosa
