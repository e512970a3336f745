// Merges the sub-answers of one snapshot: counts each shard once and keeps the
// best hits.
//
//   Merger Merged(Limit);
//   Merged.start(TotalShards);
//   Merged.add(Reply.Hits, IsNew);  // once per accepted reply
//   std::vector<Hit> Best = Merged.take();

#ifndef MIMOSA_QUERY_MERGER_H
#define MIMOSA_QUERY_MERGER_H

#include "query/request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// Whether \p A stands before \p B in an answer: by score (highest first),
/// then shard, then id.
bool ranksBefore(const Hit &A, const Hit &B);

/// The hits and the answered shards of one snapshot.
class Merger {
public:
  /// \p Limit is the most hits that are kept; empty: all.
  explicit Merger(std::optional<uint32_t> Limit) : Limit(Limit) {}

  /// Forgets everything and starts on a snapshot of \p TotalShards.
  void start(uint32_t TotalShards);

  /// Marks \p Shard (below the total) as answered by reply \p Reply; false if
  /// it was answered before.
  bool answer(ShardId Shard, uint32_t Reply);

  /// Adds the hits of reply \p Reply whose shards that reply answered first;
  /// the others are duplicates and are left out.
  void add(std::vector<Hit> &Hits, uint32_t Reply);

  /// Shards answered so far.
  uint32_t answered() const { return AnsweredShards; }
  uint32_t total() const { return static_cast<uint32_t>(AnsweredBy.size()); }

  /// The best hits in order; the merger must be started again afterwards.
  std::vector<Hit> take();

private:
  void prune();

  std::optional<uint32_t> Limit;
  /// Per shard, the reply that answered it.
  std::vector<uint32_t> AnsweredBy;
  std::vector<Hit> Hits;
  uint32_t AnsweredShards = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUERY_MERGER_H
