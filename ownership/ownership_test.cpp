#include "base/rendezvous.h"
#include "ownership/ownership.h"

#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

constexpr int Hosts = 7;
constexpr uint32_t Partitions = 4;
constexpr Duration RunLimit = Milliseconds(1000);

/// Faults of the network, none by default, and the size of the voter set.
struct NetworkFaults {
  /// Of 1000 messages, how many are lost and how many arrive up to 2 s late.
  uint64_t LostPerMille = 0;
  uint64_t LatePerMille = 0;
  /// With few voters, two majorities often share only one of them.
  size_t VoterCount = 5;
};

/// The hosts of one service, each with its own view of the members and its own
/// running sub-requests, on a simulated network and store.
class Cluster {
public:
  Cluster(uint64_t Seed, NetworkFaults Faults)
      : Rand(Seed), Network(Faults), All(Hosts) {
    for (int I = 0; I < Hosts; ++I)
      boot(I);
    every(Milliseconds(1), [this] { checkOwners(); });
    every(OwnershipTick, [this] {
      for (int I = 0; I < Hosts; ++I)
        if (runs(I))
          with(I, [this](Ownership &O) { O.tick(Now, Out); });
    });
  }

  static HostId name(int I) { return HostId("10.0.0." + std::to_string(I)); }

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
    while (Events.begin()->first <= End) {
      auto Next = Events.extract(Events.begin());
      Now = Next.key();
      Next.mapped()();
    }
    Now = End;
  }

  int ownerOf(uint32_t P) const {
    for (int I = 0; I < Hosts; ++I)
      if (runs(I) && All[I].O->mayDispatch(Partition(P), Now))
        return I;
    return -1;
  }
  bool allOwned() const {
    for (uint32_t P = 0; P < Partitions; ++P)
      if (ownerOf(P) < 0)
        return false;
    return true;
  }
  const Ownership &at(int I) const { return *All[I].O; }

  void boot(int I) {
    Host &H = All[I];
    ++H.StartCount;
    H.Up = true;
    H.PausedUntil = Now;
    H.Rand = std::make_unique<SeededRandom>(Rand.next());
    OwnershipOptions Options;
    Options.Service = ServiceId("storm");
    Options.Self = name(I);
    Options.SelfIncarnation = Incarnation(H.StartCount);
    H.O = std::make_unique<Ownership>(Options, *H.Rand, Now);
    for (int Other = 0; Other < Hosts; ++Other) {
      // Each host detects the start at another time.
      if (Other != I)
        after(Duration(Rand.below(800'000)), [=] { updateView(Other, I); });
      if (All[Other].Up)
        H.O->addAliveHost(name(Other), Now);
    }
    updatePlacement(I);
  }
  void crash(int I) {
    All[I].Up = false;
    for (int Other = 0; Other < Hosts; ++Other)
      after(Duration(500'000 + Rand.below(2'500'000)),
            [=] { updateView(Other, I); });
  }
  void pause(int I, Duration Time) {
    All[I].PausedUntil = Now + Time;
    int StartCount = All[I].StartCount;
    after(Time, [=] {
      if (!All[I].Up || All[I].StartCount != StartCount)
        return;
      with(I, [this](Ownership &O) { O.onPause(Now, Out); });
      auto Waiting = std::move(All[I].Inbox);
      All[I].Inbox.clear();
      for (auto &Message : Waiting)
        with(I, Message);
    });
  }
  void leave(int I) {
    All[I].Leaving = true;
    for (int Other = 0; Other < Hosts; ++Other)
      updateView(Other, I);
    with(I, [this](Ownership &O) { O.leave(Now, Out); });
  }
  /// Isolates host \p I from the other hosts, but not from the store.
  void setIsolated(int I, bool Isolated) { All[I].IsIsolated = Isolated; }

  SeededRandom Rand;
  NetworkFaults Network;
  MonotonicTime Now;
  bool StoreDown = false;
  bool StoreLosesReplies = false;
  int StoreWrites = 0;
  std::optional<VoterSet> Stored;
  uint64_t StoreVersion = 0;
  std::map<uint32_t, MonotonicTime> LastStart;
  /// Checks that found two owners, and checks in which a host could send while
  /// sub-requests of another host ran.
  int TwoOwners = 0;
  int Overlaps = 0;

private:
  struct Host {
    std::unique_ptr<SeededRandom> Rand;
    std::unique_ptr<Ownership> O;
    int StartCount = 0;
    bool Up = false;
    bool Leaving = false;
    bool IsIsolated = false;
    MonotonicTime PausedUntil;
    std::vector<std::function<void(Ownership &)>> Inbox;
    std::map<uint32_t, MonotonicTime> RunsUntil;
  };

  bool runs(int I) const { return All[I].Up && Now >= All[I].PausedUntil; }

  /// Updates the view of host \p Viewer with the state of host \p I.
  void updateView(int Viewer, int I) {
    if (!All[Viewer].Up)
      return;
    if (All[I].Up && !All[I].Leaving)
      All[Viewer].O->addAliveHost(name(I), Now);
    else
      All[Viewer].O->removeAliveHost(name(I));
    All[Viewer].Up = true;
    updatePlacement(Viewer);
  }
  void updatePlacement(int I) {
    std::vector<HostId> Live;
    for (int Other = 0; Other < Hosts; ++Other)
      if (All[Other].Up && !All[Other].Leaving)
        Live.push_back(name(Other));
    std::vector<PreferredOwner> Choices;
    for (uint32_t P = 0; P < Partitions; ++P) {
      std::string Key = "storm/" + std::to_string(P);
      auto Best = std::max_element(Live.begin(), Live.end(),
                                   [&](const HostId &A, const HostId &B) {
                                     return rendezvousWeight(Key, A.text()) <
                                            rendezvousWeight(Key, B.text());
                                   });
      Choices.push_back({Partition(P), *Best});
    }
    with(I, [&](Ownership &O) {
      O.setHostSet(Live);
      O.setPartitions(Choices, Now, Out);
      Live.resize(std::min(Live.size(), Network.VoterCount));
      O.setVoterCandidates(Live, Now);
    });
  }

  void with(int I, const std::function<void(Ownership &)> &Call) {
    Out.clear();
    Call(*All[I].O);
    OwnershipActions Actions = std::move(Out);
    Out.clear();
    for (OwnershipAction &A : Actions)
      std::visit([&](auto &Action) { act(I, Action); }, A);
  }

  template <typename T>
  void send(int From, const HostId &To, const T &Message,
            void (Ownership::*Handler)(const T &, MonotonicTime,
                                       OwnershipActions &)) {
    int Target = std::stoi(To.text().substr(7));
    if (Rand.below(1000) < Network.LostPerMille)
      return;
    Duration Delay(200 + Rand.below(800));
    if (Rand.below(1000) < Network.LatePerMille)
      Delay += Duration(Rand.below(2'000'000));
    std::string Body = packBody(Message);
    auto Deliver = [=](Ownership &O) {
      Result<T> Read = unpackBody<T>(Body);
      ASSERT_TRUE(ok(Read));
      (O.*Handler)(valueOf(Read), Now, Out);
    };
    after(Delay, [=] {
      Host &H = All[Target];
      if (!H.Up || H.IsIsolated || All[From].IsIsolated)
        return;
      if (Now < H.PausedUntil)
        H.Inbox.emplace_back(Deliver);
      else
        with(Target, Deliver);
    });
  }
  void act(int I, SendVoteRequest &A) {
    send(I, A.To, A.Message, &Ownership::onVoteRequest);
  }
  void act(int I, SendVoteReply &A) {
    send(I, A.To, A.Message, &Ownership::onVoteReply);
  }
  void act(int I, SendOwnershipRelease &A) {
    send(I, A.To, A.Message, &Ownership::onRelease);
  }

  void replyFromStore(int I, const std::function<void(Ownership &)> &Reply) {
    int StartCount = All[I].StartCount;
    bool Fails = StoreDown || StoreLosesReplies;
    after(Milliseconds(Fails ? 50 : 3), [=] {
      if (All[I].Up && All[I].StartCount == StartCount)
        with(I,
             [&](Ownership &O) { Fails ? O.onStoreFailure(Now) : Reply(O); });
    });
  }
  void act(int I, ReadVoterSet &) {
    auto Value = Stored;
    uint64_t Version = StoreVersion;
    replyFromStore(
        I, [=](Ownership &O) { O.onVoterSetRead(Value, Version, Now); });
  }
  void act(int I, WriteVoterSet &A) {
    bool Matches = !StoreDown && A.ExpectedVersion == StoreVersion;
    if (Matches) {
      Stored = A.Voters;
      ++StoreVersion;
      ++StoreWrites;
    }
    uint64_t Version = StoreVersion;
    replyFromStore(I, [=](Ownership &O) {
      Matches ? O.onVoterSetWritten(Version, Now) : O.onVoterSetConflict(Now);
    });
  }

  void act(int I, StartDispatch &A) {
    LastStart[A.P.number()] = Now;
    for (int Other = 0; Other < Hosts; ++Other)
      if (Other != I && runs(Other))
        All[Other].O->onOwnerAnnounced(name(I), {A.P});
  }
  void act(int I, StopDispatch &A) { reportEnd(I, A.P); }
  void reportEnd(int I, Partition P) {
    MonotonicTime End = All[I].RunsUntil[P.number()];
    if (Now >= End) {
      with(I, [=](Ownership &O) { O.onDispatchEnded(P, Now, Out); });
      return;
    }
    int StartCount = All[I].StartCount;
    after(End - Now, [=] {
      if (runs(I) && All[I].StartCount == StartCount)
        reportEnd(I, P);
    });
  }

  void checkOwners() {
    for (uint32_t P = 0; P < Partitions; ++P) {
      int Owners = 0;
      for (int I = 0; I < Hosts; ++I) {
        // A paused host can wake and send before it detects its pause.
        if (!All[I].Up || !All[I].O->mayDispatch(Partition(P), Now))
          continue;
        ++Owners;
        for (int Other = 0; Other < Hosts; ++Other)
          Overlaps += Other != I && Now < All[Other].RunsUntil[P];
        if (!runs(I) || Rand.below(20) != 0)
          continue;
        Duration Time(Rand.below(4) == 0 ? Rand.below(RunLimit.count()) : 5000);
        MonotonicTime &End = All[I].RunsUntil[P];
        End = std::max(End, Now + Time);
      }
      TwoOwners += Owners > 1;
    }
  }

  std::vector<Host> All;
  OwnershipActions Out;
  std::multimap<MonotonicTime, std::function<void()>> Events;
};

/// Injects one random fault, which ends by itself.
void injectFault(Cluster &C) {
  int I = static_cast<int>(C.Rand.below(Hosts));
  Duration Time(50'000 + C.Rand.below(4'000'000));
  switch (C.Rand.below(8)) {
  case 0:
  case 1:
    C.crash(I);
    C.after(Time, [&C, I] { C.boot(I); });
    return;
  case 2:
    return C.pause(I, Time);
  case 3:
  case 4:
    C.setIsolated(I, true);
    C.after(Time, [&C, I] { C.setIsolated(I, false); });
    return;
  case 5:
    C.StoreDown = true;
    C.after(Time, [&C] { C.StoreDown = false; });
    return;
  case 6:
    C.StoreLosesReplies = true;
    C.after(Time, [&C] { C.StoreLosesReplies = false; });
    return;
  default:
    return;
  }
}

// Guards against two owners of a partition and against a new owner that sends
// while sub-requests of an earlier one can still run, under any order of
// faults. Also guards against partitions that stay without an owner after the
// faults.
RC_GTEST_PROP(Ownership, NeverTwoOwners, ()) {
  const auto Seed = *rc::gen::inRange<uint32_t>(0, 1'000'000'000);
  const auto Lost = *rc::gen::inRange<uint64_t>(0, 150);
  const auto Late = *rc::gen::inRange<uint64_t>(0, 400);
  const auto VoterCount = *rc::gen::element<size_t>(3, 5);
  Cluster C(Seed, {Lost, Late, VoterCount});
  std::function<void()> Fault = [&] {
    if (C.Now.time_since_epoch() > Seconds(40))
      return;
    injectFault(C);
    C.after(Duration(C.Rand.below(1'000'000)), Fault);
  };
  C.after(Seconds(4), Fault);
  C.run(Seconds(45));
  C.Network = {0, 0, VoterCount};
  C.run(Seconds(30));
  RC_ASSERT(C.TwoOwners == 0);
  RC_ASSERT(C.Overlaps == 0);
  RC_ASSERT(C.allOwned());
}

// Guards against a crashed owner that is replaced later than the rest of its
// lease, the sub-request limit and a round of votes after the crash.
RC_GTEST_PROP(Ownership, CrashCostsAtMostTheStatedTime, ()) {
  const auto Seed = *rc::gen::inRange<uint32_t>(0, 1'000'000'000);
  constexpr Duration RoundOfVotes = Milliseconds(200);
  Cluster C(Seed, {});
  C.run(Duration(12'000'000 + C.Rand.below(1'000'000)));
  RC_ASSERT(C.allOwned());
  int Crashed = C.ownerOf(static_cast<uint32_t>(C.Rand.below(Partitions)));
  std::vector<uint32_t> Lost;
  for (uint32_t P = 0; P < Partitions; ++P)
    if (C.ownerOf(P) == Crashed)
      Lost.push_back(P);
  C.crash(Crashed);
  MonotonicTime CrashedAt = C.Now;
  C.run(VoteLifetime + RunLimit + RoundOfVotes);
  for (uint32_t P : Lost)
    RC_ASSERT(C.LastStart[P] > CrashedAt);
  RC_ASSERT(C.TwoOwners == 0);
}

// Guards against a planned stop that leaves partitions without an owner for
// longer than the running sub-requests (at most RunLimit) and a round of votes.
TEST(Ownership, LeavingHandsOverAfterTheSubRequestsHaveEnded) {
  Cluster C(20261204, {});
  C.run(Seconds(12));
  int Owner = C.ownerOf(0);
  C.leave(Owner);
  C.run(RunLimit + Milliseconds(100));
  EXPECT_TRUE(C.at(Owner).ownsNothing());
  EXPECT_TRUE(C.allOwned());
  EXPECT_EQ(C.TwoOwners + C.Overlaps, 0);
}

// Guards against a voter set that changes without the store, a change that is
// made twice after a lost reply, and a joint phase that never ends.
TEST(Ownership, VotersChangeOnlyThroughTheStoreAndInTwoSteps) {
  enum class StoreMode { Works, Down, LosesReplies };
  for (StoreMode Mode :
       {StoreMode::Works, StoreMode::Down, StoreMode::LosesReplies}) {
    Cluster C(20261204, {});
    C.run(Seconds(15));
    ASSERT_TRUE(C.Stored.has_value());
    ASSERT_TRUE(C.Stored->Previous.empty());
    VoterSet Before = *C.Stored;
    int Writes = C.StoreWrites;
    C.StoreDown = Mode == StoreMode::Down;
    C.StoreLosesReplies = Mode == StoreMode::LosesReplies;
    C.crash(0);
    C.run(Seconds(12));
    EXPECT_TRUE(C.allOwned());
    if (Mode == StoreMode::Down) {
      EXPECT_EQ(C.Stored->Version, Before.Version);
    }
    C.StoreDown = false;
    C.StoreLosesReplies = false;
    C.run(Seconds(60));
    std::set<HostId> Voters = votersOf(*C.Stored);
    EXPECT_EQ(Voters.count(Cluster::name(0)), 0U);
    EXPECT_EQ(Voters.size(), 5U);
    EXPECT_TRUE(C.Stored->Previous.empty());
    EXPECT_EQ(C.StoreWrites - Writes, 2);
    EXPECT_EQ(C.TwoOwners + C.Overlaps, 0);
  }
}

} // namespace
} // namespace mimosa
