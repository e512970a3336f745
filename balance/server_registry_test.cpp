#include "balance/retry_budget.h"
#include "balance/server_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(1000)};
const ServiceId Shard{"shard"};

BackendServerEntry entry(const std::string &Id, uint64_t Sequence,
                         int64_t StartedAtMs = 1, const char *Zone = "z1") {
  BackendServerEntry Out;
  Out.Id = BackendServerId(Id);
  Out.Service = Shard;
  Out.Address = "10.0.0.1:80";
  Out.Zone = AvailabilityZoneId(Zone);
  Out.Slots = 4;
  Out.StartedAtMs = StartedAtMs;
  Out.Sequence = Sequence;
  return Out;
}

class ServerRegistryTest : public testing::Test {
protected:
  ServerRegistryTest() : Registry(AvailabilityZoneId("z1"), Rng) {
    Registry.setLimits(Shard, 36, 0);
  }
  BackendServerPtr choose(MonotonicTime Now = Start) {
    return Registry.choose(Shard, ServerCriteria{}, Now);
  }
  SeededRandom Rng{1};
  ServerRegistry Registry;
};

// Guards against an entry that arrives late and undoes the start of draining,
// and against ignoring a new process because its sequence numbers are lower.
TEST_F(ServerRegistryTest, EntriesAreOrderedByStartAndSequence) {
  struct Case {
    uint64_t Sequence;
    int64_t StartedAtMs;
    bool Accepted;
  };
  for (const Case &C :
       {Case{4, 10, false}, Case{5, 10, true}, Case{6, 10, true},
        Case{9, 9, false}, Case{0, 11, true}}) {
    ServerRegistry Fresh(AvailabilityZoneId("z1"), Rng);
    BackendServerEntry Drained = entry("a", 5, 10);
    Drained.Draining = true;
    Fresh.update(Drained, Start);
    EXPECT_EQ(Fresh.update(entry("a", C.Sequence, C.StartedAtMs), Start),
              C.Accepted)
        << C.Sequence << " " << C.StartedAtMs;
  }
}

// Guards against a backend server that gets as many requests while it declines
// them, and against one that gets few for good after that.
TEST_F(ServerRegistryTest, DeclinedRequestsLowerTheLimitForAWhile) {
  Registry.update(entry("a", 1), Start);
  BackendServerPtr Server = choose();
  const uint32_t Usual = Registry.inFlightLimit(*Server, Start);
  ASSERT_GT(Usual, 2u);
  MonotonicTime Now = Start;
  for (int I = 0; I < 20; ++I) {
    Now += Milliseconds(10);
    // The second request was sent before the limit fell.
    Registry.recordDecline(*Server, Now, Milliseconds(20), Now);
    Registry.recordDecline(*Server, Now - Milliseconds(1), Milliseconds(20),
                           Now);
    EXPECT_GE(Registry.inFlightLimit(*Server, Now), I == 0 ? Usual / 2 : 1);
  }
  EXPECT_EQ(Registry.inFlightLimit(*Server, Now), 1u);
  // It is paused for a part of a latency, and then used again.
  EXPECT_EQ(choose(Now), nullptr);
  EXPECT_NE(choose(Registry.nextReleaseAt(Shard, Now)), nullptr);
  EXPECT_LE(Registry.nextReleaseAt(Shard, Now), Now + Milliseconds(20));
  for (uint32_t I = 0; I < Usual * Usual; ++I)
    Server->recordLatency(1, Now);
  EXPECT_EQ(Registry.inFlightLimit(*Server, Now), Usual);
}

// Guards against requests that all go to the backend server with the least
// average while others are as good.
TEST_F(ServerRegistryTest, EqualBackendServersAreUsedInTurn) {
  std::map<std::string, int> Uses;
  for (const char *Id : {"a", "b", "c"})
    Registry.update(entry(Id, 1), Start);
  // The averages of "a" and "b" differ by less than their scatter.
  Registry.find(BackendServerId("a"))->recordLatency(0.8, Start);
  Registry.find(BackendServerId("c"))->recordLatency(4, Start);
  for (int I = 0; I < 100; ++I) {
    MonotonicTime Now = Start + Milliseconds(I);
    BackendServerPtr Server = choose(Now);
    Registry.recordSend(*Server, Now);
    Server->recordEnd(Now);
    ++Uses[Server->entry().Id.text()];
  }
  EXPECT_EQ(Uses["a"], 50);
  EXPECT_EQ(Uses["b"], 50);
}

