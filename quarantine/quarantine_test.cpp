#include "quarantine/crash_watch.h"
#include "quarantine/quarantine.h"
#include "quarantine/strike_broadcast.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

// Guards against a third lost backend server. A canary that is cancelled at its
// deadline while its backend server crashes reports no loss. If it did not
// count as the second strike, the next canary could crash a third backend
// server (fault matrix, takeover: crashing request and silent connection).
TEST(Quarantine, UndecidedCanaryAfterAStrikeIsTheSecondStrike) {
  MonotonicTime Now{Seconds(100)};
  Quarantine Guard(HostId("a"), Incarnation(1));
  Fingerprint RequestFingerprint(7);
  ServiceId Service("storm");
  ASSERT_EQ(Guard.decide(RequestFingerprint, RequestId(1), Now),
            QuarantineDecision::Canary);
  Guard.canaryEnded(Service, RequestFingerprint, RequestId(1),
                    CanaryEnd::Undecided, Now);
  EXPECT_EQ(Guard.strikes(RequestFingerprint, Now), 0u);
  ASSERT_EQ(Guard.decide(RequestFingerprint, RequestId(2), Now),
            QuarantineDecision::Canary);
  Guard.canaryEnded(Service, RequestFingerprint, RequestId(2),
                    CanaryEnd::BackendLost, Now);
  ASSERT_EQ(Guard.decide(RequestFingerprint, RequestId(3), Now),
            QuarantineDecision::Canary);
  CanaryOutcome Ended = Guard.canaryEnded(
      Service, RequestFingerprint, RequestId(3), CanaryEnd::Undecided, Now);
  EXPECT_TRUE(Ended.Strike);
  EXPECT_EQ(Guard.decide(RequestFingerprint, RequestId(4), Now),
            QuarantineDecision::Refuse);
}

