// The root's state machine of one query. It pins a snapshot, assigns its shards
// to backend servers, hedges, retries, checks every reply and ends with one
// answer. It performs no I/O: its driver passes in events with the time and
// carries out the actions that each event adds.
//
//   QuerySession Session(Options, Source, Random);
//   QueryActions Actions;
//   Session.start(Now, Actions);
//   // Carry out Actions, clear them; call onTimer() at Actions.WakeUp.
//   Session.onReply(Number, std::move(Reply), Now, Actions);
//   // ... until Actions.Answer is set.
//
// The driver carries out actions in the order ToSend, ToCancel, Strike, Answer.
// It passes in an event that occurs meanwhile, such as a sub-request that could
// not be sent, afterwards. Events after the answer are allowed; they are
// counted and change nothing else.
//
// Rules:
// - All hits come from one snapshot; a restart on another snapshot discards the
//   earlier hits.
// - The sub-requests of a request that is not idempotent are never hedged, and
//   are sent again only after an explicit refusal.
// - For each shard, the sub-requests in flight and the backend servers lost are
//   at most MaxShardLosses in total, so that a query which crashes backend
//   servers in only one shard crashes at most that many.
// - A query whose fingerprint is not known to be good first sends a single
//   sub-request (the canary); see docs/design.md, section 4.10.

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
/// Backend servers that one shard of a query may lose.
constexpr uint32_t MaxShardLosses = 2;
/// For this time after its arrival a query waits for a replica of a shard that
/// has none: a hand-over of a partition leaves its backend servers without an
/// owner for about 10 ms.
constexpr Duration MissingReplicaGrace = Milliseconds(100);
/// Restarts of one query on another snapshot.
constexpr uint32_t MaxRestarts = 2;

/// Number of a sub-request within one session.
using SubRequestNumber = NumberId<struct SubRequestNumberTag, uint32_t>;

/// The query of a session and its settings.
struct QuerySessionOptions {
  /// When the request was received; QueryAnswer::Elapsed counts from here.
  MonotonicTime Received;
  /// Latest time of the answer.
  MonotonicTime Deadline;
  bool Idempotent = true;
  /// Whether the fingerprint is known to be good; if not, the query starts with
  /// a canary.
  bool KnownGood = true;
  /// Earlier strikes against the fingerprint, below QuarantineStrikes.
  uint32_t PriorStrikes = 0;
  /// Maximum number of hits in the answer; empty if there is none.
  std::optional<uint32_t> Limit;
  /// First pause before a shard is sent again if every replica of it refused or
  /// was lost, or if the budget denied its retry. Each further pause of the
  /// shard is twice as long, up to 8 times this time.
  Duration RetryPause = Milliseconds(4);
};

/// A sub-request to send to one backend server.
struct OutgoingSubRequest {
  SubRequestNumber Number;
  BackendServerId Backend;
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
};

/// Actions that the driver of a session has to carry out.
struct QueryActions {
  std::vector<OutgoingSubRequest> ToSend;
  /// Sub-requests to cancel; the session ignores later events about them.
  std::vector<SubRequestNumber> ToCancel;
  /// The backend server that was lost while it ran the canary. The driver sends
  /// a strike to the host set of the service, then calls
  /// onStrikeAcknowledged().
  std::optional<BackendServerId> Strike;
  /// Set once, when the session ends.
  std::optional<QueryAnswer> Answer;
  /// When to call onTimer() next, in place of the last such time; empty if that
  /// has not changed.
  std::optional<MonotonicTime> WakeUp;

  /// Removes all actions and keeps their storage.
  void clear();
};

/// The reply of a backend server to one sub-request.
struct SubRequestReply {
  SnapshotId Snapshot;
  /// The shards that were searched.
  std::vector<ShardId> Shards;
  std::vector<Hit> Hits;
};

/// Reason of an explicit refusal of a sub-request, which therefore did not run.
enum class Refusal {
  Shed,
  Draining,
  Cold,
  UnknownSnapshot,
  /// Removed from a queue: its deadline passed or it was cancelled.
  Dropped,
  /// Not sent by the driver, for example because there was no owner.
  NotSent,
};

/// See the head of this file. All methods append their actions to \p Out.
class QuerySession {
public:
  /// \p Source and \p Rand must outlive the session.
  QuerySession(const QuerySessionOptions &Options, ReplicaSource &Source,
               Random &Rand);

  /// Pins a snapshot and sends the first sub-requests. To be called once.
  void start(MonotonicTime Now, QueryActions &Out);

  void onReply(SubRequestNumber Number, SubRequestReply Reply,
               MonotonicTime Now, QueryActions &Out);

  void onRefused(SubRequestNumber Number, Refusal Reason, MonotonicTime Now,
                 QueryActions &Out);

  /// Sub-request \p Number may have run and will get no reply. \p BackendLost
  /// is true if its backend server crashed or was reset while running it.
  void onLost(SubRequestNumber Number, bool BackendLost, MonotonicTime Now,
              QueryActions &Out);

  /// Sub-request \p Number was cancelled, but not by this session; it may have
  /// run.
  void onCancelled(SubRequestNumber Number, MonotonicTime Now,
                   QueryActions &Out);

  /// The driver has sent the strike to the host set. \p Strikes is the number
  /// of strikes against the fingerprint on any host, as now known.
  void onStrikeAcknowledged(uint32_t Strikes, MonotonicTime Now,
                            QueryActions &Out);

  /// The caller cancelled the query or disconnected. The session cancels all
  /// sub-requests in flight and ends with code Cancelled; if a strike has not
  /// been acknowledged, it does so after the acknowledgement.
  void onAbandoned(MonotonicTime Now, QueryActions &Out);

