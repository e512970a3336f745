// The interface through which a query session chooses snapshots and replicas,
// checks the extra-load budget and reports its sub-requests. BackendDirectory
// implements it from the owners' summaries and this host's own measurements.

#ifndef MIMOSA_BACKEND_REPLICA_SOURCE_H
#define MIMOSA_BACKEND_REPLICA_SOURCE_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// A snapshot of the index for a query to use, and its number of shards.
struct SnapshotChoice {
  SnapshotId Snapshot;
  uint32_t TotalShards = 0;
};

/// Why an extra sub-request is sent.
enum class ExtraLoad { Hedge, Retry, Probe };

/// The view that this host has of the backend servers of one service.
class ReplicaSource {
public:
  virtual ~ReplicaSource() = default;

  /// The newest snapshot that has a usable replica of every shard, else the one
  /// with the best coverage; empty if none is known. Snapshots in \p Excluded
  /// are skipped.
  virtual std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime Now) const = 0;

  /// The usable replicas of \p Shard in \p Snapshot, in no particular order:
  /// not draining, not in a zone that is out, and with a live owner.
  virtual const std::vector<BackendServerId> &
  replicas(const SnapshotId &Snapshot, ShardId Shard) const = 0;

  /// Expected latency of one more sub-request to \p Backend, queueing included.
  virtual Duration expectedLatency(const BackendServerId &Backend,
                                   MonotonicTime Now) const = 0;

  /// The owner that dispatches to \p Backend, if one is known.
  virtual std::optional<HostId> owner(const BackendServerId &Backend) const = 0;

  /// Time after which a sub-request without a reply is hedged.
  virtual Duration hedgeDelay(MonotonicTime Now) const = 0;

  /// Takes one unit of the service's extra-load budget; false if it is spent.
  virtual bool tryTakeExtra(ExtraLoad Kind, MonotonicTime Now) = 0;

  virtual void onSubRequestSent(const BackendServerId &Backend,
                                MonotonicTime Now) = 0;

  /// \p Latency is empty if the end gives no latency (refused or lost), and may
  /// be empty or a lower bound if the sub-request was cancelled.
  virtual void onSubRequestEnded(const BackendServerId &Backend,
                                 std::optional<Duration> Latency,
                                 MonotonicTime Now) = 0;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_REPLICA_SOURCE_H
