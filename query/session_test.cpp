// Tests of single cases; session_property_test.cpp generates random ones.

#include "query/session.h"

#include "query/fake_replica_source.h"

#include <cmath>
#include <gtest/gtest.h>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(100)};

MonotonicTime at(int Ms) { return Start + Milliseconds(Ms); }

/// A session, and the actions that it has added since clear().
struct SessionDriver {
  explicit SessionDriver(uint32_t Shards = 1, uint32_t Replicas = 3) {
    Source.addSnapshot("v1", Shards, Replicas);
    Options.Received = Start;
    Options.Deadline = at(100);
  }

  void start() {
    Session.emplace(Options, Source, Rand);
    Session->start(Start, Out);
  }
  void clear() { Out.clear(); }
  SubRequestNumber number(size_t I) const { return Out.ToSend.at(I).Number; }
  void answer(const OutgoingSubRequest &Send, int Ms) {
    SubRequestReply Reply{Send.Snapshot, Send.Shards, {}};
    for (ShardId Shard : Send.Shards)
      Reply.Hits.push_back({Shard, "h", 1.0});
    Session->onReply(Send.Number, Reply, at(Ms), Out);
  }
  void refuse(const OutgoingSubRequest &Send, int Ms,
              Refusal Why = Refusal::Shed) {
    Session->onRefused(Send.Number, Why, at(Ms), Out);
  }
  void timer(int Ms) { Session->onTimer(at(Ms), Out); }

  FakeReplicaSource Source;
  SeededRandom Rand{7};
  QuerySessionOptions Options;
  QueryActions Out;
  std::optional<QuerySession> Session;
};

// Guards against hedges that are sent too early, not at all or to the same
// backend server, and against a slower copy that is not cancelled or adds no
// latency sample, so that its backend server keeps a low expected latency.
TEST(QuerySession, HedgesAfterTheDelayAndCancelsTheLoser) {
  SessionDriver Driver(2);
  Driver.start();
  EXPECT_EQ(Driver.Out.WakeUp, at(10));
  Driver.timer(9);
  EXPECT_EQ(Driver.Out.ToSend.size(), 2U);
  Driver.timer(10);
  ASSERT_EQ(Driver.Out.ToSend.size(), 4U);
  OutgoingSubRequest First = Driver.Out.ToSend.at(0);
  OutgoingSubRequest Hedge = Driver.Out.ToSend.at(2);
  ASSERT_EQ(Hedge.Shards, First.Shards);
  EXPECT_NE(Hedge.Backend, First.Backend);
  Driver.timer(60);
  EXPECT_EQ(Driver.Out.ToSend.size(), 4U) << "more than two copies of a shard";
  Driver.answer(Hedge, 61);
  EXPECT_EQ(Driver.Out.ToCancel, std::vector<SubRequestNumber>{First.Number});
  EXPECT_FALSE(Driver.Out.Answer);
  Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(1)), 62);
  ASSERT_TRUE(Driver.Out.Answer);
  EXPECT_TRUE(Driver.Out.Answer->Complete);
  EXPECT_EQ(Driver.Out.Answer->Hits.size(), 2U);
  EXPECT_EQ(Driver.Out.ToCancel.size(), 2U);
  EXPECT_EQ(Driver.Session->counters().HedgeWins, 1U);
  EXPECT_EQ(Driver.Source.ReportedLatency.at(First.Backend),
            Duration(Milliseconds(61)));
  EXPECT_EQ(Driver.Source.ReportedLatency.at(Hedge.Backend),
            Duration(Milliseconds(51)));
}

// Guards against a hedge that is not attempted again after the budget denied
// it, and against a shard without a new hedge after its first one failed.
TEST(QuerySession, HedgesAgainAfterADenialOrAFailedHedge) {
  SessionDriver Driver;
  Driver.Source.BudgetLeft = 0;
  Driver.start();
  Driver.clear();
  Driver.timer(10);
  EXPECT_TRUE(Driver.Out.ToSend.empty());
  EXPECT_EQ(Driver.Out.WakeUp, at(20));
  Driver.Source.BudgetLeft = 2;
  Driver.timer(20);
  ASSERT_EQ(Driver.Out.ToSend.size(), 1U);
  Driver.refuse(OutgoingSubRequest(Driver.Out.ToSend.at(0)), 21);
  EXPECT_EQ(Driver.Out.ToSend.size(), 2U);
  EXPECT_EQ(Driver.Session->counters().HedgesDenied, 1U);
}

