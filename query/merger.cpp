#include "query/merger.h"

#include <algorithm>
#include <limits>

namespace mimosa {

namespace {

constexpr uint32_t NotAnswered = UINT32_MAX;

/// Hits are pruned when there are more than this many times the limit, so that
/// each hit is moved a constant number of times on average.
constexpr size_t PruneFactor = 2;
/// Up to this number of hits are not pruned, whatever the limit.
constexpr size_t PruneFloor = 64;

} // namespace

bool ranksBefore(const Hit &A, const Hit &B) {
  if (A.Score != B.Score)
    return A.Score > B.Score;
  if (A.Shard != B.Shard)
    return A.Shard < B.Shard;
  return A.Id < B.Id;
}

void Merger::reset(uint32_t TotalShards) {
  AnsweredBy.assign(TotalShards, NotAnswered);
  ReplyHits.clear();
  ReplyHits.reserve(TotalShards);
  SortKeys.clear();
  LowestScore = -std::numeric_limits<double>::infinity();
  AnsweredShards = 0;
}

bool Merger::markAnswered(ShardId Shard, uint32_t ReplyNumber) {
  uint32_t &By = AnsweredBy[Shard.number()];
  if (By != NotAnswered)
    return false;
  By = ReplyNumber;
  ++AnsweredShards;
  return true;
}

void Merger::addHits(std::vector<Hit> Hits, uint32_t ReplyNumber) {
  ReplyHits.push_back(std::move(Hits));
  for (Hit &H : ReplyHits.back())
    if (H.Score >= LowestScore && AnsweredBy[H.Shard.number()] == ReplyNumber)
      SortKeys.push_back({H.Score, &H});
  if (Limit && SortKeys.size() > std::max(PruneFloor, PruneFactor * *Limit))
    prune();
}

void Merger::prune() {
  auto Worst = SortKeys.begin() + (*Limit - 1);
  std::nth_element(SortKeys.begin(), Worst, SortKeys.end(), KeyOrder());
  LowestScore = Worst->Score;
  SortKeys.resize(*Limit);
}

std::vector<Hit> Merger::takeHits() {
  if (Limit && SortKeys.size() > *Limit)
    prune();
  std::sort(SortKeys.begin(), SortKeys.end(), KeyOrder());
  std::vector<Hit> Sorted;
  Sorted.reserve(SortKeys.size());
  for (const SortKey &K : SortKeys)
    Sorted.push_back(std::move(*K.Target));
  reset(0);
  return Sorted;
}

} // namespace mimosa
