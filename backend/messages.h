// The message by which the owner of a partition tells the hosts of the service
// what it knows about one of its backend servers. The owner sends it to the
// host set on each change and every 10 s.
//
// Shards are packed as ranges, because a backend server usually holds a few
// contiguous runs of shards:
//
//   Summary.Snapshots.push_back({SnapshotId("v7"), 0, 64, packShards({3, 4})});

#ifndef MIMOSA_BACKEND_MESSAGES_H
#define MIMOSA_BACKEND_MESSAGES_H

#include "base/ids.h"
#include "base/message_codec.h"

#include <cstdint>
#include <vector>

namespace mimosa {

/// What the owner last heard of a backend server.
enum class BackendState : uint8_t {
  /// No status reply since the owner took over or since the last reset.
  Unknown = 0,
  Serving = 1,
  Cold = 2,
  Draining = 3,
};

/// One snapshot that a backend server holds in part or in whole.
struct SnapshotSummary {
  SnapshotId Snapshot;
  /// Position of the snapshot among all snapshots; 0 if it is not known.
  uint64_t Order = 0;
  uint32_t TotalShards = 0;
  /// Pairs of first shard and number of shards, see packShards().
  std::vector<uint32_t> Ranges;
  MSGPACK_DEFINE_MAP(Snapshot, Order, TotalShards, Ranges);
};

/// Message 15: the state of one backend server as its owner sees it.
struct BackendSummary {
  BackendServerId Backend;
  HostId Owner;
  /// Incarnation of the owner's process; \c Sequence starts again with it.
  Incarnation OwnerIncarnation;
  /// Grows with each summary of this owner.
  uint64_t Sequence = 0;
  /// Incarnation of the backend server's process.
  Incarnation BackendIncarnation;
  BackendState State = BackendState::Unknown;
  /// Sub-requests that the owner runs at once on the backend server.
  uint32_t Limit = 0;
  /// Sub-requests that wait at the owner.
  uint32_t QueueLength = 0;
  std::vector<SnapshotSummary> Snapshots;
  MSGPACK_DEFINE_MAP(Backend, Owner, OwnerIncarnation, Sequence,
                     BackendIncarnation, State, Limit, QueueLength, Snapshots);
};

} // namespace mimosa

MSGPACK_ADD_ENUM(mimosa::BackendState)

#endif // MIMOSA_BACKEND_MESSAGES_H
