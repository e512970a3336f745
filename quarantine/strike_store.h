// The unexpired strikes of all fingerprints, in memory. A strike is counted
// once, however often its notice arrives. The second strike quarantines the
// fingerprint. The strikes of a fingerprint expire together when the last of
// them is one lifetime (10 min) old; this ends a quarantine. An answer
// withdraws the earlier strikes of its fingerprint and service, also those that
// arrive later.
//
// The number of fingerprints is bounded. At the bound, the fingerprint with the
// oldest single strike is dropped; if there is none, the oldest quarantine.

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
  /// Holds at most \p Capacity fingerprints; a strike expires after
  /// \p Lifetime.
  StrikeStore(size_t Capacity, Duration Lifetime)
      : Capacity(Capacity), Lifetime(Lifetime) {}

  /// Counts a strike; false if it was already counted, has expired or was
  /// withdrawn, or the fingerprint is quarantined already.
  bool add(const StrikeNotice &Notice, MonotonicTime Now);

  /// Removes the strikes that happened before the answer of \p Withdrawal.
  /// Returns whether there were any.
  bool withdraw(const StrikeWithdrawal &Withdrawal, MonotonicTime Now);

  bool quarantined(Fingerprint RequestFingerprint, MonotonicTime Now) const;

  /// Number of strikes against \p RequestFingerprint.
  size_t strikes(Fingerprint RequestFingerprint, MonotonicTime Now) const;

  /// Notices of the unexpired strikes in \p Scope, those of quarantined
  /// fingerprints first, and of the latest strikes among equals.
  std::vector<StrikeNotice> notices(StrikeScope Scope, MonotonicTime Now) const;

  /// At most \p Limit withdrawals, the latest ones first.
  std::vector<StrikeWithdrawal> withdrawals(size_t Limit,
                                            MonotonicTime Now) const;

  /// Equal for stores that hold the same unexpired strikes in \p Scope. Of a
  /// quarantined fingerprint, it does not matter which strikes they are.
  uint64_t digest(StrikeScope Scope, MonotonicTime Now) const;

  /// Number of fingerprints, including expired ones.
  size_t size() const { return Records.size(); }
  /// Number of quarantined fingerprints.
  size_t quarantinedCount(MonotonicTime Now) const;

private:
  struct Strike {
    StrikeNotice Notice;
    MonotonicTime At;
  };
  struct Answer {
    ServiceId Service;
    MonotonicTime At;
  };
  struct Record {
    std::vector<Strike> Strikes;
    /// The last answers that withdrew strikes, by service.
    std::vector<Answer> Answers;
    /// When the last strike or answer happened. It may be later than those that
    /// are known here, since other hosts pass it on with each strike.
    MonotonicTime LastChange;

    /// When the service last gave an answer that withdrew strikes.
    MonotonicTime answeredAt(const ServiceId &Service) const;
  };

  bool expired(const Record &Entry, MonotonicTime Now) const {
    return Now - Entry.LastChange >= Lifetime;
  }
  static bool quarantined(const Record &Entry) {
    return Entry.Strikes.size() >= StrikesToQuarantine;
  }
  /// Whether \p Entry has unexpired strikes in \p Scope.
  bool inScope(const Record &Entry, StrikeScope Scope,
               MonotonicTime Now) const {
    return !expired(Entry, Now) && !Entry.Strikes.empty() &&
           (Scope == StrikeScope::All || quarantined(Entry));
  }
  /// Drops expired records, or else one record, if the store is full.
  void makeRoom(MonotonicTime Now);

  size_t Capacity;
  Duration Lifetime;
  std::unordered_map<Fingerprint, Record> Records;
};

/// What a class that counts strikes offers for their exchange between hosts.
class StrikeLog {
public:
  virtual ~StrikeLog() = default;
  virtual const StrikeStore &strikeStore() const = 0;
  /// Counts another host's strike; false if it has no effect, see
  /// StrikeStore::add().
  virtual bool strikeReceived(const StrikeNotice &Notice,
                              MonotonicTime Now) = 0;
  /// Another host has seen an answer to a request with strikes.
  virtual void withdrawalReceived(const StrikeWithdrawal &Withdrawal,
                                  MonotonicTime Now) = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_STRIKE_STORE_H
