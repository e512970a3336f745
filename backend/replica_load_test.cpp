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

// Guards against a hedge delay that is far off the percentile, or that still
// holds latencies of before the window.
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

// Guards against hedges below 1 ms, a delay of 0 after a pause, and a
// recomputation for each sub-request.
TEST(LatencyWindow, FloorCacheAndPause) {
  LatencyWindow Window;
  EXPECT_EQ(Window.hedgeDelay(Start), Milliseconds(20));
  for (int I = 0; I < 100; ++I)
    Window.record(Duration(80), Start);
  EXPECT_EQ(Window.hedgeDelay(Start + Milliseconds(99)), Milliseconds(20));
  EXPECT_EQ(Window.hedgeDelay(Start + Milliseconds(100)), Milliseconds(1));
  EXPECT_EQ(Window.hedgeDelay(Start + Seconds(3600)), Milliseconds(1));
}

// Guards against extra load above 5% (10% under faults) in any order of events.
RC_GTEST_PROP(ExtraBudget, ExtrasStayWithinTheShare, (bool Fault)) {
  const ExtraBudgetOptions Options;
  ExtraBudget Budget;
  if (Fault)
    Budget.noteFault(Start);
  double Share = Fault ? Options.FaultShare : Options.SteadyShare;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  uint64_t First = 0;
  uint64_t Extras = 0;
  for (int Step : Steps) {
    for (int I = 0; I < Step; ++I, ++First)
      Budget.onSubRequestSent(Start);
    auto Kind = Step % 2 ? ExtraLoad::Hedge : ExtraLoad::Probe;
    while (Budget.take(Kind)) {
      ++Extras;
      Budget.onSubRequestSent(Start);
    }
    RC_ASSERT(static_cast<double>(Extras) <=
              Share * static_cast<double>(First) + Options.InitialTokens);
  }
}

// Guards against hedges that leave nothing for the retries of lost replicas,
// and against a fault that is only seen by retries.
TEST(ExtraBudget, RetriesHaveAReserveAndShowFaults) {
  ExtraBudget Budget;
  while (Budget.take(ExtraLoad::Hedge)) {
  }
  EXPECT_FALSE(Budget.take(ExtraLoad::Probe));
  EXPECT_FALSE(Budget.faulty(Start));
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(Budget.take(ExtraLoad::Retry), I < 4);
  EXPECT_TRUE(Budget.faulty(Start));
  for (int I = 0; I < 2000; ++I)
    Budget.onSubRequestSent(Start);
  EXPECT_FALSE(Budget.faulty(Start));
}

/// Sub-requests to three replicas, chosen by power of two choices and hedged,
/// with a given latency for each replica.
struct Traffic {
  Traffic() : Source(7) {
    std::vector<ConfiguredBackendServer> Listed;
    for (const BackendServerId &Name : Names)
      Listed.push_back({Name, {}});
    All.setBackendServers(Listed, Now);
    All.setOwners({HostId("h")}, Now);
    for (const BackendServerId &Name : Names) {
      BackendSummary S;
      S.Backend = Name;
      S.Owner = HostId("h");
      S.State = BackendState::Serving;
      S.Limit = 4;
      S.Snapshots.push_back({SnapshotId("v"), 0, 1, packShards({0})});
      All.onSummary(S, Now);
    }
  }

  size_t choose() {
    size_t A = Source.below(3);
    size_t B = (A + 1 + Source.below(2)) % 3;
    return All.expectedLatency(Names[A], Now) <=
                   All.expectedLatency(Names[B], Now)
               ? A
               : B;
  }

  /// One sub-request; if it takes longer than the hedge delay it is cancelled
  /// then, as when its hedge answers.
  void run(size_t Replica, Duration Latency) {
    All.onSubRequestSent(Names[Replica], Now);
    ++Sent[Replica];
    Duration Delay = All.hedgeDelay(Now);
    bool Cancelled = Latency > Delay + Milliseconds(4);
    Now += Cancelled ? Delay + Milliseconds(4) : Latency;
    All.onSubRequestEnded(
        Names[Replica],
        Cancelled ? std::nullopt : std::optional<Duration>(Latency), Now);
  }

