// Answers callers' requests for the addresses of entry hosts, and the
// platform's readiness checks of this host.
//
// An answer lists all hosts of the serving set, see placement/serving_set.h. So
// callers spread their load evenly over the hosts even if a zone has few of
// them, and a caller whose host fails has other addresses at once.

#ifndef MIMOSA_ENTRY_HOST_DIRECTORY_H
#define MIMOSA_ENTRY_HOST_DIRECTORY_H

#include "base/random.h"
#include "placement/serving_set.h"
#include "platform/platform_records.h"
#include "runtime/http.h"

#include <optional>

namespace mimosa {

/// \p Host as a candidate of the serving set.
ServingCandidate candidateOf(const EntryHost &Host);

class HostDirectory {
public:
  HostDirectory(EntryHost Self, Duration AddressLifetime, Random &Rng)
      : Self(std::move(Self)), AddressLifetime(AddressLifetime), Rng(Rng) {}

  /// Replaces the hosts listed in the store.
  void setHosts(std::vector<EntryHost> ListedHosts, MonotonicTime Now);
  /// Number of listed hosts that share the backend servers, at least 1: those
  /// of the serving set, or all if this host is not in it. Returns the maximum
  /// of the last 30 s, since a host without an entry may still be serving.
  uint32_t sharingHosts(MonotonicTime Now);

  /// The hosts to which callers are sent.
  const std::vector<EntryHost> &servingHosts() const { return Hosts; }

  /// Whether requests of callers are to be expected here: they are sent to this
  /// host, or were so in the last 30 s, or it made many attempts in the last
  /// second (\p RecentAttempts). Callers keep an address for a while, also that
  /// of a host that has restarted, and an entry may only be late.
  bool hasCallers(uint64_t RecentAttempts, MonotonicTime Now) const;
  void setConfigured() { Configured = true; }
  void setLeaving() { Leaving = true; }
  bool configured() const { return Configured; }
  bool leaving() const { return Leaving; }
  bool ready() const { return Configured && !Leaving; }

  HttpResponse answer(const HttpRequest &Request) const;

private:
  std::vector<std::string> addresses() const;

  EntryHost Self;
  Duration AddressLifetime;
  Random &Rng;
  /// The serving set.
  std::vector<EntryHost> Hosts;
  /// Numbers of sharing hosts and the times until which they applied, oldest
  /// first. The last one still applies.
  std::vector<std::pair<MonotonicTime, uint32_t>> HostCounts;
  bool SelfServes = false;
  /// When this host was last seen to leave the serving set.
  std::optional<MonotonicTime> ServedUntil;
  bool Configured = false;
  bool Leaving = false;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_HOST_DIRECTORY_H
