// Merges the sub-answers of one snapshot: counts each shard once and keeps the
// best hits.
//
//   Merger Merged(Limit);
//   Merged.start(TotalShards);
//   Merged.answer(Shard, ReplyNumber); // each shard of an accepted reply
//   Merged.add(std::move(Reply.Hits), ReplyNumber);
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
  explicit Merger(std::optional<uint32_t> Limit) : Limit(Limit) { start(0); }

  /// Forgets everything and starts on a snapshot of \p TotalShards.
  void start(uint32_t TotalShards);

  /// Marks \p Shard (below the total) as answered by reply \p Reply; false if
  /// it was answered before.
  bool answer(ShardId Shard, uint32_t Reply);

  /// Adds the hits of reply \p Reply whose shards that reply answered first;
  /// the others are duplicates and are left out.
  void add(std::vector<Hit> Hits, uint32_t Reply);

  /// Shards answered so far.
  uint32_t answered() const { return AnsweredShards; }
  uint32_t total() const { return static_cast<uint32_t>(AnsweredBy.size()); }

  /// The best hits in order; the merger must be started again afterwards.
  std::vector<Hit> take();

private:
  /// A hit in one of the Parts. Keys are short, so that sorting and pruning
  /// move little memory.
  struct Key {
    double Score;
    Hit *From;
  };
  /// An object, not a function, so that sorting inlines it.
  struct Before {
    bool operator()(const Key &A, const Key &B) const {
      if (A.Score != B.Score)
        return A.Score > B.Score;
      return ranksBefore(*A.From, *B.From);
    }
  };
  void prune();

  std::optional<uint32_t> Limit;
  /// Per shard, the reply that answered it.
  std::vector<uint32_t> AnsweredBy;
  /// The hits of the replies, as they came.
  std::vector<std::vector<Hit>> Parts;
  std::vector<Key> Keys;
  /// Hits with a lower score cannot be among the best any more.
  double LowestScore;
  uint32_t AnsweredShards = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUERY_MERGER_H
