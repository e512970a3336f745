// Random queries against random backend servers. A simulation delivers the
// outcomes of sub-requests in any order, spoils some of them, and compares the
// session's actions and answer with what really happened.

#include "query/session.h"

#include "query/fake_replica_source.h"

#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(100)};
constexpr MonotonicTime Deadline = Start + Milliseconds(100);

enum class Fate {
  Answer,
  Partial,
  Spoiled,
  Refused,
  Gone,
  NotSent,
  Lost,
  Crash,
  Silent
};
constexpr uint64_t Fates = 9;

/// One sub-request as an observer of all machines sees it.
struct Truth {
  OutgoingSubRequest Send;
  Fate Planned = Fate::Answer;
  /// An outcome was delivered before the answer.
  bool Ended = false;
  bool Cancelled = false;

  bool ran() const {
    return Planned != Fate::Refused && Planned != Fate::Gone &&
           Planned != Fate::NotSent;
  }
  bool left() const { return !(Ended && Planned == Fate::NotSent); }
};

class Simulation {
public:
  explicit Simulation(uint64_t Seed) : Rand(Seed) {
    auto Shards = static_cast<uint32_t>(1 + pick(8));
    Source.addSnapshot("v1", Shards, 1 + pick(3));
    Source.addSnapshot("v2", Shards + pick(3), 1 + pick(3));
    shareBackends();
    Source.Extra = Granted = pick(12);
    Options.Received = Start;
    Options.Deadline = Deadline;
    Options.Idempotent = pick(2) == 0;
    Options.KnownGood = pick(2) == 0;
    Poison = pick(3) == 0;
    FaultPercent = pick(2) * pick(100);
    Session.emplace(Options, Source, Rand);
  }

  void run() {
    if (pick(8) == 0)
      schedule(pick(100), [this](MonotonicTime Now, QueryActions &Out) {
        Session->onAbandoned(Now, Out);
      });
    perform(Start, [&](QueryActions &Out) { Session->start(Start, Out); });
    while (!Answer || !Events.empty()) {
      RC_ASSERT(++Steps < 5000U);
      bool TimerFirst = Events.empty() || WakeUp <= Events.begin()->first;
      if (!Answer && TimerFirst) {
        MonotonicTime Now = std::max(WakeUp, Clock);
        perform(Now, [&](QueryActions &Out) { Session->onTimer(Now, Out); });
        continue;
      }
      auto Next = Events.extract(Events.begin());
      perform(Next.key(),
              [&](QueryActions &Out) { Next.mapped()(Next.key(), Out); });
    }
  }

  void checkCoverage() const;
  void checkExecution() const;
  void checkLosses() const;
  void checkLoad() const;

private:
  using Event = std::function<void(MonotonicTime, QueryActions &)>;

  uint64_t pick(uint64_t Bound) { return Rand.below(Bound); }

  /// Lets backend servers hold several shards of either snapshot.
  void shareBackends() {
    uint64_t Names = 3 + pick(20);
    for (auto &Snapshot : Source.Replicas)
      for (auto &List : Snapshot.second) {
        std::set<BackendServerId> Distinct;
        for (size_t I = 0; I < List.size(); ++I)
          Distinct.emplace("b" + std::to_string(pick(Names)));
        List.assign(Distinct.begin(), Distinct.end());
      }
  }

  void schedule(uint64_t DelayMs, Event E) {
    Events.emplace(Clock + Milliseconds(DelayMs), std::move(E));
  }

  template <typename Call> void perform(MonotonicTime Now, const Call &Do) {
    Clock = Now;
    QueryActions Out;
    Do(Out);
    if (Answer) {
      RC_ASSERT(Out.ToSend.empty() && Out.ToCancel.empty() && !Out.Answer);
      return;
    }
    for (OutgoingSubRequest &Send : Out.ToSend)
      observe(Send);
    for (SubRequestNumber Number : Out.ToCancel)
      Truths.at(Number.number()).Cancelled = true;
    if (Out.Strike)
      acknowledgeLater();
    WakeUp = Out.WakeUp.value_or(WakeUp);
    Answer = std::move(Out.Answer);
    if (Answer) {
      RC_ASSERT(Now <= Deadline);
      RC_ASSERT(!StrikeOut || Now == Deadline);
    }
  }