// Guards against a request that crashes one backend server after the other
// because its caller repeats it, each time at another host; and against
// refusing a harmless query because some of its shard results were lost.
TEST(CrashWatch, RepeatedCrashesAreQuarantinedAtAllHosts) {
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

// Guards against strikes for the answers that a backend server loses when it
// crashes while it works on many equal requests, and against a request that
// crashes backend servers for minutes because it was answered before.
TEST(CrashWatch, FewLossesInARowAreExcusedAfterAnAnswer) {
  MonotonicTime Now{Seconds(100)};
  CrashWatch Watch(HostId("a"), Incarnation(1));
  const ServiceId Popular("s");
  const Fingerprint Request(7);
  auto Lose = [&] {
    return Watch.recordAttempt(Request, Popular, 1, false, Now).has_value();
  };
  EXPECT_FALSE(Watch.recordAnswer(Request, Popular, Now));
  for (int I = 0; I < 20; ++I)
    EXPECT_FALSE(Lose());
  Now += Seconds(1);
  EXPECT_FALSE(Lose());
  Now += Seconds(1);
  EXPECT_FALSE(Lose());
  Now += Seconds(1);
  EXPECT_TRUE(Lose());
  EXPECT_TRUE(Watch.recordAnswer(Request, Popular, Now));
  EXPECT_FALSE(Lose());
  // Another service may crash where this one does not.
  EXPECT_TRUE(Watch.recordAttempt(Request, ServiceId("t"), 1, false, Now));
  // Old evidence does not count.
  Now += Seconds(60);
  EXPECT_TRUE(Lose());
}

// Guards against strikes that come back from a host which has not heard of the
// answer, or that arrive after it.
TEST(CrashWatch, AnswersWithdrawEarlierStrikes) {
  MonotonicTime Now{Seconds(100)};
  CrashWatch A(HostId("a"), Incarnation(1));
  CrashWatch B(HostId("b"), Incarnation(1));
  const ServiceId Service("s");
  const Fingerprint Request(7);
  auto First = A.recordAttempt(Request, Service, 1, false, Now);
  auto Second = A.recordAttempt(Request, Service, 1, false, Now);
  ASSERT_TRUE(First && Second);
  B.strikeReceived(*First, Now);
  B.strikeReceived(*Second, Now);
  EXPECT_TRUE(B.quarantined(Request, Now));
  // A request that was running meanwhile.
  Now += Milliseconds(10);
  auto Withdrawal = A.recordAnswer(Request, Service, Now);
  ASSERT_TRUE(Withdrawal);
  EXPECT_FALSE(A.quarantined(Request, Now));
  B.withdrawalReceived(*Withdrawal, Now);
  EXPECT_FALSE(B.quarantined(Request, Now));
  Now += Seconds(90);
  First->Age = Second->Age = Milliseconds(90010);
  EXPECT_FALSE(B.strikeReceived(*First, Now));
  EXPECT_FALSE(A.strikeReceived(*Second, Now));
  EXPECT_TRUE(A.recordAttempt(Request, Service, 1, false, Now));
  EXPECT_TRUE(A.recordAttempt(Request, Service, 1, false, Now));
  EXPECT_TRUE(A.quarantined(Request, Now));
}

const MonotonicTime Start{Seconds(1000)};
const ServiceId Service("storm");
const Fingerprint Bad(13);

Quarantine newQuarantine(QuarantineOptions Options = {}) {
  return Quarantine(HostId("h1"), Incarnation(1), Options);
}

StrikeNotice peerStrike(uint64_t Sequence, Fingerprint RequestFingerprint = Bad,
                        Duration Age = Duration(0)) {
  return {{HostId("h2"), Incarnation(1), Sequence},
          Service,
          RequestFingerprint,
          Age};
}

/// Runs a canary that loses its backend server; returns its strike.
std::optional<StrikeNotice>
crash(Quarantine &Guard, Fingerprint RequestFingerprint, MonotonicTime Now) {
  if (Guard.decide(RequestFingerprint, RequestId(1), Now) !=
      QuarantineDecision::Canary)
    return std::nullopt;
  return Guard
      .canaryEnded(Service, RequestFingerprint, RequestId(1),
                   CanaryEnd::BackendLost, Now)
      .Strike;
}

// Guards against a fingerprint of one service that blocks a query of another
// service, and against hashing the concatenation of service and query text,
// which is equal for "ab" + "c" and "a" + "bc".
TEST(Quarantine, FingerprintCoversServiceAndText) {
  Fingerprint One = queryFingerprint(ServiceId("ab"), "c");
  EXPECT_EQ(One, queryFingerprint(ServiceId("ab"), "c"));
  EXPECT_NE(One, queryFingerprint(ServiceId("a"), "bc"));
  EXPECT_NE(One, queryFingerprint(ServiceId("ab"), "d"));
}

// Guards against more than two crashes, and against strikes of other hosts that
// are ignored, counted twice, or counted after they expired.
TEST(Quarantine, TwoStrikesQuarantineForTenMinutes) {
  using Decision = QuarantineDecision;
  struct StrikeCase {
    const char *Description;
    int OwnStrikes;
    std::vector<StrikeNotice> PeerStrikes;
    Duration Elapsed;
    Decision Expected;
  };
  const StrikeCase Cases[] = {
      {"none", 0, {}, Duration(0), Decision::Canary},
      {"one own", 1, {}, Duration(0), Decision::Canary},
      {"two own", 2, {}, Duration(0), Decision::Refuse},
      {"own and peer", 1, {peerStrike(1)}, Duration(0), Decision::Refuse},
      {"two of one peer",
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
      {"quarantine is not over", 2, {}, Seconds(599), Decision::Refuse},
      {"over", 2, {}, Seconds(600), Decision::Canary},
      {"one strike is over", 1, {}, Seconds(600), Decision::Canary},
      {"notice of an expired strike",
       1,
       {peerStrike(1, Bad, Seconds(600))},
       Duration(0),
       Decision::Canary},
      {"strikes that expire after their notices arrive",
       0,
       {peerStrike(1, Bad, Seconds(300)), peerStrike(2, Bad, Seconds(200))},
       Seconds(400),
       Decision::Canary},
  };
  for (const StrikeCase &Case : Cases) {
    Quarantine Guard = newQuarantine();
    for (int I = 0; I < Case.OwnStrikes; ++I)
      EXPECT_TRUE(crash(Guard, Bad, Start)) << Case.Description;
    for (const StrikeNotice &Notice : Case.PeerStrikes)
      Guard.strikeReceived(Notice, Start);
    EXPECT_EQ(Guard.decide(Bad, RequestId(9), Start + Case.Elapsed),
              Case.Expected)
        << Case.Description;
  }
}

// Guards against a fingerprint that stays known good after it lost a backend
// server, and against a canary for each request with a known good fingerprint.
TEST(Quarantine, KnownGoodRunsUntilItLosesABackend) {
  Quarantine Guard = newQuarantine();
  Guard.decide(Bad, RequestId(1), Start);
  Guard.canaryEnded(Service, Bad, RequestId(1), CanaryEnd::Good, Start);
  EXPECT_EQ(Guard.decide(Bad, RequestId(2), Start), QuarantineDecision::Run);
  Guard.runLostBackend(Bad);
  EXPECT_EQ(Guard.decide(Bad, RequestId(3), Start), QuarantineDecision::Canary);
  Guard.canaryEnded(Service, Bad, RequestId(3), CanaryEnd::Good, Start);
  Guard.strikeReceived(peerStrike(1), Start);
  EXPECT_EQ(Guard.decide(Bad, RequestId(4), Start), QuarantineDecision::Canary);
}

/// The decisions on a number of requests with the same fingerprint.
struct RequestLog {
  void apply(RequestId Id, QuarantineDecision Decision) {
    RC_ASSERT(Ended[Id.number()] == 0);
    if (Decision == QuarantineDecision::Canary)
      Canaries.push_back(Id);
    else if (Decision != QuarantineDecision::Wait)
      Ended[Id.number()] = Decision == QuarantineDecision::Run ? 1 : 2;
  }
  void apply(const std::vector<QuarantineRelease> &Released) {
    for (const QuarantineRelease &Release : Released)
      apply(Release.Id, Release.Decision);
  }
  std::vector<RequestId> Canaries;
  /// How each request ended, by id: 0 not yet, 1 ran, 2 refused or busy, 3
  /// ended as a canary, 4 stopped waiting.
  std::map<uint64_t, int> Ended;
};

// Guards against equal requests that arrive at once and crash more than two
// backend servers, and against requests that wait forever.
RC_GTEST_PROP(Quarantine, EqualRequestsLoseAtMostTwoBackends, ()) {
  Quarantine Guard = newQuarantine();
  RequestLog Requests;
  uint64_t LastId = 0;
  int LostBackends = 0;
  auto Steps = *rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 8)));
  auto EndCanary = [&](CanaryEnd End) {
    RequestId Id = Requests.Canaries.back();
    Requests.Canaries.pop_back();
    Requests.Ended[Id.number()] = 3;
    LostBackends += End == CanaryEnd::BackendLost;
    Requests.apply(Guard.canaryEnded(Service, Bad, Id, End, Start).Released);
  };
  for (int Step : Steps) {
    if (Step < 5) {
      RequestId Id(++LastId);
      Requests.apply(Id, Guard.decide(Bad, Id, Start));
    } else if (Step == 5) {
      RequestId Id(LastId / 2 + 1);
      if (Guard.stopWaiting(Bad, Id))
        Requests.Ended[Id.number()] = 4;
    } else if (!Requests.Canaries.empty()) {
      EndCanary(Step == 6 ? CanaryEnd::BackendLost : CanaryEnd::Undecided);
    }
    RC_ASSERT(Requests.Canaries.size() <= 1u);
    RC_ASSERT(LostBackends <= 2);
  }
  while (!Requests.Canaries.empty())
    EndCanary(CanaryEnd::Undecided);
  for (uint64_t Id = 1; Id <= LastId; ++Id)
    RC_ASSERT(Requests.Ended[Id] != 0);
  RC_ASSERT(Guard.waiting() == 0u);
}

