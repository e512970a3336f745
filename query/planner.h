// Chooses a backend server for each shard of a query. Each backend server has
// an index within the query, so that the hot path compares indices, not names.
//
//   Planner Plan(Source, Rand);
//   Plan.assign(Snapshot, Shards, MaySend, Now, Groups, Unassigned);
//
// The choice for a shard is the better of two random replicas (Mitzenmacher,
// "The power of two choices in randomized load balancing", IEEE TPDS 2001). A
// replica that the same call of assign() has already chosen for another shard
// is preferred if it is not much slower, which keeps the number of sub-requests
// low.

#ifndef MIMOSA_QUERY_PLANNER_H
#define MIMOSA_QUERY_PLANNER_H

#include "backend/replica_source.h"
#include "base/random.h"

#include <cstdint>
#include <vector>

namespace mimosa {

/// Stands for no backend server, or for the end of a list.
constexpr uint32_t NoIndex = UINT32_MAX;

/// The shards of one sub-request. \c Backend is an index of Planner::indexOf().
struct ShardGroup {
  uint32_t Backend = NoIndex;
  std::vector<ShardId> Shards;
};

/// See the head of this file.
class Planner {
public:
  /// \p Source and \p Rand must outlive the planner.
  Planner(ReplicaSource &Source, Random &Rand) : Source(Source), Rand(Rand) {}

  /// Assigns each of \p Shards to a replica for which
  /// \p MaySend(Shard, Backend) holds. Adds the shards by backend server to
  /// \p Groups and those without such a replica to \p Unassigned.
  template <typename Filter>
  void assign(const SnapshotId &Snapshot, const std::vector<uint32_t> &Shards,
              const Filter &MaySend, MonotonicTime Now,
              std::vector<ShardGroup> &Groups,
              std::vector<uint32_t> &Unassigned) {
    startRound();
    uint64_t Offset = Shards.empty() ? 0 : Rand.below(Shards.size());
    for (size_t I = 0; I < Shards.size(); ++I) {
      uint32_t Shard = Shards[(I + Offset) % Shards.size()];
      Candidates.clear();
      for (const BackendServerId &Id :
           Source.replicas(Snapshot, ShardId(Shard))) {
        uint32_t Backend = indexOf(Id);
        if (MaySend(Shard, Backend))
          Candidates.push_back(Backend);
      }
      if (Candidates.empty())
        Unassigned.push_back(Shard);
      else
        addToGroup(Groups, choose(Now), Shard);
    }
  }

  /// The index of \p Id in this query; adds \p Id if it is new.
  uint32_t indexOf(const BackendServerId &Id);

  const BackendServerId &id(uint32_t Backend) const {
    return Backends[Backend].Id;
  }

  /// Prefers other replicas to \p Backend for the rest of the query. For
  /// backend servers that have refused or lost a sub-request of it.
  void avoid(uint32_t Backend) { Backends[Backend].Avoided = true; }

private:
  struct Entry {
    BackendServerId Id;
    size_t Hash = 0;
    bool Avoided = false;
    /// Expected latency, valid if LatencyRound is the current round.
    Duration Latency{};
    uint32_t LatencyRound = 0;
    /// Index into the groups, valid if GroupRound is the current round.
    uint32_t Group = 0;
    uint32_t GroupRound = 0;
  };

  void startRound() { ++Round; }
  uint32_t choose(MonotonicTime Now);
  Duration latency(uint32_t Backend, MonotonicTime Now);
  void addToGroup(std::vector<ShardGroup> &Groups, uint32_t Backend,
                  uint32_t Shard);
  void grow();

  ReplicaSource &Source;
  Random &Rand;
  std::vector<Entry> Backends;
  /// Open-addressing hash table of indices into Backends.
  std::vector<uint32_t> Table;
  std::vector<uint32_t> Candidates;
  /// Number of the current call of assign().
  uint32_t Round = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUERY_PLANNER_H
