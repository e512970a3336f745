#include "entry/entry_options.h"

#include "runtime/settings.h"

#include <algorithm>

namespace mimosa {

namespace {

/// The settings as they are written, and the options made of them.
class EntrySettings {
public:
  EntrySettings();
  Settings &parser() { return Parser; }
  EntryOptions options() const;

private:
  EntryOptions Out;
  std::string Zone;
  std::string Peer;
  std::string Seeds;
  int64_t AddressLifetimeS = Out.AddressLifetime / Seconds(1);
  int64_t LongestLifetimeS = 5;
  double StopLimitS = inSeconds(Out.StopLimit);
  int64_t WindowMs = inMilliseconds(Out.RetryBudget.Window);
  int64_t Descriptors = static_cast<int64_t>(Out.MaxDescriptors);
  Settings Parser{"mimosa-entry", "entry daemon of mimosawall for searches "
                                  "whose configuration the platform holds"};
};

EntrySettings::EntrySettings() {
  Parser.fileSetting(&Out.SettingsFile);
  Parser.text("host-name", "name of this host", &Out.HostName, true);
  Parser.text("zone", "availability zone of this host", &Zone, true);
  Parser.text("caller-address", "address for callers, ip:port",
              &Out.CallerAddress, true);
  Parser.text("ready-address", "address for readiness checks, ip:port",
              &Out.ReadyAddress, true);
  Parser.text("directory-address",
              "address that tells callers where to connect",
              &Out.DirectoryAddress, true);
  Parser.text("peer-address", "address for other entry hosts, ip:port", &Peer,
              true);
  Parser.text("seeds", "peer addresses of other hosts, comma-separated",
              &Seeds);
  Parser.text("metrics-address", "address of the metrics page, ip:port",
              &Out.MetricsAddress);
  Parser.text("store-address", "address of the platform's store, ip:port",
              &Out.StoreAddress, true);
  Parser.text("log-level", "debug, info, warn or error", &Out.LogLevel);
  Parser.decimal("retry-ratio", "extra sends for each request",
                 &Out.RetryBudget.Ratio, 0, 10);
  Parser.decimal("retry-slack", "extra sends of all hosts in a window",
                 &Out.RetryBudget.Slack, 0, 1e6);
  Parser.number("retry-window-ms", "window of the two above", &WindowMs, 100,
                600000);
  Parser.decimal("cold-overage", "factor on the rate of cold backend servers",
                 &Out.ColdOverage, 0, 100);
  Parser.decimal("cold-slack", "sends on top of that rate", &Out.ColdSlack, 0,
                 1e6);
  Parser.number("address-lifetime-s", "how long callers keep an address",
                &AddressLifetimeS, 1, 60);
  Parser.number("longest-address-lifetime-s", "bound of the above",
                &LongestLifetimeS, 1, 3600);
  Parser.decimal("stop-limit-s", "longest wait of a graceful stop", &StopLimitS,
                 0.5, 600);
  Parser.number("max-descriptors", "sockets and files of this process",
                &Descriptors, 300, 10000000);
  Parser.decimal("core-share", "share of a core that may be used",
                 &Out.CoreShare, 0.001, 1024);
  Parser.decimal("core-speed", "speed of that core, 1 for the usual one",
                 &Out.CoreSpeed, 0.001, 1000);
}

EntryOptions EntrySettings::options() const {
  EntryOptions Made = Out;
  Made.Zone = AvailabilityZoneId(Zone);
  Made.PeerAddress = HostId(Peer);
  std::vector<std::string> SeedList = splitList(Seeds);
  Made.Seeds = std::vector<HostId>(SeedList.begin(), SeedList.end());
  Made.RetryBudget.Window = Milliseconds(WindowMs);
  Made.AddressLifetime = Seconds(std::min(AddressLifetimeS, LongestLifetimeS));
  Made.StopLimit = Duration(static_cast<int64_t>(StopLimitS * 1e6));
  Made.MaxDescriptors = static_cast<size_t>(Descriptors);
  return Made;
}

} // namespace

EntryOptions parseEntryOptions(int Argc, const char *const *Argv,
                               std::optional<int> *Exit) {
  EntrySettings All;
  *Exit = All.parser().parse(Argc, Argv);
  return All.options();
}

std::vector<std::string> entrySettingsProblems(const std::string &Path) {
  return EntrySettings().parser().problemsOf(Path);
}

} // namespace mimosa
