// Compact form of a list of shards in messages: pairs of first shard and number
// of shards, ascending and without overlap. {3, 4, 5, 9} becomes {3, 3, 9, 1}.

#ifndef MIMOSA_BACKEND_SHARD_RANGES_H
#define MIMOSA_BACKEND_SHARD_RANGES_H

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// Highest accepted number of shards of a snapshot. It bounds the memory that
/// an invalid summary can make a host allocate.
constexpr uint32_t MaxTotalShards = 1 << 16;

/// The ranges of \p Shards, which may be unsorted and contain duplicates.
std::vector<uint32_t> packShards(std::vector<uint32_t> Shards);

/// The ascending shards of \p Ranges; nothing if it is not a list of pairs, if
/// a range has no shards, overlaps or is out of order, if one extends beyond
/// \p TotalShards, or if \p TotalShards is above MaxTotalShards.
std::optional<std::vector<uint32_t>>
unpackShards(const std::vector<uint32_t> &Ranges, uint32_t TotalShards);

} // namespace mimosa

#endif // MIMOSA_BACKEND_SHARD_RANGES_H
