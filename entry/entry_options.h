// Settings of mimosa-entry; see docs/OPERATIONS.md.

#ifndef MIMOSA_ENTRY_ENTRY_OPTIONS_H
#define MIMOSA_ENTRY_ENTRY_OPTIONS_H

#include "balance/retry_budget.h"
#include "base/ids.h"
#include "base/time.h"

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
  /// Address for other entry hosts, and those of some of them.
  HostId PeerAddress;
  std::vector<HostId> Seeds;
  /// Empty: no metrics are served.
  std::string MetricsAddress;
  std::string StoreAddress;
  AvailabilityZoneId Zone;
  std::string LogLevel = "info";
  RetryBudgetOptions RetryBudget;
  double ColdOverage = 1.5;
  double ColdSlack = 5;
  /// How long callers may keep an address.
  Duration AddressLifetime = Seconds(2);
  /// From a termination signal to the end of the process at the latest.
  Duration StopLimit = Milliseconds(6000);
  size_t MaxDescriptors = 4096;
  /// Share of a core of this host that the process may use, and how many times
  /// as fast as usual that core is.
  double CoreShare = 1;
  double CoreSpeed = 1;
};

/// Reads file, variables and flags. Sets \p Exit if the program should end.
EntryOptions parseEntryOptions(int Argc, const char *const *Argv,
                               std::optional<int> *Exit);

/// What is wrong with a settings file, or with the template of one.
std::vector<std::string> entrySettingsProblems(const std::string &Path);

} // namespace mimosa

#endif // MIMOSA_ENTRY_ENTRY_OPTIONS_H
