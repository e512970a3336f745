#include "base/random.h"
#include "dispatch/dispatcher.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

struct FakePermission : DispatchPermission {
  bool mayDispatch(Partition, MonotonicTime) const override { return Allowed; }
  bool Allowed = true;
};

BackendSettings smallBackend() {
  BackendSettings S;
  S.Backend = BackendServerId("storm-1");
  S.Slots = 6;
  S.Connections = 12;
  S.ColdLimit = 1;
  return S;
}

/// A scheduler and a simulated backend server that can restart, hang, shed,
/// drain and turn cold. Its network loses connections with or without a reset.
class Simulation {
public:
  Simulation(uint64_t Seed, const BackendSettings &Settings)
      : Rand(Seed), Settings(Settings),
        Scheduler(SchedulerId(1), Settings, Permission, Now) {
    Scheduler.start(Now, Out);
    performActions();
    every(TickInterval, [this] { Scheduler.tick(Now, Out); });
  }

  void after(Duration Delay, std::function<void()> Event) {
    Events.emplace(Now + Delay, std::move(Event));
  }
  void every(Duration Interval, const std::function<void()> &Event) {
    after(Interval, [=] {
      Event();
      every(Interval, Event);
    });
  }
  void run(Duration Time) {
    MonotonicTime End = Now + Time;
    while (!Events.empty() && Events.begin()->first <= End) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
      performActions();
    }
    Now = End;
  }

  uint64_t submit(Duration Deadline,
                  SubRequestClass Class = SubRequestClass::Interactive) {
    SubRequest R;
    R.Key = {HostId("h1"), Incarnation(1), RequestId(++LastRequest)};
    R.Class = Class;
    R.Deadline = Now + Deadline;
    ReplyCounts[LastRequest] = 0;
    Scheduler.submit(std::move(R), Now, Out);
    performActions();
    return LastRequest;
  }
  void cancel(uint64_t Id) {
    Scheduler.cancel({HostId("h1"), Incarnation(1), RequestId(Id)}, Now, Out);
    performActions();
  }

  void kill(bool Hangs, Duration Pause) {
    Up = false;
    Running.clear();
    for (auto &[Id, L] : Links)
      if (Hangs)
        L.Silent = true;
      else
        loseLink(Id);
    after(Pause, [this] {
      Up = true;
      ++Process;
      turnCold(/*Announced=*/true);
      ColdSinceStart = true;
    });
  }
  void turnCold(bool Announced) {
    // The owner learns of this only from the next reply, so its dispatches
    // until then are not checked against the capacity.
    ColdSinceStart = false;
    IsCold = true;
    AnnouncesCold = Announced;
    Capacity = 1;
    warmUp(Process);
  }
  void silenceOneLink() {
    if (!Links.empty())
      std::next(Links.begin(), Rand.below(Links.size()))->second.Silent = true;
  }
  void loseLink(uint64_t Id) {
    after(Milliseconds(1), [this, Id] {
      Links.erase(Id);
      Connections.erase(Id);
      Scheduler.connectionLost(ConnectionId(Id), Now, Out);
    });
  }

  SeededRandom Rand;
  MonotonicTime Now;
  BackendSettings Settings;
  FakePermission Permission;
  BackendScheduler Scheduler;
  DispatchActions Out;

  bool Up = true;
  uint64_t Process = 1;
  bool IsCold = false;
  bool AnnouncesCold = false;
  bool ColdSinceStart = false;
  bool Draining = false;
  uint32_t Capacity = 6;
  double SlowdownFactor = 1;
  /// Sub-requests that run in the current process.
  std::set<uint64_t> Running;

  std::map<uint64_t, int> ReplyCounts;
  std::vector<SubRequestResult> Replies;
  std::vector<MonotonicTime> ReplyTimes;
  std::map<uint64_t, uint64_t> SentKeys;
  uint64_t LastRequest = 0;
  int OverLimit = 0;
  int OverCapacity = 0;
  int OverConnectionCap = 0;
  int WithoutPermission = 0;
  size_t MostConnections = 0;

