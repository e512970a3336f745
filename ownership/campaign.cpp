#include "base/rendezvous.h"
#include "ownership/ownership.h"

namespace mimosa {
namespace {

constexpr Duration RenewInterval = Milliseconds(400);
/// A round without a majority after this time is lost. Availability zones are
/// about 1 ms apart.
constexpr Duration RoundTimeout = Milliseconds(100);
/// Two candidates can split the votes; random delays let one of them win.
constexpr Duration FirstRetry = Milliseconds(25);
constexpr uint32_t MaxDoublings = 4;
/// Short, because the vote request of a named successor can arrive at a voter
/// before the release.
constexpr Duration SuccessorRetry = Milliseconds(5);
/// How long the named successor of a release requests votes, as in voter.cpp.
constexpr Duration SuccessorHeadStart = Milliseconds(300);
/// Delay between the voters that become candidates after an expired vote, so
/// that they rarely split the votes.
constexpr Duration TakeoverStagger = Milliseconds(40);
constexpr Duration PeerRequestInterval = Seconds(1);
/// After this many rounds without a grant or refusal the voter set is read
/// again, because the voters known to this host may have been replaced.
constexpr uint32_t UnansweredRoundsBeforeRead = 10;

} // namespace

bool Ownership::takeoverIsDue(Partition P, const PartitionState &S,
                              MonotonicTime Now) const {
  std::optional<MonotonicTime> Free = Votes.freeSince(P, Now);
  if (!Free || VoterSets.voters().count(Options.Self) == 0)
    return false;
  std::string Key = Options.Service.text() + "/" + std::to_string(P.number());
  uint64_t Own = rendezvousWeight(Key, Options.Self.text());
  int Rank = 0;
  for (const HostId &Host : VoterSets.voters())
    if (Host != S.LastKnownOwner && AliveSince.count(Host) > 0 &&
        rendezvousWeight(Key, Host.text()) > Own)
      ++Rank;
  return Now >= *Free + TakeoverStagger * Rank;
}

bool Ownership::shouldCampaign(Partition P, const PartitionState &S,
                               MonotonicTime Now) const {
  if (Leaving || S.Preferred.empty() || S.CurrentStage != Stage::None ||
      Now < S.RetryAt)
    return false;
  return S.Preferred == Options.Self || Now < S.SuccessorUntil ||
         takeoverIsDue(P, S, Now);
}

void Ownership::requestVotes(MonotonicTime Now, OwnershipActions &Out) {
  if (VoterSets.voterSet().Version == VoterSetVersion())
    return;
  bool Renews = Now >= NextRenewal;
  std::vector<Partition> Requested;
  for (auto &[P, S] : States) {
    if (S.CurrentStage == Stage::Campaigning &&
        Now - S.RoundStart >= RoundTimeout)
      onRoundLost(P, S, Now, Out);
    if (shouldCampaign(P, S, Now)) {
      S.CurrentStage = Stage::Campaigning;
      S.RoundSequence = LastRound.next();
      S.RoundStart = Now;
      Requested.push_back(P);
    } else if (Renews && (S.CurrentStage == Stage::Waiting ||
                          S.CurrentStage == Stage::Owning ||
                          S.CurrentStage == Stage::Releasing)) {
      Requested.push_back(P);
    }
  }
  if (Renews)
    NextRenewal = Now + RenewInterval;
  if (!Requested.empty())
    startRound(std::move(Requested), Now, Out);
}

void Ownership::requestVoterSetFromPeers(MonotonicTime Now,
                                         OwnershipActions &Out) {
  if (!VoterSets.mustRequestFromPeers() || Now < NextPeerRequest)
    return;
  NextPeerRequest = Now + PeerRequestInterval;
  LastRound = LastRound.next();
  Rounds[LastRound] = {Now, {}, {}};
  for (const HostId &Host : HostSet)
    if (Host != Options.Self)
      Out.emplace_back(SendVoteRequest{Host, makeRequest(LastRound, {})});
}

VoteRequest
Ownership::makeRequest(VoteSequence Sequence,
                       const std::vector<Partition> &Partitions) const {
  VoteRequest Request;
  Request.Service = Options.Service;
  Request.Region = Options.Region;
  Request.Candidate = Options.Self;
  Request.CandidateIncarnation = Options.SelfIncarnation;
  Request.Sequence = Sequence;
  Request.Version = VoterSets.voterSet().Version;
  Request.Partitions = Partitions;
  return Request;
}

void Ownership::startRound(std::vector<Partition> Partitions, MonotonicTime Now,
                           OwnershipActions &Out) {
  while (!Rounds.empty() &&
         Now - Rounds.begin()->second.SentAt >= LeaseLifetime)
    Rounds.erase(Rounds.begin());
  LastRound = LastRound.next();
  VoteRequest Request = makeRequest(LastRound, Partitions);
  std::set<HostId> Receivers = VoterSets.voters();
  // The last known owner hands over to the preferred owner upon its request.
  for (Partition P : Partitions)
    if (const PartitionState &S = States[P];
        S.CurrentStage == Stage::Campaigning && !S.LastKnownOwner.empty())
      Receivers.insert(S.LastKnownOwner);
  Rounds[LastRound] = {Now, std::move(Partitions), {}};
  for (const HostId &Host : Receivers) {
    if (Host == Options.Self)
      continue;
    VoteRequest Copy = Request;
    if (!VoterSets.hasAcknowledged(Host))
      Copy.Voters = VoterSets.voterSet();
    Out.emplace_back(SendVoteRequest{Host, std::move(Copy)});
  }
  if (Receivers.count(Options.Self) > 0)
    onVoteReply(Votes.answer(Request, VoterSets, Now), Now, Out);
}

void Ownership::onVoteRequest(const VoteRequest &Request, MonotonicTime Now,
                              OwnershipActions &Out) {
  for (Partition P : Request.Partitions) {
    auto Found = States.find(P);
    if (Found != States.end() && Found->second.Preferred == Request.Candidate)
      Found->second.PreferredRequestedAt = Now;
  }
  Out.emplace_back(
      SendVoteReply{Request.Candidate, Votes.answer(Request, VoterSets, Now)});
}

void Ownership::resendWithVoterSet(const VoteReply &Reply, Round &Original,
                                   OwnershipActions &Out) {
  if (!Original.Resent.insert(Reply.Voter).second)
    return;
  VoteRequest Request = makeRequest(Reply.Sequence, Original.Partitions);
  Request.Voters = VoterSets.voterSet();
  Out.emplace_back(SendVoteRequest{Reply.Voter, std::move(Request)});
}

void Ownership::onVoteReply(const VoteReply &Reply, MonotonicTime Now,
                            OwnershipActions &Out) {
  auto Found = Rounds.find(Reply.Sequence);
  if (Reply.CandidateIncarnation != Options.SelfIncarnation ||
      Found == Rounds.end())
    return;
  MonotonicTime SentAt = Found->second.SentAt;
  VoterSetVersion Before = VoterSets.voterSet().Version;
  VoterSets.onPeerReport(Reply.Voter, Reply.Voters, Reply.Recovered, SentAt);
  VoterSets.recordAcknowledgement(Reply.Voter, Reply.Version, SentAt, Now);
  if (Reply.Version < VoterSets.voterSet().Version)
    resendWithVoterSet(Reply, Found->second, Out);
  // Votes are requested at once under the new version.
  if (VoterSets.voterSet().Version != Before)
    NextRenewal = Now;
  if (!Reply.Granted.empty() || !Reply.Refused.empty())
    UnansweredRounds = 0;
  for (const VoteGrant &Grant : Reply.Granted)
    onGrant(Grant, Reply, SentAt, Now, Out);
  for (const VoteRefusal &Refusal : Reply.Refused)
    onRefusal(Refusal, Reply, Now, Out);
}

void Ownership::extendLease(PartitionState &S) const {
  // The latest time until which a majority of the votes is valid.
  MonotonicTime Latest = S.LeaseEnd;
  for (const auto &[Host, G] : S.Grants) {
    MonotonicTime Until = G.Expires;
    bool Holds = hasMajority(VoterSets.voterSet(), [&](const HostId &H) {
      auto Vote = S.Grants.find(H);
      return Vote != S.Grants.end() && Vote->second.Expires >= Until;
    });
    if (Holds)
      Latest = std::max(Latest, Until);
  }
  S.LeaseEnd = Latest;
}

void Ownership::onGrant(const VoteGrant &NewGrant, const VoteReply &Reply,
                        MonotonicTime SentAt, MonotonicTime Now,
                        OwnershipActions &Out) {
  Partition P = NewGrant.For;
  auto Found = States.find(P);
  if (Found == States.end() || Found->second.CurrentStage == Stage::None)
    return;
  PartitionState &S = Found->second;
  // This host has released its votes since it sent that request.
  if (Reply.Sequence < S.RoundSequence)
    return;
  Grant &G = S.Grants[Reply.Voter];
  G.Expires = std::max(G.Expires, SentAt + LeaseLifetime);
  G.ReadyAt = Now + NewGrant.Wait;
  expireLease(P, S, Now, Out);
  if (S.CurrentStage == Stage::None)
    return;
  extendLease(S);
  if (S.CurrentStage == Stage::Campaigning && Now < S.LeaseEnd)
    S.CurrentStage = Stage::Waiting;
  startIfReady(P, S, Now, Out);
}

void Ownership::onRefusal(const VoteRefusal &Refusal, const VoteReply &Reply,
                          MonotonicTime Now, OwnershipActions &Out) {
  auto Found = States.find(Refusal.For);
  if (Found == States.end())
    return;
  PartitionState &S = Found->second;
  if (S.CurrentStage != Stage::Campaigning || Reply.Sequence != S.RoundSequence)
    return;
  if (S.LastKnownOwner.empty())
    S.LastKnownOwner = Refusal.Holder;
  S.Refusers.insert(Reply.Voter);
  S.LongestRemaining = std::max(S.LongestRemaining, Refusal.Remaining);
  bool CanWin = hasMajority(VoterSets.voterSet(), [&](const HostId &H) {
    return S.Refusers.count(H) == 0;
  });
  if (!CanWin)
    onRoundLost(Refusal.For, S, Now, Out);
}

void Ownership::onRoundLost(Partition P, PartitionState &S, MonotonicTime Now,
                            OwnershipActions &Out) {
  ++Counters.ElectionsLost;
  if (S.Grants.empty() && S.Refusers.empty() &&
      ++UnansweredRounds % UnansweredRoundsBeforeRead == 0)
    VoterSets.requestRead(Now);
  Duration Backoff =
      FirstRetry * (1U << std::min(S.FailedRounds, MaxDoublings));
  Duration Pause =
      Backoff + Duration(Rand.below(static_cast<uint64_t>(Backoff.count())));
  // The partition may be free as soon as the holder's last vote expires.
  if (S.LongestRemaining > Duration::zero())
    Pause = std::min(Pause, S.LongestRemaining + Milliseconds(1));
  if (Now < S.SuccessorUntil)
    Pause = SuccessorRetry;
  ++S.FailedRounds;
  sendRelease(P, S, HostId(), Now, Out);
  S.RetryAt = Now + Pause;
}

void Ownership::onRelease(const OwnershipRelease &Release, MonotonicTime Now,
                          OwnershipActions &Out) {
  Votes.onRelease(Release, Now);
  if (Release.Successor != Options.Self)
    return;
  for (Partition P : Release.Partitions) {
    auto Found = States.find(P);
    if (Found == States.end() || Found->second.CurrentStage != Stage::None)
      continue;
    Found->second.SuccessorUntil = Now + SuccessorHeadStart;
    Found->second.RetryAt = Now;
  }
  requestVotes(Now, Out);
}

} // namespace mimosa
