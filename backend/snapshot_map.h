// Which backend servers hold which shards of which snapshot. The map is built
// anew from all usable backend servers when one of them changes, so that
// lookups need no work.
//
// Order of snapshots, newest first: by the order number, if the owners report
// one (snapshots without one are older than those with one); else by name,
// where the digits at the end of the name are compared as a number ("v9" is
// older than "v10"). Backend servers that disagree on the number of shards of a
// snapshot use another partitioning; the number that most of them report counts
// (the higher one if there are two) and the others are left out.

#ifndef MIMOSA_BACKEND_SNAPSHOT_MAP_H
#define MIMOSA_BACKEND_SNAPSHOT_MAP_H

#include "backend/replica_source.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// A snapshot on one backend server, with unpacked shards.
struct HeldSnapshot {
  SnapshotId Snapshot;
  /// 0 if not known.
  uint64_t Order = 0;
  uint32_t TotalShards = 0;
  std::vector<uint32_t> Shards;
};

inline bool operator==(const HeldSnapshot &A, const HeldSnapshot &B) {
  return A.Snapshot == B.Snapshot && A.Order == B.Order &&
         A.TotalShards == B.TotalShards && A.Shards == B.Shards;
}

/// A usable backend server as input to the map.
struct ReplicaHolder {
  const BackendServerId *Backend = nullptr;
  /// Used only for shards that no other backend server holds.
  bool LastResort = false;
  const std::vector<HeldSnapshot> *Snapshots = nullptr;
};

/// Whether \p A is older than \p B by name.
bool olderName(const SnapshotId &A, const SnapshotId &B);

/// Replicas by snapshot and shard.
class SnapshotMap {
public:
  /// Replaces the map; returns how many reports were left out because of their
  /// number of shards.
  uint64_t rebuild(const std::vector<ReplicaHolder> &Holders);

  /// See ReplicaSource::chooseSnapshot().
  std::optional<SnapshotChoice>
  choose(const std::vector<SnapshotId> &Excluded) const;

  /// Valid until the next rebuild; empty if nothing is known.
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const;

private:
  struct Entry {
    SnapshotId Snapshot;
    uint64_t Order = 0;
    uint32_t TotalShards = 0;
    uint32_t CoveredShards = 0;
    std::vector<std::vector<BackendServerId>> Replicas;
    /// By shard: held by a backend server that is not a last resort.
    std::vector<bool> HasPreferred;
  };

  Entry &entryOf(const SnapshotId &Snapshot);
  uint64_t addHolders(const std::vector<ReplicaHolder> &Holders,
                      bool LastResort);
  static void addShards(Entry &Target, const std::vector<uint32_t> &Shards,
                        const ReplicaHolder &Holder);
  void setTotals(const std::vector<ReplicaHolder> &Holders);

  /// Newest first.
  std::vector<Entry> Entries;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_SNAPSHOT_MAP_H
