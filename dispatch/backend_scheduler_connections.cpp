#include "dispatch/backend_scheduler.h"

#include <algorithm>

namespace mimosa {
namespace {

constexpr Duration StatusInterval = Seconds(1);
/// Interval of status polls while the incarnation is unknown. No search is sent
/// before a status reply, so a poll on a hanging connection must not cause a
/// long delay.
constexpr Duration StatusRetryInterval = Milliseconds(200);
/// A connection is closed if a status poll or cancel on it gets no reply for
/// this long.
constexpr Duration ControlTimeout = Seconds(1);
/// An attempt to open a connection fails after this time.
constexpr Duration OpenTimeout = Seconds(1);
/// Pause after a failed attempt to open a connection. A backend server that
/// restarts is found quickly, and one that is down costs 5 attempts per second.
constexpr Duration ReopenDelay = Milliseconds(200);
/// Connections beyond the concurrency limit: one for status polls and one for
/// cancels.
constexpr uint32_t SpareConnections = 2;
/// A connection is silent if its exchange has received no byte for this
/// multiple of the service's 99th percentile and at least for MinSilence, while
/// another connection has received a reply (design page, 4.11).
constexpr int SilenceFactor = 4;
constexpr Duration MinSilence = Milliseconds(50);

} // namespace

uint32_t BackendScheduler::maxConnections() const {
  if (Stopping)
    return 0;
  bool StatusOnly = Settings.ZoneOut || Settings.Draining || !Reachable ||
                    State == ReportedState::Draining;
  return StatusOnly ? 1 : std::min(ConnectionCap, Slots + SpareConnections);
}

uint32_t BackendScheduler::connectionTarget() const {
  return std::min(maxConnections(), Limit.expectedLimit() + SpareConnections);
}

void BackendScheduler::adjustConnections(MonotonicTime Now,
                                         DispatchActions &Out) {
  while (Now >= NextOpenAt && Pool.size() < ConnectionCap &&
         Pool.size() < connectionTarget())
    Out.emplace_back(OpenConnection{Id, Pool.add(Now)});
}

void BackendScheduler::closeUnused(DispatchActions &Out) {
  uint32_t Max = maxConnections();
  std::vector<ConnectionId> Unused;
  for (const Connection &C : Pool.all()) {
    bool IsSearching = C.Use == ConnectionUse::Search;
    bool IsUnused = Stopping ? !IsSearching : !C.isBusy();
    bool IsStale =
        C.Use == ConnectionUse::Idle && C.PeerIncarnation != BackendIncarnation;
    if (IsStale || (IsUnused && Pool.size() - Unused.size() > Max))
      Unused.push_back(C.Id);
  }
  for (ConnectionId UnusedId : Unused)
    closeConnection(UnusedId, Out);
}

void BackendScheduler::closeConnection(ConnectionId Closed,
                                       DispatchActions &Out) {
  Pool.remove(Closed);
  Out.emplace_back(CloseConnection{Id, Closed});
}

void BackendScheduler::abortExchange(const Connection &C,
                                     DispatchOutcome Outcome,
                                     DispatchActions &Out) {
  if (C.Use == ConnectionUse::Status)
    NextPollAt = std::min(NextPollAt, C.UseStart + StatusRetryInterval);
  if (C.Use == ConnectionUse::Cancel && Queue[C.Index].Id == C.Dispatch)
    PendingCancels.emplace_back(C.Index, C.Dispatch);
  if (C.Use != ConnectionUse::Search)
    return;
  ++Counters.Lost;
  reply(C.Index, Outcome, RefusalReason::None, Out);
  Queue[C.Index].Stage = SubRequestEntry::State::Detached;
  Detached.push_back(C.Index);
  requestCancel(C.Index);
}

void BackendScheduler::retire(ConnectionId Retired, MonotonicTime Now,
                              DispatchActions &Out) {
  Connection C = *Pool.find(Retired);
  ++Counters.RetiredConnections;
  abortExchange(C, DispatchOutcome::Lost, Out);
  closeConnection(Retired, Out);
  if (C.PeerIncarnation == Incarnation())
    NextOpenAt = Now + ReopenDelay;
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
  pollStatus(*C, Now, Out);
  schedule(Now, Out);
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
  abortExchange(C, DispatchOutcome::BackendLost, Out);
  // Pause, so that a backend server that accepts connections and closes them at
  // once does not cause a tight loop of attempts.
  if (C.PeerIncarnation == Incarnation())
    NextOpenAt = Now + ReopenDelay;
  if (C.isOpen()) {
    ++Counters.Resets;
    forgetIncarnation(Now);
  } else {
    Reachable = Reachable && Pool.anyOpen();
  }
  schedule(Now, Out);
}

void BackendScheduler::firstByteReceived(ConnectionId Id) {
  if (Connection *C = Pool.find(Id))
    C->ReceivedByte = true;
}

void BackendScheduler::forgetIncarnation(MonotonicTime Now) {
  Limit.forgetIncarnation(Now);
  IncarnationUnknownSince = Now;
  NextPollAt = Now;
}

void BackendScheduler::pollStatus(Connection &C, MonotonicTime Now,
                                  DispatchActions &Out) {
  ConnectionPool::begin(C, ConnectionUse::Status, NoEntry, DispatchId(), Now);
  NextPollAt =
      Now + (Limit.incarnationKnown() ? StatusInterval : StatusRetryInterval);
  Out.emplace_back(PollStatus{Id, C.Id});
}

void BackendScheduler::pollStatusIfDue(MonotonicTime Now,
                                       DispatchActions &Out) {
  if (Now < NextPollAt || Stopping)
    return;
  if (Connection *C = Pool.idle())
    pollStatus(*C, Now, Out);
}

void BackendScheduler::sendPendingCancels(MonotonicTime Now,
                                          DispatchActions &Out) {
  size_t Sent = 0;
  while (Limit.incarnationKnown() && Sent < PendingCancels.size()) {
    Connection *C = Pool.idleTo(BackendIncarnation);
    if (!C)
      break;
    auto [Index, Dispatch] = PendingCancels[Sent++];
    // The sub-request may have ended while its cancel was pending.
    if (Queue[Index].Stage == SubRequestEntry::State::Free ||
        Queue[Index].Id != Dispatch)
      continue;
    Pool.begin(*C, ConnectionUse::Cancel, Index, Dispatch, Now);
    Out.emplace_back(SendCancel{Id, C->Id, Dispatch});
  }
  PendingCancels.erase(PendingCancels.begin(),
                       PendingCancels.begin() + static_cast<ptrdiff_t>(Sent));
}

void BackendScheduler::cancelReplied(ConnectionId Replied, MonotonicTime Now,
                                     DispatchActions &Out) {
  Connection *C = Pool.find(Replied);
  if (!C || C->Use != ConnectionUse::Cancel) {
    ++Counters.StaleEvents;
    return;
  }
  EntryIndex Index = C->Index;
  DispatchId Dispatch = C->Dispatch;
  Pool.end(*C, Now);
  // Only a detached search ends here. One whose connection is open ends with
  // its own reply; it may still run, as its cancel may have arrived before it.
  const SubRequestEntry &Entry = Queue[Index];
  if (Entry.Stage == SubRequestEntry::State::Detached && Entry.Id == Dispatch)
    freeSlot(Index, Now);
  schedule(Now, Out);
}

void BackendScheduler::statusReplied(ConnectionId Replied, StatusReport Report,
                                     MonotonicTime Now, DispatchActions &Out) {
  Connection *C = Pool.find(Replied);
  if (!C || C->Use != ConnectionUse::Status) {
    ++Counters.StaleEvents;
    return;
  }
  bool IsFresh = C->UseStart >= IncarnationUnknownSince;
  Pool.end(*C, Now);
  C->PeerIncarnation = Report.BackendIncarnation;
  // A copy, since closing connections of the previous incarnation below may
  // invalidate C.
  Connection Polled = *C;
  if (!IsFresh ||
      !acceptIncarnation(Polled, Report.BackendIncarnation, Now, Out)) {
    schedule(Now, Out);
    return;
  }
  NextPollAt = Now + StatusInterval;
  applyReportedLimits(Report);
  Limit.applyStatus(Report.State, Report.Capacity, Now);
  applyState(Report.State, Out);
  if (Report.Snapshots != Snapshots) {
    Snapshots = std::move(Report.Snapshots);
    Out.emplace_back(SummaryChanged{Id});
  }
  schedule(Now, Out);
}

bool BackendScheduler::acceptIncarnation(const Connection &C, Incarnation Peer,
                                         MonotonicTime Now,
                                         DispatchActions &Out) {
  if (Peer == BackendIncarnation) {
    NewestConnection = std::max(NewestConnection, C.Id);
    return true;
  }
  // A late reply of the previous incarnation on one of its connections.
  if (C.Id < NewestConnection)
    return false;
  bool IsRestart = BackendIncarnation != Incarnation();
  BackendIncarnation = Peer;
  NewestConnection = C.Id;
  if (IsRestart) {
    ++Counters.Restarts;
    Limit.backendRestarted(Now);
  } else {
    Limit.forgetIncarnation(Now);
  }
  endPreviousIncarnation(Now, Out);
  return true;
}

void BackendScheduler::endPreviousIncarnation(MonotonicTime Now,
                                              DispatchActions &Out) {
  std::vector<ConnectionId> Previous;
  for (const Connection &C : Pool.all())
    if (C.PeerIncarnation != Incarnation() &&
        C.PeerIncarnation != BackendIncarnation)
      Previous.push_back(C.Id);
  for (ConnectionId Closed : Previous) {
    abortExchange(*Pool.find(Closed), DispatchOutcome::BackendLost, Out);
    closeConnection(Closed, Out);
  }
  // Sub-requests that the previous incarnation ran have ended with it.
  while (!Detached.empty())
    freeSlot(Detached.back(), Now);
}

void BackendScheduler::applyReportedLimits(const StatusReport &Report) {
  Slots = std::max(1U, Settings.Slots);
  if (Report.Slots > 0)
    Slots = std::min(Slots, Report.Slots);
  ConnectionCap = std::max(1U, Settings.Connections);
  if (Report.Connections > 0)
    ConnectionCap = std::min(ConnectionCap, Report.Connections);
  Limit.configure(Slots, Settings.ColdLimit);
}

void BackendScheduler::applyState(ReportedState NewState,
                                  DispatchActions &Out) {
  State = NewState;
  if (State == ReportedState::Draining)
    refuseAllQueued(RefusalReason::Draining, Out);
}

bool BackendScheduler::isSilent(const Connection &C, MonotonicTime Now) const {
  if (!C.isBusy() || C.ReceivedByte)
    return false;
  Duration Bound = std::max(ServiceP99 * SilenceFactor, MinSilence);
  return Now - C.UseStart >= Bound && Pool.othersReplied(C);
}

bool BackendScheduler::isOverdue(const Connection &C, MonotonicTime Now) const {
  Duration Age = Now - C.UseStart;
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
  std::vector<ConnectionId> Failed;
  for (const Connection &C : Pool.all())
    if (isOverdue(C, Now) || isSilent(C, Now))
      Failed.push_back(C.Id);
  for (ConnectionId FailedId : Failed)
    retire(FailedId, Now, Out);
}

void BackendScheduler::checkRunning(MonotonicTime Now, DispatchActions &Out) {
  for (const Connection &C : Pool.all()) {
    if (C.Use != ConnectionUse::Search)
      continue;
    const SubRequestEntry &Entry = Queue[C.Index];
    if (Entry.Replied || Now < Entry.Request.Deadline)
      continue;
    ++Counters.Lost;
    reply(C.Index, DispatchOutcome::Lost, RefusalReason::Deadline, Out);
    requestCancel(C.Index);
  }
  for (size_t I = Detached.size(); I-- > 0;)
    if (Now - Queue[Detached[I]].SentAt >= Settings.SubRequestLimit)
      freeSlot(Detached[I], Now);
}

void BackendScheduler::tick(MonotonicTime Now, DispatchActions &Out) {
  checkConnections(Now, Out);
  checkRunning(Now, Out);
  if (Queue.length() > 0)
    refuseLateRequests(Now, Out);
  Limit.tick(Now);
  schedule(Now, Out);
}

void BackendScheduler::publishSummary(DispatchActions &Out) {
  PublishedSummary New;
  New.IncarnationKnown = Limit.incarnationKnown();
  New.Reachable = Reachable;
  New.Limit = Limit.expectedLimit();
  New.State = State;
  New.BackendIncarnation = BackendIncarnation;
  bool Unchanged = New.IncarnationKnown == LastPublished.IncarnationKnown &&
                   New.Reachable == LastPublished.Reachable &&
                   New.Limit == LastPublished.Limit &&
                   New.State == LastPublished.State &&
                   New.BackendIncarnation == LastPublished.BackendIncarnation;
  if (Unchanged)
    return;
  LastPublished = New;
  Out.emplace_back(SummaryChanged{Id});
}

SchedulerSummary BackendScheduler::summary() const {
  SchedulerSummary Summary;
  Summary.Backend = Settings.Backend;
  Summary.BackendIncarnation = BackendIncarnation;
  Summary.State = State;
  Summary.IncarnationKnown = Limit.incarnationKnown();
  Summary.Reachable = Reachable;
  Summary.Limit = Limit.expectedLimit();
  Summary.QueueLength = Queue.length();
  Summary.Snapshots = Snapshots;
  return Summary;
}

} // namespace mimosa
