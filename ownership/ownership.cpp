#include "ownership/ownership.h"

namespace mimosa {
namespace {

/// How long a preferred owner must have been alive before it takes over, so
/// that a host that restarts repeatedly does not move its partitions each time.
constexpr Duration PreferredAliveTime = Seconds(5);
/// A preferred owner whose last vote request is older does not get the
/// partition.
constexpr Duration PreferredRequestMaxAge = Seconds(1);
/// A release that takes longer than the sub-request limit by this is abandoned.
constexpr Duration ReleaseSlack = Milliseconds(500);

} // namespace

Ownership::Ownership(OwnershipOptions Options, Random &Rand, MonotonicTime Now)
    : Options(std::move(Options)), Rand(Rand),
      VoterSets(this->Options.Self, this->Options.SubRequestLimit, Rand, Now),
      Votes(this->Options.Self, this->Options.SubRequestLimit, Now),
      NextRenewal(Now), NextPeerRequest(Now) {}

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
    It = S.CurrentStage == Stage::None ? States.erase(It) : std::next(It);
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

void Ownership::reset(PartitionState &S, MonotonicTime Now) {
  S.CurrentStage = Stage::None;
  if (S.LastKnownOwner == Options.Self)
    S.LastKnownOwner = HostId();
  S.Grants.clear();
  S.Refusers.clear();
  S.LeaseEnd = MonotonicTime();
  S.LongestRemaining = Duration::zero();
  S.PreferredRequestedAt = MonotonicTime();
  S.RetryAt = Now;
}

void Ownership::dropOwnership(Partition P, PartitionState &S, MonotonicTime Now,
                              OwnershipActions &Out) {
  if (S.CurrentStage == Stage::Owning)
    Out.emplace_back(StopDispatch{P});
  if (S.CurrentStage == Stage::Owning || S.CurrentStage == Stage::Releasing)
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
    return Entry.second.CurrentStage == Stage::None;
  });
}

bool Ownership::mayDispatch(Partition P, MonotonicTime Now) const {
  auto Found = States.find(P);
  return Found != States.end() && Found->second.CurrentStage == Stage::Owning &&
         Now < Found->second.LeaseEnd;
}

std::optional<HostId> Ownership::lastKnownOwner(Partition P) const {
  auto Found = States.find(P);
  if (Found == States.end())
    return std::nullopt;
  const PartitionState &S = Found->second;
  if (S.CurrentStage == Stage::Owning)
    return Options.Self;
  if (S.LastKnownOwner.empty())
    return std::nullopt;
  return S.LastKnownOwner;
}

std::vector<Partition> Ownership::ownedPartitions(MonotonicTime Now) const {
  std::vector<Partition> All;
  for (const auto &[P, S] : States)
    if (S.CurrentStage == Stage::Owning && Now < S.LeaseEnd)
      All.push_back(P);
  return All;
}

void Ownership::onOwnerAnnounced(const HostId &Owner,
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

void Ownership::expireLease(Partition P, PartitionState &S, MonotonicTime Now,
                            OwnershipActions &Out) {
  bool Holds = S.CurrentStage == Stage::Waiting ||
               S.CurrentStage == Stage::Owning ||
               S.CurrentStage == Stage::Releasing;
  if (!Holds || Now < S.LeaseEnd)
    return;
  ++Counters.LeasesExpired;
  dropOwnership(P, S, Now, Out);
}

bool Ownership::isReady(const PartitionState &S, MonotonicTime Now) const {
  return hasMajority(VoterSets.voterSet(), [&](const HostId &Host) {
    auto Found = S.Grants.find(Host);
    return Found != S.Grants.end() && Now < Found->second.Expires &&
           Found->second.ReadyAt <= Now;
  });
}

void Ownership::startIfReady(Partition P, PartitionState &S, MonotonicTime Now,
                             OwnershipActions &Out) {
  if (S.CurrentStage != Stage::Waiting || Now >= S.LeaseEnd || !isReady(S, Now))
    return;
  ++Counters.ElectionsWon;
  S.CurrentStage = Stage::Owning;
  S.FailedRounds = 0;
  S.LastKnownOwner = Options.Self;
  Out.emplace_back(StartDispatch{P});
}

void Ownership::handOverIfRequested(Partition P, PartitionState &S,
                                    MonotonicTime Now, OwnershipActions &Out) {
  bool IsRequested = S.PreferredRequestedAt != MonotonicTime() &&
                     Now - S.PreferredRequestedAt < PreferredRequestMaxAge;
  // A host in stage Waiting hands over too. Otherwise a change of owner after a
  // crash would also wait for the release.
  bool Holds =
      S.CurrentStage == Stage::Owning || S.CurrentStage == Stage::Waiting;
  if (!Holds || S.Preferred == Options.Self || !IsRequested)
    return;
  auto Alive = AliveSince.find(S.Preferred);
  if (Alive != AliveSince.end() && Now - Alive->second >= PreferredAliveTime)
    beginRelease(P, S, S.Preferred, Now, Out);
}

void Ownership::beginRelease(Partition P, PartitionState &S,
                             const HostId &Successor, MonotonicTime Now,
                             OwnershipActions &Out) {
  switch (S.CurrentStage) {
  case Stage::None:
  case Stage::Releasing:
    return;
  case Stage::Campaigning:
  case Stage::Waiting:
    sendRelease(P, S, Successor, Now, Out);
    return;
  case Stage::Owning:
    S.CurrentStage = Stage::Releasing;
    S.Successor = Successor;
    S.ReleaseEnd = Now + Options.SubRequestLimit + ReleaseSlack;
    Out.emplace_back(StopDispatch{P});
    return;
  }
}

void Ownership::onDispatchEnded(Partition P, MonotonicTime Now,
                                OwnershipActions &Out) {
  auto Found = States.find(P);
  if (Found == States.end() || Found->second.CurrentStage != Stage::Releasing)
    return;
  ++Counters.Releases;
  PartitionState &S = Found->second;
  S.LastKnownOwner = S.Successor;
  S.BusyUntil = Now;
  sendRelease(P, S, S.Successor, Now, Out);
}

void Ownership::sendRelease(Partition P, PartitionState &S,
                            const HostId &Successor, MonotonicTime Now,
                            OwnershipActions &Out) {
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
  // Restricted to one host at a time to save store calls. The compare-and-swap
  // makes concurrent writes safe.
  return !States.empty() && mayDispatch(States.begin()->first, Now);
}

void Ownership::tick(MonotonicTime Now, OwnershipActions &Out) {
  for (auto &[P, S] : States) {
    expireLease(P, S, Now, Out);
    handOverIfRequested(P, S, Now, Out);
    startIfReady(P, S, Now, Out);
    // The sub-requests did not end in time. Without a release, the voters make
    // the next owner wait for them.
    if (S.CurrentStage == Stage::Releasing && Now >= S.ReleaseEnd)
      dropOwnership(P, S, Now, Out);
  }
  VoterSets.tick(mayChangeVoterSet(Now), Now, Out);
  requestVoterSetFromPeers(Now, Out);
  requestVotes(Now, Out);
}

} // namespace mimosa
