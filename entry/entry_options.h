// Settings of mimosa-entry; see docs/OPERATIONS.md.

#ifndef MIMOSA_ENTRY_ENTRY_OPTIONS_H
#define MIMOSA_ENTRY_ENTRY_OPTIONS_H

#include "balance/retry_budget.h"
#include "base/ids.h"
#include "base/time.h"
#include "rollout/rollout_order.h"
#include "shared_limit/shared_limits.h"
#include "store_cache/store_cache_relay.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosa {

struct EntryOptions {
  std::string SettingsFile;
  std::string HostName;
  std::string CallerAddress;
  std::string ReadyAddress;
  std::string DirectoryAddress;
  /// Address that other entry hosts connect to.
  HostId PeerAddress;
  /// Peer addresses of some other entry hosts.
  std::vector<HostId> Seeds;
  /// Metrics are not served if this is empty.
  std::string MetricsAddress;
  std::string StoreAddress;
  AvailabilityZoneId Zone;
  std::string LogLevel = "info";
  /// The whole system starts for the first time.
  bool FirstStart = false;
  /// Queries over congested shards are refused, see gather/query_admission.h.
  bool RefuseCongested = false;
  RetryBudgetOptions RetryBudget;
  RelayOptions Relaying;
  /// Limit on the requests per second of all hosts together to a cold backend
  /// server: its configured rate times ColdOverage, plus ColdSlack.
  double ColdOverage = 1.5;
  double ColdSlack = 5;
  /// Bound on the requests of a team in any window, see SharedLimitOptions.
  SharedLimitOptions Quota;
  RolloutLimits Rollout;
  /// A withdrawn key is not accepted beyond RevocationLimit, even if this host
  /// cannot find out whether it was withdrawn.
  bool StrictRevocation = false;
  Duration RevocationLimit = Milliseconds(5000);
  /// How long callers may keep an address. A lookup precedes the request that
  /// needs it and takes two round trips, a quarter of a target latency of 50
  /// ms.
  Duration AddressLifetime = Seconds(5);
  /// Longest time from a termination signal to the end of the process.
  Duration StopLimit = Milliseconds(6000);
  size_t MaxDescriptors = 4096;
  /// Memory that the process may use.
  size_t MemoryBytes = 256 << 20;
  /// Number of cores that the process may use, which may be a fraction, and the
  /// speed of a core relative to the usual one.
  double CoreShare = 1;
  double CoreSpeed = 1;
};

/// Reads the settings file, the environment variables and the flags. If the
/// program should end, sets \p Exit to its exit status.
EntryOptions parseEntryOptions(int Argc, const char *const *Argv,
                               std::optional<int> *Exit);

/// Returns the problems of a settings file, or of a template of one.
std::vector<std::string> entrySettingsProblems(const std::string &Path);

} // namespace mimosa

#endif // MIMOSA_ENTRY_ENTRY_OPTIONS_H
