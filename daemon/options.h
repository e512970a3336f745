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
  /// Address for other daemons, "ip:port"; it is also the id of this host.
  HostId PeerAddress;
  AvailabilityZoneId Zone;
  RegionId Region;
  /// Address of the key-value service.
  std::string StoreAddress;
  /// Peer addresses of hosts to join, in addition to the platform's list.
  std::vector<HostId> Seeds;
  std::string LogLevel = "info";
  /// Time for which callers may use the addresses of an address answer.
  Duration AddressLifetime = Milliseconds(5000);
  /// The longest time for which a graceful shutdown waits for running queries.
  Duration DrainLimit = Milliseconds(15000);
  QueryPolicy Policy = QueryPolicy::Adaptive;
  /// Seed of the random number generator; 0 takes one from the system.
  uint64_t RandomSeed = 0;
};

/// Reads the settings. Sets \p Exit to the exit status if the program is to
/// end, after --help or an error.
DaemonOptions parseDaemonOptions(int Argc, const char *const *Argv,
                                 std::optional<int> *Exit);

} // namespace mimosa

#endif // MIMOSA_DAEMON_OPTIONS_H
