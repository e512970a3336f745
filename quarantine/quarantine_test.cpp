#include "quarantine/crash_watch.h"
#include "quarantine/quarantine.h"
#include "quarantine/strike_broadcast.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

// Guards against a third lost backend server: a canary that is cancelled at its
// deadline while its backend server crashes reports no loss, and after an
// earlier strike the next one would be a third (fault matrix, taking over:
// crashing request + silent connection).
TEST(Quarantine, ACanaryWithoutAnAnswerAfterAStrikeIsAnother) {
  MonotonicTime Now{Seconds(100)};
  Quarantine Guard(HostId("a"), Incarnation(1));
  Fingerprint Print(7);
  ServiceId Service("storm");
  ASSERT_EQ(Guard.decide(Print, RequestId(1), Now), QuarantineDecision::Canary);
  Guard.canaryEnded(Service, Print, RequestId(1), CanaryEnd::Undecided, Now);
  EXPECT_EQ(Guard.strikes(Print, Now), 0u);
  ASSERT_EQ(Guard.decide(Print, RequestId(2), Now), QuarantineDecision::Canary);
  Guard.canaryEnded(Service, Print, RequestId(2), CanaryEnd::BackendLost, Now);
  ASSERT_EQ(Guard.decide(Print, RequestId(3), Now), QuarantineDecision::Canary);
  CanaryOutcome Ended = Guard.canaryEnded(Service, Print, RequestId(3),
                                          CanaryEnd::Undecided, Now);
  EXPECT_TRUE(Ended.Strike);
  EXPECT_EQ(Guard.decide(Print, RequestId(4), Now), QuarantineDecision::Refuse);
}

// Guards against a request that crashes one backend server after the other
// because its caller sends it again, each time to another host; and against a
// harmless query that is refused because some of its parts were lost.
TEST(CrashWatch, RepeatedCrashesAreContainedAtAllHosts) {
  MonotonicTime Now{Seconds(100)};
  CrashWatch A(HostId("a"), Incarnation(1));
  CrashWatch B(HostId("b"), Incarnation(1));
  Fingerprint Bad = requestFingerprint("h", "GET /x HTTP/1.1", "");
  EXPECT_NE(Bad, requestFingerprint("h", "GET /y HTTP/1.1", ""));
  EXPECT_NE(Bad, requestFingerprint("h", "GET /x HTTP/1.1", "body"));
  EXPECT_FALSE(A.recordAttempt(Bad, ServiceId("s"), 3, true, Now));
  EXPECT_FALSE(A.recordAttempt(Bad, ServiceId("s"), 0, false, Now));
  auto First = A.recordAttempt(Bad, ServiceId("s"), 1, false, Now);
  ASSERT_TRUE(First);
  B.strikeReceived(*First, Now);
  B.strikeReceived(*First, Now);
  EXPECT_FALSE(B.quarantined(Bad, Now));
  auto Second = B.recordAttempt(Bad, ServiceId("s"), 1, false, Now);
  ASSERT_TRUE(Second);
  A.strikeReceived(*Second, Now);
  EXPECT_TRUE(A.quarantined(Bad, Now));
  EXPECT_TRUE(B.quarantined(Bad, Now));
}

const MonotonicTime Start{Seconds(1000)};
const ServiceId Service("storm");
const Fingerprint Bad(13);

Quarantine guard(QuarantineOptions Options = {}) {
  return Quarantine(HostId("h1"), Incarnation(1), Options);
}

StrikeNotice peerStrike(uint64_t Sequence, Fingerprint Print = Bad,
                        Duration Age = Duration(0)) {
  return {{HostId("h2"), Incarnation(1), Sequence}, Service, Print, Age};
}

/// Runs a canary of \p Print that loses its backend server.
std::optional<StrikeNotice> crash(Quarantine &Guard, Fingerprint Print,
                                  MonotonicTime Now) {
  if (Guard.decide(Print, RequestId(1), Now) != QuarantineDecision::Canary)
    return std::nullopt;
  return Guard
      .canaryEnded(Service, Print, RequestId(1), CanaryEnd::BackendLost, Now)
      .Strike;
}

// Guards against one service's fingerprint that blocks another's query, and
// against a join of both texts that cannot tell them apart.
TEST(Quarantine, FingerprintCoversServiceAndText) {
  Fingerprint One = queryFingerprint(ServiceId("ab"), "c");
  EXPECT_EQ(One, queryFingerprint(ServiceId("ab"), "c"));
  EXPECT_NE(One, queryFingerprint(ServiceId("a"), "bc"));
  EXPECT_NE(One, queryFingerprint(ServiceId("ab"), "d"));
}

