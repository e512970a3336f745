#include "dispatch/backend_scheduler.h"

#include <algorithm>

namespace mimosa {
namespace {

/// A sub-request is queued only if this many mean service times will be left
/// when it starts. With less, one that takes longer than the mean would miss
/// its deadline and waste a slot.
constexpr int MinServiceTimes = 2;
/// Assumed error of the predicted wait is 1/8: the mean of 64 service times
/// varies by some percent. It is added when deciding whether to queue a
/// sub-request and subtracted when checking queued ones, so that few are queued
/// and then refused late.
constexpr int PredictionErrorDivisor = 8;
/// Batch gets at least one start in 20 (5%).
constexpr uint32_t BatchShareDivisor = 20;
/// 1/TransitDivisor of the sub-request limit is reserved for the transit to the
/// backend server, which starts to measure the run time later than the owner.
constexpr int TransitDivisor = 20;

} // namespace

BackendScheduler::BackendScheduler(SchedulerId Id,
                                   const BackendSettings &Settings,
                                   const DispatchPermission &Permission,
                                   MonotonicTime Now)
    : Id(Id), Settings(Settings), Permission(Permission),
      Slots(std::max(1U, Settings.Slots)),
      ConnectionCap(std::max(1U, Settings.Connections)),
      Limit(Settings.Slots, Settings.ColdLimit, Now), NextPollAt(Now),
      IncarnationUnknownSince(Now), NextOpenAt(Now) {}

void BackendScheduler::start(MonotonicTime Now, DispatchActions &Out) {
  if (Stopping) {
    Stopping = false;
    forgetIncarnation(Now);
  }
  NextOpenAt = Now;
  schedule(Now, Out);
}

void BackendScheduler::configure(const BackendSettings &New, MonotonicTime Now,
                                 DispatchActions &Out) {
  bool ZoneRestored = Settings.ZoneOut && !New.ZoneOut;
  Settings = New;
  // Lower numbers reported by the backend server apply again from its next
  // status reply.
  Slots = std::max(1U, New.Slots);
  ConnectionCap = std::max(1U, New.Connections);
  Limit.configure(Slots, New.ColdLimit);
  if (ZoneRestored)
    Limit.fallToColdLimit(Now);
  schedule(Now, Out);
}

void BackendScheduler::stop(DispatchActions &Out) {
  Stopping = true;
  PendingCancels.clear();
  refuseAllQueued(RefusalReason::NotOwner, Out);
  closeUnused(Out);
}

bool BackendScheduler::isStopped() const {
  return Stopping && InFlight == 0 && Pool.size() == 0;
}

RefusalReason BackendScheduler::unavailableReason(MonotonicTime Now) const {
  if (Stopping || !Permission.mayDispatch(Settings.InPartition, Now))
    return RefusalReason::NotOwner;
  if (Settings.ZoneOut)
    return RefusalReason::ZoneOut;
  if (Settings.Draining || State == ReportedState::Draining)
    return RefusalReason::Draining;
  if (!Reachable)
    return RefusalReason::Unreachable;
  return RefusalReason::None;
}

Duration BackendScheduler::predictedWait(SubRequestClass Class,
                                         uint32_t Position) const {
  uint32_t Starts = Position + 1;
  if (Class == SubRequestClass::Batch)
    Starts = std::min(Starts + Queue.length(SubRequestClass::Interactive),
                      Starts * BatchShareDivisor);
  return Limit.mean() * Starts / Limit.expectedLimit();
}

bool BackendScheduler::startsInTime(const SubRequest &Request,
                                    uint32_t Position,
                                    MonotonicTime Now) const {
  Duration Wait = predictedWait(Request.Class, Position);
  Duration Needed =
      Wait + Wait / PredictionErrorDivisor + Limit.mean() * MinServiceTimes;
  return Now + Needed <= Request.Deadline;
}

bool BackendScheduler::cannotMeetDeadline(const SubRequest &Request,
                                          uint32_t Position,
                                          MonotonicTime Now) const {
  Duration Wait = predictedWait(Request.Class, Position);
  Duration Needed = Wait - Wait / PredictionErrorDivisor + Limit.mean();
  return Now + Needed > Request.Deadline;
}

void BackendScheduler::submit(SubRequest Request, MonotonicTime Now,
                              DispatchActions &Out) {
  RefusalReason Reason = unavailableReason(Now);
  bool StartsAtOnce = Queue.length() == 0 && InFlight < Limit.limit();
  if (Reason != RefusalReason::None) {
  } else if (Request.Deadline <= Now) {
    Reason = RefusalReason::Deadline;
  } else if (!StartsAtOnce &&
             !startsInTime(Request, Queue.length(Request.Class), Now)) {
    Reason = RefusalReason::Overloaded;
  }
  EntryIndex Index = Queue.push(std::move(Request));
  if (Index == NoEntry) {
    ++Counters.Duplicates;
    return;
  }
  if (Reason != RefusalReason::None)
    refuseQueued(Index, Reason, Out);
  else
    schedule(Now, Out);
}

void BackendScheduler::cancel(const SubRequestKey &Key, MonotonicTime Now,
                              DispatchActions &Out) {
  EntryIndex Index = Queue.find(Key);
  if (Index == NoEntry)
    return;
  SubRequestEntry &Entry = Queue[Index];
  if (Entry.Stage == SubRequestEntry::State::Queued) {
    refuseQueued(Index, RefusalReason::Cancelled, Out);
    return;
  }
  if (Entry.Replied)
    return;
  ++Counters.Cancelled;
  // The elapsed time is a lower bound of the latency. Without it, a backend
  // server whose slow sub-requests are all cancelled would appear fast.
  if (Now - Entry.SentAt > Limit.median())
    Limit.recordLatency(Now - Entry.SentAt, Now);
  reply(Index, DispatchOutcome::Cancelled, RefusalReason::Cancelled, Out);
  requestCancel(Index);
  schedule(Now, Out);
}

void BackendScheduler::reply(EntryIndex Index, DispatchOutcome Outcome,
                             RefusalReason Reason, DispatchActions &Out,
                             std::string Body, Duration ServiceTime) {
  SubRequestEntry &Entry = Queue[Index];
  if (Entry.Replied)
    return;
  Entry.Replied = true;
  // The root may reuse the key when it retries after a refusal.
  Queue.removeKey(Index);
  SubRequestResult Message;
  Message.Key = Entry.Request.Key;
  Message.Outcome = Outcome;
  Message.Reason = Reason;
  Message.Code = refusalCode(Reason);
  bool IsLost = Outcome == DispatchOutcome::Lost ||
                Outcome == DispatchOutcome::BackendLost;
  if (IsLost && Reason == RefusalReason::None)
    Message.Code = ResultCode::BackendLost;
  Message.Body = std::move(Body);
  Message.ServiceTime = ServiceTime;
  Message.QueueLength = Queue.length();
  Message.Limit = Limit.expectedLimit();
  Out.emplace_back(std::move(Message));
}

void BackendScheduler::refuseQueued(EntryIndex Index, RefusalReason Reason,
                                    DispatchActions &Out) {
  ++Counters.NotSent;
  Queue.unlink(Index);
  reply(Index, DispatchOutcome::NotRun, Reason, Out);
  Queue.release(Index);
}

void BackendScheduler::refuseAllQueued(RefusalReason Reason,
                                       DispatchActions &Out) {
  for (auto Class : {SubRequestClass::Interactive, SubRequestClass::Batch})
    while (Queue.first(Class) != NoEntry)
      refuseQueued(Queue.first(Class), Reason, Out);
}

void BackendScheduler::refuseLateRequests(MonotonicTime Now,
                                          DispatchActions &Out) {
  for (auto Class : {SubRequestClass::Interactive, SubRequestClass::Batch}) {
    uint32_t Position = 0;
    EntryIndex Next = NoEntry;
    for (EntryIndex I = Queue.first(Class); I != NoEntry; I = Next) {
      Next = Queue[I].Next;
      if (Queue[I].Request.Deadline <= Now)
        refuseQueued(I, RefusalReason::Deadline, Out);
      else if (cannotMeetDeadline(Queue[I].Request, Position, Now))
        refuseQueued(I, RefusalReason::Overloaded, Out);
      else
        ++Position;
    }
  }
}

void BackendScheduler::schedule(MonotonicTime Now, DispatchActions &Out) {
  if (Queue.length() > 0) {
    RefusalReason Reason = unavailableReason(Now);
    if (Reason != RefusalReason::None)
      refuseAllQueued(Reason, Out);
  }
  pollStatusIfDue(Now, Out);
  sendPendingCancels(Now, Out);
  sendQueuedSearches(Now, Out);
  closeUnused(Out);
  adjustConnections(Now, Out);
  publishSummary(Out);
}

void BackendScheduler::sendQueuedSearches(MonotonicTime Now,
                                          DispatchActions &Out) {
  while (Queue.length() > 0 && InFlight < Limit.limit()) {
    Connection *C = Pool.idleTo(BackendIncarnation);
    if (!C || !Permission.mayDispatch(Settings.InPartition, Now))
      return;
    EntryIndex Index = Queue.pop();
    Duration Left = Queue[Index].Request.Deadline - Now;
    bool OthersQueued = Queue.length() > 0;
    RefusalReason Reason = RefusalReason::None;
    if (Left <= Duration::zero())
      Reason = RefusalReason::Deadline;
    else if (OthersQueued && Left < Limit.mean())
      Reason = RefusalReason::Overloaded;
    if (Reason == RefusalReason::None) {
      sendSearch(*C, Index, Now, Out);
      continue;
    }
    ++Counters.NotSent;
    reply(Index, DispatchOutcome::NotRun, Reason, Out);
    Queue.release(Index);
  }
}

void BackendScheduler::sendSearch(Connection &C, EntryIndex Index,
                                  MonotonicTime Now, DispatchActions &Out) {
  SubRequestEntry &Entry = Queue[Index];
  Entry.Id = DispatchId(++LastDispatch);
  Entry.SentAt = Now;
  Pool.begin(C, ConnectionUse::Search, Index, Entry.Id, Now);
  ++InFlight;
  ++Counters.Sent;
  Limit.setInFlight(InFlight, Now);
  SendSearch Action;
  Action.Scheduler = Id;
  Action.Connection = C.Id;
  Action.Id = Entry.Id;
  Action.RunLimit = std::min(Entry.Request.Deadline - Now,
                             Settings.SubRequestLimit -
                                 Settings.SubRequestLimit / TransitDivisor);
  // The scheduler needs only the key, class and deadline from here on, so the
  // rest is moved.
  Action.Request.Key = Entry.Request.Key;
  Action.Request.Snapshot = std::move(Entry.Request.Snapshot);
  Action.Request.Shards = std::move(Entry.Request.Shards);
  Action.Request.Class = Entry.Request.Class;
  Action.Request.Deadline = Entry.Request.Deadline;
  Action.Request.Idempotent = Entry.Request.Idempotent;
  Action.Request.Query = std::move(Entry.Request.Query);
  Out.emplace_back(std::move(Action));
}

void BackendScheduler::requestCancel(EntryIndex Index) {
  SubRequestEntry &Entry = Queue[Index];
  if (Entry.CancelRequested)
    return;
  Entry.CancelRequested = true;
  PendingCancels.emplace_back(Index, Entry.Id);
}

void BackendScheduler::freeSlot(EntryIndex Index, MonotonicTime Now) {
  if (Queue[Index].Stage == SubRequestEntry::State::Detached)
    Detached.erase(std::remove(Detached.begin(), Detached.end(), Index),
                   Detached.end());
  --InFlight;
  Limit.setInFlight(InFlight, Now);
  Queue.release(Index);
}

void BackendScheduler::searchReplied(ConnectionId Id, SearchReply Reply,
                                     MonotonicTime Now, DispatchActions &Out) {
  Connection *C = Pool.find(Id);
  if (!C || C->Use != ConnectionUse::Search) {
    ++Counters.StaleEvents;
    return;
  }
  EntryIndex Index = C->Index;
  Duration Time = Now - C->UseStart;
  Pool.end(*C, Now);
  if (Reply.Type != SearchReply::Kind::Malformed) {
    if (Limit.incarnationKnown() &&
        Reply.BackendIncarnation != BackendIncarnation) {
      ++Counters.Restarts;
      forgetIncarnation(Now);
    }
    Limit.applySearchReply(Reply.State, Reply.Capacity, Now);
    applyState(Reply.State, Out);
  }
  endSearch(Index, std::move(Reply), Time, Now, Out);
  schedule(Now, Out);
}

void BackendScheduler::endSearch(EntryIndex Index, SearchReply Reply,
                                 Duration Time, MonotonicTime Now,
                                 DispatchActions &Out) {
  switch (Reply.Type) {
  case SearchReply::Kind::Answered:
    ++Counters.Answered;
    // The latency of a cancelled search is not representative.
    if (!Queue[Index].CancelRequested)
      Limit.recordLatency(Time, Now);
    reply(Index, DispatchOutcome::Answered, RefusalReason::None, Out,
          std::move(Reply.Body), Time);
    break;
  case SearchReply::Kind::Refused:
    ++Counters.Refused;
    if (Reply.Reason == RefusalReason::Shed)
      Limit.recordShed(Now);
    reply(Index, DispatchOutcome::NotRun, Reply.Reason, Out,
          std::move(Reply.Body));
    break;
  case SearchReply::Kind::Malformed:
    ++Counters.Lost;
    reply(Index, DispatchOutcome::Lost, RefusalReason::None, Out);
    break;
  }
  freeSlot(Index, Now);
}

} // namespace mimosa
