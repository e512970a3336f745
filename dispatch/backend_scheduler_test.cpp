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

/// A scheduler and a backend server that can restart, hang, shed, drain and
/// turn cold, with a network that loses connections with or without a word.
class World {
public:
  World(uint64_t Seed, const BackendSettings &Settings)
      : Rand(Seed), Settings(Settings),
        Scheduler(SchedulerId(1), Settings, Permission, Now) {
    Scheduler.start(Now, Out);
    take();
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
      take();
    }
    Now = End;
  }

  uint64_t submit(Duration Deadline,
                  SubRequestClass Class = SubRequestClass::Interactive) {
    SubRequest R;
    R.Key = {HostId("h1"), Incarnation(1), RequestId(++LastRequest)};
    R.Class = Class;
    R.Deadline = Now + Deadline;
    Open[LastRequest] = 0;
    Scheduler.submit(std::move(R), Now, Out);
    take();
    return LastRequest;
  }
  void cancel(uint64_t Id) {
    Scheduler.cancel({HostId("h1"), Incarnation(1), RequestId(Id)}, Now, Out);
    take();
  }

  void kill(bool Hangs, Duration Pause) {
    Up = false;
    Running.clear();
    for (auto &[Id, L] : Links)
      if (Hangs)
        L.Silent = true;
      else
        lose(Id);
    after(Pause, [this] {
      Up = true;
      ++Process;
      turnCold(/*Announced=*/true);
      ColdSinceStart = true;
    });
  }
  void turnCold(bool Announced) {
    // The owner cannot know of this before the next reply.
    ColdSinceStart = false;
    IsCold = true;
    SaysCold = Announced;
    Capacity = 1;
    warm(Process);
  }
  void silenceOne() {
    if (!Links.empty())
      std::next(Links.begin(), Rand.below(Links.size()))->second.Silent = true;
  }
  void lose(uint64_t Id) {
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
  bool SaysCold = false;
  bool ColdSinceStart = false;
  bool Drains = false;
  uint32_t Capacity = 6;
  double Slowness = 1;
  /// Sub-requests that run in the present process.
  std::set<uint64_t> Running;

  std::map<uint64_t, int> Open;
  std::vector<SubRequestReply> Replies;
  std::vector<MonotonicTime> ReplyTimes;
  std::map<uint64_t, uint64_t> SentKeys;
  uint64_t LastRequest = 0;
  int OverLimit = 0;
  int OverBears = 0;
  int OverCap = 0;
  int WithoutLease = 0;
  size_t MostConnections = 0;

private:
  struct Link {
    uint64_t Process = 0;
    bool Silent = false;
  };

  void warm(uint64_t Of) {
    after(Milliseconds(700), [this, Of] {
      if (Process != Of || !IsCold)
        return;
      IsCold = ++Capacity < Settings.Slots;
      SaysCold = SaysCold && IsCold;
      if (IsCold)
        warm(Of);
    });
  }
  Duration latency() { return Duration(100 + Rand.below(400)); }
  ReportedState state() const {
    if (Drains)
      return ReportedState::Draining;
    return SaysCold ? ReportedState::Cold : ReportedState::Serving;
  }
  uint32_t announced() const {
    return IsCold && !SaysCold ? Settings.Slots : Capacity;
  }
  /// Does \p What if the connection and its process still live.
  void onLink(uint64_t Id, const std::function<void()> &What) {
    after(latency(), [=] {
      auto L = Links.find(Id);
      if (L != Links.end() && !L->second.Silent && Up &&
          L->second.Process == Process)
        What();
    });
  }

  void take() {
    DispatchActions Now = std::move(Out);
    Out.clear();
    for (DispatchAction &A : Now)
      std::visit([this](auto &Action) { act(Action); }, A);
  }
  void act(OpenConnection &A) {
    uint64_t Id = A.Connection.number();
    Connections.insert(Id);
    MostConnections = std::max(MostConnections, Connections.size());
    OverCap += Connections.size() > Settings.Connections;
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
  void act(CloseConnection &A) {
    Links.erase(A.Connection.number());
    Connections.erase(A.Connection.number());
  }
  void act(SendSearch &A) {
    OverLimit += Scheduler.inHand() > Scheduler.limit();
    WithoutLease += !Permission.Allowed;
    ++SentKeys[A.Request.Key.Id.number()];
    uint64_t Link = A.Connection.number();
    uint64_t Id = A.Id.number();
    Duration RunLimit = A.RunLimit;
    onLink(Link, [=] { start(Link, Id, RunLimit); });
  }
  void start(uint64_t Link, uint64_t Id, Duration RunLimit) {
    OverBears += Running.size() >= (ColdSinceStart ? Capacity : Settings.Slots);
    if (Running.size() >= Capacity || Drains) {
      answer(Link, SearchReply::Kind::Refused);
      return;
    }
    Running.insert(Id);
    double Cold = IsCold ? 8 : 1;
    Duration Time(
        static_cast<int64_t>(Cold * Slowness * (2000 + Rand.below(4000))));
    uint64_t Of = Process;
    after(std::min(Time, RunLimit), [=] {
      if (Process == Of && Running.erase(Id) > 0)
        answer(Link, SearchReply::Kind::Answered);
    });
    LinkOf[Id] = Link;
  }
  void answer(uint64_t Link, SearchReply::Kind Kind) {
    SearchReply R;
    R.Type = Kind;
    R.BackendIncarnation = Incarnation(Process);
    R.State = state();
    R.Capacity = announced();
    if (Kind == SearchReply::Kind::Refused)
      R.Reason = Drains ? RefusalReason::Draining : RefusalReason::Shed;
    onLink(Link, [=] {
      Scheduler.searchReplied(ConnectionId(Link), R, this->Now, Out);
    });
  }
  void act(SendCancel &A) {
    uint64_t Link = A.Connection.number();
    uint64_t Id = A.Id.number();
    onLink(Link, [=] {
      if (Running.erase(Id) > 0)
        answer(LinkOf[Id], SearchReply::Kind::Malformed);
      onLink(Link, [=] {
        Scheduler.cancelReplied(ConnectionId(Link), this->Now, Out);
      });
    });
  }
  void act(PollStatus &A) {
    uint64_t Link = A.Connection.number();
    onLink(Link, [=] {
      StatusReport R;
      R.BackendIncarnation = Incarnation(Process);
      R.State = state();
      R.Capacity = announced();
      onLink(Link, [=] {
        Scheduler.statusReplied(ConnectionId(Link), R, this->Now, Out);
      });
    });
  }
  void act(SubRequestReply &A) {
    ++Open[A.Key.Id.number()];
    Replies.push_back(A);
    ReplyTimes.push_back(Now);
  }
  void act(SummaryChanged &) {}

  std::multimap<MonotonicTime, std::function<void()>> Events;
  std::map<uint64_t, Link> Links;
  std::set<uint64_t> Connections;
  std::map<uint64_t, uint64_t> LinkOf;
};

/// One random fault or change.
void disturb(World &W) {
  switch (W.Rand.below(9)) {
  case 0:
    if (W.Up)
      W.kill(W.Rand.below(2) == 0, Milliseconds(W.Rand.below(600)));
    return;
  case 1:
    return W.turnCold(W.Rand.below(2) == 0);
  case 2:
  case 3:
    return W.silenceOne();
  case 4:
    W.Drains = !W.Drains;
    // A search that outlasts its connection still holds a slot.
    W.Slowness = W.Rand.below(2) == 0 ? 1 : 60;
    return;
  case 5:
    W.Permission.Allowed = !W.Permission.Allowed;
    return;
  case 6:
    W.Settings.ZoneOut = !W.Settings.ZoneOut;
    W.Scheduler.configure(W.Settings, W.Now, W.Out);
    return;
  default:
    W.Drains = false;
    W.Permission.Allowed = true;
    W.Settings.ZoneOut = false;
    W.Scheduler.configure(W.Settings, W.Now, W.Out);
  }
}

// Guards against load above the limit or above what a cold backend server
// bears, connections above the cap, sends without the lease, sub-requests sent
// twice, and sub-requests without exactly one reply, under any order of events.
RC_GTEST_PROP(BackendScheduler, KeepsItsBoundsUnderFaults, ()) {
  const auto Seed = *rc::gen::inRange<uint32_t>(0, 1'000'000'000);
  World W(Seed, smallBackend());
  W.every(Milliseconds(1), [&] {
    for (uint64_t I = W.Rand.below(6); I > 0; --I)
      W.submit(Milliseconds(20 + W.Rand.below(200)),
               W.Rand.below(4) == 0 ? SubRequestClass::Batch
                                    : SubRequestClass::Interactive);
    if (W.Rand.below(3) == 0 && W.LastRequest > 100)
      W.cancel(W.LastRequest - W.Rand.below(100));
  });
  W.every(Milliseconds(150), [&] { disturb(W); });
  W.run(Seconds(8));
  RC_ASSERT(W.OverLimit == 0);
  RC_ASSERT(W.OverBears == 0);
  RC_ASSERT(W.OverCap == 0);
  RC_ASSERT(W.WithoutLease == 0);
  W.Scheduler.stop(W.Out);
  W.run(Seconds(2));
  RC_ASSERT(W.Scheduler.isStopped());
  for (auto [Id, Count] : W.Open)
    RC_ASSERT(Count == 1);
  for (auto [Id, Count] : W.SentKeys)
    RC_ASSERT(Count == 1U);
}

// Guards against a backend server that turns cold under full load and keeps its
// old limit: announced, by its behaviour alone, and by a restart.
TEST(BackendScheduler, ColdAgainUnderFullLoadLowersTheLimitAndRampsUp) {
  for (int Way = 0; Way < 3; ++Way) {
    World W(20261204, smallBackend());
    W.every(Milliseconds(1), [&] {
      W.submit(Milliseconds(100));
      W.submit(Milliseconds(100));
    });
    W.run(Seconds(3));
    ASSERT_EQ(W.Scheduler.limit(), 6U);
    if (Way == 2)
      W.kill(/*Hangs=*/true, Milliseconds(100));
    else
      W.turnCold(/*Announced=*/Way == 0);
    uint32_t Lowest = 6;
    W.every(Milliseconds(1),
            [&] { Lowest = std::min(Lowest, W.Scheduler.limit()); });
    W.run(Milliseconds(500));
    EXPECT_LE(Lowest, 1U) << Way;
    W.run(Seconds(12));
    EXPECT_EQ(W.Scheduler.limit(), 6U) << Way;
    EXPECT_EQ(W.OverLimit, 0) << Way;
  }
}

// Guards against goodput that collapses under overload, refusals that come late
// and batch that starves: 3 times the slots, 6 slots at 4 ms on average.
TEST(BackendScheduler, OverloadKeepsGoodputAndRefusesEarly) {
  World W(20261204, smallBackend());
  uint64_t Batch = 0;
  std::map<uint64_t, MonotonicTime> Submitted;
  W.every(Duration(2000), [&] {
    for (int I = 0; I < 9; ++I)
      Submitted[W.submit(Milliseconds(100))] = W.Now;
    if (W.LastRequest % 4 == 0)
      W.submit(Milliseconds(1000), SubRequestClass::Batch);
  });
  W.run(Seconds(2));
  uint64_t Before = W.Scheduler.counters().Answered;
  size_t FirstReply = W.Replies.size();
  W.run(Seconds(10));
  // 6 slots serve 1,500 a second less the way there and back (0.6 ms of 4.6).
  EXPECT_GE(W.Scheduler.counters().Answered - Before, 13'043U * 9 / 10);
  EXPECT_LE(W.Scheduler.counters().Lost * 100, W.Scheduler.counters().Sent);
  for (size_t I = FirstReply; I < W.Replies.size(); ++I)
    Batch += W.Replies[I].Outcome == DispatchOutcome::Answered &&
             Submitted.count(W.Replies[I].Key.Id.number()) == 0;
  size_t Refused = 0;
  size_t Late = 0;
  for (size_t I = FirstReply; I < W.Replies.size(); ++I) {
    auto Sent = Submitted.find(W.Replies[I].Key.Id.number());
    if (W.Replies[I].Outcome != DispatchOutcome::NotRun ||
        Sent == Submitted.end())
      continue;
    ++Refused;
    Late += W.ReplyTimes[I] - Sent->second > Milliseconds(10);
  }
  EXPECT_GT(Refused, 20'000U);
  EXPECT_EQ(Late, 0U);
  EXPECT_GE(Batch, 13'043U * 5 / 100 * 9 / 10);
}

// Guards against silent connections that keep slots or sub-requests for long.
TEST(BackendScheduler, SilentConnectionIsRetiredAndReplaced) {
  World W(20261204, smallBackend());
  W.every(Milliseconds(1), [&] { W.submit(Milliseconds(300)); });
  W.run(Seconds(3));
  for (int I = 0; I < 3; ++I)
    W.silenceOne();
  W.run(Milliseconds(100));
  EXPECT_GE(W.Scheduler.counters().RetiredConnections, 1U);
  EXPECT_EQ(W.Scheduler.counters().Resets, 0U);
  W.run(Seconds(2));
  EXPECT_EQ(W.Scheduler.limit(), 6U);
  EXPECT_EQ(W.Scheduler.inHand() <= 6U, true);
  EXPECT_LE(W.MostConnections, 12U);
  EXPECT_LE(W.Scheduler.counters().Lost, 3U);
}

} // namespace
} // namespace mimosa