  void runMany(int Count, const Duration (&Latencies)[3]) {
    for (int I = 0; I < Count; ++I) {
      size_t Replica = choose();
      // Without jitter equal averages would never change places.
      Duration Jitter(Source.below(1000));
      run(Replica, Latencies[Replica] + Jitter);
      auto Probe = All.takeProbe(SnapshotId("v"), ShardId(0), Now);
      if (!Probe)
        continue;
      ++Probes;
      All.onSubRequestSent(*Probe, Now);
      Duration Latency = Latencies[Probe->text()[0] - 'a'];
      All.onSubRequestEnded(*Probe, Latency, Now + Latency);
    }
  }

  const BackendServerId Names[3] = {BackendServerId("a"), BackendServerId("b"),
                                    BackendServerId("c")};
  SeededRandom Source;
  MonotonicTime Now = Start;
  BackendDirectory All;
  int Sent[3] = {};
  int Probes = 0;
};

// Guards against a replica that is slow for good but keeps getting queries
// because its slow sub-requests are always cancelled by their hedges, against
// probes that are frequent, and against never using it again.
TEST(Straggler, IsAvoidedProbedRarelyAndTakenBack) {
  const Duration Slow[3] = {Milliseconds(100), Milliseconds(5),
                            Milliseconds(5)};
  const Duration Fast[3] = {Milliseconds(5), Milliseconds(5), Milliseconds(5)};
  Traffic Load;
  Load.runMany(12000, Slow);
  EXPECT_TRUE(Load.All.status()[0].Straggler);
  EXPECT_LT(Load.Sent[0], 12000 / 100);
  EXPECT_GT(Load.Probes, 5);
  EXPECT_LE(Load.Probes, inSeconds(Load.Now - Start) / 5 + 1);
  EXPECT_EQ(Load.All.counters().ProbesTaken, uint64_t(Load.Probes));
  Load.Sent[0] = 0;
  Load.runMany(12000, Fast);
  EXPECT_FALSE(Load.All.status()[0].Straggler);
  EXPECT_GT(Load.Sent[0], 12000 / 10);
}

// Guards against a single slow reply after which a replica gets no more
// sub-requests.
TEST(Straggler, OneSlowReplyIsForgotten) {
  const Duration Fast[3] = {Milliseconds(5), Milliseconds(5), Milliseconds(5)};
  Traffic Load;
  Load.runMany(300, Fast);
  Load.All.onSubRequestSent(Load.Names[1], Load.Now);
  Load.Now += Milliseconds(200);
  Load.All.onSubRequestEnded(Load.Names[1], Milliseconds(200), Load.Now);
  EXPECT_FALSE(Load.All.status()[1].Straggler);
  Load.Sent[1] = 0;
  Load.runMany(3000, Fast);
  EXPECT_GT(Load.Sent[1], 3000 / 10);
  EXPECT_EQ(Load.Probes, 0);
}

// Guards against load that is not spread because waiting work is not counted.
TEST(ExpectedLatency, GrowsWithLoadAndOwnerQueue) {
  Traffic Load;
  for (size_t I = 0; I < 300; ++I)
    Load.run(I % 3, Milliseconds(5));
  const BackendServerId &A = Load.Names[0];
  Duration Idle = Load.All.expectedLatency(A, Load.Now);
  EXPECT_EQ(Idle, Milliseconds(5));
  Load.All.onSubRequestSent(A, Load.Now);
  EXPECT_EQ(Load.All.expectedLatency(A, Load.Now), 2 * Idle);
  Load.All.onOwnerReport(A, 8, 4, Load.Now);
  EXPECT_EQ(Load.All.expectedLatency(A, Load.Now), 4 * Idle);
  EXPECT_EQ(Load.All.expectedLatency(A, Load.Now + Seconds(2)), 2 * Idle);
  Load.All.onSubRequestEnded(A, std::nullopt, Load.Now);
  EXPECT_EQ(Load.All.expectedLatency(A, Load.Now + Seconds(2)), Idle);
}

} // namespace
} // namespace mimosa