// Guards against traffic between zones while backend servers of this host's
// zone are equally good.
TEST_F(ServerRegistryTest, PrefersTheOwnZone) {
  Registry.update(entry("near", 1), Start);
  Registry.update(entry("far", 1, 1, "z2"), Start);
  EXPECT_EQ(choose()->entry().Id, BackendServerId("near"));
  Registry.find(BackendServerId("near"))->recordLatency(8, Start);
  EXPECT_EQ(choose()->entry().Id, BackendServerId("far"));
}

// Guards against a backend server that is still used after two consecutive
// failures, and against one that is never tried again.
TEST_F(ServerRegistryTest, ConsecutiveFailuresEject) {
  Registry.update(entry("a", 1), Start);
  BackendServerPtr Server = choose();
  Server->recordFailure(BackendFailure::NoAnswer, Start);
  EXPECT_EQ(Registry.state(Shard, Start), ServiceState::Available);
  Server->recordFailure(BackendFailure::NoAnswer, Start);
  EXPECT_EQ(Registry.state(Shard, Start), ServiceState::Unavailable);
  EXPECT_EQ(Registry.state(Shard, Start + Milliseconds(300)),
            ServiceState::Available);
  Server->recordLatency(1, Start + Milliseconds(300));
  EXPECT_FALSE(Server->ejected());
}

// Guards against eight hosts that together send more requests a second to a
// cold backend server than its limit.
TEST_F(ServerRegistryTest, ColdBackendServersStayWithinTheirLimit) {
  constexpr uint32_t HostCount = 8;
  constexpr double ColdRate = 20;
  Registry.setLimits(Shard, 1000, ColdRate);
  Registry.setColdAllowance(1.5, 5);
  Registry.setHostCount(HostCount);
  BackendServerEntry Cold = entry("a", 1);
  Cold.ColdRemaining = Seconds(3);
  Registry.update(Cold, Start);
  uint32_t Sent = 0;
  for (int Ms = 0; Ms < 1000; ++Ms) {
    MonotonicTime Now = Start + Milliseconds(Ms);
    if (BackendServerPtr Server = choose(Now)) {
      Server->recordSend(Now);
      Server->recordEnd(Now);
      ++Sent;
    }
  }
  EXPECT_GT(Sent, 0u);
  EXPECT_LE(Sent * HostCount, ColdRate * 1.5 + 5);
}

// Guards against hosts that together open more connections than a backend
// server accepts.
TEST_F(ServerRegistryTest, HostsShareTheConnections) {
  Registry.update(entry("a", 1), Start);
  for (uint32_t HostCount : {1U, 6U, 8U, 12U, 36U}) {
    Registry.setHostCount(HostCount);
    EXPECT_LE(Registry.connectionLimit(*choose()) * HostCount, 36u);
  }
}

// Guards against extra attempts of all hosts together above the limit in any
// window, for any sequence of requests.
RC_GTEST_PROP(RetryBudget, NoWindowExceedsTheLimit, ()) {
  constexpr uint32_t HostCount = 4;
  RetryBudgetOptions Options{0.2, 40, Seconds(10)};
  std::vector<RetryBudget> Budgets(HostCount, RetryBudget(Options));
  for (RetryBudget &Budget : Budgets)
    Budget.setHostCount(HostCount);
  struct Event {
    MonotonicTime At;
    bool IsExtra;
  };
  std::vector<Event> Events;
  MonotonicTime Now = Start;
  for (int I = 0; I < 3000; ++I) {
    Now += Milliseconds(*rc::gen::inRange(0, 25));
    RetryBudget &Budget = Budgets[*rc::gen::inRange<size_t>(0, HostCount)];
    bool IsExtra = *rc::gen::inRange(0, 3) == 0;
    if (!IsExtra)
      Budget.recordRequest(Now);
    if (!IsExtra || Budget.tryTake(Now))
      Events.push_back({Now, IsExtra});
  }
  for (const Event &First : Events) {
    double Requests = 0;
    double ExtraAttempts = 0;
    double RequestsBefore = 0;
    for (const Event &E : Events) {
      if (E.At >= First.At && E.At < First.At + Options.Window)
        ++(E.IsExtra ? ExtraAttempts : Requests);
      else if (!E.IsExtra && E.At < First.At &&
               E.At >= First.At - Options.Window)
        ++RequestsBefore;
    }
    // The users' limit refers to the requests of the window or of the one
    // before it, whichever are more.
    RC_ASSERT(ExtraAttempts <=
              Options.Ratio * std::max(Requests, RequestsBefore) +
                  Options.Slack);
  }
}

