// Decides whether an entry host keeps an entry in the store. Only hosts with an
// entry can be chosen to serve (serving_set.h) or to relay the store's changes.
//
// In a fleet of hundreds of hosts, a few dozen serve. If every host had an
// entry, the store would renew the leases of all, and each start and stop would
// be relayed to all. So a host registers only if its zone has too few entries
// of hosts that are at least as strong. The entries are twice the hosts of the
// zone that serve, or MinEntriesPerZone, so that replacements are known when
// serving hosts are lost.
//
// * All hosts start at the same time: each waits for a random time, strong
//   hosts less, and registers only if entries are still missing then.
// * All hosts have lost power: those whose old entry is still listed take it
//   over at once.
// * A zone has lost most of its entries: hosts register without a wait.

#ifndef MIMOSA_PLACEMENT_REGISTRATION_H
#define MIMOSA_PLACEMENT_REGISTRATION_H

#include "base/random.h"
#include "base/time.h"
#include "placement/serving_set.h"

#include <optional>

namespace mimosa {

/// See the head of this file. The times that are passed in must not decrease.
class Registration {
public:
  static constexpr size_t MinEntriesPerZone = 8;
  /// Longest wait of a host with the capacity of no core. Within it, the
  /// entries of other hosts become visible, which takes a few hundred
  /// milliseconds.
  static constexpr Duration MaxWait = Milliseconds(4000);

  /// \p FirstStart: the whole system starts for the first time.
  Registration(ServingCandidate Self, bool FirstStart, Random &Rng)
      : Self(std::move(Self)), FirstStart(FirstStart), Rng(Rng) {}

  /// Sets the hosts that have an entry.
  void setListed(const std::vector<ServingCandidate> &Listed,
                 MonotonicTime Now);
  /// When this host should register if the listed hosts do not change; empty if
  /// it should not. For a host that has an entry this is a time in the past.
  std::optional<MonotonicTime> registerAt() const { return DueAt; }

private:
  Duration randomWait();

  ServingCandidate Self;
  /// Until half of the entries that are needed are listed.
  bool FirstStart;
  Random &Rng;
  std::optional<MonotonicTime> DueAt;
};

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_REGISTRATION_H
