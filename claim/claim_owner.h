// The claim owner of one service: grants each request key to at most one nonce.
//
//   ClaimOwner Owner(Service, Self, SelfIncarnation, StoreLimiter, {});
//   for (ClaimOwnerAction &Action : Owner.onRequest(Request, Now))
//     perform(std::move(Action));
//
// The claim log in the key-value service decides on grants, so that they stay
// unique while two hosts act as the owner. A nonce is granted only when a
// record with its claim is in the log and no earlier claim of the key stands.
// Records are created under consecutive sequences and never replaced. If two
// hosts act as the owner, one of them finds a record of the other under its
// next sequence, applies it and decides its own batch again for the sequence
// after that.
//
// A write whose reply was lost is repeated with the same text until the service
// returns the value stored under the sequence. The same text means that the
// write took effect. A single read would not be sufficient, because a delayed
// write can take effect after the read.
//
// Only a root releases a claim. The owner does not release a claim even if it
// answered the request with a failure, because the root may have got the grant
// from another owner that found the claim in the log.
//
// ClaimOwner performs no I/O. Its driver carries out the actions, passes each
// reply of the store back once with the action's epoch, and calls onTick()
// every 10 to 50 ms. Listings of the store must be current. The clocks of the
// hosts must agree within an hour, which only the removal of old records
// depends on.

#ifndef MIMOSA_CLAIM_CLAIM_OWNER_H
#define MIMOSA_CLAIM_CLAIM_OWNER_H

#include "claim/claim_log.h"
#include "platform/key_value_store.h"
#include "platform/store_rate_limiter.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mimosa {

/// Get the entries with keys after \c After that start with \c Prefix; pass the
/// reply to onListed().
struct ListClaimRecords {
  uint64_t Epoch = 0;
  std::string Prefix;
  std::string After;
};

/// Create \c Key (expected version 0); pass the reply to onCreated().
struct CreateClaimRecord {
  uint64_t Epoch = 0;
  std::string Key;
  std::string Value;
};

/// Remove \c Key; pass the reply to onRemoved().
struct RemoveClaimRecord {
  uint64_t Epoch = 0;
  std::string Key;
};

struct SendClaimReply {
  HostId To;
  ClaimReply Reply;
};

using ClaimOwnerAction = std::variant<ListClaimRecords, CreateClaimRecord,
                                      RemoveClaimRecord, SendClaimReply>;
using ClaimOwnerActions = std::vector<ClaimOwnerAction>;

struct ClaimOwnerOptions {
  /// Longest time for which claims are collected into a batch while the store
  /// rate limiter has no tokens.
  Duration MaxCollectTime = Milliseconds(250);
  /// Longest time until a request is answered, if need be with a failure.
  Duration MaxWait = Milliseconds(1000);
  /// Delay before the next call after a failure of the store; doubles up to
  /// MaxRetryDelay.
  Duration RetryDelay = Milliseconds(100);
  Duration MaxRetryDelay = Milliseconds(1000);
  /// The 24 h of the design page, plus an hour for differences of clocks.
  Duration Retention = std::chrono::hours(25);
  Duration RemovalInterval = Milliseconds(250);
  /// An owner without a reply of the store for this time reloads the log before
  /// it writes. The time is far below Retention, so that it cannot miss a
  /// record that another owner writes and removes in between.
  Duration ReloadAfter = std::chrono::hours(1);
  /// Delay before the log is reloaded after a record that cannot be read.
  Duration BadRecordDelay = Seconds(10);
  /// Limit of the claims, and likewise of the releases, in one record. Each
  /// takes up to 76 bytes, so that a record stays below MaxStoredValueBytes.
  size_t MaxBatchSize = 3000;
  size_t MaxQueueLength = 10000;
  size_t MaxKeys = 200000;
  size_t MaxAnswerBytes = 4 << 20;
};

/// Counters of a ClaimOwner since its construction.
struct ClaimOwnerCounters {
  uint64_t Granted = 0;
  uint64_t AlreadyClaimed = 0;
  uint64_t Refused = 0;
  uint64_t Unavailable = 0;
  uint64_t RecordsWritten = 0;
  /// Writes that found a record of another owner under their sequence.
  uint64_t Conflicts = 0;
  /// Repeated writes that found their own record after a lost reply.
  uint64_t LostReplies = 0;
  uint64_t RecordsRemoved = 0;
  /// Failures to read a record; no claim is granted until it can be read.
  uint64_t BadRecords = 0;
};

/// Decides the claims of one service. See the head of this file.
class ClaimOwner {
public:
  /// \p StoreLimiter is shared by all users of the store and must outlive this
  /// object.
  ClaimOwner(ServiceId Service, HostId Self, Incarnation SelfIncarnation,
             StoreRateLimiter &StoreLimiter, const ClaimOwnerOptions &Options);

  /// Sets the time of the wall clock at \p Now, in milliseconds since 1970.
  /// Must be called before start(), because records contain the time.
  void setWallClock(int64_t WallMs, MonotonicTime Now);

  /// Starts to act as the claim owner: loads the log.
  ClaimOwnerActions start(MonotonicTime Now);

  /// Stops acting as the claim owner. Waiting requests are answered with
  /// NotOwner.
  ClaimOwnerActions stop();

  /// Must be called when another host may have acted as the claim owner, for
  /// example because this host was suspected. Until a write succeeds or finds
  /// another owner's record, or a load of the log succeeds, requests that fail
  /// are answered with Unavailable instead of Refused.
  void markUnsynced() { Synced = false; }

