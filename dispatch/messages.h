// Messages between the root of a query and the owners of backend servers (frame
// types 30 to 32). One Dispatch carries all sub-requests of a query for one
// owner, so that the query text is sent once.

#ifndef MIMOSA_DISPATCH_MESSAGES_H
#define MIMOSA_DISPATCH_MESSAGES_H

#include "base/message_codec.h"
#include "dispatch/sub_request.h"

#include <string>
#include <vector>

MSGPACK_ADD_ENUM(mimosa::DispatchOutcome)
MSGPACK_ADD_ENUM(mimosa::RefusalReason)

namespace mimosa {

struct DispatchItem {
  RequestId Id;
  BackendServerId Backend;
  std::vector<ShardId> Shards;
  MSGPACK_DEFINE_MAP(Id, Backend, Shards);
};

/// Root to owner: sub-requests to send to backend servers.
struct Dispatch {
  ServiceId Service;
  HostId Root;
  Incarnation RootIncarnation;
  SnapshotId Snapshot;
  bool IsBatch = false;
  bool Idempotent = true;
  /// Time left until the deadline when the message was sent.
  Duration Remaining{};
  std::string Query;
  std::vector<DispatchItem> Items;
  MSGPACK_DEFINE_MAP(Service, Root, RootIncarnation, Snapshot, IsBatch,
                     Idempotent, Remaining, Query, Items);
};

/// Owner to root: the outcome of one sub-request.
struct DispatchReply {
  ServiceId Service;
  Incarnation RootIncarnation;
  RequestId Id;
  /// The receiver treats unknown values as Lost.
  DispatchOutcome Outcome = DispatchOutcome::Lost;
  RefusalReason Reason = RefusalReason::None;
  /// Body of the backend server's reply; empty unless it answered or refused
  /// explicitly.
  std::string Body;
  /// Time from the dispatch to the reply; 0 unless Answered.
  Duration ServiceTime{};
  uint32_t QueueLength = 0;
  uint32_t Limit = 0;
  MSGPACK_DEFINE_MAP(Service, RootIncarnation, Id, Outcome, Reason, Body,
                     ServiceTime, QueueLength, Limit);
};

struct DispatchCancelItem {
  RequestId Id;
  BackendServerId Backend;
  MSGPACK_DEFINE_MAP(Id, Backend);
};

/// Root to owner: sub-requests that are no longer needed.
struct DispatchCancel {
  ServiceId Service;
  HostId Root;
  Incarnation RootIncarnation;
  std::vector<DispatchCancelItem> Items;
  MSGPACK_DEFINE_MAP(Service, Root, RootIncarnation, Items);
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_MESSAGES_H
