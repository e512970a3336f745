#include "ownership/ownership.h"

namespace mimosa {
namespace {

/// The preferred owner takes over when it has been alive for this long, so that
/// a host that restarts over and over does not move partitions each time.
constexpr Duration PreferredAliveTime = Seconds(5);
/// A preferred owner that has not asked for this long is not ready.
constexpr Duration PreferredRequestMaxAge = Seconds(1);
/// Beyond the sub-request limit, when a release that was begun is given up.
constexpr Duration ReleaseSlack = Milliseconds(500);

} // namespace

Ownership::Ownership(OwnershipOptions Options, Random &Rand, MonotonicTime Now)
    : Options(std::move(Options)), Rand(Rand),
      VoterSets(this->Options.Self, this->Options.SubRequestLimit, Rand, Now),
      Votes(this->Options.Self, this->Options.SubRequestLimit, Now),
      RenewAt(Now), AskPeersAt(Now) {}

void Ownership::setVoterCandidates(std::vector<HostId> Hosts,
                                   MonotonicTime Now) {
  VoterSets.setCandidates(std::move(Hosts), Now);
}

void Ownership::setPartitions(const std::vector<PreferredOwner> &All,
                              MonotonicTime Now, OwnershipActions &Out) {
  std::set<Partition> Present;
  for (const PreferredOwner &Choice : All) {
    Present.insert(Choice.P);
    States[Choice.P].Preferred = Choice.Host;
  }
  for (auto It = States.begin(); It != States.end();) {
    auto &[P, S] = *It;
    if (Present.count(P) > 0) {
      ++It;
      continue;
    }
    S.Preferred = HostId();
    beginRelease(P, S, HostId(), Now, Out);
    It = S.Now == Stage::None ? States.erase(It) : std::next(It);
  }
}

void Ownership::setSubRequestLimit(Duration Limit) {
  Options.SubRequestLimit = Limit;
  Votes.setSubRequestLimit(Limit);
  VoterSets.setSubRequestLimit(Limit);
}

void Ownership::addAliveHost(const HostId &Host, MonotonicTime Now) {
  AliveSince.try_emplace(Host, Now);
}

void Ownership::reset(State &S, MonotonicTime Now) {
  S.Now = Stage::None;
  if (S.LastKnownOwner == Options.Self)
    S.LastKnownOwner = HostId();
  S.Grants.clear();
  S.Refusers.clear();
  S.LeaseEnd = MonotonicTime();
  S.LongestRemaining = Duration::zero();
  S.PreferredRequestedAt = MonotonicTime();
  S.RetryAt = Now;
}

void Ownership::dropOwnership(Partition P, State &S, MonotonicTime Now,
                              OwnershipActions &Out) {
  if (S.Now == Stage::Owning)
    Out.emplace_back(StopDispatch{P});
  if (S.Now == Stage::Owning || S.Now == Stage::Releasing)
    S.BusyUntil = Now + Options.SubRequestLimit;
  reset(S, Now);
}

void Ownership::onPause(MonotonicTime Now, OwnershipActions &Out) {
  ++Counters.Pauses;
  Votes.reset(Now);
  Rounds.clear();
  for (auto &[P, S] : States)
    dropOwnership(P, S, Now, Out);
}

void Ownership::leave(MonotonicTime Now, OwnershipActions &Out) {
  Leaving = true;
  for (auto &[P, S] : States) {
    bool HasSuccessor = S.Preferred != Options.Self;
    beginRelease(P, S, HasSuccessor ? S.Preferred : HostId(), Now, Out);
  }
}

bool Ownership::ownsNothing() const {
  return std::all_of(States.begin(), States.end(), [](const auto &Entry) {
    return Entry.second.Now == Stage::None;
  });
}

bool Ownership::mayDispatch(Partition P, MonotonicTime Now) const {
  auto Found = States.find(P);
  return Found != States.end() && Found->second.Now == Stage::Owning &&
         Now < Found->second.LeaseEnd;
}

std::optional<HostId> Ownership::lastKnownOwner(Partition P) const {
  auto Found = States.find(P);
  if (Found == States.end())
    return std::nullopt;
  const State &S = Found->second;
  if (S.Now == Stage::Owning)
    return Options.Self;
  if (S.LastKnownOwner.empty())
    return std::nullopt;
  return S.LastKnownOwner;
}

std::vector<Partition> Ownership::ownedPartitions(MonotonicTime Now) const {
  std::vector<Partition> All;
  for (const auto &[P, S] : States)
    if (S.Now == Stage::Owning && Now < S.LeaseEnd)
      All.push_back(P);
  return All;
}

void Ownership::onOwnerReport(const HostId &Owner,
                              const std::vector<Partition> &Owned) {
  for (Partition P : Owned) {
    auto Found = States.find(P);
    if (Found != States.end())
      Found->second.LastKnownOwner = Owner;
  }
}

void Ownership::onNotOwner(Partition P, const HostId &Host) {
  auto Found = States.find(P);
  if (Found != States.end() && Found->second.LastKnownOwner == Host)
    Found->second.LastKnownOwner = HostId();
}

void Ownership::expireLease(Partition P, State &S, MonotonicTime Now,
                            OwnershipActions &Out) {
  bool Holds = S.Now == Stage::Waiting || S.Now == Stage::Owning ||
               S.Now == Stage::Releasing;
  if (!Holds || Now < S.LeaseEnd)
    return;
  ++Counters.LeasesExpired;
  dropOwnership(P, S, Now, Out);
}

bool Ownership::isReady(const State &S, MonotonicTime Now) const {
  return hasMajority(VoterSets.voterSet(), [&](const HostId &Host) {
    auto Found = S.Grants.find(Host);
    return Found != S.Grants.end() && Now < Found->second.Expires &&
           Found->second.Ready <= Now;
  });
}

void Ownership::startIfReady(Partition P, State &S, MonotonicTime Now,
                             OwnershipActions &Out) {
  if (S.Now != Stage::Waiting || Now >= S.LeaseEnd || !isReady(S, Now))
    return;
  ++Counters.ElectionsWon;
  S.Now = Stage::Owning;
  S.FailedRounds = 0;
  S.LastKnownOwner = Options.Self;
  Out.emplace_back(StartDispatch{P});
}

void Ownership::handOverIfRequested(Partition P, State &S, MonotonicTime Now,
                                    OwnershipActions &Out) {
  bool Asked = S.PreferredRequestedAt != MonotonicTime() &&
               Now - S.PreferredRequestedAt < PreferredRequestMaxAge;
  // A host that still waits hands over too, so that a crash does not cost a
  // release on top.
  bool Holds = S.Now == Stage::Owning || S.Now == Stage::Waiting;
  if (!Holds || S.Preferred == Options.Self || !Asked)
    return;
  auto Alive = AliveSince.find(S.Preferred);
  if (Alive != AliveSince.end() && Now - Alive->second >= PreferredAliveTime)
    beginRelease(P, S, S.Preferred, Now, Out);
}

void Ownership::beginRelease(Partition P, State &S, const HostId &Successor,
                             MonotonicTime Now, OwnershipActions &Out) {
  switch (S.Now) {
  case Stage::None:
  case Stage::Releasing:
    return;
  case Stage::Campaigning:
  case Stage::Waiting:
    sendRelease(P, S, Successor, Now, Out);
    return;
  case Stage::Owning:
    S.Now = Stage::Releasing;
    S.Successor = Successor;
    S.ReleaseEnd = Now + Options.SubRequestLimit + ReleaseSlack;
    Out.emplace_back(StopDispatch{P});
    return;
  }
}

void Ownership::onDispatchEnded(Partition P, MonotonicTime Now,
                                OwnershipActions &Out) {
  auto Found = States.find(P);
  if (Found == States.end() || Found->second.Now != Stage::Releasing)
    return;
  ++Counters.Releases;
  State &S = Found->second;
  S.LastKnownOwner = S.Successor;
  S.BusyUntil = Now;
  sendRelease(P, S, S.Successor, Now, Out);
}

void Ownership::sendRelease(Partition P, State &S, const HostId &Successor,
                            MonotonicTime Now, OwnershipActions &Out) {
  OwnershipRelease Release;
  Release.Service = Options.Service;
  Release.Region = Options.Region;
  Release.Owner = Options.Self;
  Release.OwnerIncarnation = Options.SelfIncarnation;
  Release.Sequence = LastRound;
  Release.Partitions = {P};
  Release.Successor = Successor;
  Release.Busy = std::max(S.BusyUntil - Now, Duration::zero());
  std::set<HostId> Receivers = VoterSets.voters();
  if (!Successor.empty())
    Receivers.insert(Successor);
  for (const HostId &Host : Receivers) {
    if (Host == Options.Self)
      Votes.onRelease(Release, Now);
    else
      Out.emplace_back(SendOwnershipRelease{Host, Release});
  }
  reset(S, Now);
}

bool Ownership::mayChangeVoterSet(MonotonicTime Now) const {
  // One host at a time tries, which saves calls; the compare-and-swap decides.
  return !States.empty() && mayDispatch(States.begin()->first, Now);
}

void Ownership::tick(MonotonicTime Now, OwnershipActions &Out) {
  for (auto &[P, S] : States) {
    expireLease(P, S, Now, Out);
    handOverIfRequested(P, S, Now, Out);
    startIfReady(P, S, Now, Out);
    // Its sub-requests have not ended in time. Without a release the next owner
    // waits for them.
    if (S.Now == Stage::Releasing && Now >= S.ReleaseEnd)
      dropOwnership(P, S, Now, Out);
  }
  VoterSets.tick(mayChangeVoterSet(Now), Now, Out);
  askPeersForVoterSet(Now, Out);
  requestVotes(Now, Out);
}

} // namespace mimosa
