#include "claim/claim_simulation_test_util.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

using Kind = ClaimDecisionKind;

struct FaultCase {
  const char *Name;
  /// Injects the fault before the request of host 1.
  void (*Inject)(ClaimSimulation &);
  Kind First;
  /// Decision of a second attempt through host 2 after the fault ended.
  Kind Second;
};

void loadAndDown(ClaimSimulation &World) {
  World.run(Milliseconds(100));
  World.Store.setDown(true);
}

void downBeforeLoad(ClaimSimulation &World) {
  World.stopOwner(0);
  World.Store.setDown(true);
  World.startOwner(0);
}

void loadAndDoubt(ClaimSimulation &World) {
  loadAndDown(World);
  World.owner(0).markUnsynced();
}

// Guards against a fault of the store that costs a grant which the log holds, a
// refusal with not_run by an owner that cannot know, and a refused key that
// stays claimed.
TEST(ClaimOwner, StoreFaultsGiveTheStatedDecisions) {
  const FaultCase Cases[] = {
      {"no fault", [](ClaimSimulation &) {}, Kind::Granted,
       Kind::AlreadyClaimed},
      {"one lost reply",
       [](ClaimSimulation &W) {
         W.run(Milliseconds(100));
         W.Store.loseReplies(1);
       },
       Kind::Granted, Kind::AlreadyClaimed},
      {"three lost replies",
       [](ClaimSimulation &W) {
         W.run(Milliseconds(100));
         W.Store.loseReplies(3);
       },
       Kind::Granted, Kind::AlreadyClaimed},
      {"late write",
       [](ClaimSimulation &W) {
         W.run(Milliseconds(100));
         W.Store.delayWrites(1);
       },
       Kind::Granted, Kind::AlreadyClaimed},
      {"down after load", loadAndDown, Kind::NotRun, Kind::Granted},
      {"down before load", downBeforeLoad, Kind::Unknown, Kind::Granted},
      {"down and owner in doubt", loadAndDoubt, Kind::Unknown, Kind::Granted},
  };
  for (const FaultCase &Case : Cases) {
    ClaimSimulation World(3);
    World.startOwner(0);
    Case.Inject(World);
    auto First = World.request(1, "k", Seconds(2));
    World.run(Seconds(3));
    EXPECT_EQ(World.decision(First).Kind, Case.First) << Case.Name;
    World.Store.setDown(false);
    World.Store.applyDelayedWrites();
    World.run(Seconds(2));
    auto Second = World.request(2, "k", Seconds(2));
    World.run(Seconds(2));
    EXPECT_EQ(World.decision(Second).Kind, Case.Second) << Case.Name;
    EXPECT_EQ(World.BrokenInvariant, "") << Case.Name;
  }
}

// Guards against a refusal in an outage that comes only after a time-out.
TEST(ClaimOwner, RefusesAtOnceWhileTheStoreIsDown) {
  ClaimSimulation World(2);
  World.startOwner(0);
  loadAndDown(World);
  World.request(1, "first", Seconds(2));
  World.run(Milliseconds(20));
  auto Second = World.request(1, "second", Seconds(2));
  World.run(Milliseconds(10));
  EXPECT_EQ(World.decision(Second).Reason.Code, ResultCode::StoreUnavailable);
  EXPECT_EQ(World.Store.swaps(), 1u);
}

// Guards against not_run for an attempt while another one with its key may yet
// be granted.
TEST(ClaimOwner, RefusesOnlyAKeyWithoutAnotherAttempt) {
  const ServiceId Service("storm");
  MonotonicTime Now(Seconds(1));
  StoreRateLimiter Budget({100, 100, 8, 8});
  ClaimOwner Owner(Service, HostId("h0"), Incarnation(1), Budget, {});
  Owner.start(Now);
  Owner.onListed(1, Result<std::vector<StoredEntry>>(), Now);
  auto Ask = [&](const char *Key, uint64_t Ticket) {
    ClaimNonce Nonce{HostId("h1"), Incarnation(1), RequestId(Ticket)};
    return Owner.onRequest(
        {Service, RequestKey(Key), Nonce, Milliseconds(50 * Ticket)}, Now);
  };
  ASSERT_EQ(Ask("k", 20).size(), 1u); // The write that stays in flight.
  EXPECT_TRUE(Ask("k", 1).empty());
  EXPECT_TRUE(Ask("other", 2).empty());
  std::vector<ClaimVerdict> Verdicts;
  for (ClaimOwnerAction &Action : Owner.onTick(Now + Milliseconds(200)))
    Verdicts.push_back(std::get<SendClaimReply>(Action).Reply.Verdict);
  EXPECT_EQ(Verdicts, (std::vector<ClaimVerdict>{ClaimVerdict::Unavailable,
                                                 ClaimVerdict::Refused}));
}

