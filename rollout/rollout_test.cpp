#include "rollout/rollout_simulation_test_util.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

constexpr uint64_t Seeds = 20;
/// Half of the bounds of RolloutLimits.
constexpr double ExposureShare = 0.05;
constexpr double ExposureSlack = 25;
constexpr Duration RollbackTime = Milliseconds(2500);
constexpr Duration DecisionMargin = Seconds(2);

/// Sound answers: 15 to 30 ms, 2% of them three times as long.
SimulatedAnswer sound(Random &Rng) {
  auto Latency = Milliseconds(15 + Rng.below(15));
  return {false, Rng.below(50) == 0 ? Latency * 3 : Latency};
}

struct Behaviour {
  const char *Name;
  std::function<SimulatedAnswer(const SimulatedRequest &)> Answer;
  double RequestsPerSecond = 120;
  size_t Servers = 3;
};

std::function<SimulatedAnswer(const SimulatedRequest &)>
failing(double Share, std::function<bool(const SimulatedRequest &)> When) {
  return [Share, When = std::move(When)](const SimulatedRequest &R) {
    SimulatedAnswer Out = sound(R.Rng);
    Out.Failure = R.ToTarget && When(R) && R.Rng.uniform01() < Share;
    return Out;
  };
}

std::function<SimulatedAnswer(const SimulatedRequest &)>
slow(int Factor, double Share,
     std::function<bool(const SimulatedRequest &)> When) {
  return [=](const SimulatedRequest &R) {
    SimulatedAnswer Out = sound(R.Rng);
    if (R.ToTarget && When(R) && R.Rng.uniform01() < Share)
      Out.Latency *= Factor;
    return Out;
  };
}

bool always(const SimulatedRequest &) { return true; }
bool onRareRoute(const SimulatedRequest &R) { return R.RareRoute; }
bool afterThreeSeconds(const SimulatedRequest &R) {
  return R.Age >= Seconds(3);
}
/// A third of 120 requests a second are 10 in 250 ms.
bool underLoad(const SimulatedRequest &R) { return R.RecentRequests >= 6; }

/// Prints and checks what a bad version got.
void expectWithinBounds(const RolloutSimulation &S, const char *Name,
                        Duration DecidedAfter) {
  Duration After =
      S.BadAnswers >= 50 ? S.LastToTargetAt - S.FiftiethBadAt : Duration(0);
  std::printf("%s: decided after %.1f s, %llu of %llu requests, %llu bad, "
              "%.1f s after the 50th\n",
              Name, inSeconds(DecidedAfter),
              static_cast<unsigned long long>(S.ToTarget),
              static_cast<unsigned long long>(S.Requests),
              static_cast<unsigned long long>(S.BadAnswers), inSeconds(After));
  EXPECT_LE(static_cast<double>(S.ToTarget),
            ExposureShare * static_cast<double>(S.Requests) + ExposureSlack)
      << Name;
  EXPECT_LE(After, RollbackTime) << Name;
}

const Behaviour BadVersions[] = {
    {"all fail", failing(1, always)},
    {"a third fails", failing(0.33, always)},
    {"a fifth fails", failing(0.2, always)},
    {"all fail, 1000 a second", failing(1, always), 1000},
    {"a tenth fails, 1000 a second", failing(0.1, always), 1000},
    {"all fail, 10 a second", failing(1, always), 10},
    {"one server each", failing(0.5, always), 120, 1},
    {"20 servers each", failing(0.5, always), 400, 20},
    {"fails later", failing(0.5, afterThreeSeconds)},
    {"fails under load", failing(0.6, underLoad)},
    {"fails on one route", failing(1, onRareRoute)},
    {"slow", slow(4, 1, always)},
    {"half slow", slow(4, 0.5, always)},
    {"slow later", slow(4, 1, afterThreeSeconds)},
    {"slow under load", slow(4, 1, underLoad)},
    {"slow on one route", slow(4, 1, onRareRoute)},
};

// Guards against a bad version that is completed, gets too many requests, or
// gets requests for too long after its bad answers.
TEST(Rollout, BadVersionsAreRolledBackWithinHalfOfTheBounds) {
  for (const Behaviour &B : BadVersions) {
    int RolledBack = 0;
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      RolloutSimulation S(
          {B.RequestsPerSecond, 4, B.Servers, Seconds(12), Seed, B.Answer});
      S.runUntilDecided(Seconds(12) + DecisionMargin);
      RolledBack += S.phase() == RolloutPhase::RolledBack ? 1 : 0;
      if (S.phase() != RolloutPhase::RolledBack)
        continue;
      Duration DecidedAfter = S.age();
      S.run(Milliseconds(200));
      uint64_t Before = S.ToTarget;
      S.run(Seconds(12) - std::min<Duration>(DecidedAfter, Seconds(10)));
      EXPECT_EQ(S.ToTarget, Before) << B.Name << ": used after the rollback";
      expectWithinBounds(S, B.Name, DecidedAfter);
    }
    EXPECT_EQ(RolledBack, static_cast<int>(Seeds)) << B.Name;
  }
}

} // namespace
} // namespace mimosa
