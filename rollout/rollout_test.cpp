#include "rollout/rollout_simulation_test_util.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

constexpr uint64_t Seeds = 20;
/// Half of the bounds of RolloutLimits.
constexpr double ExposureShare = 0.05;
constexpr double ExposureSlack = 25;
constexpr Duration RollbackTime = Milliseconds(2500);
/// "About the length of the ramp": a quarter more.
constexpr Duration DecisionMargin = Seconds(3);

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
  return [Factor, Share, When = std::move(When)](const SimulatedRequest &R) {
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

/// Whether \p R is within \p Length after \p From.
bool during(const SimulatedRequest &R, Duration From, Duration Length) {
  return R.Age >= From && R.Age < From + Length;
}

const Behaviour GoodVersions[] = {
    {"sound", failing(0, always)},
    {"sound, 1000 a second", failing(0, always), 1000},
    {"sound, 1 a second", failing(0, always), 1},
    {"sound, 10 a second", failing(0, always), 10},
    {"both versions fail for a tenth of the requests",
     [](const SimulatedRequest &R) {
       SimulatedAnswer Out = sound(R.Rng);
       Out.Failure = R.Rng.below(10) == 0;
       return Out;
     }},
    {"a network fault of 2 s hits both versions",
     [](const SimulatedRequest &R) {
       SimulatedAnswer Out = sound(R.Rng);
       Out.Failure = during(R, Seconds(4), Seconds(2)) && R.Rng.below(2) == 0;
       return Out;
     }},
    {"both versions are slow for 3 s",
     [](const SimulatedRequest &R) {
       SimulatedAnswer Out = sound(R.Rng);
       if (during(R, Seconds(4), Seconds(3)))
         Out.Latency *= 5;
       return Out;
     }},
    {"one server of each version is slow",
     [](const SimulatedRequest &R) {
       SimulatedAnswer Out = sound(R.Rng);
       if (R.Server == 0 && during(R, Seconds(3), Seconds(20)))
         Out.Latency *= R.Rng.below(3) == 0 ? 4 : 1;
       return Out;
     }},
    {"servers of both versions pause for 250 ms every 3 s",
     [](const SimulatedRequest &R) {
       SimulatedAnswer Out = sound(R.Rng);
       Duration Phase =
           (R.Age + Milliseconds(700) *
                        static_cast<int64_t>(R.Server + (R.ToTarget ? 3 : 0))) %
           Duration(Seconds(3));
       if (Phase < Milliseconds(250))
         Out.Latency += Milliseconds(250) - Phase;
       return Out;
     }},
    {"the new version is cut off for 0.7 s",
     failing(1,
             [](const SimulatedRequest &R) {
               return during(R, Milliseconds(4500), Milliseconds(700));
             })},
    {"a server of the new version crashes",
     failing(1,
             [](const SimulatedRequest &R) {
               return R.Server == 0 && during(R, Seconds(5), Milliseconds(500));
             })},
};

// Guards against a good version that is rolled back, because of a fault that
// hits both versions or lasts for a moment, or is decided too late.
TEST(Rollout, GoodVersionsAreCompletedInTime) {
  for (const Behaviour &B : GoodVersions) {
    int Completed = 0;
    Duration Latest{0};
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      RolloutSimulation S(
          {B.RequestsPerSecond, 4, B.Servers, Seconds(12), Seed, B.Answer});
      S.runUntilDecided(Seconds(12) + DecisionMargin + Seconds(3));
      Completed += S.phase() == RolloutPhase::Completed ? 1 : 0;
      Latest = std::max(Latest, S.age());
      if (S.phase() != RolloutPhase::Completed)
        std::printf("%s, seed %llu: %s\n", B.Name,
                    static_cast<unsigned long long>(Seed),
                    S.Hosts[0]->Review
                        ? S.Hosts[0]->Review->evidenceText().c_str()
                        : "");
    }
    std::printf("%s: %d of %llu completed, the latest after %.1f s\n", B.Name,
                Completed, static_cast<unsigned long long>(Seeds),
                inSeconds(Latest));
    EXPECT_EQ(Completed, static_cast<int>(Seeds)) << B.Name;
    EXPECT_LE(Latest, Seconds(12) + DecisionMargin) << B.Name;
  }
}

SimulationOptions bad(uint64_t Seed) {
  return {120, 4, 3, Seconds(12), Seed, failing(0.5, always)};
}
SimulationOptions good(uint64_t Seed) {
  return {120, 4, 3, Seconds(12), Seed, failing(0, always)};
}

// Guards against a roll-out that stops, or a bad version that is completed,
// because reviewers are lost one after the other.
TEST(Rollout, ContinuesWithoutLostReviewers) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    for (bool IsGood : {true, false}) {
      RolloutSimulation S(IsGood ? good(Seed) : bad(Seed));
      for (size_t I = 0; I < 2; ++I) {
        S.run(Milliseconds(700));
        S.Hosts[I]->Down = true;
        S.Hosts[I]->Listed = false;
      }
      S.runUntilDecided(Seconds(14));
      EXPECT_EQ(S.phase(),
                IsGood ? RolloutPhase::Completed : RolloutPhase::RolledBack);
    }
}

// Guards against a host that resumes and sends by an old grant: a frozen
// reviewer and a frozen host both resume long after the rollback.
TEST(Rollout, HostsThatStoodStillDoNotUseABadVersion) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RolloutSimulation S(bad(Seed));
    S.run(Seconds(1));
    S.Hosts[0]->Down = true;
    S.Hosts[3]->Down = true;
    S.runUntilDecided(Seconds(14));
    ASSERT_EQ(S.phase(), RolloutPhase::RolledBack);
    S.run(Seconds(2));
    S.resume(0);
    S.resume(3);
    uint64_t Before = S.ToTarget;
    S.run(Seconds(3));
    EXPECT_EQ(S.ToTarget, Before);
  }
}

