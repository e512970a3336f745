#include "dispatch/backend_scheduler.h"

#include <algorithm>

namespace mimosa {
namespace {

constexpr Duration StatusInterval = Seconds(1);
/// Nothing is sent before a status reply, so a poll on a connection that hangs
/// must not delay it for long.
constexpr Duration StatusRetry = Milliseconds(200);
/// A status poll or cancel without a reply for this long ends its connection.
constexpr Duration ControlTimeout = Seconds(1);
/// A connection that is not open after this long counts as failed.
constexpr Duration OpenTimeout = Seconds(1);
/// Pause after a failed attempt, so that a backend server that is starting is
/// found quickly and one that is gone costs 5 attempts a second.
constexpr Duration ReopenDelay = Milliseconds(200);
/// Idle connections beyond the limit: one for a status poll, one for a cancel.
constexpr uint32_t SpareConnections = 2;
/// See design page, 4.11.
constexpr int SilentFactor = 4;
constexpr Duration LeastSilence = Milliseconds(50);

} // namespace

uint32_t BackendScheduler::connectionMost() const {
  if (Stopping)
    return 0;
  bool OnlyStatus = Settings.ZoneOut || Settings.Draining || !Reachable ||
                    State == ReportedState::Draining;
  return OnlyStatus ? 1 : std::min(Cap, Slots + SpareConnections);
}

uint32_t BackendScheduler::connectionTarget() const {
  return std::min(connectionMost(), Limit.expectedLimit() + SpareConnections);
}

void BackendScheduler::adjustConnections(MonotonicTime Now,
                                         DispatchActions &Out) {
  while (Now >= OpenDue && Pool.size() < Cap &&
         Pool.size() < connectionTarget())
    Out.emplace_back(OpenConnection{Id, Pool.add(Now)});
}

void BackendScheduler::closeUnused(DispatchActions &Out) {
  uint32_t Most = connectionMost();
  std::vector<ConnectionId> Unused;
  for (const Connection &C : Pool.all()) {
    bool IsSearching = C.Use == ConnectionUse::Search;
    bool IsUnused = Stopping ? !IsSearching : !C.isBusy();
    bool IsOld = C.Use == ConnectionUse::Idle && C.Peer != BackendIncarnation;
    if (IsOld || (IsUnused && Pool.size() - Unused.size() > Most))
      Unused.push_back(C.Id);
  }
  for (ConnectionId Old : Unused)
    closeConnection(Old, Out);
}

void BackendScheduler::closeConnection(ConnectionId Closed,
                                       DispatchActions &Out) {
  Pool.remove(Closed);
  Out.emplace_back(CloseConnection{Id, Closed});
}

void BackendScheduler::loseExchange(const Connection &C,
                                    DispatchOutcome Outcome,
                                    DispatchActions &Out) {
  if (C.Use == ConnectionUse::Status)
    StatusDue = std::min(StatusDue, C.Since + StatusRetry);
  if (C.Use == ConnectionUse::Cancel && Works[C.Index].Id == C.Send)
    CancelsDue.emplace_back(C.Index, C.Send);
  if (C.Use != ConnectionUse::Search)
    return;
  ++Counters.Lost;
  reply(C.Index, Outcome, RefusalReason::None, Out);
  Works[C.Index].Stage = Work::State::Lingering;
  Lingering.push_back(C.Index);
  requestCancel(C.Index);
}

void BackendScheduler::retire(ConnectionId Retired, MonotonicTime Now,
                              DispatchActions &Out) {
  Connection C = *Pool.find(Retired);
  ++Counters.RetiredConnections;
  loseExchange(C, DispatchOutcome::Lost, Out);
  closeConnection(Retired, Out);
  if (C.Peer == Incarnation())
    OpenDue = Now + ReopenDelay;
  if (!C.isOpen())
    Reachable = Reachable && Pool.anyOpen();
}

void BackendScheduler::connectionOpened(ConnectionId Opened, MonotonicTime Now,
                                        DispatchActions &Out) {
  Connection *C = Pool.find(Opened);
  if (!C || C->Use != ConnectionUse::Opening) {
    ++Counters.StaleEvents;
    return;
  }
  Reachable = true;
  beginStatus(*C, Now, Out);
  pump(Now, Out);
}

void BackendScheduler::connectionLost(ConnectionId LostId, MonotonicTime Now,
                                      DispatchActions &Out) {
  Connection *Found = Pool.find(LostId);
  if (!Found) {
    ++Counters.StaleEvents;
    return;
  }
  Connection C = *Found;
  Pool.remove(LostId);
  loseExchange(C, DispatchOutcome::BackendLost, Out);
  // A backend server that accepts and closes at once must not be called in a
  // tight loop.
  if (C.Peer == Incarnation())
    OpenDue = Now + ReopenDelay;
  if (C.isOpen()) {
    ++Counters.Resets;
    incarnationUnknown(Now);
  } else {
    Reachable = Reachable && Pool.anyOpen();
  }
  pump(Now, Out);
}

void BackendScheduler::firstByteReceived(ConnectionId Id) {
  if (Connection *C = Pool.find(Id))
    C->GotByte = true;
}

void BackendScheduler::incarnationUnknown(MonotonicTime Now) {
  Limit.forget(Now);
  UnknownSince = Now;
  StatusDue = Now;
}

void BackendScheduler::beginStatus(Connection &C, MonotonicTime Now,
                                   DispatchActions &Out) {
  ConnectionPool::begin(C, ConnectionUse::Status, NoWork, DispatchId(), Now);
  StatusDue = Now + (Limit.known() ? StatusInterval : StatusRetry);
  Out.emplace_back(PollStatus{Id, C.Id});
}

void BackendScheduler::pumpStatus(MonotonicTime Now, DispatchActions &Out) {
  if (Now < StatusDue || Stopping)
    return;
  if (Connection *C = Pool.idle())
    beginStatus(*C, Now, Out);
}

void BackendScheduler::pumpCancels(MonotonicTime Now, DispatchActions &Out) {
  size_t Sent = 0;
  while (Limit.known() && Sent < CancelsDue.size()) {
    Connection *C = Pool.idleTo(BackendIncarnation);
    if (!C)
      break;
    auto [Index, Send] = CancelsDue[Sent++];
    // The sub-request may have ended while its cancel waited.
    if (Works[Index].Stage == Work::State::Free || Works[Index].Id != Send)
      continue;
    Pool.begin(*C, ConnectionUse::Cancel, Index, Send, Now);
    Out.emplace_back(SendCancel{Id, C->Id, Send});
  }
  CancelsDue.erase(CancelsDue.begin(),
                   CancelsDue.begin() + static_cast<ptrdiff_t>(Sent));
}

void BackendScheduler::cancelReplied(ConnectionId Replied, MonotonicTime Now,
                                     DispatchActions &Out) {
  Connection *C = Pool.find(Replied);
  if (!C || C->Use != ConnectionUse::Cancel) {
    ++Counters.StaleEvents;
    return;
  }
  WorkIndex Index = C->Index;
  DispatchId Send = C->Send;
  Pool.end(*C, Now);
  // A search whose connection lives ends with its own reply. Its cancel may
  // have overtaken it, so that it still runs.
  const Work &Entry = Works[Index];
  if (Entry.Stage == Work::State::Lingering && Entry.Id == Send)
    freeSlot(Index, Now);
  pump(Now, Out);
}

void BackendScheduler::statusReplied(ConnectionId Replied, StatusReport Report,
                                     MonotonicTime Now, DispatchActions &Out) {
  Connection *C = Pool.find(Replied);
  if (!C || C->Use != ConnectionUse::Status) {
    ++Counters.StaleEvents;
    return;
  }
  bool IsFresh = C->Since >= UnknownSince;
  Pool.end(*C, Now);
  C->Peer = Report.BackendIncarnation;
  // A copy: connections of a previous process may be closed below.
  Connection Asked = *C;
  if (!IsFresh ||
      !takeIncarnation(Asked, Report.BackendIncarnation, Now, Out)) {
    pump(Now, Out);
    return;
  }
  StatusDue = Now + StatusInterval;
  takeSizes(Report);
  Limit.statusSaid(Report.State, Report.Capacity, Now);
  stateSaid(Report.State, Out);
  if (Report.Snapshots != Snapshots) {
    Snapshots = std::move(Report.Snapshots);
    Out.emplace_back(SummaryChanged{Id});
  }
  pump(Now, Out);
}

bool BackendScheduler::takeIncarnation(const Connection &C, Incarnation Peer,
                                       MonotonicTime Now,
                                       DispatchActions &Out) {
  if (Peer == BackendIncarnation) {
    NewestPeer = std::max(NewestPeer, C.Id);
    return true;
  }
  // A late reply of the previous process, on one of its connections.
  if (C.Id < NewestPeer)
    return false;
  bool IsRestart = BackendIncarnation != Incarnation();
  BackendIncarnation = Peer;
  NewestPeer = C.Id;
  if (IsRestart) {
    ++Counters.Restarts;
    Limit.restarted(Now);
  } else {
    Limit.forget(Now);
  }
  endPreviousProcess(Now, Out);
  return true;
}

void BackendScheduler::endPreviousProcess(MonotonicTime Now,
                                          DispatchActions &Out) {
  std::vector<ConnectionId> Old;
  for (const Connection &C : Pool.all())
    if (C.Peer != Incarnation() && C.Peer != BackendIncarnation)
      Old.push_back(C.Id);
  for (ConnectionId Closed : Old) {
    loseExchange(*Pool.find(Closed), DispatchOutcome::BackendLost, Out);
    closeConnection(Closed, Out);
  }
  // What the previous process ran has ended with it.
  while (!Lingering.empty())
    freeSlot(Lingering.back(), Now);
}

void BackendScheduler::takeSizes(const StatusReport &Report) {
  Slots = std::max(1U, Settings.Slots);
  if (Report.Slots > 0)
    Slots = std::min(Slots, Report.Slots);
  Cap = std::max(1U, Settings.Connections);
  if (Report.Connections > 0)
    Cap = std::min(Cap, Report.Connections);
  Limit.configure(Slots, Settings.ColdLimit);
}

void BackendScheduler::stateSaid(ReportedState NewState, DispatchActions &Out) {
  State = NewState;
  if (State == ReportedState::Draining)
    refuseAllQueued(RefusalReason::Draining, Out);
}

bool BackendScheduler::isSilent(const Connection &C, MonotonicTime Now) const {
  if (!C.isBusy() || C.GotByte)
    return false;
  Duration Bound = std::max(ServiceP99 * SilentFactor, LeastSilence);
  return Now - C.Since >= Bound && Pool.othersAnswered(C);
}

bool BackendScheduler::isOverdue(const Connection &C, MonotonicTime Now) const {
  Duration Age = Now - C.Since;
  switch (C.Use) {
  case ConnectionUse::Opening:
    return Age >= OpenTimeout;
  case ConnectionUse::Idle:
    return false;
  case ConnectionUse::Search:
    return Age >= Settings.SubRequestLimit;
  case ConnectionUse::Cancel:
  case ConnectionUse::Status:
    return Age >= ControlTimeout;
  }
  return false;
}

void BackendScheduler::checkConnections(MonotonicTime Now,
                                        DispatchActions &Out) {
  std::vector<ConnectionId> Ended;
  for (const Connection &C : Pool.all())
    if (isOverdue(C, Now) || isSilent(C, Now))
      Ended.push_back(C.Id);
  for (ConnectionId Old : Ended)
    retire(Old, Now, Out);
}

void BackendScheduler::checkRunning(MonotonicTime Now, DispatchActions &Out) {
  for (const Connection &C : Pool.all()) {
    if (C.Use != ConnectionUse::Search)
      continue;
    const Work &Entry = Works[C.Index];
    if (Entry.Replied || Now < Entry.Request.Deadline)
      continue;
    ++Counters.Lost;
    reply(C.Index, DispatchOutcome::Lost, RefusalReason::Deadline, Out);
    requestCancel(C.Index);
  }
  for (size_t I = Lingering.size(); I-- > 0;)
    if (Now - Works[Lingering[I]].SentAt >= Settings.SubRequestLimit)
      freeSlot(Lingering[I], Now);
}

void BackendScheduler::tick(MonotonicTime Now, DispatchActions &Out) {
  checkConnections(Now, Out);
  checkRunning(Now, Out);
  if (Works.length() > 0)
    sweepQueue(Now, Out);
  Limit.tick(Now);
  pump(Now, Out);
}

void BackendScheduler::noteSummary(DispatchActions &Out) {
  Published New;
  New.IncarnationKnown = Limit.known();
  New.Reachable = Reachable;
  New.Limit = Limit.expectedLimit();
  New.State = State;
  New.BackendIncarnation = BackendIncarnation;
  bool Same = New.IncarnationKnown == Last.IncarnationKnown &&
              New.Reachable == Last.Reachable && New.Limit == Last.Limit &&
              New.State == Last.State &&
              New.BackendIncarnation == Last.BackendIncarnation;
  if (Same)
    return;
  Last = New;
  Out.emplace_back(SummaryChanged{Id});
}

SchedulerSummary BackendScheduler::summary() const {
  SchedulerSummary Summary;
  Summary.Backend = Settings.Backend;
  Summary.BackendIncarnation = BackendIncarnation;
  Summary.State = State;
  Summary.IncarnationKnown = Limit.known();
  Summary.Reachable = Reachable;
  Summary.Limit = Limit.expectedLimit();
  Summary.QueueLength = Works.length();
  Summary.Snapshots = Snapshots;
  return Summary;
}

} // namespace mimosa
