// Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM ToN 1998): each key ranks all nodes by a hash
// of key and node, so that removing a node moves only that node's keys.

#ifndef MIMOSA_BASE_RENDEZVOUS_H
#define MIMOSA_BASE_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace mimosa {

/// xxHash64 of \p Text.
uint64_t hash64(std::string_view Text, uint64_t Seed = 0);

/// Weight of \p Node for \p Key; the node with the highest weight ranks first.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

} // namespace mimosa

#endif // MIMOSA_BASE_RENDEZVOUS_H