// Guards against a second grant after the owner crashed between the write and
// its reply: the same nonce gets its grant from the new owner, another attempt
// with the key gets none.
TEST(ClaimOwner, NewOwnerFindsTheClaimOfACrashedOne) {
  ClaimSimulation World(4);
  World.startOwner(0);
  World.run(Milliseconds(100));
  auto First = World.request(1, "k", Seconds(3));
  World.deliver(0);
  World.restart(0);
  World.Store.deliverAll();
  World.startOwner(2);
  World.setView(1, 2);
  World.setView(3, 2);
  auto Second = World.request(3, "k", Seconds(3));
  World.run(Seconds(1));
  EXPECT_EQ(World.decision(First).Kind, Kind::Granted);
  EXPECT_EQ(World.decision(Second).Kind, Kind::AlreadyClaimed);
}

// Guards against an owner that releases a claim by itself after it gave up on
// the request, while the root got the grant from another owner.
TEST(ClaimOwner, GivingUpDoesNotReleaseTheClaim) {
  ClaimSimulation World(4);
  World.CheckRefusals = false;
  World.startOwner(0);
  World.run(Milliseconds(100));
  auto First = World.request(1, "k", Seconds(4));
  World.deliver(0);
  World.advance(Milliseconds(1100));
  while (World.messages() > 0)
    World.drop(0);
  World.startOwner(2);
  World.setView(1, 2);
  World.setView(3, 2);
  World.run(Seconds(1));
  ASSERT_EQ(World.decision(First).Kind, Kind::Granted);
  auto Second = World.request(3, "k", Seconds(3));
  World.run(Seconds(1));
  EXPECT_EQ(World.decision(Second).Kind, Kind::AlreadyClaimed);
}

// Guards against a key that stays claimed by an attempt whose root gave up
// before the grant arrived.
TEST(ClaimClient, ReleasesALateGrant) {
  ClaimSimulation World(3);
  World.startOwner(0);
  World.run(Milliseconds(100));
  auto First = World.request(1, "k", Milliseconds(100));
  World.advance(Milliseconds(150));
  ASSERT_EQ(World.messages(), 2u);
  World.drop(1); // The release that was sent at the deadline.
  World.run(Seconds(1));
  EXPECT_EQ(World.decision(First).Kind, Kind::Unknown);
  EXPECT_EQ(World.client(1).lateGrants(), 1u);
  auto Second = World.request(2, "k", Seconds(1));
  World.run(Seconds(1));
  EXPECT_EQ(World.decision(Second).Kind, Kind::Granted);
}

// Guards against a second run after the root crashed, a lost outcome, and a
// key that stays claimed after its release.
TEST(ClaimOwner, EndOfTheFirstRequestDecidesTheSecond) {
  enum class End { None, Crash, Outcome, Release };
  const std::pair<End, Kind> Cases[] = {{End::None, Kind::AlreadyClaimed},
                                        {End::Crash, Kind::AlreadyClaimed},
                                        {End::Outcome, Kind::AlreadyClaimed},
                                        {End::Release, Kind::Granted}};
  for (auto [How, Expected] : Cases) {
    ClaimSimulation World(3);
    World.startOwner(0);
    auto First = World.request(1, "k", Seconds(2));
    World.run(Milliseconds(100));
    ASSERT_EQ(World.decision(First).Kind, Kind::Granted);
    if (How == End::Crash)
      World.restart(1);
    if (How == End::Outcome || How == End::Release)
      World.finish(First, How == End::Outcome);
    World.run(Milliseconds(20));
    auto Second = World.request(How == End::Crash ? 1 : 2, "k", Seconds(2));
    World.run(Seconds(1));
    ClaimDecision Got = World.decision(Second);
    EXPECT_EQ(Got.Kind, Expected);
    EXPECT_EQ(Got.Outcome.has_value(), How == End::Outcome);
    EXPECT_EQ(Got.Outcome.value_or(ClaimOutcome()).Answer,
              How == End::Outcome ? "answer" : "");
  }
}

