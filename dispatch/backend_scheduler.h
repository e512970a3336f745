// Schedules sub-requests onto one backend server, at the host that owns it.
// Holds the queue, the concurrency limit, the connections and the last status
// of the backend server.
//
// A scheduler performs no I/O. Its driver passes it sub-requests, connection
// events and the time, and carries out the actions that it appends to Out:
//
//   BackendScheduler Scheduler(SchedulerId(1), Settings, Permission, Now);
//   Scheduler.start(Now, Out);                       // OpenConnection
//   Scheduler.connectionOpened(Id, Now, Out);        // PollStatus
//   Scheduler.statusReplied(Id, Report, Now, Out);   // SummaryChanged
//   Scheduler.submit(std::move(Request), Now, Out);  // SendSearch or refusal
//   Scheduler.searchReplied(Id, Reply, Now, Out);    // SubRequestResult
//   Scheduler.tick(Now, Out);                        // every TickInterval
//
// Every submitted sub-request gets exactly one SubRequestResult, except a
// duplicate (its key is queued or running), which is dropped and counted. A
// sub-request holds its slot until the backend server has replied, has
// confirmed its cancellation or has restarted, or until SubRequestLimit has
// passed. Events on connections that the scheduler has closed are ignored and
// counted.

#ifndef MIMOSA_DISPATCH_BACKEND_SCHEDULER_H
#define MIMOSA_DISPATCH_BACKEND_SCHEDULER_H

#include "dispatch/actions.h"
#include "dispatch/class_queue.h"
#include "dispatch/connection_pool.h"
#include "dispatch/slot_limit.h"

namespace mimosa {

/// Tells whether this host is the current owner of a partition. Called before
/// every dispatch.
class DispatchPermission {
public:
  virtual ~DispatchPermission() = default;
  virtual bool mayDispatch(Partition P, MonotonicTime Now) const = 0;
};

/// The configuration of a backend server.
struct BackendSettings {
  BackendServerId Backend;
  Partition InPartition;
  /// At least 1.
  uint32_t Slots = 1;
  /// Connection cap, at least 1.
  uint32_t Connections = 1;
  /// Concurrency limit of a cold backend server, 1 to Slots.
  uint32_t ColdLimit = 1;
  bool Draining = false;
  /// The availability zone is taken out of use.
  bool ZoneOut = false;
  /// Maximum time that a sub-request may run at the backend server.
  Duration SubRequestLimit = Milliseconds(1000);
};

/// The state of a backend server that its owner announces to the host set.
struct SchedulerSummary {
  BackendServerId Backend;
  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  /// False until a status reply has arrived since the last connection reset;
  /// no searches are sent meanwhile.
  bool IncarnationKnown = false;
  bool Reachable = true;
  uint32_t Limit = 0;
  uint32_t QueueLength = 0;
  std::vector<ReportedSnapshot> Snapshots;
};

/// Totals since the scheduler was created.
struct SchedulerCounters {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  /// Refused explicitly by the backend server.
  uint64_t Refused = 0;
  /// Refused or cancelled here, without being sent.
  uint64_t NotSent = 0;
  /// Sent, without a usable reply.
  uint64_t Lost = 0;
  /// Cancelled while running.
  uint64_t Cancelled = 0;
  /// Submitted with a key that is queued or running.
  uint64_t Duplicates = 0;
  /// Events on connections that are closed or in another use by now.
  uint64_t StaleEvents = 0;
  /// Open connections that were closed or reset by the peer or the network.
  uint64_t Resets = 0;
  /// Connections that were closed here as silent or overdue.
  uint64_t RetiredConnections = 0;
  uint64_t Restarts = 0;
};

/// Interval at which the driver calls BackendScheduler::tick().
constexpr Duration TickInterval = Milliseconds(5);

/// See the head of this file.
class BackendScheduler {
public:
  /// \p Permission must outlive the scheduler.
  BackendScheduler(SchedulerId Id, const BackendSettings &Settings,
                   const DispatchPermission &Permission, MonotonicTime Now);

