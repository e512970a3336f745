#include "query/merger.h"

#include <algorithm>
#include <iterator>

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
  Hits.clear();
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

void Merger::add(std::vector<Hit> &NewHits, uint32_t Reply) {
  for (Hit &H : NewHits)
    if (AnsweredBy[H.Shard.number()] == Reply)
      Hits.push_back(std::move(H));
  if (Limit && Hits.size() > std::max(PruneFloor, PruneFactor * *Limit))
    prune();
}

void Merger::prune() {
  auto End = Hits.begin() + *Limit;
  std::nth_element(Hits.begin(), End, Hits.end(), ranksBefore);
  Hits.erase(End, Hits.end());
}

std::vector<Hit> Merger::take() {
  if (Limit && Hits.size() > *Limit)
    prune();
  // Sorting short keys moves less memory than sorting the hits themselves.
  struct Key {
    double Score;
    const Hit *From;
  };
  std::vector<Key> Keys;
  Keys.reserve(Hits.size());
  for (const Hit &H : Hits)
    Keys.push_back({H.Score, &H});
  std::sort(Keys.begin(), Keys.end(), [](const Key &A, const Key &B) {
    if (A.Score != B.Score)
      return A.Score > B.Score;
    return ranksBefore(*A.From, *B.From);
  });
  std::vector<Hit> Sorted;
  Sorted.reserve(Keys.size());
  for (const Key &K : Keys)
    Sorted.push_back(std::move(Hits[K.From - Hits.data()]));
  Hits.clear();
  return Sorted;
}

} // namespace mimosa
