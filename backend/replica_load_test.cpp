#include "backend/backend_directory.h"
#include "backend/shard_ranges.h"
#include "base/random.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

const MonotonicTime Start{Seconds(1000)};

// Guards against a hedge delay that differs much from the percentile or is
// computed from latencies that have left the window.
RC_GTEST_PROP(LatencyWindow, HedgeDelayIsThePercentileOfTheWindow, ()) {
  auto Us = *rc::gen::suchThat(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(1000, 2000000)),
      [](const std::vector<int> &V) { return V.size() >= 20; });
  LatencyWindow Window;
  for (int I = 0; I < 1000; ++I)
    Window.record(Seconds(10), Start);
  for (size_t I = 0; I < Us.size(); ++I)
    Window.record(Duration(Us[I]), Start + Seconds(6) + Duration(I));
  std::sort(Us.begin(), Us.end());
  double Delay = Window.hedgeDelay(Start + Seconds(7)).count();
  // The delay is the upper edge of the bin that holds this sample.
  auto Rank = static_cast<size_t>(std::ceil(0.97 * Us.size()));
  RC_ASSERT(Delay >= Us[Rank - 1]);
  RC_ASSERT(Delay <= Us[Rank - 1] * 1.1);
}

// Guards against a hedge delay below 1 ms, also after a pause without samples,
// and against recomputing it for each sub-request.
TEST(LatencyWindow, FloorCacheAndPause) {
  LatencyWindow Window;
  EXPECT_EQ(Window.hedgeDelay(Start), Milliseconds(20));
  for (int I = 0; I < 100; ++I)
    Window.record(Duration(80), Start);
  EXPECT_EQ(Window.hedgeDelay(Start + Milliseconds(99)), Milliseconds(20));
  EXPECT_EQ(Window.hedgeDelay(Start + Milliseconds(100)), Milliseconds(1));
  EXPECT_EQ(Window.hedgeDelay(Start + Seconds(3600)), Milliseconds(1));
}

// Guards against extra load above 5% (10% during faults) in any order of
// events.
RC_GTEST_PROP(ExtraBudget, ExtrasStayWithinTheShare, (bool Fault)) {
  const ExtraBudgetOptions Options;
  ExtraBudget Budget;
  if (Fault)
    Budget.recordFault(Start);
  double Share = Fault ? Options.FaultShare : Options.SteadyShare;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  uint64_t First = 0;
  uint64_t Extras = 0;
  for (int Step : Steps) {
    for (int I = 0; I < Step; ++I, ++First)
      Budget.onSubRequestSent(Start);
    auto Kind = Step % 2 ? ExtraLoad::Hedge : ExtraLoad::Probe;
    while (Budget.tryTake(Kind)) {
      ++Extras;
      Budget.onSubRequestSent(Start);
    }
    RC_ASSERT(static_cast<double>(Extras) <=
              Share * static_cast<double>(First) + Options.InitialTokens);
  }
}

// Guards against hedges that leave no tokens for the retries of lost replicas,
// and against missing a fault that shows only in the share of retries.
TEST(ExtraBudget, RetriesHaveAReserveAndCountAsFaults) {
  ExtraBudget Budget;
  while (Budget.tryTake(ExtraLoad::Hedge)) {
  }
  EXPECT_FALSE(Budget.tryTake(ExtraLoad::Probe));
  EXPECT_FALSE(Budget.hasRecentFault(Start));
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(Budget.tryTake(ExtraLoad::Retry), I < 4);
  EXPECT_TRUE(Budget.hasRecentFault(Start));
  for (int I = 0; I < 2000; ++I)
    Budget.onSubRequestSent(Start);
  EXPECT_FALSE(Budget.hasRecentFault(Start));
}

/// Sub-requests to three replicas with given latencies, each to the better of
/// two random replicas and hedged.
struct SimulatedTraffic {
  SimulatedTraffic() : Source(7) {
    std::vector<ConfiguredBackendServer> Listed;
    for (const BackendServerId &Name : Names)
      Listed.push_back({Name, {}});
    Directory.setBackendServers(Listed, Now);
    Directory.setOwners({HostId("h")}, Now);
    for (const BackendServerId &Name : Names) {
      BackendSummary S;
      S.Backend = Name;
      S.Owner = HostId("h");
      S.State = BackendState::Serving;
      S.Limit = 4;
      S.Snapshots.push_back({SnapshotId("v"), 0, 1, packShards({0})});
      Directory.onSummary(S, Now);
    }
  }

  size_t choose() {
    size_t A = Source.below(3);
    size_t B = (A + 1 + Source.below(2)) % 3;
    return Directory.expectedLatency(Names[A], Now) <=
                   Directory.expectedLatency(Names[B], Now)
               ? A
               : B;
  }

