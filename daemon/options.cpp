#include "daemon/options.h"

#include "runtime/fiber_loop.h"
#include "runtime/log.h"
#include "runtime/settings.h"

#include <cstdio>

namespace mimosa {

DaemonOptions parseDaemonOptions(int Argc, const char *const *Argv,
                                 std::optional<int> *Exit) {
  DaemonOptions Out;
  std::string Peer;
  std::string Zone;
  std::string Region = "default";
  std::string Seeds;
  std::string Policy = "adaptive";
  int64_t LifetimeMs = inMilliseconds(Out.AddressLifetime);
  int64_t DrainMs = inMilliseconds(Out.DrainLimit);
  int64_t Seed = 0;
  Settings Parser("mimosad", "entry daemon of mimosawall");
  Parser.text("caller-address", "address for callers and operators, ip:port",
              &Out.CallerAddress, true);
  Parser.text("peer-address", "address for other daemons, ip:port", &Peer,
              true);
  Parser.text("zone", "availability zone of this host", &Zone, true);
  Parser.text("region", "region of this host", &Region);
  Parser.text("store-address", "address of the key-value service, ip:port",
              &Out.StoreAddress, true);
  Parser.text("seeds", "peer addresses of other hosts, comma-separated",
              &Seeds);
  Parser.text("log-level", "debug, info, warn or error", &Out.LogLevel);
  Parser.number("address-lifetime-ms",
                "time for which callers may use an address", &LifetimeMs, 100,
                60000);
  Parser.number("drain-limit-ms",
                "longest wait of a shutdown for running queries", &DrainMs, 0,
                600000);
  Parser.number("random-seed", "seed of random choices, 0 for any", &Seed, 0,
                INT64_MAX);
  Parser.text("policy", "adaptive, or baseline for comparisons", &Policy);
  *Exit = Parser.parse(Argc, Argv);
  if (*Exit)
    return Out;
  if (Policy != "adaptive" && Policy != "baseline") {
    std::fprintf(stderr,
                 "mimosad: setting policy is '%s' but must be adaptive or "
                 "baseline\n",
                 Policy.c_str());
    *Exit = 2;
  }
  Out.Policy =
      Policy == "baseline" ? QueryPolicy::Baseline : QueryPolicy::Adaptive;
  Out.PeerAddress = HostId(Peer);
  Out.Zone = AvailabilityZoneId(Zone);
  Out.Region = RegionId(Region);
  std::vector<std::string> SeedList = splitList(Seeds);
  Out.Seeds = std::vector<HostId>(SeedList.begin(), SeedList.end());
  Out.AddressLifetime = Milliseconds(LifetimeMs);
  Out.DrainLimit = Milliseconds(DrainMs);
  Out.RandomSeed = static_cast<uint64_t>(Seed);
  Result<Done> LogReady = configureLog(Out.LogLevel);
  if (!ok(LogReady)) {
    std::fprintf(stderr, "mimosad: %s\n", errorOf(LogReady).Message.c_str());
    *Exit = 2;
  }
  return Out;
}

} // namespace mimosa