  void acknowledgeLater() {
    StrikeOut = true;
    ++Strikes;
    schedule(pick(40), [this](MonotonicTime Now, QueryActions &Out) {
      StrikeOut = false;
      Session->onStrikeAcknowledged(Strikes, Now, Out);
    });
  }

  Fate pickFate() {
    if (pick(100) < FaultPercent) {
      auto Fault = static_cast<Fate>(pick(Fates));
      bool Runs = Truth{{}, Fault, false, false}.ran();
      return Poison && Runs ? Fate::Crash : Fault;
    }
    return Poison ? Fate::Crash : Fate::Answer;
  }

  void observe(const OutgoingSubRequest &Send) {
    RC_ASSERT(Send.Number.number() == Truths.size());
    bool Repeat = false;
    for (ShardId Shard : Send.Shards)
      Repeat = checkShard(Send, Shard) || Repeat;
    Repeats += Repeat ? 1 : 0;
    Truths.push_back({Send, pickFate(), false, false});
    uint64_t Delay = pick(4) == 0 ? pick(130) : pick(8);
    size_t Index = Truths.size() - 1;
    if (Truths.back().Planned != Fate::Silent)
      for (uint64_t Copies = pick(6) == 0 ? 2 : 1; Copies > 0; --Copies)
        schedule(Delay + Copies, [=](MonotonicTime Now, QueryActions &Out) {
          deliver(Index, Now, Out);
        });
  }

  /// Checks one shard of \p Send; whether it was sent before.
  bool checkShard(const OutgoingSubRequest &Send, ShardId Shard) const {
    const auto &Known = Source.replicas(Send.Snapshot, Shard);
    RC_ASSERT(std::count(Known.begin(), Known.end(), Send.Backend) == 1);
    bool Repeat = false;
    for (const Truth &T : Truths) {
      if (std::count(T.Send.Shards.begin(), T.Send.Shards.end(), Shard) == 0)
        continue;
      // A part that may have run must not be sent again, in any snapshot.
      if (!Options.Idempotent)
        RC_ASSERT(T.Ended && !T.ran());
      Repeat = Repeat || (T.left() && T.Send.Snapshot == Send.Snapshot);
    }
    return Repeat;
  }

  void deliver(size_t Index, MonotonicTime Now, QueryActions &Out) {
    Truth &T = Truths[Index];
    SubRequestNumber Number = T.Send.Number;
    T.Ended = T.Ended || !Answer;
    switch (T.Planned) {
    case Fate::Refused:
      return Session->onRefused(Number, Refusal::Shed, Now, Out);
    case Fate::Gone:
      return Session->onRefused(Number, Refusal::UnknownSnapshot, Now, Out);
    case Fate::NotSent:
      return Session->onRefused(Number, Refusal::NotSent, Now, Out);
    case Fate::Lost:
      return Session->onLost(Number, /*BackendLost=*/false, Now, Out);
    case Fate::Crash:
      return Session->onLost(Number, /*BackendLost=*/true, Now, Out);
    default:
      return Session->onReply(Number, replyTo(T), Now, Out);
    }
  }

  SubRequestReply replyTo(const Truth &T) {
    SubRequestReply Reply{T.Send.Snapshot, T.Send.Shards, {}};
    if (T.Planned == Fate::Partial)
      Reply.Shards.pop_back();
    for (ShardId Shard : Reply.Shards)
      for (const char *Rank : {"/1", "/2"})
        Reply.Hits.push_back({Shard,
                              T.Send.Snapshot.text() + "/" +
                                  std::to_string(T.Send.Number.number()) + Rank,
                              Rand.unit()});
    if (T.Planned == Fate::Spoiled) {
      switch (pick(3)) {
      case 0:
        Reply.Snapshot = SnapshotId("v3");
        break;
      case 1:
        Reply.Shards.emplace_back(99);
        break;
      default:
        Reply.Hits.push_back({Reply.Shards[0], "nan", NAN});
      }
    }
    return Reply;
  }

  SeededRandom Rand;
  FakeReplicaSource Source;
  QuerySessionOptions Options;
  std::optional<QuerySession> Session;
  std::multimap<MonotonicTime, Event> Events;
  std::vector<Truth> Truths;
  std::optional<QueryAnswer> Answer;
  MonotonicTime Clock = Start;
  MonotonicTime WakeUp = Deadline;
  bool Poison = false;
  bool StrikeOut = false;
  uint64_t FaultPercent = 0;
  uint64_t Granted = 0;
  uint64_t Repeats = 0;
  uint32_t Strikes = 0;
  uint32_t Steps = 0;
};

