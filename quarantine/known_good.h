// A bounded set of fingerprints that ran without harm. It keeps two
// generations: a fingerprint that is added or found is put into the younger
// one; when that is full, the older one is dropped and the younger one takes
// its place. A fingerprint is thus kept at least until half of the capacity of
// others have been used after it.

#ifndef MIMOSA_QUARANTINE_KNOWN_GOOD_H
#define MIMOSA_QUARANTINE_KNOWN_GOOD_H

#include "quarantine/messages.h"

#include <cstddef>
#include <unordered_set>

namespace mimosa {

/// See the head of this file.
class KnownGood {
public:
  /// Keeps at most \p Capacity fingerprints, at least 2.
  explicit KnownGood(size_t Capacity);

  void add(Fingerprint Print);

  /// Whether \p Print is in the set; it then counts as used.
  bool contains(Fingerprint Print);

  void remove(Fingerprint Print);

  size_t size() const { return Young.size() + Old.size(); }

private:
  size_t GenerationSize;
  std::unordered_set<Fingerprint> Young;
  std::unordered_set<Fingerprint> Old;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_KNOWN_GOOD_H
