#include "quarantine/quarantine.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace mimosa {

Fingerprint queryFingerprint(const ServiceId &Service,
                             std::string_view QueryText) {
  return Fingerprint(hash64(QueryText, hash64(Service.text())));
}

Quarantine::Quarantine(HostId Host, Incarnation HostIncarnation,
                       QuarantineOptions Options)
    : Host(std::move(Host)), HostIncarnation(HostIncarnation), Options(Options),
      KnownGood(Options.KnownGoodCapacity),
      Strikes(Options.StrikeCapacity, Options.Lifetime) {}

QuarantineDecision Quarantine::decide(Fingerprint RequestFingerprint,
                                      RequestId Id, MonotonicTime Now) {
  if (Strikes.quarantined(RequestFingerprint, Now)) {
    ++Counters.Refused;
    return QuarantineDecision::Refuse;
  }
  if (KnownGood.contains(RequestFingerprint))
    return QuarantineDecision::Run;
  auto Running = Canaries.find(RequestFingerprint);
  bool IsFirst = Running == Canaries.end();
  if (IsFirst || Now - Running->second.StartedAt >= Options.CanaryLifetime) {
    Canary &Next = Canaries[RequestFingerprint];
    Next.Id = Id;
    Next.StartedAt = Now;
    ++Counters.Canaries;
    return QuarantineDecision::Canary;
  }
  if (WaitingCount >= Options.MaxWaiting) {
    ++Counters.Busy;
    return QuarantineDecision::Busy;
  }
  Running->second.Waiting.push_back(Id);
  ++WaitingCount;
  ++Counters.Waited;
  return QuarantineDecision::Wait;
}

CanaryOutcome Quarantine::canaryEnded(const ServiceId &Service,
                                      Fingerprint RequestFingerprint,
                                      RequestId Id, CanaryEnd End,
                                      MonotonicTime Now) {
  CanaryOutcome Outcome;
  // A strike counts even if the canary was replaced after its lifetime, since
  // its backend server can be lost later. An undecided canary may have crashed
  // its backend server undetected, if its request was cancelled at the same
  // moment; so it counts as a strike if the fingerprint already has one.
  bool IsStrike = End == CanaryEnd::BackendLost ||
                  (End == CanaryEnd::Undecided &&
                   Strikes.strikes(RequestFingerprint, Now) > 0 &&
                   !Strikes.quarantined(RequestFingerprint, Now));
  if (IsStrike) {
    ++Counters.OwnStrikes;
    Outcome.Strike = StrikeNotice{{Host, HostIncarnation, ++LastSequence},
                                  Service,
                                  RequestFingerprint,
                                  Duration(0)};
    Strikes.add(*Outcome.Strike, Now);
    KnownGood.remove(RequestFingerprint);
  }
  auto Running = Canaries.find(RequestFingerprint);
  if (Running == Canaries.end() || Running->second.Id != Id)
    return Outcome;
  if (Strikes.quarantined(RequestFingerprint, Now)) {
    Outcome.Released = releaseAll(Running->second, QuarantineDecision::Refuse);
    Canaries.erase(Running);
  } else if (End == CanaryEnd::Good) {
    KnownGood.add(RequestFingerprint);
    Outcome.Released = releaseAll(Running->second, QuarantineDecision::Run);
    Canaries.erase(Running);
  } else {
    Outcome.Released = startNext(Running, Now);
  }
  return Outcome;
}

std::vector<QuarantineRelease>
Quarantine::releaseAll(Canary &Running, QuarantineDecision Decision) {
  std::vector<QuarantineRelease> Released;
  Released.reserve(Running.Waiting.size());
  for (RequestId Id : Running.Waiting)
    Released.push_back({Id, Decision});
  Running.Waiting.clear();
  WaitingCount -= Released.size();
  if (Decision == QuarantineDecision::Refuse)
    Counters.Refused += Released.size();
  return Released;
}

std::vector<QuarantineRelease>
Quarantine::startNext(CanaryMap::iterator Running, MonotonicTime Now) {
  Canary &Next = Running->second;
  if (Next.Waiting.empty()) {
    Canaries.erase(Running);
    return {};
  }
  Next.Id = Next.Waiting.front();
  Next.StartedAt = Now;
  Next.Waiting.pop_front();
  --WaitingCount;
  ++Counters.Canaries;
  return {{Next.Id, QuarantineDecision::Canary}};
}

bool Quarantine::stopWaiting(Fingerprint RequestFingerprint, RequestId Id) {
  auto Running = Canaries.find(RequestFingerprint);
  if (Running == Canaries.end())
    return false;
  auto &Waiting = Running->second.Waiting;
  auto At = std::find(Waiting.begin(), Waiting.end(), Id);
  if (At == Waiting.end())
    return false;
  Waiting.erase(At);
  --WaitingCount;
  return true;
}

std::vector<QuarantineRelease>
Quarantine::strikeReceived(const StrikeNotice &Notice, MonotonicTime Now) {
  if (Strikes.add(Notice, Now))
    ++Counters.PeerStrikes;
  KnownGood.remove(Notice.RequestFingerprint);
  auto Running = Canaries.find(Notice.RequestFingerprint);
  if (Running == Canaries.end() ||
      !Strikes.quarantined(Notice.RequestFingerprint, Now))
    return {};
  // The canary itself continues; when it ends, no request waits for it.
  return releaseAll(Running->second, QuarantineDecision::Refuse);
}

} // namespace mimosa
