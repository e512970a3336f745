#include "claim/claim_simulation_test_util.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

using Kind = ClaimDecisionKind;

struct FaultCase {
  const char *Name;
  /// Injects the fault before the claim of host 1.
  void (*Inject)(ClaimSimulation &);
  Kind First;
  /// Decision on a second attempt, by host 2, after the fault ended.
  Kind Second;
};

void loadAndDown(ClaimSimulation &Simulation) {
  Simulation.run(Milliseconds(100));
  Simulation.Store.setDown(true);
}

void downBeforeLoad(ClaimSimulation &Simulation) {
  Simulation.stopOwner(0);
  Simulation.Store.setDown(true);
  Simulation.startOwner(0);
}

void loadAndLoseSync(ClaimSimulation &Simulation) {
  loadAndDown(Simulation);
  Simulation.owner(0).markUnsynced();
}

// Guards against faults of the store after which a claim in the log is not
// granted, an owner refuses a key although another owner may have granted it,
// or a refused key stays claimed.
TEST(ClaimOwner, StoreFaultsGiveTheStatedDecisions) {
  const FaultCase Cases[] = {
      {"no fault", [](ClaimSimulation &) {}, Kind::Granted,
       Kind::AlreadyClaimed},
      {"one lost reply",
       [](ClaimSimulation &Simulation) {
         Simulation.run(Milliseconds(100));
         Simulation.Store.loseReplies(1);
       },
       Kind::Granted, Kind::AlreadyClaimed},
      {"three lost replies",
       [](ClaimSimulation &Simulation) {
         Simulation.run(Milliseconds(100));
         Simulation.Store.loseReplies(3);
       },
       Kind::Granted, Kind::AlreadyClaimed},
      {"late write",
       [](ClaimSimulation &Simulation) {
         Simulation.run(Milliseconds(100));
         Simulation.Store.delayWrites(1);
       },
       Kind::Granted, Kind::AlreadyClaimed},
      {"down after load", loadAndDown, Kind::NotRun, Kind::Granted},
      {"down before load", downBeforeLoad, Kind::Unknown, Kind::Granted},
      {"down and owner not in sync", loadAndLoseSync, Kind::Unknown,
       Kind::Granted},
  };
  for (const FaultCase &Case : Cases) {
    ClaimSimulation Simulation(3);
    Simulation.startOwner(0);
    Case.Inject(Simulation);
    auto First = Simulation.request(1, "k", Seconds(2));
    Simulation.run(Seconds(3));
    EXPECT_EQ(Simulation.decision(First).Kind, Case.First) << Case.Name;
    Simulation.Store.setDown(false);
    Simulation.Store.applyDelayedWrites();
    Simulation.run(Seconds(2));
    auto Second = Simulation.request(2, "k", Seconds(2));
    Simulation.run(Seconds(2));
    EXPECT_EQ(Simulation.decision(Second).Kind, Case.Second) << Case.Name;
    EXPECT_EQ(Simulation.BrokenInvariant, "") << Case.Name;
  }
}

// Guards against claims that wait for a timeout during an outage of the store
// although the owner has already detected the outage.
TEST(ClaimOwner, RefusesAtOnceWhileTheStoreIsDown) {
  ClaimSimulation Simulation(2);
  Simulation.startOwner(0);
  loadAndDown(Simulation);
  Simulation.request(1, "first", Seconds(2));
  Simulation.run(Milliseconds(20));
  auto Second = Simulation.request(1, "second", Seconds(2));
  Simulation.run(Milliseconds(10));
  EXPECT_EQ(Simulation.decision(Second).Reason.Code,
            ResultCode::StoreUnavailable);
  EXPECT_EQ(Simulation.Store.swaps(), 1u);
}

