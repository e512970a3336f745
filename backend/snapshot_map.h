// The backend servers that hold each shard of each snapshot. The map is rebuilt
// from all usable backend servers when one of them changes, so that lookups are
// cheap.
//
//   SnapshotMap Map;
//   Map.rebuild(Backends);
//   if (std::optional<SnapshotChoice> Choice = Map.choose({}))
//     Map.replicas(Choice->Snapshot, ShardId(0));
//
// A snapshot is newer if its order number is higher; a snapshot without an
// order number is older than one with. Snapshots with equal order numbers are
// compared by name, with the digits at the end of the name as a number ("v9" is
// older than "v10").
//
// Backend servers that report different numbers of shards for a snapshot have
// partitioned the index in different ways. The number that most of them report
// is used (the higher one on a tie), and the other reports are left out.

#ifndef MIMOSA_BACKEND_SNAPSHOT_MAP_H
#define MIMOSA_BACKEND_SNAPSHOT_MAP_H

#include "backend/replica_source.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// A snapshot and the shards of it that one backend server holds.
struct BackendSnapshot {
  SnapshotId Snapshot;
  /// 0 if not known.
  uint64_t Order = 0;
  uint32_t TotalShards = 0;
  std::vector<uint32_t> Shards;
};

inline bool operator==(const BackendSnapshot &A, const BackendSnapshot &B) {
  return A.Snapshot == B.Snapshot && A.Order == B.Order &&
         A.TotalShards == B.TotalShards && A.Shards == B.Shards;
}

/// A usable backend server and its snapshots.
struct UsableBackend {
  const BackendServerId *Backend = nullptr;
  /// Used only for shards that no other backend server holds.
  bool LastResort = false;
  const std::vector<BackendSnapshot> *Snapshots = nullptr;
};

/// Compares names as described at the head of this file.
bool isOlderByName(const SnapshotId &A, const SnapshotId &B);

/// Replicas by snapshot and shard.
class SnapshotMap {
public:
  /// Replaces the map; returns the number of reports that were left out because
  /// of their number of shards.
  uint64_t rebuild(const std::vector<UsableBackend> &Backends);

  /// See ReplicaSource::chooseSnapshot().
  std::optional<SnapshotChoice>
  choose(const std::vector<SnapshotId> &Excluded) const;

  /// Valid until the next rebuild; empty if no replica is known.
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const;

private:
  struct Entry {
    SnapshotId Snapshot;
    uint64_t Order = 0;
    uint32_t TotalShards = 0;
    uint32_t CoveredShards = 0;
    std::vector<std::vector<BackendServerId>> Replicas;
    /// By shard: whether a backend server that is not a last resort holds it.
    std::vector<bool> HasPreferred;
  };

  Entry &findOrAdd(const SnapshotId &Snapshot);
  /// Adds the replicas on those \p Backends that are a last resort or not, as
  /// \p LastResort states; returns the number of reports left out.
  uint64_t addBackends(const std::vector<UsableBackend> &Backends,
                       bool LastResort);
  static void addShards(Entry &Target, const std::vector<uint32_t> &Shards,
                        const UsableBackend &Server);
  /// Sets the order and the number of shards of each snapshot.
  void setTotals(const std::vector<UsableBackend> &Backends);

  /// Newest first.
  std::vector<Entry> Entries;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_SNAPSHOT_MAP_H
