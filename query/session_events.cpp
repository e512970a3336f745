// Events of a query session: outcomes of sub-requests, acknowledged strikes and
// cancellation by the caller.

#include "query/session.h"

#include <algorithm>
#include <cmath>

namespace mimosa {

QuerySession::SubRequest *QuerySession::findInFlight(SubRequestNumber Number,
                                                     bool IsReply) {
  bool Known = Number.number() < Subs.size();
  if (Known && Subs[Number.number()].State == SubState::InFlight)
    return &Subs[Number.number()];
  if (IsReply) {
    bool Duplicate = Known && Subs[Number.number()].State == SubState::Answered;
    ++(Duplicate ? Counters.DroppedDuplicate : Counters.DroppedLate);
  }
  return nullptr;
}

void QuerySession::onReply(SubRequestNumber Number, SubRequestReply Reply,
                           MonotonicTime Now, QueryActions &Out) {
  SubRequest *Sub = findInFlight(Number, /*IsReply=*/true);
  if (!Sub)
    return;
  if (isValidReply(Number.number(), Reply)) {
    applyReply(Number.number(), Reply, Now, Out);
  } else {
    // The sub-request ran, but its reply cannot be used.
    Plan.avoid(Sub->Backend);
    markLost(*Sub, Now);
    if (Sub->IsCanary)
      onCanaryLost(*Sub, /*BackendLost=*/false, Now, Out);
  }
  advance(Now, Out);
}

bool QuerySession::belongsTo(ShardId Shard, uint32_t SubIndex) const {
  if (Shard.number() >= Shards.size())
    return false;
  uint32_t I = Shards[Shard.number()].LastAttempt;
  while (I != NoIndex && Attempts[I].Sub != SubIndex)
    I = Attempts[I].Previous;
  return I != NoIndex;
}

bool QuerySession::isValidReply(uint32_t SubIndex,
                                const SubRequestReply &Reply) {
  if (Reply.Snapshot != Snapshot) {
    ++Counters.DroppedWrongSnapshot;
    return false;
  }
  for (ShardId Shard : Reply.Shards) {
    if (!belongsTo(Shard, SubIndex)) {
      ++Counters.DroppedWrongShard;
      return false;
    }
  }
  std::optional<ShardId> Checked;
  for (const Hit &H : Reply.Hits) {
    if (H.Shard != Checked && !belongsTo(H.Shard, SubIndex)) {
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

void QuerySession::applyReply(uint32_t SubIndex, SubRequestReply &Reply,
                              MonotonicTime Now, QueryActions &Out) {
  SubRequest &Sub = Subs[SubIndex];
  ++RanSubs;
  uint32_t NewShards = 0;
  for (ShardId Shard : Reply.Shards) {
    if (!Merged.markAnswered(Shard, SubIndex))
      continue;
    Shards[Shard.number()].Answered = true;
    ++NewShards;
    --Sub.PendingShards;
    cancelLosers(Shard.number(), SubIndex, Now, Out);
  }
  Merged.addHits(std::move(Reply.Hits), SubIndex);
  if (Sub.PendingShards > 0 && !Options.Idempotent) {
    // The request may also have run in the shards that the reply leaves out.
    ++UncertainSubs;
    for (uint32_t I = 0; I < Sub.ShardCount; ++I) {
      ShardState &S = Shards[Attempts[Sub.FirstAttempt + I].Shard];
      S.NoResend = !S.Answered;
    }
  }
  if (Sub.Kind == SubKind::Hedge && NewShards > 0)
    ++Counters.HedgeWins;
  endSub(Sub, SubState::Answered, Now - Sub.SentAt, Now);
  if (Sub.IsCanary) {
    CanaryAnswered = true;
    Phase = SessionPhase::Running;
    NextAssignment = Now;
  }
}

void QuerySession::cancelLosers(uint32_t Shard, uint32_t Winner,
                                MonotonicTime Now, QueryActions &Out) {
  for (uint32_t I = Shards[Shard].LastAttempt; I != NoIndex;
       I = Attempts[I].Previous) {
    uint32_t Index = Attempts[I].Sub;
    SubRequest &Loser = Subs[Index];
    if (Index == Winner || Loser.State != SubState::InFlight ||
        --Loser.PendingShards > 0)
      continue;
    // The time since an earlier sub-request was sent is a lower bound of its
    // latency. Without this sample, a slow replica whose sub-requests are all
    // cancelled when their hedges answer would keep a low expected latency.
    std::optional<Duration> AtLeast;
    if (Index < Winner)
      AtLeast = Now - Loser.SentAt;
    Out.ToCancel.emplace_back(Index);
    ++Counters.Cancelled;
    ++UncertainSubs;
    endSub(Loser, SubState::Cancelled, AtLeast, Now);
  }
}

void QuerySession::cancelAll(MonotonicTime Now, QueryActions &Out) {
  for (uint32_t I = FirstSub; I < Subs.size() && InFlight > 0; ++I) {
    SubRequest &Sub = Subs[I];
    if (Sub.State != SubState::InFlight)
      continue;
    // A lower bound of the latency, as in cancelLosers(). One below the hedge
    // delay does not show whether the backend server is slow.
    std::optional<Duration> AtLeast;
    if (Now - Sub.SentAt >= HedgeDelay)
      AtLeast = Now - Sub.SentAt;
    Out.ToCancel.emplace_back(I);
    ++Counters.Cancelled;
    ++UncertainSubs;
    endSub(Sub, SubState::Cancelled, AtLeast, Now);
  }
}

void QuerySession::endSub(SubRequest &Sub, SubState State,
                          std::optional<Duration> Latency, MonotonicTime Now) {
  Sub.State = State;
  --InFlight;
  for (uint32_t I = 0; I < Sub.ShardCount; ++I) {
    ShardState &S = Shards[Attempts[Sub.FirstAttempt + I].Shard];
    --S.InFlight;
    if (S.Answered)
      continue;
    S.NextSend = Now;
    NextAssignment = Now;
    rearmHedges(S);
  }
  Source.onSubRequestEnded(Plan.id(Sub.Backend), Latency, Now);
}

void QuerySession::rearmHedges(const ShardState &S) {
  if (S.InFlight == 0)
    return;
  for (uint32_t I = S.LastAttempt; I != NoIndex; I = Attempts[I].Previous) {
    SubRequest &Other = Subs[Attempts[I].Sub];
    if (Other.State != SubState::InFlight)
      continue;
    Other.HedgeAt = Other.SentAt + HedgeDelay;
    NextHedge = std::min(NextHedge, Other.HedgeAt);
  }
}

void QuerySession::markLost(SubRequest &Sub, MonotonicTime Now) {
  ++UncertainSubs;
  for (uint32_t I = 0; I < Sub.ShardCount; ++I)
    Shards[Attempts[Sub.FirstAttempt + I].Shard].NoResend = !Options.Idempotent;
  endSub(Sub, SubState::Lost, std::nullopt, Now);
}

/// Undoes the counting of shards as asked for a sub-request that was not sent.
void QuerySession::revertAsked(const SubRequest &Sub) {
  for (uint32_t I = 0; I < Sub.ShardCount; ++I) {
    ShardState &S = Shards[Attempts[Sub.FirstAttempt + I].Shard];
    uint32_t Sent = S.LastAttempt;
    while (Sent != NoIndex &&
           Subs[Attempts[Sent].Sub].State == SubState::NotSent)
      Sent = Attempts[Sent].Previous;
    S.Asked = Sent != NoIndex;
    AskedShards -= S.Asked ? 0 : 1;
  }
}

void QuerySession::onRefused(SubRequestNumber Number, Refusal Reason,
                             MonotonicTime Now, QueryActions &Out) {
  SubRequest *Sub = findInFlight(Number, /*IsReply=*/false);
  if (!Sub)
    return;
  ++Counters.Refused;
  Plan.avoid(Sub->Backend);
  bool NotSent = Reason == Refusal::NotSent;
  endSub(*Sub, NotSent ? SubState::NotSent : SubState::Refused, std::nullopt,
         Now);
  if (NotSent)
    revertAsked(*Sub);
  if (Reason == Refusal::UnknownSnapshot)
    restartIfSnapshotGone(*Sub, Now, Out);
  advance(Now, Out);
}

bool QuerySession::hasUntriedReplicas(const SubRequest &Sub) {
  for (uint32_t I = 0; I < Sub.ShardCount; ++I) {
    uint32_t Shard = Attempts[Sub.FirstAttempt + I].Shard;
    bool HasUntried = false;
    for (const BackendServerId &Id : Source.replicas(Snapshot, ShardId(Shard)))
      HasUntried = HasUntried || maySend(Shard, Plan.indexOf(Id));
    if (!HasUntried)
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

void QuerySession::restartIfSnapshotGone(const SubRequest &Sub,
                                         MonotonicTime Now, QueryActions &Out) {
  bool MayHaveRun = InFlight + RanSubs + UncertainSubs > 0;
  if (Counters.Restarts >= MaxRestarts || (!Options.Idempotent && MayHaveRun))
    return;
  Excluded.push_back(Snapshot);
  std::optional<SnapshotChoice> Choice = Source.chooseSnapshot(Excluded, Now);
  // The snapshot counts as gone if a second backend server does not have it, or
  // if a shard has no other replica. Without answers and sub-requests in flight
  // a restart discards nothing, so the first refusal is enough if the other
  // snapshot is complete.
  bool Gone = ++UnknownSnapshotRefusals > 1 || !hasUntriedReplicas(Sub);
  bool DiscardsNothing = InFlight == 0 && Merged.answered() == 0;
  bool Usable = Choice && Choice->TotalShards > 0;
  if (!Usable || !(Gone || (DiscardsNothing && coversAllShards(*Choice)))) {
    Excluded.pop_back();
    return;
  }
  cancelAll(Now, Out);
  ++Counters.Restarts;
  pin(*Choice);
}

void QuerySession::onLost(SubRequestNumber Number, bool BackendLost,
                          MonotonicTime Now, QueryActions &Out) {
  SubRequest *Sub = findInFlight(Number, /*IsReply=*/false);
  if (!Sub)
    return;
  ++Counters.Lost;
  Plan.avoid(Sub->Backend);
  if (BackendLost) {
    ++Counters.BackendsLost;
    for (uint32_t I = 0; I < Sub->ShardCount; ++I)
      ++Shards[Attempts[Sub->FirstAttempt + I].Shard].BackendLosses;
  }
  markLost(*Sub, Now);
  if (Sub->IsCanary)
    onCanaryLost(*Sub, BackendLost, Now, Out);
  advance(Now, Out);
}

void QuerySession::onCanaryLost(const SubRequest &Sub, bool BackendLost,
                                MonotonicTime Now, QueryActions &Out) {
  ++CanaryLosses;
  if (BackendLost) {
    ++Counters.Strikes;
    Out.Strike = Plan.id(Sub.Backend);
    Phase = SessionPhase::AwaitingStrikeAck;
    return;
  }
  // A canary that is lost for an unknown reason may have crashed its backend
  // server, so the number of such losses is limited too.
  if (!Options.Idempotent || CanaryLosses >= QuarantineStrikes)
    finish(std::nullopt, Now, Out);
}

void QuerySession::onStrikeAcknowledged(uint32_t Strikes, MonotonicTime Now,
                                        QueryActions &Out) {
  if (Phase != SessionPhase::AwaitingStrikeAck)
    return;
  Phase = SessionPhase::Canary;
  uint64_t KnownStrikes = Options.PriorStrikes + Counters.Strikes;
  bool Quarantined = Strikes >= QuarantineStrikes ||
                     KnownStrikes >= QuarantineStrikes ||
                     CanaryLosses >= QuarantineStrikes;
  if (Abandoned)
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
  Abandoned = true;
  if (Phase == SessionPhase::AwaitingStrikeAck)
    return;
  finish(Error{ResultCode::Cancelled, "cancelled by the caller"}, Now, Out);
}

} // namespace mimosa
