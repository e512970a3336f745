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
      Good(Options.KnownGoodCapacity),
      Strikes(Options.StrikeCapacity, Options.Lifetime) {}

QuarantineDecision Quarantine::decide(Fingerprint Print, RequestId Id,
                                      MonotonicTime Now) {
  if (Strikes.quarantined(Print, Now)) {
    ++Counters.Refused;
    return QuarantineDecision::Refuse;
  }
  if (Good.contains(Print))
    return QuarantineDecision::Run;
  auto Running = Canaries.find(Print);
  bool IsFirst = Running == Canaries.end();
  if (IsFirst || Now - Running->second.StartedAt >= Options.CanaryLifetime) {
    Canary &Next = Canaries[Print];
    Next.Id = Id;
    Next.StartedAt = Now;
    ++Counters.Canaries;
    return QuarantineDecision::Canary;
  }
  if (WaitingCount >= Options.WaitingCapacity) {
    ++Counters.Busy;
    return QuarantineDecision::Busy;
  }
  Running->second.Waiting.push_back(Id);
  ++WaitingCount;
  ++Counters.Waited;
  return QuarantineDecision::Wait;
}

CanaryOutcome Quarantine::canaryEnded(const ServiceId &Service,
                                      Fingerprint Print, RequestId Id,
                                      CanaryEnd End, MonotonicTime Now) {
  CanaryOutcome Outcome;
  // A canary that was given up after its lifetime can still lose its backend
  // server, and a strike counts whoever runs the canary now.
  // A canary without an answer may have lost it unseen, when its request was
  // cancelled at the same moment. A fingerprint that has a strike does not get
  // the benefit of that doubt.
  bool Struck =
      End == CanaryEnd::BackendLost ||
      (End == CanaryEnd::Undecided && Strikes.strikes(Print, Now) > 0 &&
       !Strikes.quarantined(Print, Now));
  if (Struck) {
    ++Counters.OwnStrikes;
    Outcome.Strike = StrikeNotice{
        {Host, HostIncarnation, ++LastSequence}, Service, Print, Duration(0)};
    Strikes.add(*Outcome.Strike, Now);
    Good.remove(Print);
  }
  auto Running = Canaries.find(Print);
  if (Running == Canaries.end() || Running->second.Id != Id)
    return Outcome;
  if (Strikes.quarantined(Print, Now)) {
    Outcome.Released = releaseAll(Running->second, QuarantineDecision::Refuse);
    Canaries.erase(Running);
  } else if (End == CanaryEnd::Good) {
    Good.add(Print);
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

bool Quarantine::stopWaiting(Fingerprint Print, RequestId Id) {
  auto Running = Canaries.find(Print);
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
  Good.remove(Notice.Print);
  auto Running = Canaries.find(Notice.Print);
  if (Running == Canaries.end() || !Strikes.quarantined(Notice.Print, Now))
    return {};
  // The canary itself goes on; its end finds nobody waiting.
  return releaseAll(Running->second, QuarantineDecision::Refuse);
}

} // namespace mimosa