private:
  struct Link {
    uint64_t Process = 0;
    bool Silent = false;
  };

  void warmUp(uint64_t StartedIn) {
    after(Milliseconds(700), [this, StartedIn] {
      if (Process != StartedIn || !IsCold)
        return;
      IsCold = ++Capacity < Settings.Slots;
      AnnouncesCold = AnnouncesCold && IsCold;
      if (IsCold)
        warmUp(StartedIn);
    });
  }
  Duration latency() { return Duration(100 + Rand.below(400)); }
  ReportedState state() const {
    if (Draining)
      return ReportedState::Draining;
    return AnnouncesCold ? ReportedState::Cold : ReportedState::Serving;
  }
  uint32_t reportedCapacity() const {
    return IsCold && !AnnouncesCold ? Settings.Slots : Capacity;
  }
  /// Performs \p Event after the network latency if the connection and its
  /// process still exist.
  void onLink(uint64_t Id, const std::function<void()> &Event) {
    after(latency(), [=] {
      auto L = Links.find(Id);
      if (L != Links.end() && !L->second.Silent && Up &&
          L->second.Process == Process)
        Event();
    });
  }

  void performActions() {
    DispatchActions Now = std::move(Out);
    Out.clear();
    for (DispatchAction &A : Now)
      std::visit([this](auto &Action) { perform(Action); }, A);
  }
  void perform(OpenConnection &A) {
    uint64_t Id = A.Connection.number();
    Connections.insert(Id);
    MostConnections = std::max(MostConnections, Connections.size());
    OverConnectionCap += Connections.size() > Settings.Connections;
    after(Milliseconds(1 + Rand.below(6)), [=] {
      if (Connections.count(Id) == 0)
        return;
      if (Up) {
        Links[Id] = {Process, false};
        Scheduler.connectionOpened(ConnectionId(Id), this->Now, Out);
        return;
      }
      Connections.erase(Id);
      Scheduler.connectionLost(ConnectionId(Id), this->Now, Out);
    });
  }
  void perform(CloseConnection &A) {
    Links.erase(A.Connection.number());
    Connections.erase(A.Connection.number());
  }
  void perform(SendSearch &A) {
    OverLimit += Scheduler.inFlight() > Scheduler.limit();
    WithoutPermission += !Permission.Allowed;
    ++SentKeys[A.Request.Key.Id.number()];
    uint64_t Link = A.Connection.number();
    uint64_t Id = A.Id.number();
    Duration RunLimit = A.RunLimit;
    onLink(Link, [=] { start(Link, Id, RunLimit); });
  }
  void start(uint64_t Link, uint64_t Id, Duration RunLimit) {
    OverCapacity +=
        Running.size() >= (ColdSinceStart ? Capacity : Settings.Slots);
    if (Running.size() >= Capacity || Draining) {
      reply(Link, SearchReply::Kind::Refused);
      return;
    }
    Running.insert(Id);
    double Cold = IsCold ? 8 : 1;
    Duration Time(static_cast<int64_t>(Cold * SlowdownFactor *
                                       (2000 + Rand.below(4000))));
    uint64_t StartedIn = Process;
    after(std::min(Time, RunLimit), [=] {
      if (Process == StartedIn && Running.erase(Id) > 0)
        reply(Link, SearchReply::Kind::Answered);
    });
    LinkOfDispatch[Id] = Link;
  }
  void reply(uint64_t Link, SearchReply::Kind Kind) {
    SearchReply R;
    R.Type = Kind;
    R.BackendIncarnation = Incarnation(Process);
    R.State = state();
    R.Capacity = reportedCapacity();
    if (Kind == SearchReply::Kind::Refused)
      R.Reason = Draining ? RefusalReason::Draining : RefusalReason::Shed;
    onLink(Link, [=] {
      Scheduler.searchReplied(ConnectionId(Link), R, this->Now, Out);
    });
  }
  void perform(SendCancel &A) {
    uint64_t Link = A.Connection.number();
    uint64_t Id = A.Id.number();
    onLink(Link, [=] {
      if (Running.erase(Id) > 0)
        reply(LinkOfDispatch[Id], SearchReply::Kind::Malformed);
      onLink(Link, [=] {
        Scheduler.cancelReplied(ConnectionId(Link), this->Now, Out);
      });
    });
  }
  void perform(PollStatus &A) {
    uint64_t Link = A.Connection.number();
    onLink(Link, [=] {
      StatusReport R;
      R.BackendIncarnation = Incarnation(Process);
      R.State = state();
      R.Capacity = reportedCapacity();
      onLink(Link, [=] {
        Scheduler.statusReplied(ConnectionId(Link), R, this->Now, Out);
      });
    });
  }
  void perform(SubRequestResult &A) {
    ++ReplyCounts[A.Key.Id.number()];
    Replies.push_back(A);
    ReplyTimes.push_back(Now);
  }
  void perform(SummaryChanged &) {}

  std::multimap<MonotonicTime, std::function<void()>> Events;
  std::map<uint64_t, Link> Links;
  std::set<uint64_t> Connections;
  std::map<uint64_t, uint64_t> LinkOfDispatch;
};

