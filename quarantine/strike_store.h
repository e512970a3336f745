// The strikes of the last 10 min, by fingerprint. A strike is counted once,
// however often its notice arrives. The second one quarantines the fingerprint
// for 10 min; the strikes are forgotten with the end of the quarantine, and a
// single strike 10 min after it happened.
//
// The number of fingerprints is bounded. When it is reached, the oldest single
// strike is dropped, and if there is none, the oldest quarantine.

#ifndef MIMOSA_QUARANTINE_STRIKE_STORE_H
#define MIMOSA_QUARANTINE_STRIKE_STORE_H

#include "base/time.h"
#include "quarantine/messages.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace mimosa {

/// Strikes after which a fingerprint is quarantined.
constexpr size_t StrikesToQuarantine = 2;

/// See the head of this file.
class StrikeStore {
public:
  StrikeStore(size_t Capacity, Duration Lifetime)
      : Capacity(Capacity), Lifetime(Lifetime) {}

  /// Counts a strike; false if it is known, too old, or the fingerprint is
  /// quarantined anyway.
  bool add(const StrikeNotice &Notice, MonotonicTime Now);

  bool quarantined(Fingerprint Print, MonotonicTime Now) const;

  /// Number of strikes against \p Print.
  size_t strikes(Fingerprint Print, MonotonicTime Now) const;

  /// Notices of all strikes, for a host that joins the host set.
  std::vector<StrikeNotice> notices(MonotonicTime Now) const;

  size_t size() const { return Records.size(); }

private:
  struct Record {
    std::vector<StrikeNotice> Notices;
    /// When the last strike happened.
    MonotonicTime LastStrike;
  };

  bool expired(const Record &Of, MonotonicTime Now) const {
    return Now - Of.LastStrike >= Lifetime;
  }
  void makeRoom(MonotonicTime Now);

  size_t Capacity;
  Duration Lifetime;
  std::unordered_map<Fingerprint, Record> Records;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_STRIKE_STORE_H
