// Shuffling and sampling with a Random. std::shuffle needs a standard
// generator, and its order differs between standard libraries.

#ifndef MIMOSA_MEMBERSHIP_RANDOM_CHOICE_H
#define MIMOSA_MEMBERSHIP_RANDOM_CHOICE_H

#include "base/random.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mimosa {

/// Moves \p Count random elements of \p Items to the front, in random order.
template <typename T>
void shuffleFront(std::vector<T> &Items, size_t Count, Random &Rand) {
  Count = std::min(Count, Items.size());
  for (size_t I = 0; I < Count; ++I)
    std::swap(Items[I], Items[I + Rand.below(Items.size() - I)]);
}

template <typename T> void shuffle(std::vector<T> &Items, Random &Rand) {
  shuffleFront(Items, Items.size(), Rand);
}

/// At most \p Count random elements of \p Items.
template <typename T>
std::vector<T> sample(std::vector<T> Items, size_t Count, Random &Rand) {
  shuffleFront(Items, Count, Rand);
  Items.resize(std::min(Count, Items.size()));
  return Items;
}

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_RANDOM_CHOICE_H
