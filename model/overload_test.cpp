// A burst of queries over 36 shards beside backend servers that are slow, hang,
// crash, restart in turn or decline requests, so that for some seconds there is
// less capacity than the callers ask for.

#include "model/simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace mimosa {
namespace {

constexpr Duration TargetLatency = Milliseconds(200);
constexpr MonotonicTime BurstFrom{Seconds(12)};
constexpr MonotonicTime BurstTo{Seconds(16)};

LoadPattern pattern(const std::string &Coverage, const std::string &Events,
                    const std::string &Servers = "") {
  std::string Service =
      R"("servers": 3, "slots": 6, "connections": 72)" + Servers;
  auto Parsed = parseLoadPattern(
      R"({"seed": 7, "length_ms": 20000, "hosts": 16, "zones": 3,
          "network_us": 100, "cross_zone_us": 900,
          "services": [
            {"name": "shard", "count": 24, )" +
      Service + R"(}, {"name": "slow", "count": 4, )" + Service +
      R"(}, {"name": "hung", "count": 4, )" + Service +
      R"(}, {"name": "crashed", "count": 4, )" + Service +
      R"(}],
          "routes": [{"name": "search",
            "shards": ["shard", "slow", "hung", "crashed"],
            "work_us": 60000, "work_spread": 0.5, "target_ms": 200,
            "deadline_ms": 1200, "min_coverage": )" +
      Coverage + R"(}],
          "callers": [
            {"route": "search", "rate_per_s": 47, "retries": 1,
             "team": "first", "zone": 1},
            {"route": "search", "rate_per_s": 47, "retries": 1,
             "team": "second", "zone": 2},
            {"route": "search", "rate_per_s": 46, "retries": 1,
             "team": "third", "zone": 3}],
          "events": [)" +
      Events + "]}");
  EXPECT_TRUE(ok(Parsed)) << errorOf(Parsed).Message;
  if (getenv("SEED"))
    valueOf(Parsed).Seed = atoi(getenv("SEED"));
  return valueOf(std::move(Parsed));
}

const char *const Burst =
    R"({"at_ms": 12000, "for_ms": 4000, "kind": "burst", "route": "search",
        "factor": 1.7})";

const char *const Faults =
    R"(, {"at_ms": 12000, "for_ms": 4000, "kind": "slow", "service": "slow",
        "servers": 1, "factor": 5},
       {"at_ms": 12000, "for_ms": 4000, "kind": "silent", "service": "hung",
        "servers": 1},
       {"at_ms": 12500, "for_ms": 3500, "kind": "crash", "service": "crashed",
        "servers": 1},
       {"at_ms": 12000, "for_ms": 1300, "kind": "crash", "service": "shard",
        "servers": 1},
       {"at_ms": 13300, "for_ms": 1300, "kind": "crash", "service": "shard",
        "first_server": 2, "servers": 1},
       {"at_ms": 14600, "for_ms": 1300, "kind": "crash", "service": "shard",
        "first_server": 3, "servers": 1})";

/// One of three backend servers of each shard declines most requests.
const char *const Declines =
    R"(, {"at_ms": 12000, "for_ms": 4000, "kind": "shed", "service": "shard",
        "servers": 1, "factor": 0.6},
       {"at_ms": 12000, "for_ms": 4000, "kind": "shed", "service": "slow",
        "servers": 2, "factor": 0.6})";

const char *const UnevenServers =
    R"(, "work_factors": [0.8, 1.0, 1.3], "slot_counts": [4, 6, 8])";

/// The demand moves from one zone to the next, and its sum stays.
const char *const MovingDemand =
    R"({"at_ms": 4000, "for_ms": 4000, "kind": "burst", "team": "first",
        "factor": 2},
       {"at_ms": 4000, "for_ms": 4000, "kind": "burst", "team": "second",
        "factor": 0.5},
       {"at_ms": 4000, "for_ms": 4000, "kind": "burst", "team": "third",
        "factor": 0.5},
       {"at_ms": 12000, "for_ms": 4000, "kind": "burst", "team": "third",
        "factor": 2},
       {"at_ms": 12000, "for_ms": 4000, "kind": "burst", "team": "first",
        "factor": 0.5},
       {"at_ms": 12000, "for_ms": 4000, "kind": "burst", "team": "second",
        "factor": 0.5})";