  /// One sub-request. It is cancelled 4 ms after the hedge delay, as if its
  /// hedge had taken 4 ms to answer.
  void run(size_t Replica, Duration Latency) {
    Directory.onSubRequestSent(Names[Replica], Now);
    ++Sent[Replica];
    Duration Delay = Directory.hedgeDelay(Now);
    bool Cancelled = Latency > Delay + Milliseconds(4);
    Now += Cancelled ? Delay + Milliseconds(4) : Latency;
    Directory.onSubRequestEnded(
        Names[Replica],
        Cancelled ? std::nullopt : std::optional<Duration>(Latency), Now);
  }

  void runMany(int Count, const Duration (&Latencies)[3]) {
    for (int I = 0; I < Count; ++I) {
      size_t Replica = choose();
      // Without jitter the averages would stay equal.
      Duration Jitter(Source.below(1000));
      run(Replica, Latencies[Replica] + Jitter);
      auto Probe = Directory.takeProbe(SnapshotId("v"), ShardId(0), Now);
      if (!Probe)
        continue;
      ++Probes;
      Directory.onSubRequestSent(*Probe, Now);
      Duration Latency = Latencies[Probe->text()[0] - 'a'];
      Directory.onSubRequestEnded(*Probe, Latency, Now + Latency);
    }
  }

  const BackendServerId Names[3] = {BackendServerId("a"), BackendServerId("b"),
                                    BackendServerId("c")};
  SeededRandom Source;
  MonotonicTime Now = Start;
  BackendDirectory Directory;
  int Sent[3] = {};
  int Probes = 0;
};

// Guards against a slow replica that keeps getting sub-requests because these
// are cancelled when their hedges answer and so have no latency, against
// frequent probes, and against avoiding the replica after it has become fast.
TEST(Straggler, IsAvoidedProbedRarelyAndUsedAgain) {
  const Duration Slow[3] = {Milliseconds(100), Milliseconds(5),
                            Milliseconds(5)};
  const Duration Fast[3] = {Milliseconds(5), Milliseconds(5), Milliseconds(5)};
  SimulatedTraffic Traffic;
  Traffic.runMany(12000, Slow);
  EXPECT_TRUE(Traffic.Directory.status()[0].Straggler);
  EXPECT_LT(Traffic.Sent[0], 12000 / 100);
  EXPECT_GT(Traffic.Probes, 5);
  EXPECT_LE(Traffic.Probes, inSeconds(Traffic.Now - Start) / 5 + 1);
  EXPECT_EQ(Traffic.Directory.counters().ProbesTaken, uint64_t(Traffic.Probes));
  Traffic.Sent[0] = 0;
  Traffic.runMany(12000, Fast);
  EXPECT_FALSE(Traffic.Directory.status()[0].Straggler);
  EXPECT_GT(Traffic.Sent[0], 12000 / 10);
}

// Guards against a single slow reply after which a replica gets no more
// sub-requests.
TEST(Straggler, OneSlowReplyHasNoLastingEffect) {
  const Duration Fast[3] = {Milliseconds(5), Milliseconds(5), Milliseconds(5)};
  SimulatedTraffic Traffic;
  Traffic.runMany(300, Fast);
  Traffic.Directory.onSubRequestSent(Traffic.Names[1], Traffic.Now);
  Traffic.Now += Milliseconds(200);
  Traffic.Directory.onSubRequestEnded(Traffic.Names[1], Milliseconds(200),
                                      Traffic.Now);
  EXPECT_FALSE(Traffic.Directory.status()[1].Straggler);
  Traffic.Sent[1] = 0;
  Traffic.runMany(3000, Fast);
  EXPECT_GT(Traffic.Sent[1], 3000 / 10);
  EXPECT_EQ(Traffic.Probes, 0);
}

// Guards against uneven load because sub-requests in flight or in the owner's
// queue are left out of the expected latency.
TEST(ExpectedLatency, GrowsWithLoadAndOwnerQueue) {
  SimulatedTraffic Traffic;
  for (size_t I = 0; I < 300; ++I)
    Traffic.run(I % 3, Milliseconds(5));
  const BackendServerId &A = Traffic.Names[0];
  Duration Idle = Traffic.Directory.expectedLatency(A, Traffic.Now);
  EXPECT_EQ(Idle, Milliseconds(5));
  Traffic.Directory.onSubRequestSent(A, Traffic.Now);
  EXPECT_EQ(Traffic.Directory.expectedLatency(A, Traffic.Now), 2 * Idle);
  Traffic.Directory.onOwnerReport(A, 8, 4, Traffic.Now);
  EXPECT_EQ(Traffic.Directory.expectedLatency(A, Traffic.Now), 4 * Idle);
  EXPECT_EQ(Traffic.Directory.expectedLatency(A, Traffic.Now + Seconds(2)),
            2 * Idle);
  Traffic.Directory.onSubRequestEnded(A, std::nullopt, Traffic.Now);
  EXPECT_EQ(Traffic.Directory.expectedLatency(A, Traffic.Now + Seconds(2)),
            Idle);
}

} // namespace
} // namespace mimosa
