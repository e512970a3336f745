#include "ownership/voter.h"

namespace mimosa {
namespace {

/// Time that a named successor has before the voterSet look for another owner.
constexpr Duration SuccessorTime = Milliseconds(300);
/// Time that the preferred owner has when no vote is known yet.
constexpr Duration FirstOwnerTime = Milliseconds(1000);

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
  if (!V.Given || Now < V.Expires)
    return;
  V.Given = false;
  V.FreeSince = V.Expires;
  V.BusyUntil = std::max(V.BusyUntil, V.Expires + SubRequestLimit);
}

Voter::Vote &Voter::voteOn(Partition P, MonotonicTime Now) {
  auto [Found, IsNew] = Votes.try_emplace(P);
  Vote &V = Found->second;
  if (IsNew) {
    V.FreeSince = AbstainUntil + FirstOwnerTime;
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
    if (V.Given && !IsHolder) {
      Reply.Refused.push_back({P, V.Holder, V.Expires - Now});
      continue;
    }
    // A request that a release of the same candidate has overtaken.
    if (IsHolder && Request.Sequence <= V.VoidUpTo)
      continue;
    if (!IsHolder) {
      V.VoidUpTo = VoteSequence();
      V.LastGranted = VoteSequence();
    }
    V.LastGranted = std::max(V.LastGranted, Request.Sequence);
    V.Holder = Request.Candidate;
    V.HolderIncarnation = Request.CandidateIncarnation;
    V.Given = true;
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
    // The vote is for another host, or was asked for after the release.
    if (V.Given && (!IsHolder || V.LastGranted > Release.Sequence))
      continue;
    // Kept without a vote too: the release may overtake its own request.
    V.Holder = Release.Owner;
    V.HolderIncarnation = Release.OwnerIncarnation;
    V.VoidUpTo =
        IsHolder ? std::max(V.VoidUpTo, Release.Sequence) : Release.Sequence;
    if (V.Given)
      V.FreeSince = Release.Successor.empty() ? Now : Now + SuccessorTime;
    V.Given = false;
    V.BusyUntil = std::max(V.BusyUntil, Now + Release.Busy);
  }
}

std::optional<MonotonicTime> Voter::freeSince(Partition P,
                                              MonotonicTime Now) const {
  if (Now < AbstainUntil)
    return std::nullopt;
  auto Found = Votes.find(P);
  if (Found == Votes.end())
    return AbstainUntil + FirstOwnerTime;
  const Vote &V = Found->second;
  if (!V.Given)
    return V.FreeSince;
  if (Now < V.Expires)
    return std::nullopt;
  return V.Expires;
}

} // namespace mimosa