// Guards against requests to a backend server that is leaving, after service
// discovery has lost its entry and listed it again; a restart ends it.
TEST_F(ServerRegistryTest, LeavingLastsUntilTheProcessRestarts) {
  BackendServerEntry Entry;
  Entry.Id = BackendServerId("a");
  Entry.Service = Shard;
  Entry.Zone = AvailabilityZoneId("z1");
  Entry.StartedAtMs = 1000;
  Registry.update(Entry, Start);
  BackendServerPtr First = Registry.find(Entry.Id);
  // The answer that says so arrives after the entry has gone.
  Registry.remove(Entry.Id);
  ServerNotice Notice;
  Notice.Leaving = true;
  Registry.recordNotice(*First, Notice, Start, Start);
  Entry.Address = "10.0.0.2:80";
  Registry.update(Entry, Start + Seconds(5));
  EXPECT_EQ(Registry.choose(Shard, {}, Start + Seconds(5)), nullptr);
  EXPECT_EQ(Registry.state(Shard, Start + Seconds(5)),
            ServiceState::Unavailable);
  Entry.StartedAtMs = 2000;
  Registry.update(Entry, Start + Seconds(6));
  EXPECT_NE(Registry.choose(Shard, {}, Start + Seconds(6)), nullptr);
}

/// Gives backend servers the roles of their versions.
class VersionRoles : public ServerFilters, public ServerFilter {
public:
  ServerFilter *find(const ServiceId &) const override {
    return const_cast<VersionRoles *>(this);
  }
  ServerRole role(const BackendServer &Server) const override {
    return Roles.at(Server.entry().Version);
  }
  bool trialDue(const RouteId &, MonotonicTime) override { return TrialDue; }
  void recordFirstAttempt(const RouteId &, const BackendServer &) override {
    ++FirstAttempts;
  }
  void recordSend(const BackendServer &) override { ++Sends; }

  std::map<VersionId, ServerRole> Roles;
  bool TrialDue = false;
  int FirstAttempts = 0;
  int Sends = 0;
};

// Guards against requests to a version that is not to be used, against retries
// at a version that is being tested, and against calls that are queued or
// refused although the servers that stand in for the regular ones are free.
TEST_F(ServerRegistryTest, FilterRestrictsChoices) {
  VersionRoles Filter;
  Filter.Roles = {{VersionId("v1"), ServerRole::Regular},
                  {VersionId("v2"), ServerRole::Trial},
                  {VersionId("v3"), ServerRole::Excluded}};
  Registry.setFilters(&Filter);
  for (const auto &[Version, Role] : Filter.Roles) {
    BackendServerEntry Entry = entry(Version.text(), 1);
    Entry.Version = Version;
    Registry.update(Entry, Start);
  }
  auto IdOf = [](const BackendServerPtr &Server) {
    return Server ? Server->entry().Id.text() : std::string();
  };
  EXPECT_EQ(IdOf(choose()), "v1");
  Filter.TrialDue = true;
  BackendServerPtr Trial = choose();
  EXPECT_EQ(IdOf(Trial), "v2");
  EXPECT_EQ(Filter.FirstAttempts, 2);
  std::vector<BackendServerPtr> Tried = {Trial};
  ServerCriteria Retry;
  Retry.TriedServers = &Tried;
  EXPECT_EQ(IdOf(Registry.choose(Shard, Retry, Start)), "v1");
  EXPECT_EQ(Filter.FirstAttempts, 2);
  Registry.recordSend(*Trial, Start);
  EXPECT_EQ(Filter.Sends, 1);

  std::vector<BackendServerPtr> V1 = {Registry.find(BackendServerId("v1"))};
  EXPECT_FALSE(Registry.hasUntriedServer(Shard, V1, Start));
  EXPECT_EQ(Registry.earliestSendAt(Shard, V1, Start), MonotonicTime::max());
  Filter.TrialDue = false;
  Registry.remove(BackendServerId("v1"));
  EXPECT_EQ(IdOf(choose()), "v2");
  EXPECT_TRUE(Registry.hasUntriedServer(Shard, {}, Start));
  EXPECT_EQ(Registry.state(Shard, Start), ServiceState::Available);
  Registry.remove(BackendServerId("v2"));
  EXPECT_EQ(choose(), nullptr);
  EXPECT_EQ(Registry.state(Shard, Start), ServiceState::Unavailable);
}

} // namespace
} // namespace mimosa
