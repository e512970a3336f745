// The message in which the owner of a partition reports the state of one of its
// backend servers. The owner sends it to the host set of the service on each
// change and every 10 s.
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

/// State of a backend server, as last reported to its owner.
enum class BackendState : uint8_t {
  /// No status reply since the owner took over the partition, or since the last
  /// reset.
  Unknown = 0,
  Serving = 1,
  Cold = 2,
  Draining = 3,
};

/// A snapshot and the shards of it that a backend server holds.
struct SnapshotSummary {
  SnapshotId Snapshot;
  /// Grows from each snapshot to the next newer one; 0 if not known.
  uint64_t Order = 0;
  uint32_t TotalShards = 0;
  /// Pairs of first shard and number of shards, see packShards().
  std::vector<uint32_t> Ranges;
  MSGPACK_DEFINE_MAP(Snapshot, Order, TotalShards, Ranges);
};

/// Message 15: the state of one backend server, from its owner.
struct BackendSummary {
  BackendServerId Backend;
  HostId Owner;
  /// Incarnation of the owner's process; each one starts \c Sequence again.
  Incarnation OwnerIncarnation;
  /// Grows with each summary of this owner.
  uint64_t Sequence = 0;
  /// Incarnation of the backend server's process.
  Incarnation BackendIncarnation;
  BackendState State = BackendState::Unknown;
  /// The owner's limit on concurrent sub-requests to the backend server.
  uint32_t Limit = 0;
  /// Sub-requests to the backend server that are queued at the owner.
  uint32_t QueueLength = 0;
  std::vector<SnapshotSummary> Snapshots;
  MSGPACK_DEFINE_MAP(Backend, Owner, OwnerIncarnation, Sequence,
                     BackendIncarnation, State, Limit, QueueLength, Snapshots);
};

} // namespace mimosa

MSGPACK_ADD_ENUM(mimosa::BackendState)

#endif // MIMOSA_BACKEND_MESSAGES_H
