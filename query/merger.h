// Merges the replies from one snapshot: counts each shard once and keeps the
// best hits.
//
//   Merger Merged(Limit);
//   Merged.reset(TotalShards);
//   Merged.markAnswered(Shard, ReplyNumber); // each shard of an accepted reply
//   Merged.addHits(std::move(Reply.Hits), ReplyNumber);
//   std::vector<Hit> Best = Merged.takeHits();

#ifndef MIMOSA_QUERY_MERGER_H
#define MIMOSA_QUERY_MERGER_H

#include "query/request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// Order of hits in an answer: by score (highest first), then shard, then id.
bool ranksBefore(const Hit &A, const Hit &B);

/// See the head of this file.
class Merger {
public:
  /// \p Limit is the maximum number of hits; empty if there is none.
  explicit Merger(std::optional<uint32_t> Limit) : Limit(Limit) { reset(0); }

  /// Removes all hits and starts again for a snapshot of \p TotalShards.
  void reset(uint32_t TotalShards);

  /// Marks \p Shard (below the total) as answered by reply \p ReplyNumber;
  /// false if it was answered before.
  bool markAnswered(ShardId Shard, uint32_t ReplyNumber);

  /// Adds those hits of reply \p ReplyNumber whose shard that reply was the
  /// first to answer; the others are duplicates.
  void addHits(std::vector<Hit> Hits, uint32_t ReplyNumber);

  /// Number of answered shards.
  uint32_t answered() const { return AnsweredShards; }
  uint32_t total() const { return static_cast<uint32_t>(AnsweredBy.size()); }

  /// The best hits in the order of ranksBefore(). The merger must be reset
  /// before it is used again.
  std::vector<Hit> takeHits();

private:
  /// A hit in ReplyHits and its score. It is smaller than a Hit, so that
  /// sorting and pruning move less memory.
  struct SortKey {
    double Score;
    Hit *Target;
  };
  /// A function object, so that sorting inlines it.
  struct KeyOrder {
    bool operator()(const SortKey &A, const SortKey &B) const {
      if (A.Score != B.Score)
        return A.Score > B.Score;
      return ranksBefore(*A.Target, *B.Target);
    }
  };
  void prune();

  std::optional<uint32_t> Limit;
  /// By shard, the number of the reply that answered it.
  std::vector<uint32_t> AnsweredBy;
  /// The hits of each reply, in the order of arrival.
  std::vector<std::vector<Hit>> ReplyHits;
  std::vector<SortKey> SortKeys;
  /// Lowest score that prune() has kept; hits with a lower score cannot be
  /// among the best.
  double LowestScore;
  uint32_t AnsweredShards = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUERY_MERGER_H