  /// Opens the first connections. Also reverses stop().
  void start(MonotonicTime Now, DispatchActions &Out);
  /// Applies new settings of the same backend server. If its zone is back in
  /// use, the limit starts at the cold limit.
  void configure(const BackendSettings &New, MonotonicTime Now,
                 DispatchActions &Out);
  /// Stops using the backend server: refuses queued sub-requests, lets running
  /// ones end and closes each connection when it is idle.
  void stop(DispatchActions &Out);
  /// True after stop() when nothing is in flight and no connection is left.
  bool isStopped() const;

  /// Queues or sends a sub-request; refuses it at once if it cannot start in
  /// time or the backend server is not available.
  void submit(SubRequest Request, MonotonicTime Now, DispatchActions &Out);
  /// Ends a sub-request; for a running one, also sends a cancel to the backend
  /// server. Does nothing if the sub-request has ended.
  void cancel(const SubRequestKey &Key, MonotonicTime Now,
              DispatchActions &Out);

  void connectionOpened(ConnectionId Id, MonotonicTime Now,
                        DispatchActions &Out);
  /// The connection could not be opened, or was closed or reset by the peer or
  /// the network.
  void connectionLost(ConnectionId Id, MonotonicTime Now, DispatchActions &Out);
  /// The first byte of a reply has arrived, so the connection does not count as
  /// silent.
  void firstByteReceived(ConnectionId Id);
  void searchReplied(ConnectionId Id, SearchReply Reply, MonotonicTime Now,
                     DispatchActions &Out);
  /// The backend server has confirmed a cancel with 200.
  void cancelReplied(ConnectionId Id, MonotonicTime Now, DispatchActions &Out);
  void statusReplied(ConnectionId Id, StatusReport Report, MonotonicTime Now,
                     DispatchActions &Out);
  /// Sets the 99th percentile of the service's sub-request latency, from which
  /// the time-out of silent connections is derived.
  void setServiceP99(Duration P99) { ServiceP99 = P99; }
  void tick(MonotonicTime Now, DispatchActions &Out);

  SchedulerId id() const { return Id; }
  const BackendSettings &settings() const { return Settings; }
  SchedulerSummary summary() const;
  const SchedulerCounters &counters() const { return Counters; }
  /// Sub-requests that run or may still run at the backend server.
  uint32_t inFlight() const { return InFlight; }
  uint32_t limit() const { return Limit.limit(); }
  uint32_t queueLength() const { return Queue.length(); }
  uint32_t connections() const { return Pool.size(); }

private:
  // backend_scheduler.cpp: handling of sub-requests.

  /// Why no sub-request can be sent now; None if sending is possible.
  RefusalReason unavailableReason(MonotonicTime Now) const;
  /// \p Position is the number of queued sub-requests of the class ahead.
  Duration predictedWait(SubRequestClass Class, uint32_t Position) const;
  /// Whether a sub-request that is queued at \p Position is predicted to start
  /// early enough to meet its deadline.
  bool startsInTime(const SubRequest &Request, uint32_t Position,
                    MonotonicTime Now) const;
  /// Whether a queued sub-request is predicted to miss its deadline.
  bool cannotMeetDeadline(const SubRequest &Request, uint32_t Position,
                          MonotonicTime Now) const;
  /// Sends what can be sent now, adjusts the connections and publishes changes
  /// of the summary. Called after every event.
  void schedule(MonotonicTime Now, DispatchActions &Out);
  void sendQueuedSearches(MonotonicTime Now, DispatchActions &Out);
  void sendSearch(Connection &C, EntryIndex Index, MonotonicTime Now,
                  DispatchActions &Out);
  void reply(EntryIndex Index, DispatchOutcome Outcome, RefusalReason Reason,
             DispatchActions &Out, std::string Body = {},
             Duration ServiceTime = {});
  void refuseQueued(EntryIndex Index, RefusalReason Reason,
                    DispatchActions &Out);
  void refuseAllQueued(RefusalReason Reason, DispatchActions &Out);
  void refuseLateRequests(MonotonicTime Now, DispatchActions &Out);
  void endSearch(EntryIndex Index, SearchReply Reply, Duration Time,
                 MonotonicTime Now, DispatchActions &Out);
  void requestCancel(EntryIndex Index);
  void freeSlot(EntryIndex Index, MonotonicTime Now);

