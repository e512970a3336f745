#include "dispatch/backend_scheduler.h"

#include <algorithm>

namespace mimosa {
namespace {

/// Room for service times above the mean: a sub-request that starts with less
/// time than this many mean service times left would hold a slot in vain.
constexpr int ServiceMargin = 2;
/// Error of the predicted wait, 1/8: the mean of 64 service times varies by
/// some percent. It is added before a sub-request is queued and taken off
/// afterwards, so that few are queued first and refused late.
constexpr int PredictionDivisor = 8;
/// Batch gets at least one start in 20 (5%).
constexpr uint32_t BatchShareDivisor = 20;
/// Share of the sub-request limit that is left for the way to the backend
/// server: its clock for the request starts later than the owner's.
constexpr int TransitDivisor = 20;

} // namespace

BackendScheduler::BackendScheduler(SchedulerId Id,
                                   const BackendSettings &Settings,
                                   const DispatchPermission &Permission,
                                   MonotonicTime Now)
    : Id(Id), Settings(Settings), Permission(Permission),
      Slots(std::max(1U, Settings.Slots)),
      Cap(std::max(1U, Settings.Connections)),
      Limit(Settings.Slots, Settings.ColdLimit, Now), StatusDue(Now),
      UnknownSince(Now), OpenDue(Now) {}

void BackendScheduler::start(MonotonicTime Now, DispatchActions &Out) {
  if (Stopping) {
    Stopping = false;
    incarnationUnknown(Now);
  }
  OpenDue = Now;
  pump(Now, Out);
}

void BackendScheduler::configure(const BackendSettings &New, MonotonicTime Now,
                                 DispatchActions &Out) {
  bool ZoneIsBack = Settings.ZoneOut && !New.ZoneOut;
  Settings = New;
  // A smaller number that the backend server reported is taken up again from
  // its next status reply.
  Slots = std::max(1U, New.Slots);
  Cap = std::max(1U, New.Connections);
  Limit.configure(Slots, New.ColdLimit);
  if (ZoneIsBack)
    Limit.startCold(Now);
  pump(Now, Out);
}

void BackendScheduler::stop(DispatchActions &Out) {
  Stopping = true;
  CancelsDue.clear();
  refuseAllQueued(RefusalReason::NotOwner, Out);
  closeUnused(Out);
}

bool BackendScheduler::isStopped() const {
  return Stopping && InHand == 0 && Pool.size() == 0;
}

RefusalReason BackendScheduler::standingRefusal(MonotonicTime Now) const {
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
    Starts = std::min(Starts + Works.length(SubRequestClass::Interactive),
                      Starts * BatchShareDivisor);
  return Limit.mean() * Starts / Limit.expectedLimit();
}

bool BackendScheduler::startsInTime(const SubRequest &Request,
                                    uint32_t Position,
                                    MonotonicTime Now) const {
  Duration Wait = predictedWait(Request.Class, Position);
  Duration Needed =
      Wait + Wait / PredictionDivisor + Limit.mean() * ServiceMargin;
  return Now + Needed <= Request.Deadline;
}

bool BackendScheduler::isHopeless(const SubRequest &Request, uint32_t Position,
                                  MonotonicTime Now) const {
  Duration Wait = predictedWait(Request.Class, Position);
  Duration Needed = Wait - Wait / PredictionDivisor + Limit.mean();
  return Now + Needed > Request.Deadline;
}

void BackendScheduler::submit(SubRequest Request, MonotonicTime Now,
                              DispatchActions &Out) {
  RefusalReason Reason = standingRefusal(Now);
  bool StartsAtOnce = Works.length() == 0 && InHand < Limit.limit();
  if (Reason != RefusalReason::None) {
  } else if (Request.Deadline <= Now) {
    Reason = RefusalReason::Deadline;
  } else if (!StartsAtOnce &&
             !startsInTime(Request, Works.length(Request.Class), Now)) {
    Reason = RefusalReason::Overloaded;
  }
  WorkIndex Index = Works.push(std::move(Request));
  if (Index == NoWork) {
    ++Counters.Duplicates;
    return;
  }
  if (Reason != RefusalReason::None)
    refuseQueued(Index, Reason, Out);
  else
    pump(Now, Out);
}

void BackendScheduler::cancel(const SubRequestKey &Key, MonotonicTime Now,
                              DispatchActions &Out) {
  WorkIndex Index = Works.find(Key);
  if (Index == NoWork)
    return;
  Work &Entry = Works[Index];
  if (Entry.Stage == Work::State::Queued) {
    refuseQueued(Index, RefusalReason::Cancelled, Out);
    return;
  }
  if (Entry.Replied)
    return;
  ++Counters.Cancelled;
  // The time so far is a lower bound of its latency. Without it a backend
  // server whose slow sub-requests are all cancelled would look fast.
  if (Now - Entry.SentAt > Limit.median())
    Limit.answered(Now - Entry.SentAt, Now);
  reply(Index, DispatchOutcome::Cancelled, RefusalReason::Cancelled, Out);
  requestCancel(Index);
  pump(Now, Out);
}

void BackendScheduler::reply(WorkIndex Index, DispatchOutcome Outcome,
                             RefusalReason Reason, DispatchActions &Out,
                             std::string Body, Duration ServiceTime) {
  Work &Entry = Works[Index];
  if (Entry.Replied)
    return;
  Entry.Replied = true;
  // The root may use the key again, for a resend after a refusal.
  Works.forgetKey(Index);
  SubRequestReply Message;
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
  Message.QueueLength = Works.length();
  Message.Limit = Limit.expectedLimit();
  Out.emplace_back(std::move(Message));
}

void BackendScheduler::refuseQueued(WorkIndex Index, RefusalReason Reason,
                                    DispatchActions &Out) {
  ++Counters.NotSent;
  Works.unlink(Index);
  reply(Index, DispatchOutcome::NotRun, Reason, Out);
  Works.release(Index);
}

void BackendScheduler::refuseAllQueued(RefusalReason Reason,
                                       DispatchActions &Out) {
  for (auto Class : {SubRequestClass::Interactive, SubRequestClass::Batch})
    while (Works.first(Class) != NoWork)
      refuseQueued(Works.first(Class), Reason, Out);
}

void BackendScheduler::sweepQueue(MonotonicTime Now, DispatchActions &Out) {
  for (auto Class : {SubRequestClass::Interactive, SubRequestClass::Batch}) {
    uint32_t Position = 0;
    WorkIndex Next = NoWork;
    for (WorkIndex I = Works.first(Class); I != NoWork; I = Next) {
      Next = Works[I].Next;
      if (Works[I].Request.Deadline <= Now)
        refuseQueued(I, RefusalReason::Deadline, Out);
      else if (isHopeless(Works[I].Request, Position, Now))
        refuseQueued(I, RefusalReason::Overloaded, Out);
      else
        ++Position;
    }
  }
}

void BackendScheduler::pump(MonotonicTime Now, DispatchActions &Out) {
  if (Works.length() > 0) {
    RefusalReason Reason = standingRefusal(Now);
    if (Reason != RefusalReason::None)
      refuseAllQueued(Reason, Out);
  }
  pumpStatus(Now, Out);
  pumpCancels(Now, Out);
  pumpSearches(Now, Out);
  closeUnused(Out);
  adjustConnections(Now, Out);
  noteSummary(Out);
}

void BackendScheduler::pumpSearches(MonotonicTime Now, DispatchActions &Out) {
  while (Works.length() > 0 && InHand < Limit.limit()) {
    Connection *C = Pool.idleTo(BackendIncarnation);
    if (!C || !Permission.mayDispatch(Settings.InPartition, Now))
      return;
    WorkIndex Index = Works.pop();
    Duration Left = Works[Index].Request.Deadline - Now;
    bool OthersWait = Works.length() > 0;
    RefusalReason Reason = RefusalReason::None;
    if (Left <= Duration::zero())
      Reason = RefusalReason::Deadline;
    else if (OthersWait && Left < Limit.mean())
      Reason = RefusalReason::Overloaded;
    if (Reason == RefusalReason::None) {
      sendSearch(*C, Index, Now, Out);
      continue;
    }
    ++Counters.NotSent;
    reply(Index, DispatchOutcome::NotRun, Reason, Out);
    Works.release(Index);
  }
}

void BackendScheduler::sendSearch(Connection &C, WorkIndex Index,
                                  MonotonicTime Now, DispatchActions &Out) {
  Work &Entry = Works[Index];
  Entry.Id = DispatchId(++LastSend);
  Entry.SentAt = Now;
  Pool.begin(C, ConnectionUse::Search, Index, Entry.Id, Now);
  ++InHand;
  ++Counters.Sent;
  Limit.used(InHand, Now);
  SendSearch Send;
  Send.Scheduler = Id;
  Send.Connection = C.Id;
  Send.Id = Entry.Id;
  Send.RunLimit = std::min(Entry.Request.Deadline - Now,
                           Settings.SubRequestLimit -
                               Settings.SubRequestLimit / TransitDivisor);
  // The scheduler needs only key, class and deadline from here on.
  Send.Request.Key = Entry.Request.Key;
  Send.Request.Snapshot = std::move(Entry.Request.Snapshot);
  Send.Request.Shards = std::move(Entry.Request.Shards);
  Send.Request.Class = Entry.Request.Class;
  Send.Request.Deadline = Entry.Request.Deadline;
  Send.Request.Idempotent = Entry.Request.Idempotent;
  Send.Request.Query = std::move(Entry.Request.Query);
  Out.emplace_back(std::move(Send));
}

void BackendScheduler::requestCancel(WorkIndex Index) {
  Work &Entry = Works[Index];
  if (Entry.Cancelling)
    return;
  Entry.Cancelling = true;
  CancelsDue.emplace_back(Index, Entry.Id);
}

void BackendScheduler::freeSlot(WorkIndex Index, MonotonicTime Now) {
  if (Works[Index].Stage == Work::State::Lingering)
    Lingering.erase(std::remove(Lingering.begin(), Lingering.end(), Index),
                    Lingering.end());
  --InHand;
  Limit.used(InHand, Now);
  Works.release(Index);
}

void BackendScheduler::searchReplied(ConnectionId Id, SearchReply Answer,
                                     MonotonicTime Now, DispatchActions &Out) {
  Connection *C = Pool.find(Id);
  if (!C || C->Use != ConnectionUse::Search) {
    ++Counters.StaleEvents;
    return;
  }
  WorkIndex Index = C->Index;
  Duration Time = Now - C->Since;
  Pool.end(*C, Now);
  if (Answer.Type != SearchReply::Kind::Malformed) {
    if (Limit.known() && Answer.BackendIncarnation != BackendIncarnation) {
      ++Counters.Restarts;
      incarnationUnknown(Now);
    }
    Limit.replySaid(Answer.State, Answer.Capacity, Now);
    stateSaid(Answer.State, Out);
  }
  endSearch(Index, std::move(Answer), Time, Now, Out);
  pump(Now, Out);
}

void BackendScheduler::endSearch(WorkIndex Index, SearchReply Answer,
                                 Duration Time, MonotonicTime Now,
                                 DispatchActions &Out) {
  switch (Answer.Type) {
  case SearchReply::Kind::Answered:
    ++Counters.Answered;
    // The reply to a cancelled search tells nothing of its latency.
    if (!Works[Index].Cancelling)
      Limit.answered(Time, Now);
    reply(Index, DispatchOutcome::Answered, RefusalReason::None, Out,
          std::move(Answer.Body), Time);
    break;
  case SearchReply::Kind::Refused:
    ++Counters.Refused;
    if (Answer.Reason == RefusalReason::Shed)
      Limit.shed(Now);
    reply(Index, DispatchOutcome::NotRun, Answer.Reason, Out,
          std::move(Answer.Body));
    break;
  case SearchReply::Kind::Malformed:
    ++Counters.Lost;
    reply(Index, DispatchOutcome::Lost, RefusalReason::None, Out);
    break;
  }
  freeSlot(Index, Now);
}

} // namespace mimosa
