// The actions that a BackendScheduler requires from its driver, and the replies
// of a backend server that the driver passes to it.
//
// Every connection of a scheduler carries one exchange at a time: a search, a
// cancel or a status poll. The scheduler chooses the connection for each of
// them and keeps their number within the backend server's connection cap, so
// the driver must not open any other connections to that backend server.

#ifndef MIMOSA_DISPATCH_ACTIONS_H
#define MIMOSA_DISPATCH_ACTIONS_H

#include "dispatch/sub_request.h"

#include <variant>

namespace mimosa {

/// Open a connection; the driver then calls connectionOpened() or
/// connectionLost().
struct OpenConnection {
  SchedulerId Scheduler;
  ConnectionId Connection;
};

/// Close a connection at once; later events on it are ignored.
struct CloseConnection {
  SchedulerId Scheduler;
  ConnectionId Connection;
};

/// POST /search on \p Connection; the driver then calls searchReplied() or
/// connectionLost().
struct SendSearch {
  SchedulerId Scheduler;
  ConnectionId Connection;
  DispatchId Id;
  /// How long the search may run; sent as deadline_ms.
  Duration RunLimit;
  SubRequest Request;
};

/// POST /cancel for \p Id on \p Connection; the driver then calls
/// cancelReplied() or connectionLost().
struct SendCancel {
  SchedulerId Scheduler;
  ConnectionId Connection;
  DispatchId Id;
};

/// GET /status on \p Connection; the driver then calls statusReplied() or
/// connectionLost().
struct PollStatus {
  SchedulerId Scheduler;
  ConnectionId Connection;
};

/// The result of a sub-request, for its root; exactly one for each sub-request
/// that is not a duplicate.
struct SubRequestResult {
  SubRequestKey Key;
  DispatchOutcome Outcome = DispatchOutcome::Lost;
  RefusalReason Reason = RefusalReason::None;
  /// Result code for callers and metrics.
  ResultCode Code = ResultCode::Ok;
  /// Body of the backend server's reply; empty unless it answered or refused
  /// explicitly.
  std::string Body;
  /// Time from the dispatch to the reply; 0 unless Answered.
  Duration ServiceTime{};
  /// Queue length and concurrency limit of the backend server's scheduler.
  uint32_t QueueLength = 0;
  uint32_t Limit = 0;
};

/// A field of the SchedulerSummary that other hosts use has changed: limit,
/// state, reachability, incarnation or snapshots.
struct SummaryChanged {
  SchedulerId Scheduler;
};

using DispatchAction =
    std::variant<OpenConnection, CloseConnection, SendSearch, SendCancel,
                 PollStatus, SubRequestResult, SummaryChanged>;
using DispatchActions = std::vector<DispatchAction>;

/// A backend server's reply to a search.
struct SearchReply {
  enum class Kind : uint8_t {
    /// 200 with a body.
    Answered,
    /// 503 with execution not_run.
    Refused,
    /// A complete reply that could not be parsed.
    Malformed,
  };
  Kind Type = Kind::Answered;
  /// Set if Refused.
  RefusalReason Reason = RefusalReason::None;
  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  /// Requests that the backend server can run at once; 0 if not reported.
  uint32_t Capacity = 0;
  std::string Body;
};

/// The shards that a backend server holds of one snapshot.
struct ReportedSnapshot {
  SnapshotId Snapshot;
  uint32_t TotalShards = 0;
  std::vector<ShardId> Shards;

  friend bool operator==(const ReportedSnapshot &A, const ReportedSnapshot &B) {
    return A.Snapshot == B.Snapshot && A.TotalShards == B.TotalShards &&
           A.Shards == B.Shards;
  }
};

/// A backend server's reply to a status poll.
struct StatusReport {
  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  /// Requests that the backend server can run at once; 0 if not reported.
  uint32_t Capacity = 0;
  /// Lowers the configured number of slots; 0 if not reported.
  uint32_t Slots = 0;
  /// Lowers the configured connection cap; 0 if not reported.
  uint32_t Connections = 0;
  std::vector<ReportedSnapshot> Snapshots;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_ACTIONS_H
