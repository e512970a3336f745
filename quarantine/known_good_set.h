// A bounded set of fingerprints whose requests ran without crashing a backend
// server. See base/generational_map.h for which ones it keeps.

#ifndef MIMOSA_QUARANTINE_KNOWN_GOOD_SET_H
#define MIMOSA_QUARANTINE_KNOWN_GOOD_SET_H

#include "base/generational_map.h"
#include "quarantine/messages.h"

#include <cstddef>
#include <variant>

namespace mimosa {

class KnownGoodSet {
public:
  /// Keeps at most \p Capacity fingerprints; a capacity below 2 counts as 2.
  explicit KnownGoodSet(size_t Capacity) : Known(Capacity) {}

  void add(Fingerprint RequestFingerprint) {
    Known.put(RequestFingerprint, {});
  }
  /// True if \p RequestFingerprint is in the set; this also counts as a use.
  bool contains(Fingerprint RequestFingerprint) {
    return Known.use(RequestFingerprint) != nullptr;
  }
  void remove(Fingerprint RequestFingerprint) {
    Known.erase(RequestFingerprint);
  }
  size_t size() const { return Known.size(); }

private:
  GenerationalMap<Fingerprint, std::monostate> Known;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_KNOWN_GOOD_SET_H
