// Random queries against random backend servers. A simulation delivers the
// outcomes of sub-requests in any order, makes some replies invalid, and
// compares the session's actions and answer with what the backend servers did.

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

enum class SubOutcome {
  Reply,
  PartialReply,
  InvalidReply,
  Refused,
  UnknownSnapshot,
  NotSent,
  Lost,
  BackendCrash,
  NoReply
};
constexpr uint64_t OutcomeCount = 9;

/// A sub-request and what happened to it, including what the session cannot
/// observe.
struct SentSubRequest {
  OutgoingSubRequest Outgoing;
  SubOutcome Planned = SubOutcome::Reply;
  /// Whether its outcome was delivered before the query was answered.
  bool Ended = false;
  bool Cancelled = false;

  bool ran() const {
    return Planned != SubOutcome::Refused &&
           Planned != SubOutcome::UnknownSnapshot &&
           Planned != SubOutcome::NotSent;
  }
  bool wasSent() const { return !(Ended && Planned == SubOutcome::NotSent); }
};

class Simulation {
public:
  explicit Simulation(uint64_t Seed) : Rand(Seed) {
    auto Shards = static_cast<uint32_t>(1 + pick(8));
    Source.addSnapshot("v1", Shards, 1 + pick(3));
    Source.addSnapshot("v2", Shards + pick(3), 1 + pick(3));
    shareBackends();
    Source.BudgetLeft = InitialBudget = pick(12);
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
    handle(Start, [&](QueryActions &Out) { Session->start(Start, Out); });
    while (!Answer || !Events.empty()) {
      RC_ASSERT(++Steps < 5000U);
      bool TimerFirst = Events.empty() || WakeUp <= Events.begin()->first;
      if (!Answer && TimerFirst) {
        MonotonicTime Now = std::max(WakeUp, Clock);
        handle(Now, [&](QueryActions &Out) { Session->onTimer(Now, Out); });
        continue;
      }
      auto Next = Events.extract(Events.begin());
      handle(Next.key(),
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

  /// Replaces the replicas so that backend servers hold several shards of both
  /// snapshots.
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

  void schedule(uint64_t DelayMs, Event NewEvent) {
    Events.emplace(Clock + Milliseconds(DelayMs), std::move(NewEvent));
  }

  /// Passes an event to the session and carries out the actions that it adds.
  template <typename Call> void handle(MonotonicTime Now, const Call &Event) {
    Clock = Now;
    QueryActions Out;
    Event(Out);
    if (Answer) {
      RC_ASSERT(Out.ToSend.empty() && Out.ToCancel.empty() && !Out.Answer);
      return;
    }
    for (OutgoingSubRequest &Outgoing : Out.ToSend)
      recordSent(Outgoing);
    for (SubRequestNumber Number : Out.ToCancel)
      SentSubRequests.at(Number.number()).Cancelled = true;
    if (Out.Strike)
      acknowledgeLater();
    WakeUp = Out.WakeUp.value_or(WakeUp);
    Answer = std::move(Out.Answer);
    if (Answer) {
      RC_ASSERT(Now <= Deadline);
      RC_ASSERT(!StrikePending || Now == Deadline);
    }
  }

  void acknowledgeLater() {
    StrikePending = true;
    ++Strikes;
    schedule(pick(40), [this](MonotonicTime Now, QueryActions &Out) {
      StrikePending = false;
      Session->onStrikeAcknowledged(Strikes, Now, Out);
    });
  }

  SubOutcome pickOutcome() {
    if (pick(100) < FaultPercent) {
      auto Fault = static_cast<SubOutcome>(pick(OutcomeCount));
      bool Runs = SentSubRequest{{}, Fault, false, false}.ran();
      return Poison && Runs ? SubOutcome::BackendCrash : Fault;
    }
    return Poison ? SubOutcome::BackendCrash : SubOutcome::Reply;
  }

  void recordSent(const OutgoingSubRequest &Outgoing) {
    RC_ASSERT(Outgoing.Number.number() == SentSubRequests.size());
    bool IsRepeat = false;
    for (ShardId Shard : Outgoing.Shards)
      IsRepeat = checkShard(Outgoing, Shard) || IsRepeat;
    Repeats += IsRepeat ? 1 : 0;
    SentSubRequests.push_back({Outgoing, pickOutcome(), false, false});
    uint64_t Delay = pick(4) == 0 ? pick(130) : pick(8);
    size_t Index = SentSubRequests.size() - 1;
    if (SentSubRequests.back().Planned != SubOutcome::NoReply)
      for (uint64_t Copies = pick(6) == 0 ? 2 : 1; Copies > 0; --Copies)
        schedule(Delay + Copies, [=](MonotonicTime Now, QueryActions &Out) {
          deliver(Index, Now, Out);
        });
  }

  /// Checks one shard of \p Outgoing and returns whether it was sent before.
  bool checkShard(const OutgoingSubRequest &Outgoing, ShardId Shard) const {
    const auto &Replicas = Source.replicas(Outgoing.Snapshot, Shard);
    RC_ASSERT(std::count(Replicas.begin(), Replicas.end(), Outgoing.Backend) ==
              1);
    bool IsRepeat = false;
    for (const SentSubRequest &Sub : SentSubRequests) {
      if (std::count(Sub.Outgoing.Shards.begin(), Sub.Outgoing.Shards.end(),
                     Shard) == 0)
        continue;
      // A shard in which the request may have run must not be sent again, in
      // any snapshot.
      if (!Options.Idempotent)
        RC_ASSERT(Sub.Ended && !Sub.ran());
      IsRepeat = IsRepeat ||
                 (Sub.wasSent() && Sub.Outgoing.Snapshot == Outgoing.Snapshot);
    }
    return IsRepeat;
  }

  void deliver(size_t Index, MonotonicTime Now, QueryActions &Out) {
    SentSubRequest &Sub = SentSubRequests[Index];
    SubRequestNumber Number = Sub.Outgoing.Number;
    Sub.Ended = Sub.Ended || !Answer;
    switch (Sub.Planned) {
    case SubOutcome::Refused:
      return Session->onRefused(Number, Refusal::Shed, Now, Out);
    case SubOutcome::UnknownSnapshot:
      return Session->onRefused(Number, Refusal::UnknownSnapshot, Now, Out);
    case SubOutcome::NotSent:
      return Session->onRefused(Number, Refusal::NotSent, Now, Out);
    case SubOutcome::Lost:
      return Session->onLost(Number, /*BackendLost=*/false, Now, Out);
    case SubOutcome::BackendCrash:
      return Session->onLost(Number, /*BackendLost=*/true, Now, Out);
    default:
      return Session->onReply(Number, replyTo(Sub), Now, Out);
    }
  }

  SubRequestReply replyTo(const SentSubRequest &Sub) {
    SubRequestReply Reply{Sub.Outgoing.Snapshot, Sub.Outgoing.Shards, {}};
    if (Sub.Planned == SubOutcome::PartialReply)
      Reply.Shards.pop_back();
    for (ShardId Shard : Reply.Shards)
      for (const char *Rank : {"/1", "/2"})
        Reply.Hits.push_back({Shard,
                              Sub.Outgoing.Snapshot.text() + "/" +
                                  std::to_string(Sub.Outgoing.Number.number()) +
                                  Rank,
                              Rand.uniform01()});
    if (Sub.Planned == SubOutcome::InvalidReply) {
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
  std::vector<SentSubRequest> SentSubRequests;
  std::optional<QueryAnswer> Answer;
  MonotonicTime Clock = Start;
  MonotonicTime WakeUp = Deadline;
  bool Poison = false;
  bool StrikePending = false;
  uint64_t FaultPercent = 0;
  uint64_t InitialBudget = 0;
  uint64_t Repeats = 0;
  uint32_t Strikes = 0;
  uint32_t Steps = 0;
};

void Simulation::checkCoverage() const {
  std::set<ShardId> Asked;
  for (const SentSubRequest &Sub : SentSubRequests)
    if (Sub.wasSent() && Sub.Outgoing.Snapshot == Answer->Snapshot)
      Asked.insert(Sub.Outgoing.Shards.begin(), Sub.Outgoing.Shards.end());
  std::map<ShardId, std::set<std::string>> HitIds;
  for (const Hit &H : Answer->Hits) {
    RC_ASSERT(H.Id.substr(0, 3) == Answer->Snapshot.text() + "/");
    RC_ASSERT(HitIds[H.Shard].insert(H.Id).second);
  }
  for (const auto &[Shard, Ids] : HitIds) {
    RC_ASSERT(Ids.size() == 2U);
    RC_ASSERT(Ids.begin()->substr(0, Ids.begin()->rfind('/')) ==
              Ids.rbegin()->substr(0, Ids.rbegin()->rfind('/')));
  }
  RC_ASSERT(Answer->Shards.Asked == Asked.size());
  RC_ASSERT(Answer->Shards.Answered == HitIds.size());
  RC_ASSERT(Answer->Shards.Total ==
            Source.Replicas.at(Answer->Snapshot.text()).size());
  bool Complete = HitIds.size() == Answer->Shards.Total;
  RC_ASSERT(Answer->Complete == Complete);
  RC_ASSERT((Answer->Code == ResultCode::Ok) == Complete);
  RC_ASSERT(
      std::is_sorted(Answer->Hits.begin(), Answer->Hits.end(), ranksBefore));
}

void Simulation::checkExecution() const {
  bool AnyRan = false;
  bool AllCertain = true;
  for (const SentSubRequest &Sub : SentSubRequests) {
    AnyRan = AnyRan || Sub.ran();
    AllCertain = AllCertain && Sub.Ended &&
                 (!Sub.ran() || Sub.Planned == SubOutcome::Reply);
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
  for (const SentSubRequest &Sub : SentSubRequests) {
    if (Sub.Planned != SubOutcome::BackendCrash)
      continue;
    All.insert(Sub.Outgoing.Backend);
    if (Sub.Outgoing.Snapshot == Answer->Snapshot)
      for (ShardId Shard : Sub.Outgoing.Shards)
        ByShard[Shard].insert(Sub.Outgoing.Backend);
  }
  if (Poison && !Options.KnownGood)
    RC_ASSERT(All.size() <= QuarantineStrikes);
  for (const auto &Lost : ByShard)
    RC_ASSERT(Lost.second.size() <= MaxShardLosses);
}

void Simulation::checkLoad() const {
  const QueryCounters &Counters = Session->counters();
  RC_ASSERT(Source.BudgetTaken <= InitialBudget);
  RC_ASSERT(Counters.Hedges + Counters.Retries == Source.BudgetTaken);
  RC_ASSERT(Repeats <= Source.BudgetTaken);
  RC_ASSERT(Counters.SubRequests == SentSubRequests.size());
  RC_ASSERT(Source.InFlight == 0);
  for (const SentSubRequest &Sub : SentSubRequests)
    RC_ASSERT(Sub.Ended || Sub.Cancelled);
}

// Guards against answers that mix two snapshots or two replies for a shard, and
// against wrong coverage, for any order and outcome of the sub-requests.
RC_GTEST_PROP(QuerySession, OneSnapshotAndCorrectCoverage, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkCoverage();
}

// Guards against `not_run` for a request that may have run, and against `ran`
// for one that must not run twice while some of its outcomes are unknown. The
// simulation itself fails if a shard in which such a request may have run is
// sent again, if the answer comes after the deadline or if the session never
// ends.
RC_GTEST_PROP(QuerySession, ExecutionIsCorrect, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkExecution();
}

// Guards against a query that crashes one backend server after another through
// its canaries, hedges and retries.
RC_GTEST_PROP(QuerySession, PoisonQueryCrashesAtMostTwoServers,
              (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkLosses();
}

// Guards against hedges and retries beyond the budget, and against sub-requests
// that still run at backend servers or count as in flight after the answer.
RC_GTEST_PROP(QuerySession, ExtraLoadStaysWithinTheBudget, (uint64_t Seed)) {
  Simulation S(Seed);
  S.run();
  S.checkLoad();
}

} // namespace
} // namespace mimosa
