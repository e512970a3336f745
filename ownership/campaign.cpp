#include "base/rendezvous.h"
#include "ownership/ownership.h"

namespace mimosa {
namespace {

constexpr Duration RenewInterval = Milliseconds(400);
/// A round whose votes are not in after this long is lost; availability zones
/// are about 1 ms apart.
constexpr Duration RoundTimeout = Milliseconds(100);
/// Two candidates can split the votes; random pauses let one of them win.
constexpr Duration FirstRetry = Milliseconds(25);
constexpr uint32_t MostDoublings = 4;
/// A named successor can ask before the voters know of the release.
constexpr Duration SuccessorRetry = Milliseconds(5);
constexpr Duration SuccessorTime = Milliseconds(300);
/// Pause between the voterSet that take over by themselves, so that they rarely
/// split the votes.
constexpr Duration TakeoverStagger = Milliseconds(40);
constexpr Duration AskPeersInterval = Seconds(1);
/// After this many rounds without any vote or refusal the voterSet are read
/// again: this host may know only voterSet that are gone.
constexpr uint32_t SilentRoundsBeforeRead = 10;

} // namespace

bool Ownership::takeoverIsDue(Partition P, const State &S,
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

bool Ownership::shouldCampaign(Partition P, const State &S,
                               MonotonicTime Now) const {
  if (Leaving || S.Preferred.empty() || S.Now != Stage::None || Now < S.RetryAt)
    return false;
  return S.Preferred == Options.Self || Now < S.SuccessorUntil ||
         takeoverIsDue(P, S, Now);
}

void Ownership::requestVotes(MonotonicTime Now, OwnershipActions &Out) {
  if (VoterSets.voterSet().Version == VoterSetVersion())
    return;
  bool Renews = Now >= RenewAt;
  std::vector<Partition> Asked;
  for (auto &[P, S] : States) {
    if (S.Now == Stage::Campaigning && Now - S.RoundStart >= RoundTimeout)
      onRoundLost(P, S, Now, Out);
    if (shouldCampaign(P, S, Now)) {
      S.Now = Stage::Campaigning;
      S.Round = LastRound.next();
      S.RoundStart = Now;
      Asked.push_back(P);
    } else if (Renews && (S.Now == Stage::Waiting || S.Now == Stage::Owning ||
                          S.Now == Stage::Releasing)) {
      Asked.push_back(P);
    }
  }
  if (Renews)
    RenewAt = Now + RenewInterval;
  if (!Asked.empty())
    startRound(std::move(Asked), Now, Out);
}

void Ownership::askPeersForVoterSet(MonotonicTime Now, OwnershipActions &Out) {
  if (!VoterSets.mustAskPeers() || Now < AskPeersAt)
    return;
  AskPeersAt = Now + AskPeersInterval;
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
  // The present owner hands over to the preferred one when it asks.
  for (Partition P : Partitions)
    if (const State &S = States[P];
        S.Now == Stage::Campaigning && !S.LastKnownOwner.empty())
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

void Ownership::resendWithVoterSet(const VoteReply &Reply, Round &Asked,
                                   OwnershipActions &Out) {
  if (!Asked.Resent.insert(Reply.Voter).second)
    return;
  VoteRequest Request = makeRequest(Reply.Sequence, Asked.Partitions);
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
  // Votes under a new version are asked for at once.
  if (VoterSets.voterSet().Version != Before)
    RenewAt = Now;
  if (!Reply.Granted.empty() || !Reply.Refused.empty())
    SilentRounds = 0;
  for (const VoteGrant &Grant : Reply.Granted)
    onGrant(Grant, Reply, SentAt, Now, Out);
  for (const VoteRefusal &Refusal : Reply.Refused)
    onRefusal(Refusal, Reply, Now, Out);
}

void Ownership::extendLease(State &S) const {
  // The latest time at which a majority of the votes is still valid.
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

void Ownership::onGrant(const VoteGrant &Given, const VoteReply &Reply,
                        MonotonicTime SentAt, MonotonicTime Now,
                        OwnershipActions &Out) {
  Partition P = Given.For;
  auto Found = States.find(P);
  if (Found == States.end() || Found->second.Now == Stage::None)
    return;
  State &S = Found->second;
  // A vote that was given before a release of this host is void.
  if (Reply.Sequence < S.Round)
    return;
  Grant &G = S.Grants[Reply.Voter];
  G.Expires = std::max(G.Expires, SentAt + LeaseLifetime);
  G.Ready = Now + Given.Wait;
  expireLease(P, S, Now, Out);
  if (S.Now == Stage::None)
    return;
  extendLease(S);
  if (S.Now == Stage::Campaigning && Now < S.LeaseEnd)
    S.Now = Stage::Waiting;
  startIfReady(P, S, Now, Out);
}

void Ownership::onRefusal(const VoteRefusal &Refusal, const VoteReply &Reply,
                          MonotonicTime Now, OwnershipActions &Out) {
  auto Found = States.find(Refusal.For);
  if (Found == States.end())
    return;
  State &S = Found->second;
  if (S.Now != Stage::Campaigning || Reply.Sequence != S.Round)
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

void Ownership::onRoundLost(Partition P, State &S, MonotonicTime Now,
                            OwnershipActions &Out) {
  ++Counters.ElectionsLost;
  if (S.Grants.empty() && S.Refusers.empty() &&
      ++SilentRounds % SilentRoundsBeforeRead == 0)
    VoterSets.requestRead(Now);
  Duration Backoff =
      FirstRetry * (1U << std::min(S.FailedRounds, MostDoublings));
  Duration Pause =
      Backoff + Duration(Rand.below(static_cast<uint64_t>(Backoff.count())));
  // The votes may be free just after a holder's last one expires.
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
    if (Found == States.end() || Found->second.Now != Stage::None)
      continue;
    Found->second.SuccessorUntil = Now + SuccessorTime;
    Found->second.RetryAt = Now;
  }
  requestVotes(Now, Out);
}

} // namespace mimosa
