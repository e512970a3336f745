// Teams of one priority ask for more than one service can run, because one of
// them sends 8 times its usual rate and its callers retry.

#include "model/simulation.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <map>

namespace mimosa {
namespace {

constexpr MonotonicTime GreedyFrom{Seconds(5)};
constexpr MonotonicTime GreedyTo{Seconds(15)};
constexpr Duration TargetLatency = Milliseconds(200);
/// Share of the requests of a team that keeps to its usual rate that must be
/// answered in time.
constexpr double ServedShare = 0.95;

LoadPattern pattern(uint32_t GreedyPriority) {
  // 12 slots of 50 ms run 240 requests a second. The usual rate is 150.
  std::string Callers;
  for (const char *Team : {"greedy", "b", "c", "d", "small"}) {
    bool Greedy = std::string(Team) == "greedy";
    bool Small = std::string(Team) == "small";
    Callers += std::string(Callers.empty() ? "" : ",") + R"({"route": ")" +
               (Greedy ? "own" : "common") + R"(", "retries": 3, "team": ")" +
               Team + R"(", "rate_per_s": )" + (Small ? "6" : "36") + "}";
  }
  auto Route = [](const char *Name, uint32_t Priority) {
    return std::string(R"({"name": ")") + Name +
           R"(", "service": "api", "work_us": 50000, "work_spread": 0.3,
               "target_ms": 200, "deadline_ms": 400, "priority": )" +
           std::to_string(Priority) + "}";
  };
  auto Parsed = parseLoadPattern(
      R"({"seed": 7, "length_ms": 20000, "hosts": 2, "services": [
            {"name": "api", "servers": 3, "slots": 4, "connections": 72}],
          "routes": [)" +
      Route("common", 1) + "," + Route("own", GreedyPriority) +
      R"(], "callers": [)" + Callers +
      R"(], "events": [{"at_ms": 5000, "for_ms": 10000, "kind": "burst",
                        "team": "greedy", "factor": 8}]})");
  EXPECT_TRUE(ok(Parsed)) << errorOf(Parsed).Message;
  return valueOf(std::move(Parsed));
}

/// The share of each team's callers that are answered in time.
std::map<std::string, double> servedShares(uint32_t GreedyPriority) {
  std::map<std::string, std::vector<RequestRecord>> ByTeam;
  for (RequestRecord &R : Simulation(pattern(GreedyPriority)).run())
    ByTeam[R.Team.text()].push_back(std::move(R));
  std::map<std::string, double> Out;
  for (const auto &[Team, Records] : ByTeam) {
    CallerSummary Sum =
        summarizeCallers(Records, GreedyFrom, GreedyTo, TargetLatency);
    Out[Team] =
        static_cast<double>(Sum.InTime) / static_cast<double>(Sum.Callers);
    std::printf("%s: %lu callers, %lu in time, %lu late, %lu refused, "
                "%lu failed\n",
                Team.c_str(), Sum.Callers, Sum.InTime, Sum.Late, Sum.Refused,
                Sum.Failed);
  }
  return Out;
}

// Guards against a team that takes the capacity of other teams by sending more
// or retrying at once.
TEST(FairnessTest, TeamThatSendsMoreHarmsNoOther) {
  auto Shares = servedShares(1);
  for (const char *Team : {"b", "c", "d", "small"})
    EXPECT_GE(Shares[Team], ServedShare) << Team;
  EXPECT_GT(Shares["greedy"], 0);
}

// Guards against a class that is served less often than a less urgent one.
TEST(FairnessTest, MoreUrgentClassIsServedMoreOften) {
  auto Shares = servedShares(2);
  for (const char *Team : {"b", "c", "d", "small"})
    EXPECT_GE(Shares[Team], std::max(ServedShare, Shares["greedy"])) << Team;
}

} // namespace
} // namespace mimosa