// Guards against requests that keep waiting after a strike of another host
// quarantined their fingerprint, after their canary was good, or while their
// canary never ends.
TEST(Quarantine, WaitingRequestsAreReleased) {
  Quarantine Guard = newQuarantine();
  Guard.decide(Bad, RequestId(1), Start);
  EXPECT_EQ(Guard.decide(Bad, RequestId(2), Start), QuarantineDecision::Wait);
  Guard.strikeReceived(peerStrike(1), Start);
  auto Released = Guard.strikeReceived(peerStrike(2), Start);
  ASSERT_EQ(Released.size(), 1u);
  EXPECT_EQ(Released[0].Decision, QuarantineDecision::Refuse);

  Quarantine AfterGood = newQuarantine();
  AfterGood.decide(Bad, RequestId(1), Start);
  AfterGood.decide(Bad, RequestId(2), Start);
  auto Outcome =
      AfterGood.canaryEnded(Service, Bad, RequestId(1), CanaryEnd::Good, Start);
  ASSERT_EQ(Outcome.Released.size(), 1u);
  EXPECT_EQ(Outcome.Released[0].Decision, QuarantineDecision::Run);

  Quarantine AfterTimeout = newQuarantine();
  AfterTimeout.decide(Bad, RequestId(1), Start);
  EXPECT_EQ(AfterTimeout.decide(Bad, RequestId(2), Start + Seconds(11)),
            QuarantineDecision::Canary);
  EXPECT_TRUE(AfterTimeout
                  .canaryEnded(Service, Bad, RequestId(1),
                               CanaryEnd::BackendLost, Start + Seconds(12))
                  .Strike);
  EXPECT_EQ(AfterTimeout.strikes(Bad, Start + Seconds(12)), 1u);
}

