// The root's state machine of one query. It pins a snapshot, plans which
// backend server is asked for which shards, hedges, retries, checks every
// reply and ends with one answer. It is pure: its driver feeds in events with
// the time and carries out the actions that each event adds.
//
//   QuerySession Session(Options, Source, Random);
//   QueryActions Actions;
//   Session.start(Now, Actions);
//   // Carry out Actions, clear them; call onTimer() at Actions.WakeUp.
//   Session.onReply(Number, std::move(Reply), Now, Actions);
//   // ... until Actions.Answer is set.
//
// Actions are carried out in the order ToSend, ToCancel, Strike, Answer. An
// event that comes up meanwhile, such as a send that fails at once, is fed in
// afterwards. Events that arrive after the answer are allowed; they are counted
// and change nothing.
//
// Rules:
// - All shards come from one snapshot; a restart on another one discards what
//   was collected.
// - A sub-request that is not idempotent is sent again only after a refusal
//   in words; it is never hedged.
// - At any time, the copies of a shard in flight and the backend servers lost
//   by it are at most MaxShardLosses together, so that a query that crashes
//   its backend servers only at one shard takes at most that many.
// - A query whose fingerprint is not known to be good sends one sub-request
//   (the canary) first; see docs/design.md, section 4.10.

#ifndef MIMOSA_QUERY_SESSION_H
#define MIMOSA_QUERY_SESSION_H

#include "backend/replica_source.h"
#include "base/random.h"
#include "query/counters.h"
#include "query/merger.h"
#include "query/planner.h"
#include "query/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosa {

/// Strikes after which a fingerprint is quarantined.
constexpr uint32_t QuarantineStrikes = 2;
/// Backend servers that may be lost by one shard of a query.
constexpr uint32_t MaxShardLosses = 2;
/// Time from the arrival of a query for which it waits for a replica of a shard
/// that has none. The hand-over of a partition leaves its backend servers
/// without an owner for some 10 ms.
constexpr Duration MissingReplicaGrace = Milliseconds(100);
/// Starts of one query on another snapshot.
constexpr uint32_t MaxRestarts = 2;

/// A sub-request within one session.
using SubRequestNumber = NumberId<struct SubRequestNumberTag, uint32_t>;

/// What a session needs to know about its query.
struct QuerySessionOptions {
  /// Start of QueryAnswer::Elapsed.
  MonotonicTime Received;
  /// The answer is given at this time at the latest.
  MonotonicTime Deadline;
  bool Idempotent = true;
  /// False: the query starts with a canary.
  bool KnownGood = true;
  /// Strikes already known against the fingerprint, below QuarantineStrikes.
  uint32_t PriorStrikes = 0;
  /// Most hits in the answer; empty: all.
  std::optional<uint32_t> Limit;
  /// Pause before a shard of which every replica refused or was lost, or whose
  /// retry the budget denied, is tried again. It doubles with each pause of the
  /// shard, up to 8 times its first length.
  Duration RetryPause = Milliseconds(4);
};

/// A part of the query to send to one backend server.
struct OutgoingSubRequest {
  SubRequestNumber Number;
  BackendServerId Backend;
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
};

/// What a session asks of its driver.
struct QueryActions {
  std::vector<OutgoingSubRequest> ToSend;
  /// Sub-requests to cancel; no event about them is expected any more.
  std::vector<SubRequestNumber> ToCancel;
  /// A backend server lost with the canary. The strike is to be sent to the
  /// host set of the service; onStrikeAcknowledged() is due afterwards.
  std::optional<BackendServerId> Strike;
  /// Set once; the session has ended.
  std::optional<QueryAnswer> Answer;
  /// When to call onTimer() next instead of at the last given time; empty:
  /// unchanged.
  std::optional<MonotonicTime> WakeUp;

  /// Empties the actions and keeps their storage.
  void clear();
};

/// A reply with hits to one sub-request.
struct SubRequestReply {
  SnapshotId Snapshot;
  /// The shards that were searched.
  std::vector<ShardId> Shards;
  std::vector<Hit> Hits;
};