void Simulation::checkCoverage() const {
  std::set<ShardId> Asked;
  for (const Truth &T : Truths)
    if (T.left() && T.Send.Snapshot == Answer->Snapshot)
      Asked.insert(T.Send.Shards.begin(), T.Send.Shards.end());
  std::map<ShardId, std::set<std::string>> Found;
  for (const Hit &H : Answer->Hits) {
    RC_ASSERT(H.Id.substr(0, 3) == Answer->Snapshot.text() + "/");
    RC_ASSERT(Found[H.Shard].insert(H.Id).second);
  }
  for (const auto &[Shard, Ids] : Found) {
    RC_ASSERT(Ids.size() == 2U);
    RC_ASSERT(Ids.begin()->substr(0, Ids.begin()->rfind('/')) ==
              Ids.rbegin()->substr(0, Ids.rbegin()->rfind('/')));
  }
  RC_ASSERT(Answer->Shards.Asked == Asked.size());
  RC_ASSERT(Answer->Shards.Answered == Found.size());
  RC_ASSERT(Answer->Shards.Total ==
            Source.Replicas.at(Answer->Snapshot.text()).size());
  bool Complete = Found.size() == Answer->Shards.Total;
  RC_ASSERT(Answer->Complete == Complete);
  RC_ASSERT((Answer->Code == ResultCode::Ok) == Complete);
  RC_ASSERT(
      std::is_sorted(Answer->Hits.begin(), Answer->Hits.end(), ranksBefore));
}

void Simulation::checkExecution() const {
  bool AnyRan = false;
  bool AllCertain = true;
  for (const Truth &T : Truths) {
    AnyRan = AnyRan || T.ran();
    AllCertain =
        AllCertain && T.Ended && (!T.ran() || T.Planned == Fate::Answer);
  }
  if (Answer->Outcome == Execution::NotRun)
    RC_ASSERT(!AnyRan);
  if (Answer->Outcome == Execution::Ran)
    RC_ASSERT(AnyRan && (Options.Idempotent || AllCertain));
  if (AllCertain && !AnyRan)
    RC_ASSERT(Answer->Outcome == Execution::NotRun);
}

void Simulation::checkLosses() const {
  std::map<ShardId, std::set<BackendServerId>> ByShard;
  std::set<BackendServerId> All;
  for (const Truth &T : Truths) {
    if (T.Planned != Fate::Crash)
      continue;
    All.insert(T.Send.Backend);
    if (T.Send.Snapshot == Answer->Snapshot)
      for (ShardId Shard : T.Send.Shards)
        ByShard[Shard].insert(T.Send.Backend);
  }
  if (Poison && !Options.KnownGood)
    RC_ASSERT(All.size() <= QuarantineStrikes);
  for (const auto &Lost : ByShard)
    RC_ASSERT(Lost.second.size() <= MaxShardLosses);
}

void Simulation::checkLoad() const {
  const QueryCounters &Counters = Session->counters();
  RC_ASSERT(Source.Taken <= Granted);
  RC_ASSERT(Counters.Hedges + Counters.Retries == Source.Taken);
  RC_ASSERT(Repeats <= Source.Taken);
  RC_ASSERT(Counters.SubRequests == Truths.size());
  RC_ASSERT(Source.InFlight == 0);
  for (const Truth &T : Truths)
    RC_ASSERT(T.Ended || T.Cancelled);
}

// Guards against answers mixed from two snapshots or two replies for a shard,
// and against untrue coverage, whatever the order and state of the replies.
RC_GTEST_PROP(QuerySession, OneSnapshotAndTrueCoverage, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkCoverage();
}

// Guards against `not_run` for a request that may have run, `ran` for one of
// which a part is uncertain, and (while running) a second send of a part that
// may have run, answers after the deadline and wake-ups that never end.
RC_GTEST_PROP(QuerySession, ExecutionIsTrue, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkExecution();
}

// Guards against a poisonous query that crashes one backend server after the
// other through canaries, hedges and retries.
RC_GTEST_PROP(QuerySession, PoisonLosesTwoBackendServers, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkLosses();
}

// Guards against hedges and retries beyond the budget, and against
// sub-requests left behind at backend servers or in the count in flight.
RC_GTEST_PROP(QuerySession, ExtraLoadStaysInTheBudget, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkLoad();
}

} // namespace
} // namespace mimosa