// Guards against memory that grows with the number of different requests, and
// against a quarantine that is dropped because of many single strikes.
TEST(Quarantine, MemoryIsBounded) {
  QuarantineOptions Options;
  Options.StrikeCapacity = 8;
  Options.MaxWaiting = 3;
  Quarantine Guard = newQuarantine(Options);
  crash(Guard, Bad, Start);
  crash(Guard, Bad, Start);
  for (uint64_t I = 100; I < 200; ++I)
    Guard.strikeReceived(peerStrike(I, Fingerprint(I)), Start + Duration(I));
  EXPECT_EQ(
      Guard.strikeStore().notices(StrikeScope::All, Start + Seconds(1)).size(),
      9u);
  EXPECT_EQ(Guard.strikes(Bad, Start + Seconds(1)), 2u);
  for (uint64_t I = 0; I < 5; ++I)
    EXPECT_EQ(Guard.decide(Fingerprint(7), RequestId(I), Start),
              I == 0   ? QuarantineDecision::Canary
              : I <= 3 ? QuarantineDecision::Wait
                       : QuarantineDecision::Busy);
  KnownGoodSet Good(10);
  for (uint64_t I = 0; I < 1000; ++I) {
    EXPECT_EQ(Good.contains(Fingerprint(1)), I > 0);
    Good.add(Fingerprint(1));
    Good.add(Fingerprint(1000 + I));
    EXPECT_LE(Good.size(), 10u);
  }
  // A fingerprint that moves to the younger generation leaves the older one.
  KnownGoodSet Small(4);
  for (uint64_t I = 1; I <= 3; ++I)
    Small.add(Fingerprint(I));
  EXPECT_TRUE(Small.contains(Fingerprint(1)));
  EXPECT_EQ(Small.size(), 3u);
}

// Guards against answering a caller before the hosts have counted the strike,
// and against waiting for an unreachable host or for longer than 50 ms.
TEST(StrikeBroadcast, CompletesWithAllAcknowledgementsOrAtTheDeadline) {
  const StrikeNotice Notice = {
      {HostId("h1"), Incarnation(1), 5}, Service, Bad, Duration(0)};
  const std::vector<HostId> Hosts = {HostId("h1"), HostId("h2"), HostId("h3")};
  StrikeBroadcast Broadcast(Notice, Hosts, Start);
  EXPECT_EQ(Broadcast.recipients().size(), 2u);
  EXPECT_FALSE(Broadcast.complete(Start + Milliseconds(49)));
  EXPECT_TRUE(Broadcast.complete(Start + Milliseconds(50)));
  StrikeId Other = Notice.Id;
  Other.Sequence = 4;
  Broadcast.onAck({HostId("h2"), Other});
  EXPECT_EQ(Broadcast.unacknowledged().size(), 2u);
  auto Ack =
      unpackBody<StrikeAck>(packBody(StrikeAck{HostId("h2"), Notice.Id}));
  ASSERT_TRUE(ok(Ack));
  Broadcast.onAck(valueOf(Ack));
  EXPECT_FALSE(Broadcast.complete(Start));
  Broadcast.stopWaitingFor(HostId("h3"));
  EXPECT_TRUE(Broadcast.complete(Start));
  EXPECT_TRUE(StrikeBroadcast(Notice, {HostId("h1")}, Start).complete(Start));
  auto Decoded = unpackBody<StrikeNotice>(packBody(Notice));
  ASSERT_TRUE(ok(Decoded));
  EXPECT_EQ(valueOf(Decoded).RequestFingerprint, Bad);
  EXPECT_EQ(valueOf(Decoded).Id, Notice.Id);
}

} // namespace
} // namespace mimosa
