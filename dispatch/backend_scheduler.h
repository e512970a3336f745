// The owner's side of one backend server: queue, limit, connections, status.
//
// A scheduler is told of sub-requests, of what happens on its connections and
// of the time, and appends what is to be done to a list of actions:
//
//   BackendScheduler Scheduler(SchedulerId(1), Settings, Permission, Now);
//   Scheduler.start(Now, Out);                        // OpenConnection...
//   Scheduler.connectionOpened(Id, Now, Out);         // PollStatus
//   Scheduler.statusReplied(Id, Report, Now, Out);    // SummaryChanged
//   Scheduler.submit(std::move(Request), Now, Out);   // SendSearch or Reply
//   Scheduler.searchReplied(Id, std::move(Answer), Now, Out);  // Reply
//   Scheduler.tick(Now, Out);                         // every TickInterval
//
// Every sub-request that is submitted gets exactly one Reply; one whose key is
// in work already is dropped and counted. A sub-request
// holds its slot until the backend server has replied, has confirmed its
// cancellation, has restarted, or until the longest time that it may run is
// over. Events about connections that the scheduler does not know are ignored.

#ifndef MIMOSA_DISPATCH_BACKEND_SCHEDULER_H
#define MIMOSA_DISPATCH_BACKEND_SCHEDULER_H

#include "dispatch/actions.h"
#include "dispatch/class_queue.h"
#include "dispatch/connection_pool.h"
#include "dispatch/slot_limit.h"

namespace mimosa {

/// Whether this host is the owner at this moment; asked before every send.
class DispatchPermission {
public:
  virtual ~DispatchPermission() = default;
  virtual bool mayDispatch(Partition P, MonotonicTime Now) const = 0;
};

/// A backend server as the configuration has it.
struct BackendSettings {
  BackendServerId Backend;
  Partition InPartition;
  /// At least 1.
  uint32_t Slots = 1;
  /// Cap of connections, at least 1.
  uint32_t Connections = 1;
  /// 1 to Slots.
  uint32_t ColdLimit = 1;
  bool Draining = false;
  /// Its availability zone is taken out.
  bool ZoneOut = false;
  /// The longest time that a sub-request may run at the backend server.
  Duration SubRequestLimit = Milliseconds(1000);
};

/// What the host set is told of a backend server.
struct SchedulerSummary {
  BackendServerId Backend;
  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  /// False while no status reply has arrived since the last reset.
  bool IncarnationKnown = false;
  bool Reachable = true;
  uint32_t Limit = 0;
  uint32_t QueueLength = 0;
  std::vector<ReportedSnapshot> Snapshots;
};

/// Totals since the scheduler was made.
struct SchedulerCounters {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  /// Refused in words by the backend server.
  uint64_t Refused = 0;
  /// Ended here without being sent.
  uint64_t NotSent = 0;
  uint64_t Lost = 0;
  uint64_t Cancelled = 0;
  uint64_t Duplicates = 0;
  /// Events about connections that are gone or in another use.
  uint64_t StaleEvents = 0;
  uint64_t Resets = 0;
  uint64_t RetiredConnections = 0;
  uint64_t Restarts = 0;
};

/// Interval at which BackendScheduler::tick() is to be called.
constexpr Duration TickInterval = Milliseconds(5);

class BackendScheduler {
public:
  /// \p Permission must outlive the scheduler.
  BackendScheduler(SchedulerId Id, const BackendSettings &Settings,
                   const DispatchPermission &Permission, MonotonicTime Now);

  /// Opens the first connections. Also ends stop().
  void start(MonotonicTime Now, DispatchActions &Out);
  /// Takes new settings of the same backend server. A zone that is back starts
  /// at the cold limit.
  void configure(const BackendSettings &New, MonotonicTime Now,
                 DispatchActions &Out);
  /// Ends the use of the backend server: refuses what is queued, lets running
  /// sub-requests end and closes each connection when it is idle.
  void stop(DispatchActions &Out);
  /// True after stop() when nothing is in hand and no connection is left.
  bool isStopped() const;

  /// Replies at once if the sub-request cannot start in time.
  void submit(SubRequest Request, MonotonicTime Now, DispatchActions &Out);
  /// Ends a queued sub-request, or a running one with a cancel to the backend
  /// server; does nothing if it has ended.
  void cancel(const SubRequestKey &Key, MonotonicTime Now,
              DispatchActions &Out);

  void connectionOpened(ConnectionId Id, MonotonicTime Now,
                        DispatchActions &Out);
  /// The connection could not be opened, or was closed or reset by the peer or
  /// by the network.
  void connectionLost(ConnectionId Id, MonotonicTime Now, DispatchActions &Out);
  /// The first byte of a reply has arrived; the connection is not silent.
  void firstByteReceived(ConnectionId Id);
  void searchReplied(ConnectionId Id, SearchReply Answer, MonotonicTime Now,
                     DispatchActions &Out);
  /// 200 to a cancel: the sub-request does not run any more.
  void cancelReplied(ConnectionId Id, MonotonicTime Now, DispatchActions &Out);
  void statusReplied(ConnectionId Id, StatusReport Report, MonotonicTime Now,
                     DispatchActions &Out);
  /// The service's 99th percentile of sub-request latency.
  void setServiceP99(Duration P99) { ServiceP99 = P99; }
  void tick(MonotonicTime Now, DispatchActions &Out);

