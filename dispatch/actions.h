// What a BackendScheduler wants done, and what it is told about a backend
// server.
//
// Every connection of a scheduler carries one exchange at a time. The scheduler
// names the connection for a search, a cancel or a status poll, and counts all
// of them against the backend server's cap, so the shell opens no other
// connections to it.

#ifndef MIMOSA_DISPATCH_ACTIONS_H
#define MIMOSA_DISPATCH_ACTIONS_H

#include "dispatch/sub_request.h"

#include <variant>

namespace mimosa {

/// Open a connection; answer with connectionOpened() or connectionLost().
struct OpenConnection {
  SchedulerId Scheduler;
  ConnectionId Connection;
};

/// Close a connection at once; no event about it is expected any more.
struct CloseConnection {
  SchedulerId Scheduler;
  ConnectionId Connection;
};

/// POST /search on \p Connection; answer with searchReplied() or
/// connectionLost().
struct SendSearch {
  SchedulerId Scheduler;
  ConnectionId Connection;
  DispatchId Id;
  /// The deadline_ms of the request: how long it may run.
  Duration RunLimit;
  SubRequest Request;
};

/// POST /cancel for \p Id on \p Connection; answer with cancelReplied() or
/// connectionLost().
struct SendCancel {
  SchedulerId Scheduler;
  ConnectionId Connection;
  DispatchId Id;
};

/// GET /status on \p Connection; answer with statusReplied() or
/// connectionLost().
struct PollStatus {
  SchedulerId Scheduler;
  ConnectionId Connection;
};

/// The end of a sub-request; exactly one per accepted sub-request.
struct SubRequestReply {
  SubRequestKey Key;
  DispatchOutcome Outcome = DispatchOutcome::Lost;
  RefusalReason Reason = RefusalReason::None;
  /// Code for callers and metrics.
  ResultCode Code = ResultCode::Ok;
  /// Reply of the backend server; empty unless Answered or Refused in words.
  std::string Body;
  /// Time at the backend server; 0 unless Answered.
  Duration ServiceTime{};
  uint32_t QueueLength = 0;
  uint32_t Limit = 0;
};

/// Something that the host set should know of the backend server has changed:
/// limit, state, incarnation or snapshots.
struct SummaryChanged {
  SchedulerId Scheduler;
};

using DispatchAction =
    std::variant<OpenConnection, CloseConnection, SendSearch, SendCancel,
                 PollStatus, SubRequestReply, SummaryChanged>;
using DispatchActions = std::vector<DispatchAction>;

/// A backend server's reply to a search.
struct SearchReply {
  enum class Kind : uint8_t {
    /// 200 with a body.
    Answered,
    /// 503 with execution not_run.
    Refused,
    /// A complete reply that cannot be read.
    Malformed,
  };
  Kind Type = Kind::Answered;
  /// Set if Refused.
  RefusalReason Reason = RefusalReason::None;
  Incarnation BackendIncarnation;
  ReportedState State = ReportedState::Serving;
  /// 0 if the backend server announces none.
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
  /// 0 if the backend server announces none.
  uint32_t Capacity = 0;
  /// 0 if not reported; lowers the configured number.
  uint32_t Slots = 0;
  /// 0 if not reported; lowers the configured number.
  uint32_t Connections = 0;
  std::vector<ReportedSnapshot> Snapshots;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_ACTIONS_H
