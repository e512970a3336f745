#include "entry/entry_options.h"

#include "runtime/settings.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Declares the settings, and converts their values to EntryOptions.
class EntrySettings {
public:
  EntrySettings();
  Settings &parser() { return Parser; }
  EntryOptions options() const;

private:
  EntryOptions Values;
  std::string Zone;
  std::string Peer;
  std::string Seeds;
  std::string FirstStart = "false";
  std::string RefuseCongested = "false";
  std::string StrictRevocation = "false";
  int64_t RevokeMs = inMilliseconds(Values.RevocationLimit);
  int64_t RollbackMs = inMilliseconds(Values.Rollout.RollbackTime);
  int64_t AddressLifetimeS = Values.AddressLifetime / Seconds(1);
  int64_t LongestLifetimeS = 5;
  double StopLimitS = inSeconds(Values.StopLimit);
  int64_t WindowMs = inMilliseconds(Values.RetryBudget.Window);
  double QuotaWindowS = inSeconds(Values.Quota.Window);
  int64_t MemoryMb = static_cast<int64_t>(Values.MemoryBytes >> 20);
  int64_t Descriptors = static_cast<int64_t>(Values.MaxDescriptors);
  Settings Parser{"mimosa-entry", "entry daemon of mimosawall, with its "
                                  "routes in the platform's store"};
};

EntrySettings::EntrySettings() {
  Parser.fileSetting(&Values.SettingsFile);
  Parser.text("host-name", "name of this host", &Values.HostName, true);
  Parser.text("zone", "availability zone of this host", &Zone, true);
  Parser.text("caller-address", "address for callers, ip:port",
              &Values.CallerAddress, true);
  Parser.text("ready-address", "address for readiness checks, ip:port",
              &Values.ReadyAddress, true);
  Parser.text("directory-address",
              "address that serves host addresses, ip:port",
              &Values.DirectoryAddress, true);
  Parser.text("peer-address", "address for other entry hosts, ip:port", &Peer,
              true);
  Parser.text("seeds", "peer addresses of other hosts, comma-separated",
              &Seeds);
  Parser.text("metrics-address", "address of the metrics page, ip:port",
              &Values.MetricsAddress);
  Parser.text("store-address", "address of the platform's store, ip:port",
              &Values.StoreAddress, true);
  Parser.text("log-level", "debug, info, warn or error", &Values.LogLevel);
  Parser.text("refuse-congested",
              "true if queries are refused while their shards are congested",
              &RefuseCongested);
  Parser.text("first-start",
              "true when the whole system starts for the first time",
              &FirstStart);
  Parser.decimal("retry-ratio", "retries and hedges for each request",
                 &Values.RetryBudget.Ratio, 0, 10);
  Parser.decimal("retry-slack",
                 "further retries and hedges of all hosts in a window",
                 &Values.RetryBudget.Slack, 0, 1e6);
  Parser.number("retry-window-ms", "window of retry-ratio and retry-slack",
                &WindowMs, 100, 600000);
  Parser.decimal("cold-overage", "factor on the rate of cold backend servers",
                 &Values.ColdOverage, 0, 100);
  Parser.decimal("cold-slack", "requests per second on top of that rate",
                 &Values.ColdSlack, 0, 1e6);
  Parser.decimal("quota-window-s", "window of quota-overage and quota-slack",
                 &QuotaWindowS, 0.1, 3600);
  Parser.decimal("quota-overage",
                 "share by which a team may exceed its quota in a window",
                 &Values.Quota.Overage, 0, 100);
  Parser.decimal("quota-slack", "requests of a team in a window on top of that",
                 &Values.Quota.Slack, 0, 1e6);
  Parser.text("strict-revocation",
              "true if requests with a key are refused while the configuration "
              "has not been confirmed for revoke-ms",
              &StrictRevocation);
  Parser.number("revoke-ms", "see strict-revocation", &RevokeMs, 100, 600000);
  Parser.decimal("rollout-exposure-share",
                 "share of a service's requests that a bad version may get",
                 &Values.Rollout.ExposureShare, 0, 1);
  Parser.decimal("rollout-exposure-slack", "requests on top of that share",
                 &Values.Rollout.ExposureSlack, 0, 1e9);
  Parser.number("rollback-ms",
                "time from the 50th bad answer of a version to its last "
                "request",
                &RollbackMs, 100, 600000);
  Parser.number("address-lifetime-s", "how long callers keep an address",
                &AddressLifetimeS, 1, 60);
  Parser.number("longest-address-lifetime-s",
                "upper bound of address-lifetime-s", &LongestLifetimeS, 1,
                3600);
  Parser.decimal("stop-limit-s", "longest time of a graceful stop", &StopLimitS,
                 0.5, 600);
  Parser.number("max-descriptors", "limit of open sockets and files",
                &Descriptors, 300, 10000000);
  Parser.number("memory-mb", "limit of the memory of this process", &MemoryMb,
                32, 1 << 20);
  Parser.decimal("link-mbps", "megabits per second of this host's link",
                 &Values.Relaying.LinkMbps, 0.1, 1e6);
  Parser.decimal("core-share", "number of cores that may be used",
                 &Values.CoreShare, 0.001, 1024);
  Parser.decimal("core-speed", "speed of a core, 1 for the usual one",
                 &Values.CoreSpeed, 0.001, 1000);
}

EntryOptions EntrySettings::options() const {
  EntryOptions Options = Values;
  Options.Zone = AvailabilityZoneId(Zone);
  Options.PeerAddress = HostId(Peer);
  std::vector<std::string> SeedList = splitList(Seeds);
  Options.Seeds = std::vector<HostId>(SeedList.begin(), SeedList.end());
  Options.FirstStart = FirstStart == "true";
  Options.RefuseCongested = RefuseCongested == "true";
  Options.StrictRevocation = StrictRevocation == "true";
  Options.RevocationLimit = Milliseconds(RevokeMs);
  Options.Rollout.RollbackTime = Milliseconds(RollbackMs);
  Options.RetryBudget.Window = Milliseconds(WindowMs);
  Options.Quota.Window = Duration(static_cast<int64_t>(QuotaWindowS * 1e6));
  Options.AddressLifetime =
      Seconds(std::min(AddressLifetimeS, LongestLifetimeS));
  Options.StopLimit = Duration(static_cast<int64_t>(StopLimitS * 1e6));
  Options.MemoryBytes = static_cast<size_t>(MemoryMb) << 20;
  Options.MaxDescriptors = static_cast<size_t>(Descriptors);
  return Options;
}

} // namespace

EntryOptions parseEntryOptions(int Argc, const char *const *Argv,
                               std::optional<int> *Exit) {
  EntrySettings Declared;
  *Exit = Declared.parser().parse(Argc, Argv);
  return Declared.options();
}

std::vector<std::string> entrySettingsProblems(const std::string &Path) {
  return EntrySettings().parser().validateFile(Path);
}

} // namespace mimosa
