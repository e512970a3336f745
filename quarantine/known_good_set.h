// A bounded set of fingerprints whose requests ran without crashing a backend
// server. It approximates least-recently-used eviction with two generations.
// add(), and contains() if it finds the fingerprint, put it into the younger
// one. When that is full, the older one is dropped and the younger one takes
// its place. So a fingerprint stays at least until Capacity / 2 others have
// been used after it.

#ifndef MIMOSA_QUARANTINE_KNOWN_GOOD_SET_H
#define MIMOSA_QUARANTINE_KNOWN_GOOD_SET_H

#include "quarantine/messages.h"

#include <cstddef>
#include <unordered_set>

namespace mimosa {

/// See the head of this file.
class KnownGoodSet {
public:
  /// Keeps at most \p Capacity fingerprints; a capacity below 2 counts as 2.
  explicit KnownGoodSet(size_t Capacity);

  void add(Fingerprint RequestFingerprint);

  /// True if \p RequestFingerprint is in the set; this also counts as a use.
  bool contains(Fingerprint RequestFingerprint);

  void remove(Fingerprint RequestFingerprint);

  size_t size() const { return Young.size() + Old.size(); }

private:
  size_t GenerationSize;
  std::unordered_set<Fingerprint> Young;
  std::unordered_set<Fingerprint> Old;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_KNOWN_GOOD_SET_H
