// Chooses a backend server for each shard of a query. Backend servers are
// numbered within a query, so that the hot path compares numbers, not names.
//
//   Planner Plan(Source, Rand);
//   Plan.assign(Snapshot, Shards, MayAsk, Now, Groups, Unplaced);
//
// A shard goes to a backend server that the same call has already chosen if
// that one is not much slower; otherwise to the better of two random replicas
// (Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
// TPDS 2001). This keeps the number of backend servers per query low.

#ifndef MIMOSA_QUERY_PLANNER_H
#define MIMOSA_QUERY_PLANNER_H

#include "backend/replica_source.h"
#include "base/random.h"

#include <cstdint>
#include <vector>

namespace mimosa {

/// No backend server, or no entry of a list.
constexpr uint32_t NoBackend = UINT32_MAX;

/// Shards to ask of one backend server.
struct ShardGroup {
  uint32_t Backend = NoBackend;
  std::vector<ShardId> Shards;
};

/// The backend servers of one query, by number, and the choice among them.
class Planner {
public:
  /// \p Source and \p Rand must outlive the planner.
  Planner(ReplicaSource &Source, Random &Rand) : Source(Source), Rand(Rand) {}

  /// Assigns each of \p Shards to a replica for which \p MayAsk(Shard, Backend)
  /// holds. Adds the shards by backend server to \p Groups and those without
  /// such a replica to \p Unplaced.
  template <typename Filter>
  void assign(const SnapshotId &Snapshot, const std::vector<uint32_t> &Shards,
              const Filter &MayAsk, MonotonicTime Now,
              std::vector<ShardGroup> &Groups,
              std::vector<uint32_t> &Unplaced) {
    startRound();
    uint64_t Offset = Shards.empty() ? 0 : Rand.below(Shards.size());
    for (size_t I = 0; I < Shards.size(); ++I) {
      uint32_t Shard = Shards[(I + Offset) % Shards.size()];
      Candidates.clear();
      for (const BackendServerId &Id :
           Source.replicas(Snapshot, ShardId(Shard))) {
        uint32_t Backend = number(Id);
        if (MayAsk(Shard, Backend))
          Candidates.push_back(Backend);
      }
      if (Candidates.empty())
        Unplaced.push_back(Shard);
      else
        addTo(Groups, choose(Now), Shard);
    }
  }

  /// The number of \p Id in this query.
  uint32_t number(const BackendServerId &Id);

  const BackendServerId &id(uint32_t Backend) const {
    return Backends[Backend].Id;
  }

  /// Prefers other replicas to \p Backend for the rest of the query, because
  /// it has refused or lost a part of it.
  void avoid(uint32_t Backend) { Backends[Backend].Avoided = true; }

private:
  struct Entry {
    BackendServerId Id;
    size_t Hash = 0;
    bool Avoided = false;
    /// Expected latency, valid in round LatencyRound.
    Duration Latency{};
    uint32_t LatencyRound = 0;
    /// Index of the group in the current call of assign(), if GroupRound is
    /// the current round.
    uint32_t Group = 0;
    uint32_t GroupRound = 0;
  };

  void startRound() { ++Round; }
  uint32_t choose(MonotonicTime Now);
  Duration latency(uint32_t Backend, MonotonicTime Now);
  void addTo(std::vector<ShardGroup> &Groups, uint32_t Backend, uint32_t Shard);
  void grow();

  ReplicaSource &Source;
  Random &Rand;
  std::vector<Entry> Backends;
  /// Open-addressing hash table of indices into Backends.
  std::vector<uint32_t> Table;
  std::vector<uint32_t> Candidates;
  uint32_t Round = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUERY_PLANNER_H
