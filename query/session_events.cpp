// The outcomes of sub-requests and the events from the caller's side.

#include "query/session.h"

#include <algorithm>
#include <cmath>

namespace mimosa {

QuerySession::SubRequest *QuerySession::inFlight(SubRequestNumber Number,
                                                 bool IsAnswer) {
  bool Known = Number.number() < Subs.size();
  if (Known && Subs[Number.number()].State == SubState::InFlight)
    return &Subs[Number.number()];
  if (IsAnswer) {
    bool Second = Known && Subs[Number.number()].State == SubState::Answered;
    ++(Second ? Counters.DroppedDuplicate : Counters.DroppedLate);
  }
  return nullptr;
}

void QuerySession::onReply(SubRequestNumber Number, SubRequestReply Reply,
                           MonotonicTime Now, QueryActions &Out) {
  SubRequest *Sub = inFlight(Number, /*IsAnswer=*/true);
  if (!Sub)
    return;
  if (acceptable(Number.number(), Reply)) {
    accept(Number.number(), Reply, Now, Out);
  } else {
    // It ran, but what it returned cannot be used.
    Plan.avoid(Sub->Backend);
    lose(*Sub, Now);
    if (Sub->Canary)
      loseCanary(*Sub, /*BackendLost=*/false, Now, Out);
  }
  advance(Now, Out);
}

bool QuerySession::asked(ShardId Shard, uint32_t SubIndex) const {
  if (Shard.number() >= Shards.size())
    return false;
  uint32_t I = Shards[Shard.number()].LastAttempt;
  while (I != NoBackend && Attempts[I].Sub != SubIndex)
    I = Attempts[I].Previous;
  return I != NoBackend;
}

bool QuerySession::acceptable(uint32_t SubIndex, const SubRequestReply &Reply) {
  if (Reply.Snapshot != Snapshot) {
    ++Counters.DroppedWrongSnapshot;
    return false;
  }
  for (ShardId Shard : Reply.Shards) {
    if (!asked(Shard, SubIndex)) {
      ++Counters.DroppedWrongShard;
      return false;
    }
  }
  std::optional<ShardId> Checked;
  for (const Hit &H : Reply.Hits) {
    if (H.Shard != Checked && !asked(H.Shard, SubIndex)) {
      ++Counters.DroppedWrongShard;
      return false;
    }
    Checked = H.Shard;
    if (!std::isfinite(H.Score)) {
      ++Counters.DroppedBadHit;
      return false;
    }
  }
  return true;
}

void QuerySession::accept(uint32_t SubIndex, SubRequestReply &Reply,
                          MonotonicTime Now, QueryActions &Out) {
  SubRequest &Sub = Subs[SubIndex];
  ++RanSubs;
  uint32_t NewShards = 0;
  for (ShardId Shard : Reply.Shards) {
    if (!Merged.answer(Shard, SubIndex))
      continue;
    Shards[Shard.number()].Answered = true;
    ++NewShards;
    --Sub.Pending;
    cancelLosers(Shard.number(), SubIndex, Now, Out);
  }
  Merged.add(std::move(Reply.Hits), SubIndex);
  if (Sub.Pending > 0 && !Options.Idempotent) {
    // The shards that the reply leaves out may have run.
    ++UncertainSubs;
    for (uint32_t I = 0; I < Sub.Count; ++I) {
      ShardState &S = Shards[Attempts[Sub.FirstAttempt + I].Shard];
      S.Closed = !S.Answered;
    }
  }
  if (Sub.Kind == SubKind::Hedge && NewShards > 0)
    ++Counters.HedgeWins;
  end(Sub, SubState::Answered, Now - Sub.SentAt, Now);
  if (Sub.Canary) {
    CanaryAnswered = true;
    Phase = SessionPhase::Running;
    NextPlacement = Now;
  }
}

void QuerySession::cancelLosers(uint32_t Shard, uint32_t Winner,
                                MonotonicTime Now, QueryActions &Out) {
  for (uint32_t I = Shards[Shard].LastAttempt; I != NoBackend;
       I = Attempts[I].Previous) {
    uint32_t Index = Attempts[I].Sub;
    SubRequest &Loser = Subs[Index];
    if (Index == Winner || Loser.State != SubState::InFlight ||
        --Loser.Pending > 0)
      continue;
    // An earlier sub-request is known to take at least this long. Without the
    // sample a slow replica that always loses would keep looking fast.
    std::optional<Duration> AtLeast;
    if (Index < Winner)
      AtLeast = Now - Loser.SentAt;
    Out.ToCancel.emplace_back(Index);
    ++Counters.Cancelled;
    ++UncertainSubs;
    end(Loser, SubState::Cancelled, AtLeast, Now);
  }
}

void QuerySession::cancelAll(MonotonicTime Now, QueryActions &Out) {
  for (uint32_t I = FirstSub; I < Subs.size() && InFlight > 0; ++I) {
    SubRequest &Sub = Subs[I];
    if (Sub.State != SubState::InFlight)
      continue;
    // As above; a short time says nothing about the speed.
    std::optional<Duration> AtLeast;
    if (Now - Sub.SentAt >= HedgeDelay)
      AtLeast = Now - Sub.SentAt;
    Out.ToCancel.emplace_back(I);
    ++Counters.Cancelled;
    ++UncertainSubs;
    end(Sub, SubState::Cancelled, AtLeast, Now);
  }
}

void QuerySession::end(SubRequest &Sub, SubState State,
                       std::optional<Duration> Latency, MonotonicTime Now) {
  Sub.State = State;
  --InFlight;
  for (uint32_t I = 0; I < Sub.Count; ++I) {
    ShardState &S = Shards[Attempts[Sub.FirstAttempt + I].Shard];
    --S.InFlight;
    if (S.Answered)
      continue;
    S.NextTry = Now;
    NextPlacement = Now;
    rearmHedges(S);
  }
  Source.onSubRequestEnded(Plan.id(Sub.Backend), Latency, Now);
}

void QuerySession::rearmHedges(const ShardState &S) {
  if (S.InFlight == 0)
    return;
  for (uint32_t I = S.LastAttempt; I != NoBackend; I = Attempts[I].Previous) {
    SubRequest &Other = Subs[Attempts[I].Sub];
    if (Other.State != SubState::InFlight)
      continue;
    Other.HedgeAt = Other.SentAt + HedgeDelay;
    NextHedge = std::min(NextHedge, Other.HedgeAt);
  }
}

void QuerySession::lose(SubRequest &Sub, MonotonicTime Now) {
  ++UncertainSubs;
  for (uint32_t I = 0; I < Sub.Count; ++I)
    Shards[Attempts[Sub.FirstAttempt + I].Shard].Closed = !Options.Idempotent;
  end(Sub, SubState::Lost, std::nullopt, Now);
}

/// Takes back the coverage of a sub-request that never left this host.
void QuerySession::forgetAsked(const SubRequest &Sub) {
  for (uint32_t I = 0; I < Sub.Count; ++I) {
    ShardState &S = Shards[Attempts[Sub.FirstAttempt + I].Shard];
    uint32_t Sent = S.LastAttempt;
    while (Sent != NoBackend &&
           Subs[Attempts[Sent].Sub].State == SubState::NotSent)
      Sent = Attempts[Sent].Previous;
    S.Asked = Sent != NoBackend;
    AskedShards -= S.Asked ? 0 : 1;
  }
}

void QuerySession::onRefused(SubRequestNumber Number, Refusal Why,
                             MonotonicTime Now, QueryActions &Out) {
  SubRequest *Sub = inFlight(Number, /*IsAnswer=*/false);
  if (!Sub)
    return;
  ++Counters.Refused;
  Plan.avoid(Sub->Backend);
  bool NotSent = Why == Refusal::NotSent;
  end(*Sub, NotSent ? SubState::NotSent : SubState::Refused, std::nullopt, Now);
  if (NotSent)
    forgetAsked(*Sub);
  if (Why == Refusal::UnknownSnapshot)
    restartIfGone(*Sub, Now, Out);
  advance(Now, Out);
}

bool QuerySession::untriedReplicas(const SubRequest &Sub) {
  for (uint32_t I = 0; I < Sub.Count; ++I) {
    uint32_t Shard = Attempts[Sub.FirstAttempt + I].Shard;
    bool Found = false;
    for (const BackendServerId &Id : Source.replicas(Snapshot, ShardId(Shard)))
      Found = Found || mayAsk(Shard, Plan.number(Id));
    if (!Found)
      return false;
  }
  return true;
}

bool QuerySession::coversAllShards(const SnapshotChoice &Choice) const {
  for (uint32_t I = 0; I < Choice.TotalShards; ++I)
    if (Source.replicas(Choice.Snapshot, ShardId(I)).empty())
      return false;
  return true;
}

void QuerySession::restartIfGone(const SubRequest &Sub, MonotonicTime Now,
                                 QueryActions &Out) {
  bool MayHaveRun = InFlight + RanSubs + UncertainSubs > 0;
  if (Counters.Restarts >= MaxRestarts || (!Options.Idempotent && MayHaveRun))
    return;
  Excluded.push_back(Snapshot);
  std::optional<SnapshotChoice> Choice = Source.chooseSnapshot(Excluded, Now);
  // One backend server that has dropped the snapshot does not make it
  // unusable: a second one does, or the last replica. A query that has nothing
  // to lose goes to a snapshot that is complete at once.
  bool Gone = ++UnknownSnapshotRefusals > 1 || !untriedReplicas(Sub);
  bool Free = InFlight == 0 && Merged.answered() == 0;
  bool Usable = Choice && Choice->TotalShards > 0;
  if (!Usable || !(Gone || (Free && coversAllShards(*Choice)))) {
    Excluded.pop_back();
    return;
  }
  cancelAll(Now, Out);
  ++Counters.Restarts;
  pin(*Choice);
}

void QuerySession::onLost(SubRequestNumber Number, bool BackendLost,
                          MonotonicTime Now, QueryActions &Out) {
  SubRequest *Sub = inFlight(Number, /*IsAnswer=*/false);
  if (!Sub)
    return;
  ++Counters.Lost;
  Plan.avoid(Sub->Backend);
  if (BackendLost) {
    ++Counters.BackendsLost;
    for (uint32_t I = 0; I < Sub->Count; ++I)
      ++Shards[Attempts[Sub->FirstAttempt + I].Shard].BackendLosses;
  }
  lose(*Sub, Now);
  if (Sub->Canary)
    loseCanary(*Sub, BackendLost, Now, Out);
  advance(Now, Out);
}

void QuerySession::loseCanary(const SubRequest &Sub, bool BackendLost,
                              MonotonicTime Now, QueryActions &Out) {
  ++CanaryLosses;
  if (BackendLost) {
    ++Counters.Strikes;
    Out.Strike = Plan.id(Sub.Backend);
    Phase = SessionPhase::AwaitingStrike;
    return;
  }
  // A loss without a reason may hide a crash, so such losses are limited too.
  if (!Options.Idempotent || CanaryLosses >= QuarantineStrikes)
    finish(std::nullopt, Now, Out);
}

void QuerySession::onStrikeAcknowledged(uint32_t Strikes, MonotonicTime Now,
                                        QueryActions &Out) {
  if (Phase != SessionPhase::AwaitingStrike)
    return;
  Phase = SessionPhase::Canary;
  uint64_t Known = Options.PriorStrikes + Counters.Strikes;
  bool Quarantined = Strikes >= QuarantineStrikes ||
                     Known >= QuarantineStrikes ||
                     CanaryLosses >= QuarantineStrikes;
  if (CallerGone)
    finish(Error{ResultCode::Cancelled, "cancelled by the caller"}, Now, Out);
  else if (Quarantined || !Options.Idempotent)
    finish(std::nullopt, Now, Out);
  else
    advance(Now, Out);
}

void QuerySession::onCancelled(SubRequestNumber Number, MonotonicTime Now,
                               QueryActions &Out) {
  onLost(Number, /*BackendLost=*/false, Now, Out);
}

void QuerySession::onAbandoned(MonotonicTime Now, QueryActions &Out) {
  if (finished())
    return;
  CallerGone = true;
  if (Phase == SessionPhase::AwaitingStrike)
    return;
  finish(Error{ResultCode::Cancelled, "cancelled by the caller"}, Now, Out);
}

} // namespace mimosa