/// A refusal within this share of the target latency lets the caller ask again
/// in time.
constexpr Duration RefusalTime = TargetLatency / 4;
/// Share of the callers whose query may be sent and then fail.
constexpr double MaxFailedShare = 0.1;

std::vector<RequestRecord> run(const std::string &Name, LoadPattern Pattern,
                               MonotonicTime From, MonotonicTime To) {
  Simulation Run(std::move(Pattern));
  std::vector<RequestRecord> Records = Run.run();
  CallerSummary Sum = summarizeCallers(Records, From, To, TargetLatency);
  uint64_t Arrivals = 0;
  uint64_t Refusals = 0;
  Run.eachServer([&](const ServerModel &Server) {
    Arrivals += Server.arrivals().size();
    Refusals += Server.refusals();
  });
  std::printf("%s: %lu callers, %lu in time, %lu late, %lu refused, "
              "%lu failed, worth %.3f; %lu arrivals, %lu declined\n",
              Name.c_str(), Sum.Callers, Sum.InTime, Sum.Late, Sum.Refused,
              Sum.Failed, Sum.Worth, Arrivals, Refusals);
  return Records;
}

// Guards against a refusal while there is room: in calm, and while the demand
// moves between zones of uneven backend servers.
TEST(OverloadTest, NoQueryIsRefusedInCalm) {
  for (const char *Coverage : {"0.95", "0.85"}) {
    LoadPattern Patterns[] = {pattern(Coverage, ""),
                              pattern(Coverage, MovingDemand, UnevenServers)};
    for (LoadPattern &Pattern : Patterns) {
      auto Records = run(std::string("calm ") + Coverage, std::move(Pattern),
                         MonotonicTime(Duration(0)), BurstTo);
      for (const RequestRecord &R : Records)
        ASSERT_TRUE(R.served() && !R.Late);
    }
  }
}

// Guards against queries that are sent to all shards and then fail, or that are
// answered too late, where a refusal was possible.
TEST(OverloadTest, QueriesBeyondTheCapacityAreRefusedAtOnce) {
  struct {
    const char *Name;
    const char *Events;
    const char *Servers;
  } const Cases[] = {
      {"burst", "", ""},
      {"burst, faults", Faults, ""},
      {"burst, declines", Declines, ""},
      {"burst, faults, uneven servers", Faults, UnevenServers},
  };
  for (const auto &Case : Cases)
    for (const char *Coverage : {"0.95", "0.85"}) {
      std::string Name = std::string(Case.Name) + ", " + Coverage;
      auto Records =
          run(Name,
              pattern(Coverage, std::string(Burst) + Case.Events, Case.Servers),
              BurstFrom, BurstTo);
      CallerSummary Sum =
          summarizeCallers(Records, BurstFrom, BurstTo, TargetLatency);
      EXPECT_LE(static_cast<double>(Sum.Failed),
                MaxFailedShare * static_cast<double>(Sum.Callers))
          << Name;
      // Of the requests that are begun and answered, most are in time.
      auto Answered = [&](bool Late) {
        return std::count_if(
            Records.begin(), Records.end(), [&](const RequestRecord &R) {
              return R.served() && R.Late == Late && R.AskedAt >= BurstFrom &&
                     R.AskedAt < BurstTo;
            });
      };
      std::printf("  answers in time %ld, late %ld\n", Answered(false),
                  Answered(true));
      EXPECT_GT(Answered(false), Answered(true)) << Name;
      for (const RequestRecord &R : Records)
        EXPECT_TRUE(R.Outcome != RequestOutcome::Refused ||
                    R.latency() <= RefusalTime)
            << Name;
      // Seconds after the burst nothing is refused any more.
      for (const RequestRecord &R : Records)
        EXPECT_TRUE(R.AskedAt < BurstTo + Seconds(3) || R.served()) << Name;
    }
}

} // namespace
} // namespace mimosa