/// One random fault or change.
void injectFault(Simulation &Sim) {
  switch (Sim.Rand.below(9)) {
  case 0:
    if (Sim.Up)
      Sim.kill(Sim.Rand.below(2) == 0, Milliseconds(Sim.Rand.below(600)));
    return;
  case 1:
    return Sim.turnCold(Sim.Rand.below(2) == 0);
  case 2:
  case 3:
    return Sim.silenceOneLink();
  case 4:
    Sim.Draining = !Sim.Draining;
    // With a slow backend server searches outlast lost connections and must
    // keep their slots.
    Sim.SlowdownFactor = Sim.Rand.below(2) == 0 ? 1 : 60;
    return;
  case 5:
    Sim.Permission.Allowed = !Sim.Permission.Allowed;
    return;
  case 6:
    Sim.Settings.ZoneOut = !Sim.Settings.ZoneOut;
    Sim.Scheduler.configure(Sim.Settings, Sim.Now, Sim.Out);
    return;
  default:
    Sim.Draining = false;
    Sim.Permission.Allowed = true;
    Sim.Settings.ZoneOut = false;
    Sim.Scheduler.configure(Sim.Settings, Sim.Now, Sim.Out);
  }
}

// Guards against load above the limit or above the capacity of a cold backend
// server, connections above the cap, dispatches without the lease, sub-requests
// sent twice, and sub-requests without exactly one reply, under any order of
// events.
RC_GTEST_PROP(BackendScheduler, StaysWithinItsLimitsUnderFaults, ()) {
  const auto Seed = *rc::gen::inRange<uint32_t>(0, 1'000'000'000);
  Simulation Sim(Seed, smallBackend());
  Sim.every(Milliseconds(1), [&] {
    for (uint64_t I = Sim.Rand.below(6); I > 0; --I)
      Sim.submit(Milliseconds(20 + Sim.Rand.below(200)),
                 Sim.Rand.below(4) == 0 ? SubRequestClass::Batch
                                        : SubRequestClass::Interactive);
    if (Sim.Rand.below(3) == 0 && Sim.LastRequest > 100)
      Sim.cancel(Sim.LastRequest - Sim.Rand.below(100));
  });
  Sim.every(Milliseconds(150), [&] { injectFault(Sim); });
  Sim.run(Seconds(8));
  RC_ASSERT(Sim.OverLimit == 0);
  RC_ASSERT(Sim.OverCapacity == 0);
  RC_ASSERT(Sim.OverConnectionCap == 0);
  RC_ASSERT(Sim.WithoutPermission == 0);
  Sim.Scheduler.stop(Sim.Out);
  Sim.run(Seconds(2));
  RC_ASSERT(Sim.Scheduler.isStopped());
  for (auto [Id, Count] : Sim.ReplyCounts)
    RC_ASSERT(Count == 1);
  for (auto [Id, Count] : Sim.SentKeys)
    RC_ASSERT(Count == 1U);
}

// Guards against a backend server that turns cold under full load and keeps its
// old limit. It turns cold with a report, without one, or by a restart.
TEST(BackendScheduler, ColdAgainUnderFullLoadLowersTheLimitAndRampsUp) {
  for (int Cause = 0; Cause < 3; ++Cause) {
    Simulation Sim(20261204, smallBackend());
    Sim.every(Milliseconds(1), [&] {
      Sim.submit(Milliseconds(100));
      Sim.submit(Milliseconds(100));
    });
    Sim.run(Seconds(3));
    ASSERT_EQ(Sim.Scheduler.limit(), 6U);
    if (Cause == 2)
      Sim.kill(/*Hangs=*/true, Milliseconds(100));
    else
      Sim.turnCold(/*Announced=*/Cause == 0);
    uint32_t Lowest = 6;
    Sim.every(Milliseconds(1),
              [&] { Lowest = std::min(Lowest, Sim.Scheduler.limit()); });
    Sim.run(Milliseconds(500));
    EXPECT_LE(Lowest, 1U) << Cause;
    Sim.run(Seconds(12));
    EXPECT_EQ(Sim.Scheduler.limit(), 6U) << Cause;
    EXPECT_EQ(Sim.OverLimit, 0) << Cause;
  }
}

// Guards against goodput that collapses under overload, late refusals and
// starvation of batch. The load is 3 times what 6 slots serve at 4 ms on
// average.
TEST(BackendScheduler, OverloadKeepsGoodputAndRefusesEarly) {
  Simulation Sim(20261204, smallBackend());
  uint64_t Batch = 0;
  std::map<uint64_t, MonotonicTime> Submitted;
  Sim.every(Duration(2000), [&] {
    for (int I = 0; I < 9; ++I)
      Submitted[Sim.submit(Milliseconds(100))] = Sim.Now;
    if (Sim.LastRequest % 4 == 0)
      Sim.submit(Milliseconds(1000), SubRequestClass::Batch);
  });
  Sim.run(Seconds(2));
  uint64_t Before = Sim.Scheduler.counters().Answered;
  size_t FirstReply = Sim.Replies.size();
  Sim.run(Seconds(10));
  // 6 slots serve 1,500 a second, less the network latency of 0.6 ms in 4.6 ms.
  EXPECT_GE(Sim.Scheduler.counters().Answered - Before, 13'043U * 9 / 10);
  EXPECT_LE(Sim.Scheduler.counters().Lost * 100, Sim.Scheduler.counters().Sent);
  for (size_t I = FirstReply; I < Sim.Replies.size(); ++I)
    Batch += Sim.Replies[I].Outcome == DispatchOutcome::Answered &&
             Submitted.count(Sim.Replies[I].Key.Id.number()) == 0;
  size_t Refused = 0;
  size_t Late = 0;
  for (size_t I = FirstReply; I < Sim.Replies.size(); ++I) {
    auto Sent = Submitted.find(Sim.Replies[I].Key.Id.number());
    if (Sim.Replies[I].Outcome != DispatchOutcome::NotRun ||
        Sent == Submitted.end())
      continue;
    ++Refused;
    Late += Sim.ReplyTimes[I] - Sent->second > Milliseconds(10);
  }
  EXPECT_GT(Refused, 20'000U);
  EXPECT_EQ(Late, 0U);
  EXPECT_GE(Batch, 13'043U * 5 / 100 * 9 / 10);
}

// Guards against silent connections that hold slots or delay sub-requests for
// long.
TEST(BackendScheduler, SilentConnectionIsRetiredAndReplaced) {
  Simulation Sim(20261204, smallBackend());
  Sim.every(Milliseconds(1), [&] { Sim.submit(Milliseconds(300)); });
  Sim.run(Seconds(3));
  for (int I = 0; I < 3; ++I)
    Sim.silenceOneLink();
  Sim.run(Milliseconds(100));
  EXPECT_GE(Sim.Scheduler.counters().RetiredConnections, 1U);
  EXPECT_EQ(Sim.Scheduler.counters().Resets, 0U);
  Sim.run(Seconds(2));
  EXPECT_EQ(Sim.Scheduler.limit(), 6U);
  EXPECT_EQ(Sim.Scheduler.inFlight() <= 6U, true);
  EXPECT_LE(Sim.MostConnections, 12U);
  EXPECT_LE(Sim.Scheduler.counters().Lost, 3U);
}

} // namespace
} // namespace mimosa