// Guards against more than two crashes, and against strikes of other hosts that
// are lost, counted twice, or counted after their time.
TEST(Quarantine, TwoStrikesQuarantineForTenMinutes) {
  using Decision = QuarantineDecision;
  struct StrikeCase {
    const char *What;
    int OwnStrikes;
    std::vector<StrikeNotice> Peer;
    Duration Later;
    Decision Expected;
  };
  const StrikeCase Cases[] = {
      {"none", 0, {}, Duration(0), Decision::Canary},
      {"one own", 1, {}, Duration(0), Decision::Canary},
      {"two own", 2, {}, Duration(0), Decision::Refuse},
      {"own and peer", 1, {peerStrike(1)}, Duration(0), Decision::Refuse},
      {"two of a peer",
       0,
       {peerStrike(1), peerStrike(2)},
       Duration(0),
       Decision::Refuse},
      {"the same notice twice",
       0,
       {peerStrike(1), peerStrike(1)},
       Duration(0),
       Decision::Canary},
      {"other fingerprint",
       1,
       {peerStrike(1, Fingerprint(14))},
       Duration(0),
       Decision::Canary},
      {"just in time", 2, {}, Seconds(599), Decision::Refuse},
      {"over", 2, {}, Seconds(600), Decision::Canary},
      {"one is over", 1, {}, Seconds(600), Decision::Canary},
      {"old notice",
       1,
       {peerStrike(1, Bad, Seconds(600))},
       Duration(0),
       Decision::Canary},
      {"aged notices",
       0,
       {peerStrike(1, Bad, Seconds(300)), peerStrike(2, Bad, Seconds(200))},
       Seconds(400),
       Decision::Canary},
  };
  for (const StrikeCase &Case : Cases) {
    Quarantine Guard = guard();
    for (int I = 0; I < Case.OwnStrikes; ++I)
      EXPECT_TRUE(crash(Guard, Bad, Start)) << Case.What;
    for (const StrikeNotice &Notice : Case.Peer)
      Guard.strikeReceived(Notice, Start);
    EXPECT_EQ(Guard.decide(Bad, RequestId(9), Start + Case.Later),
              Case.Expected)
        << Case.What;
  }
}

// Guards against a fingerprint that stays trusted after it did harm, and
// against a canary for each request of a good one.
TEST(Quarantine, KnownGoodRunsUntilItLosesABackend) {
  Quarantine Guard = guard();
  Guard.decide(Bad, RequestId(1), Start);
  Guard.canaryEnded(Service, Bad, RequestId(1), CanaryEnd::Good, Start);
  EXPECT_EQ(Guard.decide(Bad, RequestId(2), Start), QuarantineDecision::Run);
  Guard.runLostBackend(Bad);
  EXPECT_EQ(Guard.decide(Bad, RequestId(3), Start), QuarantineDecision::Canary);
  Guard.canaryEnded(Service, Bad, RequestId(3), CanaryEnd::Good, Start);
  Guard.strikeReceived(peerStrike(1), Start);
  EXPECT_EQ(Guard.decide(Bad, RequestId(4), Start), QuarantineDecision::Canary);
}

/// What a set of requests with the same fingerprint did.
struct Crowd {
  void take(RequestId Id, QuarantineDecision Decision) {
    RC_ASSERT(Ended[Id.number()] == 0);
    if (Decision == QuarantineDecision::Canary)
      Canaries.push_back(Id);
    else if (Decision != QuarantineDecision::Wait)
      Ended[Id.number()] = Decision == QuarantineDecision::Run ? 1 : 2;
  }
  void take(const std::vector<QuarantineRelease> &Released) {
    for (const QuarantineRelease &R : Released)
      take(R.Id, R.Decision);
  }
  std::vector<RequestId> Canaries;
  std::map<uint64_t, int> Ended;
};

// Guards against the same request, sent many times at once, that crashes more
// than two backend servers, and against requests that wait for ever.
RC_GTEST_PROP(Quarantine, CrowdLosesAtMostTwoBackends, ()) {
  Quarantine Guard = guard();
  Crowd All;
  uint64_t Last = 0;
  int Lost = 0;
  auto Steps = *rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 8)));
  auto EndCanary = [&](CanaryEnd End) {
    RequestId Id = All.Canaries.back();
    All.Canaries.pop_back();
    All.Ended[Id.number()] = 3;
    Lost += End == CanaryEnd::BackendLost;
    All.take(Guard.canaryEnded(Service, Bad, Id, End, Start).Released);
  };
  for (int Step : Steps) {
    if (Step < 5) {
      RequestId Id(++Last);
      All.take(Id, Guard.decide(Bad, Id, Start));
    } else if (Step == 5) {
      RequestId Id(Last / 2 + 1);
      if (Guard.stopWaiting(Bad, Id))
        All.Ended[Id.number()] = 4;
    } else if (!All.Canaries.empty()) {
      EndCanary(Step == 6 ? CanaryEnd::BackendLost : CanaryEnd::Undecided);
    }
    RC_ASSERT(All.Canaries.size() <= 1u);
    RC_ASSERT(Lost <= 2);
  }
  while (!All.Canaries.empty())
    EndCanary(CanaryEnd::Undecided);
  for (uint64_t Id = 1; Id <= Last; ++Id)
    RC_ASSERT(All.Ended[Id] != 0);
  RC_ASSERT(Guard.waiting() == 0u);
}