// Guards against a cut-off host that tests the version without being counted,
// and against a cut-off reviewer that decides alone.
TEST(Rollout, CutOffHostsDoNotUseTheNewVersion) {
  RolloutSimulation S(good(1));
  S.run(Seconds(2));
  for (auto &Each : S.Hosts)
    Each->CutOff = true;
  S.run(RolloutGrantLifetime + Milliseconds(10));
  uint64_t Before = S.ToTarget;
  S.run(Seconds(15));
  EXPECT_EQ(S.ToTarget, Before);
  EXPECT_FALSE(S.decided());
}

// Guards against the undecided target of one order that counts as an old
// version for the next one.
TEST(Rollout, TargetOfAReplacedOrderGetsNothing) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RolloutSimulation S(good(Seed));
    S.run(Seconds(Seed % 3));
    S.order("v3");
    S.runUntilDecided(Seconds(14));
    ASSERT_EQ(S.phase(), RolloutPhase::Completed);
    EXPECT_EQ(S.Stored->TargetVersion, VersionId("v3"));
    EXPECT_EQ(S.Stored->Excluded, std::vector<VersionId>{VersionId("v2")});
  }
}

// Guards against traffic that is moved to a version which could not be tested,
// because its servers came late.
TEST(Rollout, VersionWithLateServersIsTested) {
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RolloutSimulation S(bad(Seed));
    S.removeServers("v2");
    S.run(Seconds(11));
    S.addServers("v2");
    S.runUntilDecided(Seconds(12));
    EXPECT_EQ(S.phase(), RolloutPhase::RolledBack);
    EXPECT_LE(static_cast<double>(S.ToTarget),
              ExposureShare * static_cast<double>(S.Requests) + ExposureSlack);
  }
}

// Guards against a version that gets all requests once its order is withdrawn,
// and against one that could not be ordered again.
TEST(Rollout, WithdrawnOrderIsRolledBackAndCanBeRepeated) {
  RolloutSimulation S(good(1));
  S.run(Seconds(3));
  S.withdraw();
  uint64_t Before = S.ToTarget;
  S.run(Seconds(5));
  EXPECT_EQ(S.ToTarget, Before);
  EXPECT_EQ(S.Stored->Phase, RolloutPhase::RolledBack);
  S.order("v2");
  S.runUntilDecided(Seconds(14));
  EXPECT_EQ(S.phase(), RolloutPhase::Completed);
}

// Guards against requests that wait or fail, and an order that is never
// decided, because the servers of one version leave, and against a version
// without servers that is completed.
TEST(Rollout, ServersThatLeave) {
  for (Duration After : {Seconds(0), Seconds(3), Seconds(10)}) {
    RolloutSimulation S(good(1));
    S.run(After);
    S.removeServers("v2");
    S.runUntilDecided(Seconds(18));
    EXPECT_EQ(S.phase(), RolloutPhase::RolledBack);
  }
  RolloutSimulation S(good(1));
  S.run(Seconds(3));
  S.removeServers("v1");
  uint64_t Before = S.ToTarget;
  S.run(Seconds(1));
  EXPECT_GT(S.ToTarget, Before + 100);
  S.runUntilDecided(Seconds(14));
  EXPECT_EQ(S.phase(), RolloutPhase::Completed);
}

// Guards against a status "completed" while requests run at the old version.
TEST(Rollout, WaitsForRequestsAtTheOldVersion) {
  SimulationOptions Options = good(1);
  Options.Answer = [](const SimulatedRequest &R) {
    SimulatedAnswer Out = sound(R.Rng);
    if (!R.ToTarget && R.Age >= Milliseconds(8500))
      Out.Latency = Seconds(4);
    return Out;
  };
  RolloutSimulation S(std::move(Options));
  S.runUntilDecided(Seconds(18));
  EXPECT_EQ(S.phase(), RolloutPhase::Completed);
  EXPECT_GE(S.age(), Seconds(13));
}

// Guards against repeated or overtaken reports that are counted twice.
TEST(EvidenceTable, RepeatedReportsCountOnce) {
  constexpr MonotonicTime Now{Seconds(1000)};
  ServiceEvidence Late;
  Late.Sent = 10;
  RolloutCell Cell;
  Cell.Slot = 4000;
  Cell.Route = "r";
  Cell.Target = true;
  Cell.Failures = 3;
  Cell.Latencies = {0, 4};
  Late.Cells = {Cell};
  ServiceEvidence Early = Late;
  Early.Sent = 5;
  Early.Cells[0].Failures = 1;
  EvidenceTable Table;
  for (const ServiceEvidence *Each : {&Early, &Late, &Early, &Late})
    Table.apply(HostId("h"), Incarnation(1), *Each, Now);
  EXPECT_EQ(Table.sent(), 10u);
  EXPECT_EQ(Table.compare().TargetAnswers, 7u);
  EXPECT_EQ(Table.compare().TargetFailures, 3u);
  // A report that cannot be right is left out.
  Late.Cells[0].Slot = 4001;
  Late.Cells[0].Latencies.resize(LatencyBuckets + 1);
  Table.apply(HostId("h"), Incarnation(1), Late, Now);
  EXPECT_EQ(Table.compare().TargetAnswers, 7u);
}

} // namespace
} // namespace mimosa