// Guards against a retry at the replica that has just refused, and against
// ending the query or retrying without a pause when all replicas have refused.
TEST(QuerySession, RetriesElsewhereThenPauses) {
  SessionDriver Driver;
  Driver.start();
  for (uint32_t I = 0; I < 2; ++I)
    Driver.refuse(OutgoingSubRequest(Driver.Out.ToSend.at(I)), 1);
  ASSERT_EQ(Driver.Out.ToSend.size(), 3U);
  EXPECT_EQ(Driver.Source.SentCount.size(), 3U)
      << "two sub-requests to one replica";
  Driver.refuse(OutgoingSubRequest(Driver.Out.ToSend.at(2)), 1);
  EXPECT_EQ(Driver.Out.ToSend.size(), 3U);
  EXPECT_EQ(Driver.Out.WakeUp, at(5));
  Driver.timer(5);
  ASSERT_EQ(Driver.Out.ToSend.size(), 4U);
  Driver.answer(Driver.Out.ToSend.at(3), 6);
  ASSERT_TRUE(Driver.Out.Answer);
  EXPECT_TRUE(Driver.Out.Answer->Complete);
}

// Guards against queries that wait for their deadline although every
// sub-request was refused and no retry is allowed.
TEST(QuerySession, AllRefusedWithoutBudgetEndsAtOnce) {
  SessionDriver Driver;
  Driver.Source.BudgetLeft = 0;
  Driver.start();
  Driver.refuse(OutgoingSubRequest(Driver.Out.ToSend.at(0)), 1);
  ASSERT_TRUE(Driver.Out.Answer);
  EXPECT_EQ(Driver.Out.Answer->Code, ResultCode::BackendRefused);
  EXPECT_EQ(Driver.Out.Answer->Outcome, Execution::NotRun);
}

// Guards against retrying the shards of a lost sub-request only together, on a
// backend server that holds all of them.
TEST(QuerySession, ShardsOfALostSubRequestAreSplit) {
  SessionDriver Driver(2, 1);
  Driver.Source.Replicas["v1"] = {
      {BackendServerId("both"), BackendServerId("a")},
      {BackendServerId("both"), BackendServerId("b")}};
  Driver.Source.Latency[BackendServerId("a")] = Milliseconds(50);
  Driver.Source.Latency[BackendServerId("b")] = Milliseconds(50);
  Driver.start();
  ASSERT_EQ(Driver.Out.ToSend.size(), 1U);
  Driver.Session->onLost(Driver.number(0), /*BackendLost=*/true, at(1),
                         Driver.Out);
  EXPECT_EQ(Driver.Out.ToSend.size(), 3U);
}

// Guards against sub-requests to more backend servers than needed.
TEST(QuerySession, ShardsAreGroupedByBackendServer) {
  SessionDriver Driver(64, 3);
  for (auto &Replicas : Driver.Source.Replicas["v1"])
    Replicas = {BackendServerId("a"), BackendServerId("b"),
                BackendServerId("c")};
  Driver.start();
  EXPECT_EQ(Driver.Out.ToSend.size(), 1U);
}

struct RestartCase {
  const char *Name;
  bool Idempotent;
  /// Whether another sub-request is answered first.
  bool AnsweredBefore;
  /// Number of sub-requests, in the order sent, that are refused because the
  /// snapshot is unknown.
  int Refusals;
  bool Restarts;
};

