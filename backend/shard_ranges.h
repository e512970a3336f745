// Compact form of a list of shards in messages: pairs of first shard and number
// of shards, ascending and without overlap. {3, 4, 5, 9} is {3, 3, 9, 1}.

#ifndef MIMOSA_BACKEND_SHARD_RANGES_H
#define MIMOSA_BACKEND_SHARD_RANGES_H

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// Highest number of shards of a snapshot that is accepted. It bounds the
/// memory that a faulty summary can claim.
constexpr uint32_t MaxTotalShards = 1 << 16;

/// The ranges of \p Shards, which may be in any order and hold duplicates.
std::vector<uint32_t> packShards(std::vector<uint32_t> Shards);

/// The ascending shards of \p Ranges; nothing if the ranges are not ascending,
/// overlap, or reach beyond \p TotalShards or MaxTotalShards.
std::optional<std::vector<uint32_t>>
unpackShards(const std::vector<uint32_t> &Ranges, uint32_t TotalShards);

} // namespace mimosa

#endif // MIMOSA_BACKEND_SHARD_RANGES_H