// Guards against a refusal (not_run) of a claim attempt while another attempt
// with its key can still be granted.
TEST(ClaimOwner, RefusesOnlyAKeyWithoutAnotherAttempt) {
  const ServiceId Service("storm");
  MonotonicTime Now(Seconds(1));
  StoreRateLimiter StoreLimiter({100, 100, 8, 8});
  ClaimOwner Owner(Service, HostId("h0"), Incarnation(1), StoreLimiter, {});
  Owner.start(Now);
  Owner.onListed(1, Result<std::vector<StoredEntry>>(), Now);
  auto Request = [&](const char *Key, uint64_t Ticket) {
    ClaimNonce Nonce{HostId("h1"), Incarnation(1), RequestId(Ticket)};
    return Owner.onRequest(
        {Service, RequestKey(Key), Nonce, Milliseconds(50 * Ticket)}, Now);
  };
  ASSERT_EQ(Request("k", 20).size(), 1u); // The write that stays in flight.
  EXPECT_TRUE(Request("k", 1).empty());
  EXPECT_TRUE(Request("other", 2).empty());
  std::vector<ClaimVerdict> Verdicts;
  for (ClaimOwnerAction &Action : Owner.onTick(Now + Milliseconds(200)))
    Verdicts.push_back(std::get<SendClaimReply>(Action).Reply.Verdict);
  EXPECT_EQ(Verdicts, (std::vector<ClaimVerdict>{ClaimVerdict::Unavailable,
                                                 ClaimVerdict::Refused}));
}

// Guards against a second grant after the owner crashed between the write of a
// claim and the reply to it: the new owner grants the key to the same nonce,
// and to no other claim attempt.
TEST(ClaimOwner, NewOwnerFindsTheClaimThatACrashedOwnerWrote) {
  ClaimSimulation Simulation(4);
  Simulation.startOwner(0);
  Simulation.run(Milliseconds(100));
  auto First = Simulation.request(1, "k", Seconds(3));
  Simulation.deliver(0);
  Simulation.restart(0);
  Simulation.Store.deliverAll();
  Simulation.startOwner(2);
  Simulation.setView(1, 2);
  Simulation.setView(3, 2);
  auto Second = Simulation.request(3, "k", Seconds(3));
  Simulation.run(Seconds(1));
  EXPECT_EQ(Simulation.decision(First).Kind, Kind::Granted);
  EXPECT_EQ(Simulation.decision(Second).Kind, Kind::AlreadyClaimed);
}

// Guards against an owner that releases a claim after it answered the request
// with a failure, while the root gets the grant from another owner.
TEST(ClaimOwner, FailedRequestDoesNotReleaseTheClaim) {
  ClaimSimulation Simulation(4);
  Simulation.CheckRefusals = false;
  Simulation.startOwner(0);
  Simulation.run(Milliseconds(100));
  auto First = Simulation.request(1, "k", Seconds(4));
  Simulation.deliver(0);
  Simulation.advance(Milliseconds(1100));
  while (Simulation.messages() > 0)
    Simulation.drop(0);
  Simulation.startOwner(2);
  Simulation.setView(1, 2);
  Simulation.setView(3, 2);
  Simulation.run(Seconds(1));
  ASSERT_EQ(Simulation.decision(First).Kind, Kind::Granted);
  auto Second = Simulation.request(3, "k", Seconds(3));
  Simulation.run(Seconds(1));
  EXPECT_EQ(Simulation.decision(Second).Kind, Kind::AlreadyClaimed);
}

// Guards against a key that stays claimed by an attempt whose deadline passed
// before the grant arrived.
TEST(ClaimClient, ReleasesALateGrant) {
  ClaimSimulation Simulation(3);
  Simulation.startOwner(0);
  Simulation.run(Milliseconds(100));
  auto First = Simulation.request(1, "k", Milliseconds(100));
  Simulation.advance(Milliseconds(150));
  ASSERT_EQ(Simulation.messages(), 2u);
  Simulation.drop(1); // The release that was sent at the deadline.
  Simulation.run(Seconds(1));
  EXPECT_EQ(Simulation.decision(First).Kind, Kind::Unknown);
  EXPECT_EQ(Simulation.client(1).lateGrants(), 1u);
  auto Second = Simulation.request(2, "k", Seconds(1));
  Simulation.run(Seconds(1));
  EXPECT_EQ(Simulation.decision(Second).Kind, Kind::Granted);
}