  /// To be called at the time QueryActions::WakeUp. Additional calls are
  /// harmless.
  void onTimer(MonotonicTime Now, QueryActions &Out);

  bool finished() const { return Phase == SessionPhase::Finished; }
  /// Whether the canary was answered, which shows that the fingerprint is good.
  bool canaryPassed() const { return CanaryAnswered; }
  const QueryCounters &counters() const { return Counters; }

private:
  enum class SessionPhase { Canary, AwaitingStrikeAck, Running, Finished };
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
    /// Must not be sent again, because the request is not idempotent and may
    /// have run in this shard.
    bool NoResend = false;
    /// No replica was known at the last attempt to assign the shard.
    bool NoReplica = false;
    uint8_t InFlight = 0;
    uint8_t BackendLosses = 0;
    /// Number of pauses so far, up to MaxPauseDoublings.
    uint8_t Pauses = 0;
    /// Sub-requests below this number exclude their backend server from a retry
    /// only while they are in flight.
    uint32_t RoundStart = 0;
    /// Head of the list of the shard's attempts, newest first.
    uint32_t LastAttempt = NoIndex;
    /// The shard is not due to be sent before this time.
    MonotonicTime NextSend = MonotonicTime::min();
  };

  /// One shard in one sub-request, an entry of the list of its shard.
  struct ShardAttempt {
    uint32_t Shard = 0;
    uint32_t Sub = 0;
    uint32_t Previous = NoIndex;
  };

  struct SubRequest {
    uint32_t Backend = 0;
    /// Its attempts are Attempts[FirstAttempt, FirstAttempt + ShardCount).
    uint32_t FirstAttempt = 0;
    uint32_t ShardCount = 0;
    /// Shards without an answer.
    uint32_t PendingShards = 0;
    SubState State = SubState::InFlight;
    SubKind Kind = SubKind::First;
    bool IsCanary = false;
    MonotonicTime SentAt;
    MonotonicTime HedgeAt;
  };

  // session.cpp: assignment of shards, hedges, answer.
  void pin(const SnapshotChoice &Choice);
  void advance(MonotonicTime Now, QueryActions &Out);
  void assignShards(MonotonicTime Now, QueryActions &Out);
  void collectReady(MonotonicTime Now);
  void assignReady(std::vector<uint32_t> &Ready, SubKind Kind,
                   MonotonicTime Now, QueryActions &Out);
  void postponeUnassigned(MonotonicTime Now);
  void postpone(ShardState &S, MonotonicTime Now);
  void hedge(MonotonicTime Now, QueryActions &Out);
  void hedgeSub(uint32_t SubIndex, MonotonicTime Now, QueryActions &Out);
  void send(ShardGroup &Group, SubKind Kind, MonotonicTime Now,
            QueryActions &Out);
  bool maySend(uint32_t Shard, uint32_t Backend) const;
  bool needsSubRequest(const ShardState &S) const;
  bool hasNoWorkLeft(MonotonicTime Now) const;
  MonotonicTime wakeUp() const;
  void finish(std::optional<Error> Failure, MonotonicTime Now,
              QueryActions &Out);
  Execution execution() const;
  /// The result code and message of the answer; the code may be Ok.
  Error answerResult(MonotonicTime Now) const;

  // session_events.cpp: outcomes of sub-requests.
  /// Null if sub-request \p Number is not in flight; counts the dropped reply
  /// if \p IsReply.
  SubRequest *findInFlight(SubRequestNumber Number, bool IsReply);
  bool isValidReply(uint32_t SubIndex, const SubRequestReply &Reply);
  bool belongsTo(ShardId Shard, uint32_t SubIndex) const;
  void applyReply(uint32_t SubIndex, SubRequestReply &Reply, MonotonicTime Now,
                  QueryActions &Out);
  void cancelLosers(uint32_t Shard, uint32_t Winner, MonotonicTime Now,
                    QueryActions &Out);
  void cancelAll(MonotonicTime Now, QueryActions &Out);
  void endSub(SubRequest &Sub, SubState State, std::optional<Duration> Latency,
              MonotonicTime Now);
  void rearmHedges(const ShardState &S);
  void revertAsked(const SubRequest &Sub);
  void markLost(SubRequest &Sub, MonotonicTime Now);
  void onCanaryLost(const SubRequest &Sub, bool BackendLost, MonotonicTime Now,
                    QueryActions &Out);
  void restartIfSnapshotGone(const SubRequest &Sub, MonotonicTime Now,
                             QueryActions &Out);
  bool hasUntriedReplicas(const SubRequest &Sub);
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
  std::vector<ShardAttempt> Attempts;
  /// Lists of shards used within one call; members to reuse their storage.
  std::vector<uint32_t> ReadyFirst;
  std::vector<uint32_t> ReadyRetry;
  std::vector<uint32_t> Unassigned;
  std::vector<ShardGroup> Groups;
  /// First sub-request of the current snapshot.
  uint32_t FirstSub = 0;
  uint32_t InFlight = 0;
  uint32_t AskedShards = 0;
  /// Sub-requests that ran.
  uint32_t RanSubs = 0;
  /// Sub-requests that may have run in shards for which they gave no answer.
  uint32_t UncertainSubs = 0;
  uint32_t CanaryLosses = 0;
  uint32_t UnknownSnapshotRefusals = 0;
  bool CanaryAnswered = false;
  bool Abandoned = false;
  /// The budget denied a retry in the last assignment of shards.
  bool RetryDenied = false;
  Duration HedgeDelay{};
  /// No shard is due for assignment before this time.
  MonotonicTime NextAssignment = MonotonicTime::max();
  /// No sub-request is due for a hedge before this time.
  MonotonicTime NextHedge = MonotonicTime::max();
};

} // namespace mimosa

#endif // MIMOSA_QUERY_SESSION_H
