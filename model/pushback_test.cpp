// Backend servers ask for a pause with each refusal, or say in each answer that
// they leave: one of three, or all of a few shards.

#include "model/simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mimosa {
namespace {

constexpr uint32_t Hosts = 4;
constexpr Duration PauseTime = Seconds(2);
/// Requests of one host that may still arrive during a pause.
constexpr size_t Slack = 2;
/// Requests under way when a pause is asked for arrive within this time.
constexpr Duration HeedTime = Milliseconds(500);

struct PushbackCase {
  const char *Name;
  /// Backend servers of each affected shard.
  uint32_t Servers;
};

LoadPattern pattern(const PushbackCase &C, const std::string &Kind) {
  auto Parsed = parseLoadPattern(
      R"({"seed": 7, "length_ms": 12000, "hosts": )" + std::to_string(Hosts) +
      R"(, "services": [
            {"name": "shard", "count": 8, "servers": 3, "slots": 6,
             "connections": 72},
            {"name": "asking", "count": 2, "servers": 3, "slots": 6,
             "connections": 72}],
          "routes": [{"name": "search", "shards": ["shard", "asking"],
            "work_us": 9000, "target_ms": 200, "deadline_ms": 1200,
            "min_coverage": 0.75}],
          "callers": [{"route": "search", "rate_per_s": 120, "retries": 1}],
          "events": [{"at_ms": 2000, "for_ms": 5000, "service": "asking",
            "factor": 2, "kind": ")" +
      Kind + R"(", "servers": )" + std::to_string(C.Servers) + "}]}");
  EXPECT_TRUE(ok(Parsed));
  return valueOf(std::move(Parsed));
}

// Guards against requests to a backend server that has asked for a pause.
TEST(PushbackTest, ServerThatAskedForAPauseGetsRequests) {
  const PushbackCase Cases[] = {{"one of three", 1}, {"whole shards", 3}};
  for (const PushbackCase &C : Cases) {
    Simulation Run(pattern(C, "pause"));
    WindowSummary Sum = summarize(Run.run(), Seconds(3600)).front();
    const std::vector<MonotonicTime> &Arrivals =
        Run.server(serverIdOf(ServiceId("asking-1"), 1)).arrivals();
    // Each host sends one request that begins its pause.
    auto Begin = std::lower_bound(Arrivals.begin(), Arrivals.end(),
                                  MonotonicTime(Seconds(2)) + HeedTime);
    auto End = std::lower_bound(Begin, Arrivals.end(),
                                MonotonicTime(Seconds(2)) + PauseTime);
    EXPECT_LE(static_cast<size_t>(End - Begin), Slack * Hosts) << C.Name;
    EXPECT_EQ(Sum.Failed + Sum.Refused, 0u) << C.Name;
    EXPECT_EQ(Sum.Late, 0u) << C.Name;
    // After the pauses it is used again.
    EXPECT_GT(Arrivals.end() - std::lower_bound(Arrivals.begin(),
                                                Arrivals.end(),
                                                MonotonicTime(Seconds(11))),
              5)
        << C.Name;
  }
}

// Guards against requests to a backend server that is leaving.
TEST(PushbackTest, ServerThatSaysItLeavesGetsRequests) {
  const PushbackCase Cases[] = {{"one of three", 1}, {"whole shards", 3}};
  for (const PushbackCase &C : Cases) {
    Simulation Run(pattern(C, "leave"));
    WindowSummary Sum = summarize(Run.run(), Seconds(3600)).front();
    const std::vector<MonotonicTime> &Arrivals =
        Run.server(serverIdOf(ServiceId("asking-1"), 1)).arrivals();
    EXPECT_LE(Arrivals.back(), MonotonicTime(Seconds(2)) + HeedTime) << C.Name;
    EXPECT_EQ(Sum.Failed + Sum.Refused, 0u) << C.Name;
    EXPECT_EQ(Sum.Late, 0u) << C.Name;
  }
}

} // namespace
} // namespace mimosa