// Guards against answers that mix two snapshots, against restarts because a
// single backend server has dropped the snapshot, and against running a request
// twice that must run at most once.
TEST(QuerySession, RestartsOnAnotherSnapshot) {
  const RestartCase Cases[] = {
      {"one refusal, replicas left", true, true, 1, false},
      {"second refusal", true, true, 2, true},
      {"at most once, nothing ran", false, false, 9, true},
      {"at most once, ran in one shard", false, true, 2, false},
  };
  for (const RestartCase &Case : Cases) {
    SessionDriver Driver(3, 3);
    Driver.Source.addSnapshot("v0", 3, 3);
    Driver.Options.Idempotent = Case.Idempotent;
    Driver.start();
    ASSERT_EQ(Driver.Out.ToSend.size(), 3U) << Case.Name;
    if (Case.AnsweredBefore)
      Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(2)), 1);
    for (int I = 0; I < Case.Refusals; ++I)
      Driver.refuse(OutgoingSubRequest(Driver.Out.ToSend.at(I)), 2,
                    Refusal::UnknownSnapshot);
    EXPECT_EQ(Driver.Session->counters().Restarts, Case.Restarts ? 1U : 0U)
        << Case.Name;
    SnapshotId Expected(Case.Restarts ? "v0" : "v1");
    EXPECT_EQ(Driver.Out.ToSend.back().Snapshot, Expected) << Case.Name;
  }
}

struct CanaryCase {
  const char *Name;
  bool Idempotent;
  uint32_t PriorStrikes;
  /// Strikes in the acknowledgement of the first strike.
  uint32_t Acknowledged;
  size_t SecondCanaries;
  bool CallerDisconnected = false;
};

// Guards against a query that crashes more than two backend servers counted
// over all hosts, an answer before the strike is acknowledged, and hedged
// canaries.
TEST(QuerySession, LostCanaryIsAStrikeBeforeTheAnswer) {
  const CanaryCase Cases[] = {
      {"first strike", true, 0, 1, 1},
      {"earlier strike on another host", true, 0, 2, 0},
      {"earlier strike on this host", true, 1, 1, 0},
      {"at most once", false, 0, 1, 0},
      {"caller disconnected", true, 0, 1, 0, true},
  };
  for (const CanaryCase &Case : Cases) {
    SessionDriver Driver(8, 3);
    Driver.Options.KnownGood = false;
    Driver.Options.Idempotent = Case.Idempotent;
    Driver.Options.PriorStrikes = Case.PriorStrikes;
    Driver.start();
    ASSERT_EQ(Driver.Out.ToSend.size(), 1U) << Case.Name;
    Driver.timer(30);
    ASSERT_EQ(Driver.Out.ToSend.size(), 1U) << Case.Name << ": hedged";
    Driver.Session->onLost(Driver.number(0), /*BackendLost=*/true, at(31),
                           Driver.Out);
    EXPECT_TRUE(Driver.Out.Strike) << Case.Name;
    Driver.timer(40);
    if (Case.CallerDisconnected)
      Driver.Session->onAbandoned(at(40), Driver.Out);
    EXPECT_FALSE(Driver.Out.Answer) << Case.Name;
    ASSERT_EQ(Driver.Out.ToSend.size(), 1U) << Case.Name;
    Driver.Session->onStrikeAcknowledged(Case.Acknowledged, at(41), Driver.Out);
    EXPECT_EQ(Driver.Out.ToSend.size(), 1U + Case.SecondCanaries) << Case.Name;
    EXPECT_EQ(Driver.Out.Answer.has_value(), Case.SecondCanaries == 0)
        << Case.Name;
    if (Driver.Out.Answer) {
      EXPECT_EQ(Driver.Out.Answer->Outcome, Execution::Unknown) << Case.Name;
    }
  }
}

// Guards against a query that stops after its canary or sends the shards of the
// canary again.
TEST(QuerySession, OtherShardsFollowTheCanary) {
  SessionDriver Driver(8, 3);
  Driver.Options.KnownGood = false;
  Driver.start();
  Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(0)), 1);
  EXPECT_TRUE(Driver.Session->canaryPassed());
  for (size_t I = 1; I < Driver.Out.ToSend.size(); ++I)
    Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(I)), 2);
  ASSERT_TRUE(Driver.Out.Answer);
  EXPECT_TRUE(Driver.Out.Answer->Complete);
  EXPECT_EQ(Driver.Session->counters().Retries, 0U);
}

// Guards against sub-requests that still run at backend servers after the
// caller disconnected.
TEST(QuerySession, AbandonedQueryCancelsAllSubRequests) {
  SessionDriver Driver(8, 3);
  Driver.start();
  size_t Sent = Driver.Out.ToSend.size();
  Driver.Session->onAbandoned(at(5), Driver.Out);
  EXPECT_EQ(Driver.Out.ToCancel.size(), Sent);
  ASSERT_TRUE(Driver.Out.Answer);
  EXPECT_EQ(Driver.Out.Answer->Code, ResultCode::Cancelled);
  EXPECT_EQ(Driver.Out.Answer->Outcome, Execution::Unknown);
  EXPECT_TRUE(Driver.Session->finished());
}