// Guards against claims that each cost a write when the call budget is spent,
// and against claims that wait for it forever.
TEST(ClaimOwner, CollectsClaimsWhenTheBudgetIsSpent) {
  ClaimSimulation World(2);
  World.setBudget(0, {100, 0, 8, 0});
  World.startOwner(0);
  World.run(Milliseconds(100));
  std::vector<ClaimSimulation::Attempt> Attempts;
  for (int I = 0; I < 1000; ++I) {
    Attempts.push_back(World.request(1, std::to_string(I), Seconds(2)));
    World.run(Milliseconds(10));
  }
  World.run(Seconds(1));
  for (const auto &Attempt : Attempts)
    EXPECT_EQ(World.decision(Attempt).Kind, Kind::Granted);
  // 10 s of claims at four writes a second, and one more for the edges.
  EXPECT_LE(World.Store.swaps(), 41u);
}

// Guards against a log that grows without bound, a removal of records that are
// still needed, and a log that starts again at its first sequence.
TEST(ClaimOwner, RemovesOnlyRecordsPastTheirRetention) {
  ClaimOwnerOptions Options;
  Options.Retention = Seconds(60);
  Options.ReloadAfter = Seconds(30);
  ClaimSimulation World(2, Options);
  World.startOwner(0);
  for (int I = 0; I < 5; ++I) {
    World.request(1, std::to_string(I), Seconds(2));
    World.run(Seconds(1));
  }
  World.run(Seconds(50));
  EXPECT_EQ(World.Store.values().size(), 5u);
  World.run(Seconds(20));
  EXPECT_EQ(World.Store.values().size(), 1u);
  EXPECT_EQ(World.owner(0).keys(), 1u);
  auto Again = World.request(1, "0", Seconds(2));
  auto Last = World.request(1, "4", Seconds(2));
  World.run(Seconds(1));
  EXPECT_EQ(World.decision(Again).Kind, Kind::Granted);
  EXPECT_EQ(World.decision(Last).Kind, Kind::AlreadyClaimed);
  EXPECT_EQ(World.Store.values().rbegin()->first,
            claimRecordKey(ServiceId("storm"), 6));
}

// Guards against a grant by an owner that skipped a record which it cannot
// read.
TEST(ClaimOwner, GrantsNothingBesideABadRecord) {
  ClaimSimulation World(2);
  World.Store.compareAndSwap(claimRecordKey(ServiceId("storm"), 1), "{}",
                             StoreVersion(0), [](const Result<SwapReply> &) {});
  World.startOwner(0);
  auto First = World.request(1, "k", Seconds(2));
  World.run(Seconds(3));
  EXPECT_EQ(World.decision(First).Kind, Kind::Unknown);
  EXPECT_GE(World.owner(0).counters().BadRecords, 1u);
}

// Guards against a log that takes records out of order, a claim that replaces
// a standing one, and a release by a nonce that does not hold the key.
TEST(ClaimLog, FirstClaimStandsUntilItsOwnRelease) {
  ClaimLog Log;
  Digest Key{1, 1};
  Digest First{2, 2};
  Digest Second{3, 3};
  ClaimRecord Claims;
  Claims.Claimed = {{Key, First}};
  ASSERT_TRUE(Log.append(7, Claims));
  EXPECT_FALSE(Log.append(9, Claims));
  Claims.Claimed = {{Key, Second}};
  ASSERT_TRUE(Log.append(8, Claims));
  EXPECT_EQ(Log.find(Key)->Nonce, First);
  ClaimRecord Releases;
  Releases.Released = {{Key, Second}};
  ASSERT_TRUE(Log.append(9, Releases));
  EXPECT_FALSE(Log.find(Key)->Released);
  Releases.Released = {{Key, First}};
  Releases.Claimed = {{Key, Second}};
  ASSERT_TRUE(Log.append(10, Releases));
  EXPECT_EQ(Log.find(Key)->Nonce, Second);
  Log.dropOldest();
  EXPECT_EQ(Log.size(), 1u);
}

// Guards against answers that fill the memory.
TEST(AnswerMemory, DropsTheOldestBeyondItsLimit) {
  AnswerMemory Answers(10);
  Answers.add({1, 1}, "12345");
  Answers.add({2, 2}, "12345");
  Answers.add({3, 3}, "1");
  Answers.add({4, 4}, "12345678901");
  EXPECT_EQ(Answers.find({1, 1}), "");
  EXPECT_EQ(Answers.find({2, 2}), "12345");
  EXPECT_EQ(Answers.find({3, 3}), "1");
  EXPECT_EQ(Answers.find({4, 4}), "");
}

} // namespace
} // namespace mimosa
