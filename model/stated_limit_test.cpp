// Backend servers state in their answers how many requests per second they
// accept from all hosts together. 10 shards of 3 backend servers; the limits
// are far below what the callers' load would give each of them.

#include "model/simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mimosa {
namespace {

constexpr Duration LimitedFrom = Seconds(1);
/// Hosts need not keep a limit until this long after it was first stated.
constexpr Duration HeedTime = Seconds(4);
constexpr Duration Window = Seconds(4);
/// Requests that may arrive in a window beside the rate.
constexpr double Slack = 5;
/// Times the limit that may arrive in a window.
constexpr double Overage = 1.5;
/// A refusal that can be known is given within this time.
constexpr Duration RefusalTime = Milliseconds(10);

struct LimitCase {
  const char *Name;
  uint32_t Hosts;
  double Limit;
  /// Backend servers of each shard that state it.
  uint32_t Servers;
};

LoadPattern pattern(const LimitCase &C, int LengthMs, int ForMs) {
  auto Parsed = parseLoadPattern(
      R"({"seed": 7, "length_ms": )" + std::to_string(LengthMs) +
      R"(, "zones": 3, "cross_zone_us": 900, "hosts": )" +
      std::to_string(C.Hosts) +
      R"(, "services": [{"name": "shard", "count": 10, "servers": 3,
           "slots": 6, "connections": 72}],
          "routes": [{"name": "search", "shards": ["shard"], "work_us": 9000,
            "work_spread": 0.5, "target_ms": 200, "deadline_ms": 1200}],
          "callers": [{"route": "search", "rate_per_s": 120, "retries": 1}],
          "events": [{"at_ms": 1000, "for_ms": )" +
      std::to_string(ForMs) +
      R"(, "kind": "limit", "service": "shard", "servers": )" +
      std::to_string(C.Servers) + R"(, "factor": )" + std::to_string(C.Limit) +
      "}]}");
  EXPECT_TRUE(ok(Parsed));
  return valueOf(std::move(Parsed));
}

/// The largest number of arrivals in a window that begins at \p From or later.
size_t mostInWindow(const std::vector<MonotonicTime> &Arrivals,
                    MonotonicTime From) {
  size_t Most = 0;
  for (auto It = std::lower_bound(Arrivals.begin(), Arrivals.end(), From);
       It != Arrivals.end(); ++It)
    Most = std::max(
        Most, static_cast<size_t>(
                  std::lower_bound(It, Arrivals.end(), *It + Window) - It));
  return Most;
}

void expectLimitKept(const Simulation &Run, const LimitCase &C) {
  double Allowed = Overage * C.Limit * inSeconds(Window) + Slack;
  for (int Shard = 1; Shard <= 10; ++Shard)
    for (uint32_t Server = 1; Server <= C.Servers; ++Server) {
      BackendServerId Id =
          serverIdOf(ServiceId("shard-" + std::to_string(Shard)), Server);
      size_t Most = mostInWindow(Run.server(Id).arrivals(),
                                 MonotonicTime(LimitedFrom + HeedTime));
      EXPECT_LE(static_cast<double>(Most), Allowed)
          << C.Name << " " << Id.text();
    }
}

// Guards against a backend server that gets more than the rate it states.
TEST(StatedLimitTest, ServerGetsMoreThanItsStatedLimit) {
  const LimitCase Cases[] = {
      {"one host", 1, 4, 1},
      {"8 hosts", 8, 4, 1},
      {"16 hosts", 16, 4, 1},
      {"16 hosts, a limit below their number", 16, 1.6, 1},
      {"16 hosts, half of the usual load", 16, 20, 1},
      {"8 hosts, two servers of each shard", 8, 10, 2},
  };
  for (const LimitCase &C : Cases) {
    Simulation Run(pattern(C, 20000, 20000));
    WindowSummary Sum = summarize(Run.run(), Seconds(3600)).front();
    expectLimitKept(Run, C);
    EXPECT_GE(static_cast<double>(Sum.Complete),
              0.99 * static_cast<double>(Sum.Asked))
        << C.Name;
  }
}

// Guards against callers that wait for capacity that the limits leave no hope
// for, and against a limit that is passed because no other server is left.
TEST(StatedLimitTest, CallersAreRefusedAtOnceIfAllServersAreLimited) {
  const LimitCase Case = {"all servers of each shard", 8, 4, 3};
  Simulation Run(pattern(Case, 20000, 20000));
  std::vector<RequestRecord> Records = Run.run();
  expectLimitKept(Run, Case);
  size_t Served = 0;
  for (const RequestRecord &R : Records) {
    if (R.AskedAt < MonotonicTime(LimitedFrom + HeedTime))
      continue;
    bool Answered = R.Outcome == RequestOutcome::Complete ||
                    R.Outcome == RequestOutcome::Partial;
    Served += Answered ? 1 : 0;
    if (R.Outcome == RequestOutcome::Refused)
      EXPECT_LE(R.latency(), RefusalTime);
    else
      EXPECT_LE(R.latency(), Milliseconds(200));
  }
  EXPECT_GT(Served, 0u);
}

// Guards against a limit that is still kept after its server has lifted it.
TEST(StatedLimitTest, ServerIsUsedAgainAfterItsLimitIsLifted) {
  const LimitCase Case = {"lifted", 1, 4, 1};
  Simulation Run(pattern(Case, 12000, 8000));
  Run.run();
  constexpr MonotonicTime UsedFrom{Seconds(10)};
  const std::vector<MonotonicTime> &Arrivals =
      Run.server(serverIdOf(ServiceId("shard-1"), 1)).arrivals();
  auto Later = Arrivals.end() -
               std::lower_bound(Arrivals.begin(), Arrivals.end(), UsedFrom);
  // More than the limit would allow in these 2 s.
  EXPECT_GT(Later, 8);
}

// Guards against hosts that keep a limit long after it was lifted because their
// share of it rarely allows them to ask.
TEST(StatedLimitTest, HostsKeepALimitThatAnotherHostKnowsToBeLifted) {
  const LimitCase Case = {"16 hosts", 16, 4, 3};
  Simulation Run(pattern(Case, 12000, 8000));
  uint64_t Asked = 0;
  uint64_t Complete = 0;
  for (const RequestRecord &R : Run.run()) {
    if (R.AskedAt < MonotonicTime(Seconds(10)))
      continue;
    ++Asked;
    Complete += R.Outcome == RequestOutcome::Complete ? 1 : 0;
  }
  EXPECT_GE(static_cast<double>(Complete), 0.99 * static_cast<double>(Asked));
}

} // namespace
} // namespace mimosa