// Guards against a second run of a request whose root crashed, an outcome that
// is not reported to the second request, and a key that stays claimed after its
// release.
TEST(ClaimOwner, EndOfTheFirstRequestDeterminesTheSecondDecision) {
  enum class End { None, Crash, Outcome, Release };
  const std::pair<End, Kind> Cases[] = {{End::None, Kind::AlreadyClaimed},
                                        {End::Crash, Kind::AlreadyClaimed},
                                        {End::Outcome, Kind::AlreadyClaimed},
                                        {End::Release, Kind::Granted}};
  for (auto [FirstEnd, Expected] : Cases) {
    ClaimSimulation Simulation(3);
    Simulation.startOwner(0);
    auto First = Simulation.request(1, "k", Seconds(2));
    Simulation.run(Milliseconds(100));
    ASSERT_EQ(Simulation.decision(First).Kind, Kind::Granted);
    if (FirstEnd == End::Crash)
      Simulation.restart(1);
    if (FirstEnd == End::Outcome || FirstEnd == End::Release)
      Simulation.finish(First, FirstEnd == End::Outcome);
    Simulation.run(Milliseconds(20));
    auto Second =
        Simulation.request(FirstEnd == End::Crash ? 1 : 2, "k", Seconds(2));
    Simulation.run(Seconds(1));
    ClaimDecision SecondDecision = Simulation.decision(Second);
    EXPECT_EQ(SecondDecision.Kind, Expected);
    EXPECT_EQ(SecondDecision.Outcome.has_value(), FirstEnd == End::Outcome);
    EXPECT_EQ(SecondDecision.Outcome.value_or(ClaimOutcome()).Answer,
              FirstEnd == End::Outcome ? "answer" : "");
  }
}

// Guards against one write per claim while the store rate limiter has no
// tokens, and against claims that wait for a token forever.
TEST(ClaimOwner, CollectsClaimsWhileTheRateLimitIsReached) {
  ClaimSimulation Simulation(2);
  Simulation.setStoreRateLimits(0, {100, 0, 8, 0});
  Simulation.startOwner(0);
  Simulation.run(Milliseconds(100));
  std::vector<ClaimSimulation::Attempt> Attempts;
  for (int I = 0; I < 1000; ++I) {
    Attempts.push_back(Simulation.request(1, std::to_string(I), Seconds(2)));
    Simulation.run(Milliseconds(10));
  }
  Simulation.run(Seconds(1));
  for (const auto &Attempt : Attempts)
    EXPECT_EQ(Simulation.decision(Attempt).Kind, Kind::Granted);
  // 10 s of claims with four writes per second, and one more write because the
  // batches are not aligned with the 10 s.
  EXPECT_LE(Simulation.Store.swaps(), 41u);
}

// Guards against a log that grows without bound, the removal of records that
// are still needed, and a log that starts again at the first sequence.
TEST(ClaimOwner, RemovesOnlyRecordsPastTheirRetention) {
  ClaimOwnerOptions Options;
  Options.Retention = Seconds(60);
  Options.ReloadAfter = Seconds(30);
  ClaimSimulation Simulation(2, Options);
  Simulation.startOwner(0);
  for (int I = 0; I < 5; ++I) {
    Simulation.request(1, std::to_string(I), Seconds(2));
    Simulation.run(Seconds(1));
  }
  Simulation.run(Seconds(50));
  EXPECT_EQ(Simulation.Store.values().size(), 5u);
  Simulation.run(Seconds(20));
  EXPECT_EQ(Simulation.Store.values().size(), 1u);
  EXPECT_EQ(Simulation.owner(0).keys(), 1u);
  auto Again = Simulation.request(1, "0", Seconds(2));
  auto Last = Simulation.request(1, "4", Seconds(2));
  Simulation.run(Seconds(1));
  EXPECT_EQ(Simulation.decision(Again).Kind, Kind::Granted);
  EXPECT_EQ(Simulation.decision(Last).Kind, Kind::AlreadyClaimed);
  EXPECT_EQ(Simulation.Store.values().rbegin()->first,
            claimRecordKey(ServiceId("storm"), 6));
}

// Guards against a grant by an owner that skipped a record that it cannot read:
// the record may contain a claim of the same key.
TEST(ClaimOwner, GrantsNothingWhileARecordIsUnreadable) {
  ClaimSimulation Simulation(2);
  Simulation.Store.compareAndSwap(claimRecordKey(ServiceId("storm"), 1), "{}",
                                  StoreVersion(0),
                                  [](const Result<SwapReply> &) {});
  Simulation.startOwner(0);
  auto First = Simulation.request(1, "k", Seconds(2));
  Simulation.run(Seconds(3));
  EXPECT_EQ(Simulation.decision(First).Kind, Kind::Unknown);
  EXPECT_GE(Simulation.owner(0).counters().BadRecords, 1u);
}

// Guards against a log that accepts records out of order, a claim that replaces
// an earlier one, and a release by a nonce that does not hold the key.
TEST(ClaimLog, FirstClaimStandsUntilItsNonceIsReleased) {
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

// Guards against cached answers that take memory without bound.
TEST(AnswerCache, DropsTheOldestBeyondItsLimit) {
  AnswerCache Answers(10);
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
