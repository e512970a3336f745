// Settings of mimosad, from flags and environment variables.

#ifndef MIMOSA_DAEMON_OPTIONS_H
#define MIMOSA_DAEMON_OPTIONS_H

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "daemon/node_context.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosa {

struct DaemonOptions {
  /// Address for callers and operators, "ip:port".
  std::string CallerAddress;
  /// Address for other daemons, "ip:port"; it names this host.
  HostId PeerAddress;
  AvailabilityZoneId Zone;
  RegionId Region;
  /// Address of the key-value service.
  std::string StoreAddress;
  /// Peer addresses of hosts that may be up, besides the platform's list.
  std::vector<HostId> Seeds;
  std::string LogLevel = "info";
  /// Time for which callers keep an address answer.
  Duration AddressLifetime = Milliseconds(5000);
  /// Longest time that a graceful shutdown waits for queries in flight.
  Duration DrainLimit = Milliseconds(15000);
  /// How sub-requests are placed; baseline is for comparisons.
  QueryPolicy Policy = QueryPolicy::Adaptive;
  /// Seed of this process's random choices; 0 takes one from the system.
  uint64_t RandomSeed = 0;
};

/// Reads the settings; \p Exit is set if the program should end with it.
DaemonOptions parseDaemonOptions(int Argc, const char *const *Argv,
                                 std::optional<int> *Exit);

} // namespace mimosa

#endif // MIMOSA_DAEMON_OPTIONS_H