  SchedulerId id() const { return Id; }
  const BackendSettings &settings() const { return Settings; }
  SchedulerSummary summary() const;
  const SchedulerCounters &counters() const { return Counters; }
  /// Sub-requests that run or may still run at the backend server.
  uint32_t inHand() const { return InHand; }
  uint32_t limit() const { return Limit.limit(); }
  uint32_t queueLength() const { return Works.length(); }
  uint32_t connections() const { return Pool.size(); }

private:
  // backend_gate.cpp: the way of a sub-request.
  RefusalReason standingRefusal(MonotonicTime Now) const;
  Duration predictedWait(SubRequestClass Class, uint32_t Position) const;
  bool startsInTime(const SubRequest &Request, uint32_t Position,
                    MonotonicTime Now) const;
  bool isHopeless(const SubRequest &Request, uint32_t Position,
                  MonotonicTime Now) const;
  void pump(MonotonicTime Now, DispatchActions &Out);
  void pumpSearches(MonotonicTime Now, DispatchActions &Out);
  void sendSearch(Connection &C, WorkIndex Index, MonotonicTime Now,
                  DispatchActions &Out);
  void reply(WorkIndex Index, DispatchOutcome Outcome, RefusalReason Reason,
             DispatchActions &Out, std::string Body = {},
             Duration ServiceTime = {});
  void refuseQueued(WorkIndex Index, RefusalReason Reason,
                    DispatchActions &Out);
  void refuseAllQueued(RefusalReason Reason, DispatchActions &Out);
  void sweepQueue(MonotonicTime Now, DispatchActions &Out);
  void endSearch(WorkIndex Index, SearchReply Answer, Duration Time,
                 MonotonicTime Now, DispatchActions &Out);
  void requestCancel(WorkIndex Index);
  void freeSlot(WorkIndex Index, MonotonicTime Now);

  // backend_gate_connections.cpp: connections and status.
  uint32_t connectionTarget() const;
  uint32_t connectionMost() const;
  void adjustConnections(MonotonicTime Now, DispatchActions &Out);
  void closeUnused(DispatchActions &Out);
  void closeConnection(ConnectionId Id, DispatchActions &Out);
  void loseExchange(const Connection &C, DispatchOutcome Outcome,
                    DispatchActions &Out);
  void retire(ConnectionId Id, MonotonicTime Now, DispatchActions &Out);
  bool isSilent(const Connection &C, MonotonicTime Now) const;
  bool isOverdue(const Connection &C, MonotonicTime Now) const;
  void checkConnections(MonotonicTime Now, DispatchActions &Out);
  void checkRunning(MonotonicTime Now, DispatchActions &Out);
  void incarnationUnknown(MonotonicTime Now);
  void pumpStatus(MonotonicTime Now, DispatchActions &Out);
  void pumpCancels(MonotonicTime Now, DispatchActions &Out);
  void beginStatus(Connection &C, MonotonicTime Now, DispatchActions &Out);
  /// False if the reply comes from a process that is gone.
  bool takeIncarnation(const Connection &C, Incarnation Peer, MonotonicTime Now,
                       DispatchActions &Out);
  void endPreviousProcess(MonotonicTime Now, DispatchActions &Out);
  void takeSizes(const StatusReport &Report);
  void stateSaid(ReportedState NewState, DispatchActions &Out);
  void noteSummary(DispatchActions &Out);

  SchedulerId Id;
  BackendSettings Settings;
  const DispatchPermission &Permission;
  /// Slots and cap after what the backend server reports.
  uint32_t Slots;
  uint32_t Cap;

  SlotLimit Limit;
  ClassQueue Works;
  ConnectionPool Pool;
  uint32_t InHand = 0;
  uint64_t LastSend = 0;
  std::vector<WorkIndex> Lingering;
  /// Sends to cancel as soon as a connection is idle.
  std::vector<std::pair<WorkIndex, DispatchId>> CancelsDue;

  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  std::vector<ReportedSnapshot> Snapshots;
  Duration ServiceP99{};
  MonotonicTime StatusDue;
  /// Polls sent before this time do not tell the incarnation any more.
  MonotonicTime UnknownSince;
  /// The last connection that was opened to the present incarnation.
  ConnectionId NewestPeer;
  MonotonicTime OpenDue;
  bool Reachable = true;
  bool Stopping = false;
  SchedulerCounters Counters;

  /// What the last SummaryChanged stood for.
  struct Published {
    bool IncarnationKnown = false;
    bool Reachable = true;
    uint32_t Limit = 0;
    ReportedState State = ReportedState::Serving;
    Incarnation BackendIncarnation;
  };
  Published Last;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_BACKEND_SCHEDULER_H
