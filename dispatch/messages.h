// Frames between the root of a query and the owners of backend servers (types
// 30 to 32). One Dispatch frame carries all sub-requests of a query for one
// owner; the query text is in it once.

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

/// Root to owner.
struct Dispatch {
  ServiceId Service;
  HostId Root;
  Incarnation RootIncarnation;
  SnapshotId Snapshot;
  bool IsBatch = false;
  bool Idempotent = true;
  /// Time left until the deadline when the frame was sent.
  Duration Remaining{};
  std::string Query;
  std::vector<DispatchItem> Items;
  MSGPACK_DEFINE_MAP(Service, Root, RootIncarnation, Snapshot, IsBatch,
                     Idempotent, Remaining, Query, Items);
};

/// Owner to root; the end of one sub-request.
struct DispatchReply {
  ServiceId Service;
  Incarnation RootIncarnation;
  RequestId Id;
  /// An unknown number is to be read as Lost.
  DispatchOutcome Outcome = DispatchOutcome::Lost;
  RefusalReason Reason = RefusalReason::None;
  /// Reply of the backend server; empty unless Answered.
  std::string Body;
  /// Time at the backend server; 0 unless Answered.
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

/// Root to owner.
struct DispatchCancel {
  ServiceId Service;
  HostId Root;
  Incarnation RootIncarnation;
  std::vector<DispatchCancelItem> Items;
  MSGPACK_DEFINE_MAP(Service, Root, RootIncarnation, Items);
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_MESSAGES_H