/// Why a sub-request was refused in words; in each case it did not run.
enum class Refusal {
  Shed,
  Draining,
  Cold,
  UnknownSnapshot,
  /// Dropped from a queue: its deadline passed or it was cancelled.
  Dropped,
  /// The driver could not send it, for example for want of an owner.
  NotSent,
};

/// One query; see the top of this file. All methods append to \p Out.
class QuerySession {
public:
  /// \p Source and \p Rand must outlive the session.
  QuerySession(const QuerySessionOptions &Options, ReplicaSource &Source,
               Random &Rand);

  /// Pins a snapshot and sends the first sub-requests. Called once.
  void start(MonotonicTime Now, QueryActions &Out);

  /// \p Reply to sub-request \p Number has arrived.
  void onReply(SubRequestNumber Number, SubRequestReply Reply,
               MonotonicTime Now, QueryActions &Out);

  /// Sub-request \p Number did not run.
  void onRefused(SubRequestNumber Number, Refusal Why, MonotonicTime Now,
                 QueryActions &Out);

  /// The outcome of sub-request \p Number is unknown. \p BackendLost tells
  /// that its backend server crashed or was reset while running it.
  void onLost(SubRequestNumber Number, bool BackendLost, MonotonicTime Now,
              QueryActions &Out);

  /// Sub-request \p Number was cancelled by others than this session; it may
  /// have run.
  void onCancelled(SubRequestNumber Number, MonotonicTime Now,
                   QueryActions &Out);

  /// The strike was sent to the host set. \p Strikes is the number now known
  /// against the fingerprint, on any host.
  void onStrikeAcknowledged(uint32_t Strikes, MonotonicTime Now,
                            QueryActions &Out);

  /// The caller cancelled the query or is gone: everything in flight is
  /// cancelled and the session ends with code Cancelled, after the
  /// acknowledgement of a strike that is still out.
  void onAbandoned(MonotonicTime Now, QueryActions &Out);

  /// The wake-up time has come; an early or extra call is harmless.
  void onTimer(MonotonicTime Now, QueryActions &Out);

  bool finished() const { return Phase == SessionPhase::Finished; }
  /// Whether a canary of this query was answered: its fingerprint is good.
  bool canaryPassed() const { return CanaryAnswered; }
  const QueryCounters &counters() const { return Counters; }

private:
  enum class SessionPhase { Canary, AwaitingStrike, Running, Finished };
  enum class SubState : uint8_t {
    InFlight,
    Answered,
    Refused,
    NotSent,
    Lost,
    Cancelled
  };
  enum class SubKind : uint8_t { First, Retry, Hedge };

  struct ShardState {
    bool Asked = false;
    bool Answered = false;
    /// Not idempotent and possibly run: must not be sent again.
    bool Closed = false;
    /// No replica was known at the last try.
    bool NoReplica = false;
    uint8_t InFlight = 0;
    uint8_t BackendLosses = 0;
    /// Pauses made so far, up to MaxPauseDoublings.
    uint8_t Pauses = 0;
    /// Sub-requests below this number no longer exclude their backend server.
    uint32_t RoundStart = 0;
    /// Newest attempt; the others are chained behind it.
    uint32_t LastAttempt = NoBackend;
    MonotonicTime NextTry = MonotonicTime::min();
  };

  /// One shard in one sub-request.
  struct Attempt {
    uint32_t Shard = 0;
    uint32_t Sub = 0;
    uint32_t Previous = NoBackend;
  };

  struct SubRequest {
    uint32_t Backend = 0;
    /// Its attempts are Attempts[FirstAttempt, FirstAttempt + Count).
    uint32_t FirstAttempt = 0;
    uint32_t Count = 0;
    /// Shards that are not answered yet.
    uint32_t Pending = 0;
    SubState State = SubState::InFlight;
    SubKind Kind = SubKind::First;
    bool Canary = false;
    MonotonicTime SentAt;
    MonotonicTime HedgeAt;
  };

