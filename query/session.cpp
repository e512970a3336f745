#include "query/session.h"

#include <algorithm>

namespace mimosa {

namespace {

/// A pause is at most RetryPause << MaxPauseDoublings.
constexpr uint8_t MaxPauseDoublings = 3;

/// Shortest time until a denied hedge is attempted again.
constexpr Duration MinHedgeInterval = Milliseconds(1);

/// Time until a denied hedge is attempted again. Each first sub-request of the
/// service adds to the budget, so a later attempt often succeeds.
Duration hedgeInterval(Duration HedgeDelay) {
  return std::max(HedgeDelay, MinHedgeInterval);
}

} // namespace

void QueryActions::clear() {
  ToSend.clear();
  ToCancel.clear();
  Strike.reset();
  Answer.reset();
  WakeUp.reset();
}

QuerySession::QuerySession(const QuerySessionOptions &Options,
                           ReplicaSource &Source, Random &Rand)
    : Options(Options), Source(Source), Plan(Source, Rand),
      Merged(Options.Limit),
      Phase(Options.KnownGood ? SessionPhase::Running : SessionPhase::Canary) {}

void QuerySession::start(MonotonicTime Now, QueryActions &Out) {
  std::optional<SnapshotChoice> Choice = Source.chooseSnapshot(Excluded, Now);
  if (!Choice || Choice->TotalShards == 0) {
    finish(Error{ResultCode::NoBackend,
                 "no snapshot of the index has a usable backend server"},
           Now, Out);
    return;
  }
  pin(*Choice);
  advance(Now, Out);
}

void QuerySession::pin(const SnapshotChoice &Choice) {
  Snapshot = Choice.Snapshot;
  Shards.assign(Choice.TotalShards, ShardState());
  Subs.reserve(Subs.size() + Choice.TotalShards);
  Attempts.reserve(Attempts.size() + Choice.TotalShards);
  Merged.reset(Choice.TotalShards);
  FirstSub = static_cast<uint32_t>(Subs.size());
  AskedShards = 0;
  UnknownSnapshotRefusals = 0;
  NextAssignment = MonotonicTime::min();
  NextHedge = MonotonicTime::max();
}

void QuerySession::onTimer(MonotonicTime Now, QueryActions &Out) {
  advance(Now, Out);
}

void QuerySession::advance(MonotonicTime Now, QueryActions &Out) {
  if (finished())
    return;
  if (Now >= Options.Deadline || Merged.answered() == Merged.total()) {
    finish(std::nullopt, Now, Out);
    return;
  }
  if (Phase != SessionPhase::AwaitingStrikeAck) {
    assignShards(Now, Out);
    if (!finished() && Phase == SessionPhase::Running)
      hedge(Now, Out);
    if (!finished() && hasNoWorkLeft(Now))
      finish(std::nullopt, Now, Out);
  }
  if (!finished())
    Out.WakeUp = wakeUp();
}

bool QuerySession::needsSubRequest(const ShardState &S) const {
  return !S.Answered && !S.NoResend && S.InFlight == 0 &&
         S.BackendLosses < MaxShardLosses;
}

bool QuerySession::hasNoWorkLeft(MonotonicTime Now) const {
  if (InFlight > 0)
    return false;
  // Every sub-request was refused and the budget denied a retry, so waiting
  // would not help. Ending the query now as not run allows its caller to send
  // it elsewhere.
  if (RetryDenied && RanSubs == 0 && UncertainSubs == 0)
    return true;
  bool InGrace = Now < Options.Received + MissingReplicaGrace;
  return std::none_of(Shards.begin(), Shards.end(), [&](const ShardState &S) {
    return needsSubRequest(S) && (!S.NoReplica || InGrace);
  });
}

MonotonicTime QuerySession::wakeUp() const {
  MonotonicTime Next = Options.Deadline;
  if (Phase == SessionPhase::Running)
    Next = std::min(Next, NextAssignment);
  if (Phase == SessionPhase::Running && Options.Idempotent)
    Next = std::min(Next, NextHedge);
  if (Phase == SessionPhase::Canary && InFlight == 0)
    Next = std::min(Next, NextAssignment);
  return Next;
}

void QuerySession::collectReady(MonotonicTime Now) {
  ReadyFirst.clear();
  ReadyRetry.clear();
  NextAssignment = MonotonicTime::max();
  for (uint32_t I = 0; I < Shards.size(); ++I) {
    const ShardState &S = Shards[I];
    if (!needsSubRequest(S))
      continue;
    if (S.NextSend > Now)
      NextAssignment = std::min(NextAssignment, S.NextSend);
    else
      (S.Asked ? ReadyRetry : ReadyFirst).push_back(I);
  }
}

void QuerySession::assignShards(MonotonicTime Now, QueryActions &Out) {
  bool CanaryInFlight = Phase == SessionPhase::Canary && InFlight > 0;
  if (Now < NextAssignment || CanaryInFlight)
    return;
  RetryDenied = false;
  collectReady(Now);
  assignReady(ReadyFirst, SubKind::First, Now, Out);
  if (finished() || (Phase == SessionPhase::Canary && InFlight > 0))
    return;
  assignReady(ReadyRetry, SubKind::Retry, Now, Out);
}

void QuerySession::assignReady(std::vector<uint32_t> &Ready, SubKind Kind,
                               MonotonicTime Now, QueryActions &Out) {
  if (Ready.empty())
    return;
  Groups.clear();
  Unassigned.clear();
  auto MaySend = [this](uint32_t Shard, uint32_t Backend) {
    return maySend(Shard, Backend);
  };
  Plan.assign(Snapshot, Ready, MaySend, Now, Groups, Unassigned);
  // A request that may run only once must not start if it cannot cover all
  // shards.
  if (!Options.Idempotent && Subs.empty() && !Unassigned.empty()) {
    finish(
        Error{ResultCode::NoBackend,
              std::to_string(Unassigned.size()) +
                  " shards have no usable backend server, so the request was "
                  "not started"},
        Now, Out);
    return;
  }
  HedgeDelay = Source.hedgeDelay(Now);
  Out.ToSend.reserve(Out.ToSend.size() + Groups.size());
  for (ShardGroup &Group : Groups) {
    if (Kind == SubKind::First || Source.tryTakeExtra(ExtraLoad::Retry, Now)) {
      send(Group, Kind, Now, Out);
      if (Phase == SessionPhase::Canary)
        break;
      continue;
    }
    ++Counters.RetriesDenied;
    RetryDenied = true;
    for (ShardId Shard : Group.Shards)
      postpone(Shards[Shard.number()], Now);
  }
  postponeUnassigned(Now);
}

void QuerySession::postponeUnassigned(MonotonicTime Now) {
  for (uint32_t I : Unassigned) {
    ShardState &S = Shards[I];
    S.NoReplica = Source.replicas(Snapshot, ShardId(I)).empty();
    S.RoundStart = static_cast<uint32_t>(Subs.size());
    postpone(S, Now);
  }
}

void QuerySession::postpone(ShardState &S, MonotonicTime Now) {
  S.NextSend = Now + Options.RetryPause * (1 << S.Pauses);
  S.Pauses = std::min<uint8_t>(S.Pauses + 1, MaxPauseDoublings);
  NextAssignment = std::min(NextAssignment, S.NextSend);
}

bool QuerySession::maySend(uint32_t Shard, uint32_t Backend) const {
  const ShardState &S = Shards[Shard];
  for (uint32_t I = S.LastAttempt; I != NoIndex; I = Attempts[I].Previous) {
    if (Attempts[I].Sub < S.RoundStart && S.InFlight == 0)
      break;
    const SubRequest &Earlier = Subs[Attempts[I].Sub];
    bool Excludes =
        Attempts[I].Sub >= S.RoundStart || Earlier.State == SubState::InFlight;
    if (Earlier.Backend == Backend && Excludes)
      return false;
  }
  return true;
}

void QuerySession::send(ShardGroup &Group, SubKind Kind, MonotonicTime Now,
                        QueryActions &Out) {
  auto Index = static_cast<uint32_t>(Subs.size());
  SubRequest &Sub = Subs.emplace_back();
  Sub.Backend = Group.Backend;
  Sub.FirstAttempt = static_cast<uint32_t>(Attempts.size());
  Sub.ShardCount = Sub.PendingShards =
      static_cast<uint32_t>(Group.Shards.size());
  Sub.Kind = Kind;
  Sub.IsCanary = Phase == SessionPhase::Canary;
  Sub.SentAt = Now;
  Sub.HedgeAt = Now + HedgeDelay;
  NextHedge = std::min(NextHedge, Sub.HedgeAt);

  OutgoingSubRequest &Outgoing = Out.ToSend.emplace_back();
  Outgoing.Number = SubRequestNumber(Index);
  Outgoing.Backend = Plan.id(Group.Backend);
  Outgoing.Snapshot = Snapshot;
  for (ShardId Shard : Group.Shards) {
    ShardState &S = Shards[Shard.number()];
    AskedShards += S.Asked ? 0 : 1;
    S.Asked = true;
    S.NoReplica = false;
    ++S.InFlight;
    Attempts.push_back({Shard.number(), Index, S.LastAttempt});
    S.LastAttempt = static_cast<uint32_t>(Attempts.size() - 1);
  }
  Outgoing.Shards = std::move(Group.Shards);
  ++InFlight;
  ++Counters.SubRequests;
  Counters.Retries += Kind == SubKind::Retry ? 1 : 0;
  Counters.Hedges += Kind == SubKind::Hedge ? 1 : 0;
  Counters.Canaries += Sub.IsCanary ? 1 : 0;
  Source.onSubRequestSent(Outgoing.Backend, Now);
}

void QuerySession::hedge(MonotonicTime Now, QueryActions &Out) {
  if (!Options.Idempotent || Now < NextHedge)
    return;
  NextHedge = MonotonicTime::max();
  // hedgeSub() appends hedges to Subs, which are not due for a hedge yet.
  const auto Count = static_cast<uint32_t>(Subs.size());
  for (uint32_t I = FirstSub; I < Count; ++I) {
    if (Subs[I].State != SubState::InFlight)
      continue;
    if (Subs[I].HedgeAt <= Now)
      hedgeSub(I, Now, Out);
    NextHedge = std::min(NextHedge, Subs[I].HedgeAt);
  }
}

void QuerySession::hedgeSub(uint32_t SubIndex, MonotonicTime Now,
                            QueryActions &Out) {
  const uint32_t First = Subs[SubIndex].FirstAttempt;
  const uint32_t Count = Subs[SubIndex].ShardCount;
  ReadyFirst.clear();
  for (uint32_t I = First; I < First + Count; ++I) {
    const ShardState &S = Shards[Attempts[I].Shard];
    if (!S.Answered && S.InFlight == 1 && S.BackendLosses + 1U < MaxShardLosses)
      ReadyFirst.push_back(Attempts[I].Shard);
  }
  // rearmHedges() sets it again when another sub-request for one of the shards
  // ends.
  Subs[SubIndex].HedgeAt = MonotonicTime::max();
  if (ReadyFirst.empty())
    return;
  Groups.clear();
  Unassigned.clear();
  auto MaySend = [this](uint32_t Shard, uint32_t Backend) {
    return maySend(Shard, Backend);
  };
  Plan.assign(Snapshot, ReadyFirst, MaySend, Now, Groups, Unassigned);
  HedgeDelay = Source.hedgeDelay(Now);
  for (ShardGroup &Group : Groups) {
    if (!Source.tryTakeExtra(ExtraLoad::Hedge, Now)) {
      ++Counters.HedgesDenied;
      Subs[SubIndex].HedgeAt = Now + hedgeInterval(HedgeDelay);
      return;
    }
    send(Group, SubKind::Hedge, Now, Out);
  }
}

void QuerySession::finish(std::optional<Error> Failure, MonotonicTime Now,
                          QueryActions &Out) {
  if (Phase == SessionPhase::AwaitingStrikeAck)
    ++Counters.StrikesUnacknowledged;
  cancelAll(Now, Out);
  Phase = SessionPhase::Finished;
  Out.WakeUp.reset();
  QueryAnswer &Answer = Out.Answer.emplace();
  Answer.Shards = {AskedShards, Merged.answered(), Merged.total()};
  Answer.Complete = Merged.total() > 0 && Merged.answered() == Merged.total();
  Answer.Outcome = execution();
  Error Result = Failure ? std::move(*Failure) : answerResult(Now);
  Answer.Code = Result.Code;
  Answer.Message = std::move(Result.Message);
  Answer.Snapshot = Snapshot;
  Answer.Hits = Merged.takeHits();
  Answer.Elapsed = Now - Options.Received;
}

Execution QuerySession::execution() const {
  if (RanSubs == 0 && UncertainSubs == 0)
    return Execution::NotRun;
  if (!Options.Idempotent && UncertainSubs > 0)
    return Execution::Unknown;
  return Merged.answered() > 0 ? Execution::Ran : Execution::Unknown;
}

Error QuerySession::answerResult(MonotonicTime Now) const {
  if (Merged.answered() == Merged.total())
    return {ResultCode::Ok, ""};
  std::string Missing = std::to_string(Merged.total() - Merged.answered()) +
                        " of " + std::to_string(Merged.total()) +
                        " shards did not answer";
  if (!Options.Idempotent && UncertainSubs > 0)
    return {ResultCode::OutcomeUnknown,
            Missing + "; the request may have run in them"};
  if (Merged.answered() > 0)
    return {ResultCode::Partial, Missing};
  if (AskedShards == 0 && Now < Options.Deadline)
    return {ResultCode::NoBackend, "no shard has a usable backend server"};
  if (AskedShards > 0 && RanSubs == 0 && UncertainSubs == 0)
    return {ResultCode::BackendRefused,
            "the backend servers refused all sub-requests"};
  if (Now >= Options.Deadline)
    return {ResultCode::DeadlineExceeded, Missing + " before the deadline"};
  return {ResultCode::BackendLost, Missing};
}

} // namespace mimosa