// Guards against requests that wait for a canary that never ends, for a good
// one, or after another host's strike has decided.
TEST(Quarantine, WaitingRequestsAreReleased) {
  Quarantine Guard = guard();
  Guard.decide(Bad, RequestId(1), Start);
  EXPECT_EQ(Guard.decide(Bad, RequestId(2), Start), QuarantineDecision::Wait);
  Guard.strikeReceived(peerStrike(1), Start);
  auto Released = Guard.strikeReceived(peerStrike(2), Start);
  ASSERT_EQ(Released.size(), 1u);
  EXPECT_EQ(Released[0].Decision, QuarantineDecision::Refuse);

  Quarantine Good = guard();
  Good.decide(Bad, RequestId(1), Start);
  Good.decide(Bad, RequestId(2), Start);
  auto Run =
      Good.canaryEnded(Service, Bad, RequestId(1), CanaryEnd::Good, Start);
  ASSERT_EQ(Run.Released.size(), 1u);
  EXPECT_EQ(Run.Released[0].Decision, QuarantineDecision::Run);

  Quarantine Silent = guard();
  Silent.decide(Bad, RequestId(1), Start);
  EXPECT_EQ(Silent.decide(Bad, RequestId(2), Start + Seconds(11)),
            QuarantineDecision::Canary);
  EXPECT_TRUE(Silent
                  .canaryEnded(Service, Bad, RequestId(1),
                               CanaryEnd::BackendLost, Start + Seconds(12))
                  .Strike);
  EXPECT_EQ(Silent.strikes(Bad, Start + Seconds(12)), 1u);
}

// Guards against memory that grows with the number of different requests, and
// against a flood of single strikes that ends a quarantine.
TEST(Quarantine, MemoryIsBounded) {
  QuarantineOptions Options;
  Options.StrikeCapacity = 8;
  Options.WaitingCapacity = 3;
  Quarantine Guard = guard(Options);
  crash(Guard, Bad, Start);
  crash(Guard, Bad, Start);
  for (uint64_t I = 100; I < 200; ++I)
    Guard.strikeReceived(peerStrike(I, Fingerprint(I)), Start + Duration(I));
  EXPECT_EQ(Guard.notices(Start + Seconds(1)).size(), 9u);
  EXPECT_EQ(Guard.strikes(Bad, Start + Seconds(1)), 2u);
  for (uint64_t I = 0; I < 5; ++I)
    EXPECT_EQ(Guard.decide(Fingerprint(7), RequestId(I), Start),
              I == 0   ? QuarantineDecision::Canary
              : I <= 3 ? QuarantineDecision::Wait
                       : QuarantineDecision::Busy);
  KnownGood Good(10);
  for (uint64_t I = 0; I < 1000; ++I) {
    EXPECT_EQ(Good.contains(Fingerprint(1)), I > 0);
    Good.add(Fingerprint(1));
    Good.add(Fingerprint(1000 + I));
    EXPECT_LE(Good.size(), 10u);
  }
  // A fingerprint that moves to the younger generation is held once.
  KnownGood Few(4);
  for (uint64_t I = 1; I <= 3; ++I)
    Few.add(Fingerprint(I));
  EXPECT_TRUE(Few.contains(Fingerprint(1)));
  EXPECT_EQ(Few.size(), 3u);
}

// Guards against answering a caller before the hosts know of the strike, and
// against waiting for a dead host or for longer than 50 ms.
TEST(StrikeBroadcast, CompletesWithAllAnswersOrInTime) {
  const StrikeNotice Notice = {
      {HostId("h1"), Incarnation(1), 5}, Service, Bad, Duration(0)};
  const std::vector<HostId> Hosts = {HostId("h1"), HostId("h2"), HostId("h3")};
  StrikeBroadcast Broadcast(Notice, Hosts, Start);
  EXPECT_EQ(Broadcast.recipients().size(), 2u);
  EXPECT_FALSE(Broadcast.complete(Start + Milliseconds(49)));
  EXPECT_TRUE(Broadcast.complete(Start + Milliseconds(50)));
  StrikeId Other = Notice.Id;
  Other.Sequence = 4;
  Broadcast.acknowledged({HostId("h2"), Other});
  EXPECT_EQ(Broadcast.missing().size(), 2u);
  auto Ack =
      unpackBody<StrikeAck>(packBody(StrikeAck{HostId("h2"), Notice.Id}));
  ASSERT_TRUE(ok(Ack));
  Broadcast.acknowledged(valueOf(Ack));
  EXPECT_FALSE(Broadcast.complete(Start));
  Broadcast.failed(HostId("h3"));
  EXPECT_TRUE(Broadcast.complete(Start));
  EXPECT_TRUE(StrikeBroadcast(Notice, {HostId("h1")}, Start).complete(Start));
  auto Read = unpackBody<StrikeNotice>(packBody(Notice));
  ASSERT_TRUE(ok(Read));
  EXPECT_EQ(valueOf(Read).Print, Bad);
  EXPECT_EQ(valueOf(Read).Id, Notice.Id);
}

} // namespace
} // namespace mimosa
