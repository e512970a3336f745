// Shards of unlike speed on healthy and idle backend servers: 8 callers, each
// with one query at a time, 10 shards of 2 backend servers with 4 slots each.
// Every query must be complete, since nothing is overloaded.

#include "model/simulation.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

/// The median may exceed the service time of the slowest shard by this much.
constexpr Duration MedianMargin = Milliseconds(10);

struct UnevenCase {
  const char *Name;
  int FastShards;
  int FastMs;
  int SlowShards;
  int SlowMs;
};

std::string servicesOf(const UnevenCase &C) {
  auto Service = [](const char *Name, int Count, int Ms) {
    return std::string(R"({"name": ")") + Name + R"(", "count": )" +
           std::to_string(Count) +
           R"(, "servers": 2, "slots": 4, "work_factor": )" +
           std::to_string(Ms) + "}";
  };
  std::string Out = Service("slow", C.SlowShards, C.SlowMs);
  if (C.FastShards > 0)
    Out += ", " + Service("fast", C.FastShards, C.FastMs);
  return Out;
}

LoadPattern pattern(const UnevenCase &C, int LengthMs,
                    const std::string &Events = "") {
  std::string Shards = C.FastShards > 0 ? R"("slow", "fast")" : R"("slow")";
  auto Parsed = parseLoadPattern(
      R"({"seed": 7, "length_ms": )" + std::to_string(LengthMs) +
      R"(, "services": [)" + servicesOf(C) +
      R"(], "routes": [{"name": "search", "shards": [)" + Shards +
      R"(], "work_us": 1000, "target_ms": 150, "deadline_ms": 800}],
         "callers": [{"route": "search", "closed_loop": 8, "think_ms": 20}],
         "events": [)" +
      Events + "]}");
  EXPECT_TRUE(ok(Parsed));
  return valueOf(std::move(Parsed));
}

WindowSummary total(const std::vector<RequestRecord> &Records) {
  return summarize(Records, Seconds(3600)).front();
}

void expectAllComplete(const std::vector<RequestRecord> &Records, int SlowMs,
                       const std::string &Name) {
  WindowSummary Sum = total(Records);
  EXPECT_GT(Sum.Asked, 100u) << Name;
  EXPECT_EQ(Sum.Partial, 0u) << Name;
  EXPECT_EQ(Sum.Refused, 0u) << Name;
  EXPECT_EQ(Sum.Failed, 0u) << Name;
  EXPECT_LE(Sum.MedianLatency, Milliseconds(SlowMs) + MedianMargin) << Name;
}

TEST(UnevenShardsTest, QueriesOverIdleShardsAreComplete) {
  const UnevenCase Cases[] = {
      {"all 40 ms", 0, 1, 10, 40},
      {"1 of 10 shards 20 times slower", 9, 2, 1, 40},
      {"half of the shards 20 times slower", 5, 2, 5, 40},
      {"half of the shards 4 times slower", 5, 10, 5, 40},
      {"most shards 40 times slower", 4, 1, 6, 40},
  };
  for (const UnevenCase &C : Cases)
    expectAllComplete(Simulation(pattern(C, 5000)).run(), C.SlowMs, C.Name);
}

// A release or a cold cache makes one shard as a whole slower, for good. After
// 2 s this is its usual speed.
TEST(UnevenShardsTest, ShardThatBecomesSlowIsUsedAfterTwoSeconds) {
  const UnevenCase Case = {"a shard becomes 20 times slower", 9, 2, 1, 2};
  auto Records =
      Simulation(pattern(Case, 9000,
                         R"({"at_ms": 3000, "kind": "slow", "service": "slow",
                             "factor": 20})"))
          .run();
  std::vector<RequestRecord> Later;
  for (const RequestRecord &R : Records)
    if (R.AskedAt >= MonotonicTime(Seconds(5)))
      Later.push_back(R);
  expectAllComplete(Later, 40, Case.Name);
}

// Two kinds of requests with unlike work share the services, and the work of
// each varies by half. Neither makes the other one's calls look slow.
TEST(UnevenShardsTest, RoutesOfUnlikeWorkShareShards) {
  auto Parsed = parseLoadPattern(R"({
    "seed": 7, "length_ms": 6000,
    "services": [{"name": "shard", "count": 10, "servers": 2, "slots": 4}],
    "routes": [
      {"name": "short", "shards": ["shard"], "work_us": 2000,
       "work_spread": 0.5, "target_ms": 150, "deadline_ms": 800},
      {"name": "long", "shards": ["shard"], "work_us": 40000,
       "work_spread": 0.5, "target_ms": 300, "deadline_ms": 800}],
    "callers": [{"route": "short", "closed_loop": 2, "think_ms": 20},
                {"route": "long", "closed_loop": 4, "think_ms": 20}]})");
  ASSERT_TRUE(ok(Parsed));
  std::vector<RequestRecord> Records = Simulation(valueOf(Parsed)).run();
  for (const WindowSummary &Sum : summarize(Records, Seconds(3600))) {
    EXPECT_GT(Sum.Asked, 100u) << Sum.Route.text();
    EXPECT_EQ(Sum.Asked, Sum.Complete) << Sum.Route.text();
    EXPECT_EQ(Sum.Late, 0u) << Sum.Route.text();
  }
}

} // namespace
} // namespace mimosa
