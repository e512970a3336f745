// A bounded map that approximates least-recently-used eviction with two
// generations.
//
//   GenerationalMap<Fingerprint, Entry> Recent(8192);
//   Recent.put(Key, Value);
//   if (Entry *Found = Recent.use(Key)) ...
//
// put(), and use() if it finds the key, put it into the younger generation.
// When that is full, the older one is dropped and the younger one takes its
// place. So a key stays at least until Capacity / 2 others have been used after
// it.

#ifndef MIMOSA_BASE_GENERATIONAL_MAP_H
#define MIMOSA_BASE_GENERATIONAL_MAP_H

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <utility>

namespace mimosa {

/// See the head of this file.
template <typename Key, typename Value> class GenerationalMap {
public:
  /// Keeps at most \p Capacity keys; a capacity below 2 counts as 2.
  explicit GenerationalMap(size_t Capacity)
      : GenerationSize(std::max<size_t>(1, Capacity / 2)) {}

  /// Sets the value of \p K.
  void put(const Key &K, Value V) {
    Old.erase(K);
    auto Found = Young.find(K);
    if (Found != Young.end()) {
      Found->second = std::move(V);
      return;
    }
    if (Young.size() >= GenerationSize) {
      Old = std::move(Young);
      Young.clear();
    }
    Young.emplace(K, std::move(V));
  }

  /// The value of \p K, valid until the next call; null if there is none.
  Value *use(const Key &K) {
    if (auto Found = Old.find(K); Found != Old.end())
      put(K, Value(std::move(Found->second)));
    auto Found = Young.find(K);
    return Found == Young.end() ? nullptr : &Found->second;
  }

  void erase(const Key &K) {
    Young.erase(K);
    Old.erase(K);
  }

  size_t size() const { return Young.size() + Old.size(); }

private:
  size_t GenerationSize;
  /// No key is in both.
  std::unordered_map<Key, Value> Young;
  std::unordered_map<Key, Value> Old;
};

} // namespace mimosa

#endif // MIMOSA_BASE_GENERATIONAL_MAP_H
