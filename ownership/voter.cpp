#include "ownership/voter.h"

namespace mimosa {
namespace {

/// How long the named successor of a release has before the voters may take
/// over.
constexpr Duration SuccessorHeadStart = Milliseconds(300);
/// How long the preferred owner has before the voters may take over a partition
/// without a known vote.
constexpr Duration PreferredHeadStart = Milliseconds(1000);

} // namespace

Voter::Voter(HostId Self, Duration SubRequestLimit, MonotonicTime Now)
    : Self(std::move(Self)), SubRequestLimit(SubRequestLimit) {
  reset(Now);
}

void Voter::reset(MonotonicTime Now) {
  Votes.clear();
  AbstainUntil = Now + VoteLifetime;
  UnknownBusyUntil = AbstainUntil + SubRequestLimit;
}

void Voter::expire(Vote &V, MonotonicTime Now) const {
  if (!V.Granted || Now < V.Expires)
    return;
  V.Granted = false;
  V.FreeSince = V.Expires;
  V.BusyUntil = std::max(V.BusyUntil, V.Expires + SubRequestLimit);
}

Voter::Vote &Voter::voteOn(Partition P, MonotonicTime Now) {
  auto [Found, IsNew] = Votes.try_emplace(P);
  Vote &V = Found->second;
  if (IsNew) {
    V.FreeSince = AbstainUntil + PreferredHeadStart;
    V.BusyUntil = UnknownBusyUntil;
  }
  expire(V, Now);
  return V;
}

VoteReply Voter::answer(const VoteRequest &Request, VoterSetManager &VoterSets,
                        MonotonicTime Now) {
  VoterSets.adopt(Request.Voters);
  VoteReply Reply;
  Reply.Service = Request.Service;
  Reply.Region = Request.Region;
  Reply.Voter = Self;
  Reply.CandidateIncarnation = Request.CandidateIncarnation;
  Reply.Sequence = Request.Sequence;
  Reply.Version = VoterSets.voterSet().Version;
  Reply.Recovered = VoterSets.recovered();
  if (Request.Version < Reply.Version)
    Reply.Voters = VoterSets.voterSet();
  bool MayVote = VoterSets.recovered() && Now >= AbstainUntil &&
                 Request.Version == Reply.Version &&
                 VoterSets.voters().count(Self) > 0;
  if (!MayVote)
    return Reply;
  for (Partition P : Request.Partitions) {
    Vote &V = voteOn(P, Now);
    bool IsHolder = V.Holder == Request.Candidate &&
                    V.HolderIncarnation == Request.CandidateIncarnation;
    if (V.Granted && !IsHolder) {
      Reply.Refused.push_back({P, V.Holder, V.Expires - Now});
      continue;
    }
    // A later release of the same candidate arrived before this request.
    if (IsHolder && Request.Sequence <= V.VoidUpTo)
      continue;
    if (!IsHolder) {
      V.VoidUpTo = VoteSequence();
      V.LastGranted = VoteSequence();
    }
    V.LastGranted = std::max(V.LastGranted, Request.Sequence);
    V.Holder = Request.Candidate;
    V.HolderIncarnation = Request.CandidateIncarnation;
    V.Granted = true;
    V.Expires = Now + VoteLifetime;
    Duration Wait = std::max(V.BusyUntil - Now, Duration::zero());
    Reply.Granted.push_back({P, Wait});
  }
  return Reply;
}

void Voter::onRelease(const OwnershipRelease &Release, MonotonicTime Now) {
  for (Partition P : Release.Partitions) {
    Vote &V = voteOn(P, Now);
    bool IsHolder = V.Holder == Release.Owner &&
                    V.HolderIncarnation == Release.OwnerIncarnation;
    // The vote is for another host, or for a request after the release.
    if (V.Granted && (!IsHolder || V.LastGranted > Release.Sequence))
      continue;
    // Recorded even without a vote, because the release may overtake the
    // request that it voids.
    V.Holder = Release.Owner;
    V.HolderIncarnation = Release.OwnerIncarnation;
    V.VoidUpTo =
        IsHolder ? std::max(V.VoidUpTo, Release.Sequence) : Release.Sequence;
    if (V.Granted)
      V.FreeSince = Release.Successor.empty() ? Now : Now + SuccessorHeadStart;
    V.Granted = false;
    V.BusyUntil = std::max(V.BusyUntil, Now + Release.Busy);
  }
}

std::optional<MonotonicTime> Voter::freeSince(Partition P,
                                              MonotonicTime Now) const {
  if (Now < AbstainUntil)
    return std::nullopt;
  auto Found = Votes.find(P);
  if (Found == Votes.end())
    return AbstainUntil + PreferredHeadStart;
  const Vote &V = Found->second;
  if (!V.Granted)
    return V.FreeSince;
  if (Now < V.Expires)
    return std::nullopt;
  return V.Expires;
}

} // namespace mimosa