// Guards against starting a request that may run only once although a shard has
// no replica, and against waiting for such shards for much longer than the
// hand-over of a partition takes.
TEST(QuerySession, ShardsWithoutReplicas) {
  for (bool Idempotent : {true, false}) {
    SessionDriver Driver(2, 1);
    Driver.Source.Replicas["v1"][1].clear();
    Driver.Options.Idempotent = Idempotent;
    Driver.Options.Deadline = at(1000);
    Driver.start();
    EXPECT_EQ(Driver.Out.ToSend.size(), Idempotent ? 1U : 0U);
    if (Idempotent)
      Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(0)), 1);
    if (Idempotent) {
      Driver.Session->onTimer(at(99), Driver.Out);
      EXPECT_FALSE(Driver.Out.Answer);
      Driver.Session->onTimer(at(101), Driver.Out);
    }
    ASSERT_TRUE(Driver.Out.Answer);
    EXPECT_EQ(Driver.Out.Answer->Code,
              Idempotent ? ResultCode::Partial : ResultCode::NoBackend);
    EXPECT_EQ(Driver.Out.Answer->Shards.Asked, Idempotent ? 1U : 0U);
    EXPECT_EQ(Driver.Out.Answer->Shards.Total, 2U);
  }
}

struct DropCase {
  const char *Name;
  void (*Invalidate)(SubRequestReply &);
  uint64_t QueryCounters::*Counter;
};

// Guards against using replies that do not match their sub-request, and against
// dropping them without counting them.
TEST(QuerySession, InvalidRepliesAreDroppedAndCounted) {
  const DropCase Cases[] = {
      {"snapshot", [](SubRequestReply &A) { A.Snapshot = SnapshotId("v9"); },
       &QueryCounters::DroppedWrongSnapshot},
      {"shard of another sub-request",
       [](SubRequestReply &A) { A.Shards = {ShardId(1)}; },
       &QueryCounters::DroppedWrongShard},
      {"shard beyond the total",
       [](SubRequestReply &A) { A.Shards = {ShardId(9)}; },
       &QueryCounters::DroppedWrongShard},
      {"hit in a shard of another sub-request",
       [](SubRequestReply &A) {
         A.Hits = {{ShardId(1), "h", 1}};
       },
       &QueryCounters::DroppedWrongShard},
      {"score",
       [](SubRequestReply &A) {
         A.Hits = {{ShardId(0), "h", NAN}};
       },
       &QueryCounters::DroppedBadHit},
  };
  for (const DropCase &Case : Cases) {
    for (bool Idempotent : {true, false}) {
      SessionDriver Driver(2, 2);
      Driver.Options.Idempotent = Idempotent;
      Driver.start();
      const OutgoingSubRequest &Other = Driver.Out.ToSend.at(0);
      size_t Zero = Other.Shards.at(0) == ShardId(0) ? 0 : 1;
      SubRequestReply Reply{SnapshotId("v1"), {ShardId(0)}, {}};
      Case.Invalidate(Reply);
      Driver.Session->onReply(Driver.number(Zero), Reply, at(1), Driver.Out);
      EXPECT_EQ(Driver.Session->counters().*Case.Counter, 1U) << Case.Name;
      EXPECT_EQ(Driver.Out.ToSend.size(), Idempotent ? 3U : 2U) << Case.Name;
      Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(1 - Zero)), 2);
      Driver.answer(OutgoingSubRequest(Driver.Out.ToSend.at(1 - Zero)), 2);
      EXPECT_EQ(Driver.Session->counters().DroppedDuplicate, 1U) << Case.Name;
      EXPECT_EQ(Driver.Out.Answer.has_value(), !Idempotent) << Case.Name;
      if (Driver.Out.Answer) {
        EXPECT_EQ(Driver.Out.Answer->Code, ResultCode::OutcomeUnknown)
            << Case.Name;
      }
    }
  }
}

} // namespace
} // namespace mimosa
