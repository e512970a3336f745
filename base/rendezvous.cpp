#include "base/rendezvous.h"

#include <xxhash.h>

namespace mimosa {

uint64_t hash64(std::string_view Text, uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  return hash64(Node, hash64(Key));
}

} // namespace mimosa
