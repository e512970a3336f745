// What a query needs to know about backend servers. The query session plans and
// sends through this interface; backend/ implements it from the owners'
// summaries and from what this host measures.

#ifndef MIMOSA_BACKEND_REPLICA_SOURCE_H
#define MIMOSA_BACKEND_REPLICA_SOURCE_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// One version of the index and its number of shards.
struct SnapshotChoice {
  SnapshotId Snapshot;
  uint32_t TotalShards = 0;
};

/// Why an extra sub-request is sent.
enum class ExtraLoad { Hedge, Retry, Probe };

/// The backend servers of one service as this host sees them.
class ReplicaSource {
public:
  virtual ~ReplicaSource() = default;

  /// The newest snapshot of which every shard has a usable replica, else the
  /// one with the best coverage; nothing if none is known. Snapshots in
  /// \p Excluded are passed over.
  virtual std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime Now) const = 0;

  /// The usable replicas of \p Shard in \p Snapshot, in no particular order:
  /// not draining, not in a zone taken out, with an owner that is alive.
  virtual const std::vector<BackendServerId> &
  replicas(const SnapshotId &Snapshot, ShardId Shard) const = 0;

  /// Expected time of one more sub-request to \p Backend, queueing included.
  virtual Duration expectedLatency(const BackendServerId &Backend,
                                   MonotonicTime Now) const = 0;

  /// The owner that dispatches to \p Backend, if one is known.
  virtual std::optional<HostId> owner(const BackendServerId &Backend) const = 0;

  /// Time after which a sub-request of this service is hedged.
  virtual Duration hedgeDelay(MonotonicTime Now) const = 0;

  /// Takes one unit of the service's extra-load budget; false if it is spent.
  virtual bool takeExtra(ExtraLoad Kind, MonotonicTime Now) = 0;

  /// Notes that a sub-request was sent to \p Backend.
  virtual void onSubRequestSent(const BackendServerId &Backend,
                                MonotonicTime Now) = 0;

  /// Notes the end of a sub-request. \p Latency is empty if the end says
  /// nothing about the speed of the backend server (refused, cancelled, lost).
  virtual void onSubRequestEnded(const BackendServerId &Backend,
                                 std::optional<Duration> Latency,
                                 MonotonicTime Now) = 0;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_REPLICA_SOURCE_H
