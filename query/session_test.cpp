// Tables of single situations; session_property_test.cpp has random ones.

#include "query/session.h"

#include "query/fake_replica_source.h"

#include <cmath>
#include <gtest/gtest.h>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(100)};

MonotonicTime at(int Ms) { return Start + Milliseconds(Ms); }

/// One session with the actions of its last event.
struct Rig {
  explicit Rig(uint32_t Shards = 1, uint32_t Replicas = 3) {
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

// Guards against hedges that come too early or not at all, that go to the same
// backend server, whose loser runs on, and whose slow loser keeps looking fast.
TEST(QuerySession, HedgesAfterTheDelayAndCancelsTheLoser) {
  Rig R(2);
  R.start();
  EXPECT_EQ(R.Out.WakeUp, at(10));
  R.timer(9);
  EXPECT_EQ(R.Out.ToSend.size(), 2U);
  R.timer(10);
  ASSERT_EQ(R.Out.ToSend.size(), 4U);
  OutgoingSubRequest First = R.Out.ToSend.at(0);
  OutgoingSubRequest Hedge = R.Out.ToSend.at(2);
  ASSERT_EQ(Hedge.Shards, First.Shards);
  EXPECT_NE(Hedge.Backend, First.Backend);
  R.timer(60);
  EXPECT_EQ(R.Out.ToSend.size(), 4U) << "more than two copies of a shard";
  R.answer(Hedge, 61);
  EXPECT_EQ(R.Out.ToCancel, std::vector<SubRequestNumber>{First.Number});
  EXPECT_FALSE(R.Out.Answer);
  R.answer(OutgoingSubRequest(R.Out.ToSend.at(1)), 62);
  ASSERT_TRUE(R.Out.Answer);
  EXPECT_TRUE(R.Out.Answer->Complete);
  EXPECT_EQ(R.Out.Answer->Hits.size(), 2U);
  EXPECT_EQ(R.Out.ToCancel.size(), 2U);
  EXPECT_EQ(R.Session->counters().HedgeWins, 1U);
  EXPECT_EQ(R.Source.Ended.at(First.Backend), Duration(Milliseconds(61)));
  EXPECT_EQ(R.Source.Ended.at(Hedge.Backend), Duration(Milliseconds(51)));
}

// Guards against a hedge that is dropped for good when the budget is spent for
// a moment, and against a shard left with one slow copy after its hedge failed.
TEST(QuerySession, HedgesAgainAfterADenialOrAFailedHedge) {
  Rig R;
  R.Source.Extra = 0;
  R.start();
  R.clear();
  R.timer(10);
  EXPECT_TRUE(R.Out.ToSend.empty());
  EXPECT_EQ(R.Out.WakeUp, at(20));
  R.Source.Extra = 2;
  R.timer(20);
  ASSERT_EQ(R.Out.ToSend.size(), 1U);
  R.refuse(OutgoingSubRequest(R.Out.ToSend.at(0)), 21);
  EXPECT_EQ(R.Out.ToSend.size(), 2U);
  EXPECT_EQ(R.Session->counters().HedgesDenied, 1U);
}

// Guards against retries on the replica that just refused, and against giving
// up or spinning when every replica has refused.
TEST(QuerySession, RetriesElsewhereThenPauses) {
  Rig R;
  R.start();
  for (uint32_t I = 0; I < 2; ++I)
    R.refuse(OutgoingSubRequest(R.Out.ToSend.at(I)), 1);
  ASSERT_EQ(R.Out.ToSend.size(), 3U);
  EXPECT_EQ(R.Source.Sent.size(), 3U) << "one replica was asked twice";
  R.refuse(OutgoingSubRequest(R.Out.ToSend.at(2)), 1);
  EXPECT_EQ(R.Out.ToSend.size(), 3U);
  EXPECT_EQ(R.Out.WakeUp, at(5));
  R.timer(5);
  ASSERT_EQ(R.Out.ToSend.size(), 4U);
  R.answer(R.Out.ToSend.at(3), 6);
  ASSERT_TRUE(R.Out.Answer);
  EXPECT_TRUE(R.Out.Answer->Complete);
}

// Guards against queries that wait for their deadline although they were
// refused as a whole and no retry is allowed.
TEST(QuerySession, RefusedAsAWholeWithoutBudgetEndsAtOnce) {
  Rig R;
  R.Source.Extra = 0;
  R.start();
  R.refuse(OutgoingSubRequest(R.Out.ToSend.at(0)), 1);
  ASSERT_TRUE(R.Out.Answer);
  EXPECT_EQ(R.Out.Answer->Code, ResultCode::BackendRefused);
  EXPECT_EQ(R.Out.Answer->Outcome, Execution::NotRun);
}

// Guards against a lost group of shards that can only be retried as a whole.
TEST(QuerySession, ShardsOfALostSubRequestAreSplit) {
  Rig R(2, 1);
  R.Source.Replicas["v1"] = {{BackendServerId("both"), BackendServerId("a")},
                             {BackendServerId("both"), BackendServerId("b")}};
  R.Source.Latency[BackendServerId("a")] = Milliseconds(50);
  R.Source.Latency[BackendServerId("b")] = Milliseconds(50);
  R.start();
  ASSERT_EQ(R.Out.ToSend.size(), 1U);
  R.Session->onLost(R.number(0), /*BackendLost=*/true, at(1), R.Out);
  EXPECT_EQ(R.Out.ToSend.size(), 3U);
}

// Guards against asking more backend servers than needed.
TEST(QuerySession, ShardsAreGroupedByBackendServer) {
  Rig R(64, 3);
  for (auto &Replicas : R.Source.Replicas["v1"])
    Replicas = {BackendServerId("a"), BackendServerId("b"),
                BackendServerId("c")};
  R.start();
  EXPECT_EQ(R.Out.ToSend.size(), 1U);
}

struct RestartCase {
  const char *Name;
  bool Idempotent;
  /// Whether another sub-request has answered before.
  bool AnsweredBefore;
  /// Sub-requests that are refused as unknown snapshot, in the order sent.
  int Refusals;
  bool Restarts;
};

// Guards against answers mixed from two snapshots, restarts for a single
// backend server that has moved on, and against a request that runs twice.
TEST(QuerySession, RestartsOnAnotherSnapshot) {
  const RestartCase Cases[] = {
      {"one refusal, replicas left", true, true, 1, false},
      {"second refusal", true, true, 2, true},
      {"at most once, nothing ran", false, false, 9, true},
      {"at most once, a part ran", false, true, 2, false},
  };
  for (const RestartCase &Case : Cases) {
    Rig R(3, 3);
    R.Source.addSnapshot("v0", 3, 3);
    R.Options.Idempotent = Case.Idempotent;
    R.start();
    ASSERT_EQ(R.Out.ToSend.size(), 3U) << Case.Name;
    if (Case.AnsweredBefore)
      R.answer(OutgoingSubRequest(R.Out.ToSend.at(2)), 1);
    for (int I = 0; I < Case.Refusals; ++I)
      R.refuse(OutgoingSubRequest(R.Out.ToSend.at(I)), 2,
               Refusal::UnknownSnapshot);
    EXPECT_EQ(R.Session->counters().Restarts, Case.Restarts ? 1U : 0U)
        << Case.Name;
    SnapshotId Expected(Case.Restarts ? "v0" : "v1");
    EXPECT_EQ(R.Out.ToSend.back().Snapshot, Expected) << Case.Name;
  }
}

struct CanaryCase {
  const char *Name;
  bool Idempotent;
  uint32_t PriorStrikes;
  /// Strikes in the acknowledgement of the first one.
  uint32_t Acknowledged;
  size_t SecondCanaries;
  bool CallerGone = false;
};

// Guards against a query that crashes more than two backend servers over all
// hosts, answers that overtake the strike, and hedged canaries.
TEST(QuerySession, LostCanaryIsAStrikeBeforeTheAnswer) {
  const CanaryCase Cases[] = {
      {"first strike", true, 0, 1, 1},
      {"another host had one", true, 0, 2, 0},
      {"known before", true, 1, 1, 0},
      {"at most once", false, 0, 1, 0},
      {"caller gone", true, 0, 1, 0, true},
  };
  for (const CanaryCase &Case : Cases) {
    Rig R(8, 3);
    R.Options.KnownGood = false;
    R.Options.Idempotent = Case.Idempotent;
    R.Options.PriorStrikes = Case.PriorStrikes;
    R.start();
    ASSERT_EQ(R.Out.ToSend.size(), 1U) << Case.Name;
    R.timer(30);
    ASSERT_EQ(R.Out.ToSend.size(), 1U) << Case.Name << ": hedged";
    R.Session->onLost(R.number(0), /*BackendLost=*/true, at(31), R.Out);
    EXPECT_TRUE(R.Out.Strike) << Case.Name;
    R.timer(40);
    if (Case.CallerGone)
      R.Session->onAbandoned(at(40), R.Out);
    EXPECT_FALSE(R.Out.Answer) << Case.Name;
    ASSERT_EQ(R.Out.ToSend.size(), 1U) << Case.Name;
    R.Session->onStrikeAcknowledged(Case.Acknowledged, at(41), R.Out);
    EXPECT_EQ(R.Out.ToSend.size(), 1U + Case.SecondCanaries) << Case.Name;
    EXPECT_EQ(R.Out.Answer.has_value(), Case.SecondCanaries == 0) << Case.Name;
    if (R.Out.Answer) {
      EXPECT_EQ(R.Out.Answer->Outcome, Execution::Unknown) << Case.Name;
    }
  }
}

// Guards against a query that stops after its canary or asks its shards twice.
TEST(QuerySession, TheRestFollowsTheCanary) {
  Rig R(8, 3);
  R.Options.KnownGood = false;
  R.start();
  R.answer(OutgoingSubRequest(R.Out.ToSend.at(0)), 1);
  EXPECT_TRUE(R.Session->canaryPassed());
  for (size_t I = 1; I < R.Out.ToSend.size(); ++I)
    R.answer(OutgoingSubRequest(R.Out.ToSend.at(I)), 2);
  ASSERT_TRUE(R.Out.Answer);
  EXPECT_TRUE(R.Out.Answer->Complete);
  EXPECT_EQ(R.Session->counters().Retries, 0U);
}

// Guards against work that goes on at backend servers for nobody.
TEST(QuerySession, CallerGoneCancelsEverything) {
  Rig R(8, 3);
  R.start();
  size_t Sent = R.Out.ToSend.size();
  R.Session->onAbandoned(at(5), R.Out);
  EXPECT_EQ(R.Out.ToCancel.size(), Sent);
  ASSERT_TRUE(R.Out.Answer);
  EXPECT_EQ(R.Out.Answer->Code, ResultCode::Cancelled);
  EXPECT_EQ(R.Out.Answer->Outcome, Execution::Unknown);
  EXPECT_TRUE(R.Session->finished());
}

// Guards against starting a request that runs at most once when it is known
// that it cannot be complete, and against waiting for shards without replicas
// for longer than the hand-over of a partition takes.
TEST(QuerySession, ShardsWithoutReplicas) {
  for (bool Idempotent : {true, false}) {
    Rig R(2, 1);
    R.Source.Replicas["v1"][1].clear();
    R.Options.Idempotent = Idempotent;
    R.Options.Deadline = at(1000);
    R.start();
    EXPECT_EQ(R.Out.ToSend.size(), Idempotent ? 1U : 0U);
    if (Idempotent)
      R.answer(OutgoingSubRequest(R.Out.ToSend.at(0)), 1);
    if (Idempotent) {
      R.Session->onTimer(at(99), R.Out);
      EXPECT_FALSE(R.Out.Answer);
      R.Session->onTimer(at(101), R.Out);
    }
    ASSERT_TRUE(R.Out.Answer);
    EXPECT_EQ(R.Out.Answer->Code,
              Idempotent ? ResultCode::Partial : ResultCode::NoBackend);
    EXPECT_EQ(R.Out.Answer->Shards.Asked, Idempotent ? 1U : 0U);
    EXPECT_EQ(R.Out.Answer->Shards.Total, 2U);
  }
}

struct DropCase {
  const char *Name;
  void (*Spoil)(SubRequestReply &);
  uint64_t QueryCounters::*Counter;
};

// Guards against replies that are used although they do not match what was
// asked, and against dropping them without a trace in the metrics.
TEST(QuerySession, BadRepliesAreDroppedAndCounted) {
  const DropCase Cases[] = {
      {"snapshot", [](SubRequestReply &A) { A.Snapshot = SnapshotId("v9"); },
       &QueryCounters::DroppedWrongSnapshot},
      {"shard not asked", [](SubRequestReply &A) { A.Shards = {ShardId(1)}; },
       &QueryCounters::DroppedWrongShard},
      {"shard beyond the total",
       [](SubRequestReply &A) { A.Shards = {ShardId(9)}; },
       &QueryCounters::DroppedWrongShard},
      {"hit of a shard not asked",
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
      Rig R(2, 2);
      R.Options.Idempotent = Idempotent;
      R.start();
      const OutgoingSubRequest &Other = R.Out.ToSend.at(0);
      size_t Zero = Other.Shards.at(0) == ShardId(0) ? 0 : 1;
      SubRequestReply Reply{SnapshotId("v1"), {ShardId(0)}, {}};
      Case.Spoil(Reply);
      R.Session->onReply(R.number(Zero), Reply, at(1), R.Out);
      EXPECT_EQ(R.Session->counters().*Case.Counter, 1U) << Case.Name;
      EXPECT_EQ(R.Out.ToSend.size(), Idempotent ? 3U : 2U) << Case.Name;
      R.answer(OutgoingSubRequest(R.Out.ToSend.at(1 - Zero)), 2);
      R.answer(OutgoingSubRequest(R.Out.ToSend.at(1 - Zero)), 2);
      EXPECT_EQ(R.Session->counters().DroppedDuplicate, 1U) << Case.Name;
      EXPECT_EQ(R.Out.Answer.has_value(), !Idempotent) << Case.Name;
      if (R.Out.Answer) {
        EXPECT_EQ(R.Out.Answer->Code, ResultCode::OutcomeUnknown) << Case.Name;
      }
    }
  }
}

} // namespace
} // namespace mimosa
