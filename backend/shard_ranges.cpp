#include "backend/shard_ranges.h"

#include <algorithm>

namespace mimosa {

std::vector<uint32_t> packShards(std::vector<uint32_t> Shards) {
  std::sort(Shards.begin(), Shards.end());
  Shards.erase(std::unique(Shards.begin(), Shards.end()), Shards.end());
  std::vector<uint32_t> Ranges;
  for (uint32_t Shard : Shards) {
    size_t Size = Ranges.size();
    if (Size && Ranges[Size - 2] + Ranges[Size - 1] == Shard) {
      ++Ranges[Size - 1];
      continue;
    }
    Ranges.push_back(Shard);
    Ranges.push_back(1);
  }
  return Ranges;
}

std::optional<std::vector<uint32_t>>
unpackShards(const std::vector<uint32_t> &Ranges, uint32_t TotalShards) {
  if (Ranges.size() % 2 || TotalShards > MaxTotalShards)
    return std::nullopt;
  std::vector<uint32_t> Shards;
  uint64_t Next = 0;
  for (size_t I = 0; I < Ranges.size(); I += 2) {
    uint64_t First = Ranges[I];
    uint64_t End = First + Ranges[I + 1];
    if (First < Next || End == First || End > TotalShards)
      return std::nullopt;
    for (uint64_t Shard = First; Shard < End; ++Shard)
      Shards.push_back(static_cast<uint32_t>(Shard));
    Next = End;
  }
  return Shards;
}

} // namespace mimosa