  ClaimOwnerActions onRequest(const ClaimRequest &Request, MonotonicTime Now);
  ClaimOwnerActions onSettlement(ClaimSettlement Settlement, MonotonicTime Now);
  ClaimOwnerActions onListed(uint64_t Epoch,
                             const Result<std::vector<StoredEntry>> &Reply,
                             MonotonicTime Now);
  ClaimOwnerActions onCreated(uint64_t Epoch, const Result<SwapReply> &Reply,
                              MonotonicTime Now);
  ClaimOwnerActions onRemoved(uint64_t Epoch, const Result<Done> &Reply,
                              MonotonicTime Now);
  ClaimOwnerActions onTick(MonotonicTime Now);

  /// True once the log is loaded.
  bool ready() const { return Phase == PhaseKind::Ready; }
  const ClaimOwnerCounters &counters() const { return Counters; }
  /// Number of keys in memory.
  size_t keys() const { return Log.size(); }
  /// Number of requests that are in no batch yet.
  size_t waiting() const { return Queue.size(); }

private:
  enum class PhaseKind { Stopped, Loading, Ready };

  struct QueuedClaim {
    ClaimRequest Request;
    ClaimPair Pair;
    MonotonicTime Arrived;
    MonotonicTime Expires;
    /// Already answered with a failure.
    bool Answered = false;
    /// The root released the claim while its batch was being written.
    bool Released = false;
  };

  struct PendingRelease {
    ClaimPair Pair;
    MonotonicTime Arrived;
  };

  struct Batch {
    std::vector<QueuedClaim> Claims;
    std::vector<PendingRelease> Releases;
    ClaimRecord Record;
    std::string Text;
    bool InFlight = false;
    /// An earlier write of this text may have taken effect, or may do so later.
    bool MayBeStored = false;
  };

  void beginLoad(MonotonicTime Now);
  void advance(MonotonicTime Now);
  void loadNextPage(MonotonicTime Now);
  bool applyPage(const std::vector<StoredEntry> &Page);
  bool applyStored(uint64_t Sequence, const std::string &Text);

  void expireRequests(MonotonicTime Now);
  void answerQueue(MonotonicTime Now);
  bool tryAnswer(const QueuedClaim &Claim, MonotonicTime Now);
  bool answerFromLog(const QueuedClaim &Claim);
  void writeNextBatch(MonotonicTime Now);
  /// True if the rate limiter permits a call. After \p Oldest has waited for
  /// MaxCollectTime, the call is permitted even without a token.
  bool tryAcquireCall(StoreCallKind Kind, MonotonicTime Oldest,
                      MonotonicTime Now);
  Batch composeBatch(MonotonicTime Now);
  void resendBatch(MonotonicTime Now);
  void finishBatch(MonotonicTime Now);
  /// Returns the claims and releases of CurrentBatch to their queues.
  void requeueBatch();
  void onWriteFailed(const Error &Failure, MonotonicTime Now);
  void onConflict(const StoredValue &Stored, MonotonicTime Now);
  void removeExpiredRecord(MonotonicTime Now);

  void applyOutcome(const ClaimPair &Pair, ClaimOutcome Outcome);
  void applyRelease(const ClaimPair &Pair, MonotonicTime Now);
  bool releasePending(const ClaimPair &Pair) const;
  QueuedClaim *findClaim(const ClaimPair &Pair);
  void removeAttempt(const QueuedClaim &Claim);

  ClaimReply makeReply(const QueuedClaim &Claim, ClaimVerdict Verdict) const;
  void sendReply(const QueuedClaim &Claim, ClaimReply Reply);
  void refuse(const QueuedClaim &Claim, ResultCode Code, bool MayBeRecorded);
  void recordSuccess(MonotonicTime Now);
  void backOff(MonotonicTime Now);
  int64_t wallMs(MonotonicTime Now) const;
  ClaimOwnerActions takeActions();

  const ServiceId Service;
  const HostId Self;
  const Incarnation SelfIncarnation;
  StoreRateLimiter &StoreLimiter;
  const ClaimOwnerOptions Options;

  PhaseKind Phase = PhaseKind::Stopped;
  uint64_t Epoch = 0;
  ClaimLog Log;
  AnswerCache Answers;
  std::deque<QueuedClaim> Queue;
  std::deque<PendingRelease> Releases;
  std::vector<OutcomeEntry> Outcomes;
  std::optional<Batch> CurrentBatch;
  /// Number of claims in Queue and CurrentBatch, by key.
  std::unordered_map<Digest, uint32_t, DigestHash> AttemptsPerKey;
  ClaimOwnerActions Actions;
  ClaimOwnerCounters Counters;

  std::string LoadAfter;
  bool ListInFlight = false;
  bool RemovalInFlight = false;
  /// True if Log was complete at the last call to the store and no other host
  /// may have acted as the owner since.
  bool Synced = false;
  /// True from a failed write until a call to the store succeeds.
  bool StoreDown = false;
  uint64_t BatchCounter = 0;
  Duration RetryDelay;
  MonotonicTime RetryAt;
  MonotonicTime LoadStarted;
  MonotonicTime LastReply;
  MonotonicTime NextRemoval;
  MonotonicTime ClockSet;
  int64_t ClockMs = 0;
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_OWNER_H
