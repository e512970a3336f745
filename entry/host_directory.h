// Tells callers where to connect, and the platform whether this host is ready.
//
// All hosts of the serving set are named (placement/serving_set.h), so that
// load spreads evenly over hosts also where one zone has few of them; a caller
// that loses a host has others at once.

#ifndef MIMOSA_ENTRY_HOST_DIRECTORY_H
#define MIMOSA_ENTRY_HOST_DIRECTORY_H

#include "base/random.h"
#include "platform/platform_records.h"
#include "runtime/http.h"

namespace mimosa {

class HostDirectory {
public:
  HostDirectory(EntryHost Self, Duration AddressLifetime, Random &Rng)
      : Self(std::move(Self)), AddressLifetime(AddressLifetime), Rng(Rng) {}

  /// Replaces the hosts that the store lists.
  void setHosts(std::vector<EntryHost> Listed, MonotonicTime Now);
  /// Hosts that this host shares backend servers with: those of the serving
  /// set, or all if it is not one of them. The most within the last 30 s count,
  /// since a host whose entry is gone may still serve.
  uint32_t sharingHosts(MonotonicTime Now);

  void setConfigured() { Configured = true; }
  void setLeaving() { Leaving = true; }
  bool ready() const { return Configured && !Leaving; }

  HttpResponse answer(const HttpRequest &Request) const;

private:
  std::vector<std::string> addresses() const;

  EntryHost Self;
  Duration AddressLifetime;
  Random &Rng;
  /// The serving set.
  std::vector<EntryHost> Hosts;
  /// Sizes of the list and until when they were current, falling.
  std::vector<std::pair<MonotonicTime, uint32_t>> Sizes;
  bool Configured = false;
  bool Leaving = false;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_HOST_DIRECTORY_H