  // backend_scheduler_connections.cpp: connections and status.

  /// Number of connections to open under the current limit.
  uint32_t connectionTarget() const;
  /// Number of connections beyond which unused ones are closed.
  uint32_t maxConnections() const;
  void adjustConnections(MonotonicTime Now, DispatchActions &Out);
  /// Closes idle connections to an earlier incarnation, and unused ones beyond
  /// maxConnections().
  void closeUnused(DispatchActions &Out);
  void closeConnection(ConnectionId Id, DispatchActions &Out);
  /// Ends the exchange of a connection that is lost or about to be closed. A
  /// search is replied to with \p Outcome and keeps its slot (Detached).
  void abortExchange(const Connection &C, DispatchOutcome Outcome,
                     DispatchActions &Out);
  /// Closes a connection that is silent or overdue.
  void retire(ConnectionId Id, MonotonicTime Now, DispatchActions &Out);
  bool isSilent(const Connection &C, MonotonicTime Now) const;
  bool isOverdue(const Connection &C, MonotonicTime Now) const;
  /// Retires silent and overdue connections.
  void checkConnections(MonotonicTime Now, DispatchActions &Out);
  /// Ends running sub-requests whose deadline has passed, and frees the slots
  /// of detached ones after SubRequestLimit.
  void checkRunning(MonotonicTime Now, DispatchActions &Out);
  /// Suspends dispatch until a status reply names the incarnation.
  void forgetIncarnation(MonotonicTime Now);
  void pollStatusIfDue(MonotonicTime Now, DispatchActions &Out);
  void sendPendingCancels(MonotonicTime Now, DispatchActions &Out);
  void pollStatus(Connection &C, MonotonicTime Now, DispatchActions &Out);
  /// Records the incarnation that replied on \p C; false if it is an earlier
  /// incarnation than the current one.
  bool acceptIncarnation(const Connection &C, Incarnation Peer,
                         MonotonicTime Now, DispatchActions &Out);
  void endPreviousIncarnation(MonotonicTime Now, DispatchActions &Out);
  void applyReportedLimits(const StatusReport &Report);
  void applyState(ReportedState NewState, DispatchActions &Out);
  void publishSummary(DispatchActions &Out);

  SchedulerId Id;
  BackendSettings Settings;
  const DispatchPermission &Permission;
  /// Configured slots and connection cap, lowered to what the backend server
  /// reports.
  uint32_t Slots;
  uint32_t ConnectionCap;

  SlotLimit Limit;
  ClassQueue Queue;
  ConnectionPool Pool;
  uint32_t InFlight = 0;
  uint64_t LastDispatch = 0;
  /// Entries in the state SubRequestEntry::State::Detached.
  std::vector<EntryIndex> Detached;
  /// Dispatches to cancel as soon as a connection is idle.
  std::vector<std::pair<EntryIndex, DispatchId>> PendingCancels;

  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  std::vector<ReportedSnapshot> Snapshots;
  Duration ServiceP99{};
  MonotonicTime NextPollAt;
  /// Replies to status polls that were sent before this time do not count: the
  /// backend server may have restarted since.
  MonotonicTime IncarnationUnknownSince;
  /// The newest connection on which the current incarnation has replied.
  ConnectionId NewestConnection;
  MonotonicTime NextOpenAt;
  bool Reachable = true;
  bool Stopping = false;
  SchedulerCounters Counters;

  /// The state at the last SummaryChanged.
  struct PublishedSummary {
    bool IncarnationKnown = false;
    bool Reachable = true;
    uint32_t Limit = 0;
    ReportedState State = ReportedState::Serving;
    Incarnation BackendIncarnation;
  };
  PublishedSummary LastPublished;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_BACKEND_SCHEDULER_H