  // session.cpp: placement, hedges, end.
  void pin(const SnapshotChoice &Choice);
  void advance(MonotonicTime Now, QueryActions &Out);
  void place(MonotonicTime Now, QueryActions &Out);
  void collectReady(MonotonicTime Now);
  void placeReady(std::vector<uint32_t> &Ready, SubKind Kind, MonotonicTime Now,
                  QueryActions &Out);
  void postponeUnplaced(MonotonicTime Now);
  void postpone(ShardState &S, MonotonicTime Now);
  void hedge(MonotonicTime Now, QueryActions &Out);
  void hedgeSub(uint32_t SubIndex, MonotonicTime Now, QueryActions &Out);
  void send(ShardGroup &Group, SubKind Kind, MonotonicTime Now,
            QueryActions &Out);
  bool mayAsk(uint32_t Shard, uint32_t Backend) const;
  bool waiting(const ShardState &S) const;
  bool nothingLeftToDo(MonotonicTime Now) const;
  MonotonicTime wakeUp() const;
  void finish(std::optional<Error> Why, MonotonicTime Now, QueryActions &Out);
  Execution execution() const;
  Error explain(MonotonicTime Now) const;

  // session_events.cpp: outcomes of sub-requests.
  SubRequest *inFlight(SubRequestNumber Number, bool IsAnswer);
  bool acceptable(uint32_t SubIndex, const SubRequestReply &Reply);
  bool asked(ShardId Shard, uint32_t SubIndex) const;
  void accept(uint32_t SubIndex, SubRequestReply &Reply, MonotonicTime Now,
              QueryActions &Out);
  void cancelLosers(uint32_t Shard, uint32_t Winner, MonotonicTime Now,
                    QueryActions &Out);
  void cancelAll(MonotonicTime Now, QueryActions &Out);
  void end(SubRequest &S, SubState State, std::optional<Duration> Latency,
           MonotonicTime Now);
  void rearmHedges(const ShardState &S);
  void forgetAsked(const SubRequest &S);
  void lose(SubRequest &S, MonotonicTime Now);
  void loseCanary(const SubRequest &S, bool BackendLost, MonotonicTime Now,
                  QueryActions &Out);
  void restartIfGone(const SubRequest &S, MonotonicTime Now, QueryActions &Out);
  bool untriedReplicas(const SubRequest &S);
  bool coversAllShards(const SnapshotChoice &Choice) const;

  const QuerySessionOptions Options;
  ReplicaSource &Source;
  Planner Plan;
  Merger Merged;
  QueryCounters Counters;

  SessionPhase Phase = SessionPhase::Running;
  SnapshotId Snapshot;
  std::vector<SnapshotId> Excluded;
  std::vector<ShardState> Shards;
  std::vector<SubRequest> Subs;
  std::vector<Attempt> Attempts;
  /// Working lists of shards; members so that their storage is reused.
  std::vector<uint32_t> ReadyFirst;
  std::vector<uint32_t> ReadyRetry;
  std::vector<uint32_t> Unplaced;
  std::vector<ShardGroup> Groups;
  /// First sub-request of the current snapshot.
  uint32_t FirstSub = 0;
  uint32_t InFlight = 0;
  uint32_t AskedShards = 0;
  /// Sub-requests that ran.
  uint32_t RanSubs = 0;
  /// Sub-requests that may have run and did not answer.
  uint32_t UncertainSubs = 0;
  uint32_t CanaryLosses = 0;
  uint32_t UnknownSnapshotRefusals = 0;
  bool CanaryAnswered = false;
  bool CallerGone = false;
  /// The budget denied a retry in the current placement.
  bool RetryDenied = false;
  Duration HedgeDelay{};
  /// No shard is due for placement before this time.
  MonotonicTime NextPlacement = MonotonicTime::max();
  /// No sub-request is due for a hedge before this time.
  MonotonicTime NextHedge = MonotonicTime::max();
};

} // namespace mimosa

#endif // MIMOSA_QUERY_SESSION_H
