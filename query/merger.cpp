#include "query/merger.h"

#include <algorithm>
#include <limits>

namespace mimosa {

namespace {

constexpr uint32_t NotAnswered = UINT32_MAX;

/// Hits are pruned when they exceed the limit this many times, so that each
/// hit is moved a constant number of times on average.
constexpr size_t PruneFactor = 2;
/// Fewer hits than this are not worth pruning.
constexpr size_t PruneFloor = 64;

} // namespace

bool ranksBefore(const Hit &A, const Hit &B) {
  if (A.Score != B.Score)
    return A.Score > B.Score;
  if (A.Shard != B.Shard)
    return A.Shard < B.Shard;
  return A.Id < B.Id;
}

void Merger::start(uint32_t TotalShards) {
  AnsweredBy.assign(TotalShards, NotAnswered);
  Parts.clear();
  Parts.reserve(TotalShards);
  Keys.clear();
  LowestScore = -std::numeric_limits<double>::infinity();
  AnsweredShards = 0;
}

bool Merger::answer(ShardId Shard, uint32_t Reply) {
  uint32_t &By = AnsweredBy[Shard.number()];
  if (By != NotAnswered)
    return false;
  By = Reply;
  ++AnsweredShards;
  return true;
}

void Merger::add(std::vector<Hit> Hits, uint32_t Reply) {
  Parts.push_back(std::move(Hits));
  for (Hit &H : Parts.back())
    if (H.Score >= LowestScore && AnsweredBy[H.Shard.number()] == Reply)
      Keys.push_back({H.Score, &H});
  if (Limit && Keys.size() > std::max(PruneFloor, PruneFactor * *Limit))
    prune();
}

void Merger::prune() {
  auto Worst = Keys.begin() + (*Limit - 1);
  std::nth_element(Keys.begin(), Worst, Keys.end(), Before());
  LowestScore = Worst->Score;
  Keys.resize(*Limit);
}

std::vector<Hit> Merger::take() {
  if (Limit && Keys.size() > *Limit)
    prune();
  std::sort(Keys.begin(), Keys.end(), Before());
  std::vector<Hit> Sorted;
  Sorted.reserve(Keys.size());
  for (const Key &K : Keys)
    Sorted.push_back(std::move(*K.From));
  start(0);
  return Sorted;
}

} // namespace mimosa
