// The claim owner of one service: grants each request key to at most one nonce.
//
//   ClaimOwner Owner(Service, Self, SelfIncarnation, Budget, {});
//   for (ClaimOwnerAction &Action : Owner.onRequest(Request, Now))
//     perform(std::move(Action));
//
// The claim log in the key-value service decides, not the belief of being the
// owner. A nonce is granted only after a record with its claim is known to be
// in the log and no earlier claim of the key stands. Records are created under
// consecutive sequences and never replaced, so of two hosts that both believe
// that they are the owner, one finds the other's record in its way, applies it
// and decides its own batch again under the next sequence. A write whose reply
// was lost is repeated with the same text until the service says what is stored
// under its sequence: the same text means that the write took effect. Reading
// once would not settle it, because a delayed write can take effect after the
// read.
//
// Only a root releases a claim. The owner never does so by itself, even after
// it gave up on a request: the root may have got its grant from another owner,
// which found the claim in the log.
//
// The driver performs the actions, hands each reply of the store back once with
// the action's epoch, and calls onTick() every 10 to 50 ms. It relies on
// listings of the store that are current, and on clocks of the hosts that agree
// within an hour (only for the removal of old records).

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

/// Ask the store for the keys after \p After that start with \p Prefix; hand
/// the reply to onListed().
struct ListClaimRecords {
  uint64_t Epoch = 0;
  std::string Prefix;
  std::string After;
};

/// Create \p Key (expected version 0); hand the reply to onCreated().
struct CreateClaimRecord {
  uint64_t Epoch = 0;
  std::string Key;
  std::string Value;
};

/// Remove \p Key; hand the reply to onRemoved().
struct RemoveClaimRecord {
  uint64_t Epoch = 0;
  std::string Key;
};

/// Send \p Reply to \p To.
struct SendClaimReply {
  HostId To;
  ClaimReply Reply;
};

using ClaimOwnerAction = std::variant<ListClaimRecords, CreateClaimRecord,
                                      RemoveClaimRecord, SendClaimReply>;
using ClaimOwnerActions = std::vector<ClaimOwnerAction>;

struct ClaimOwnerOptions {
  /// Longest time that claims are collected when the call budget is spent.
  Duration LongestCollect = Milliseconds(250);
  /// Longest time until a request is answered in some way.
  Duration LongestWait = Milliseconds(1000);
  /// Delay before the store is asked again after a failure; doubles up to
  /// LongestRetryDelay.
  Duration RetryDelay = Milliseconds(100);
  Duration LongestRetryDelay = Milliseconds(1000);
  /// 24 h of the design page and an hour for clocks that differ.
  Duration Retention = std::chrono::hours(25);
  Duration RemovalInterval = Milliseconds(250);
  /// An owner without a reply of the store for this time loads the log again,
  /// long before a record that it does not know of can be removed.
  Duration ReloadAfter = std::chrono::hours(1);
  /// Delay before the log is loaded again after a record that cannot be read.
  Duration BadRecordDelay = Seconds(10);
  /// Claims, and as many releases, in one record. Each takes up to 76 bytes, so
  /// a record stays below MaxStoredValueBytes.
  size_t LargestBatch = 3000;
  size_t LongestQueue = 10000;
  size_t MostKeys = 200000;
  size_t MostAnswerBytes = 4 << 20;
};

/// What a ClaimOwner did since its construction.
struct ClaimOwnerCounters {
  uint64_t Granted = 0;
  uint64_t AlreadyClaimed = 0;
  uint64_t Refused = 0;
  uint64_t Unavailable = 0;
  uint64_t RecordsWritten = 0;
  /// Creates that found the record of another owner.
  uint64_t Conflicts = 0;
  /// Creates that found their own record after a lost reply.
  uint64_t LostReplies = 0;
  uint64_t RecordsRemoved = 0;
  /// Records that could not be read; no claim is granted until they can.
  uint64_t BadRecords = 0;
};

/// Decides the claims of one service.
class ClaimOwner {
public:
  /// \p Budget is shared by all users of the store and must outlive this.
  ClaimOwner(ServiceId Service, HostId Self, Incarnation SelfIncarnation,
             StoreRateLimiter &Budget, const ClaimOwnerOptions &Options);

  /// The wall clock reads \p WallMs (since 1970) at \p Now. Must be called
  /// before start(), as records carry the time.
  void setWallClock(int64_t WallMs, MonotonicTime Now);

  /// This host became the claim owner: loads the log.
  ClaimOwnerActions start(MonotonicTime Now);

  /// This host is no longer the claim owner; waiting roots ask the new one.
  ClaimOwnerActions stop();

  /// Another host may have acted as the claim owner, for example because this
  /// host was suspected. Until the store has answered again, requests that
  /// cannot be written are answered with Unavailable instead of Refused.
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
  /// Keys in memory.
  size_t keys() const { return Log.size(); }
  /// Requests that wait for an answer.
  size_t waiting() const { return Queue.size(); }

private:
  enum class PhaseKind { Stopped, Loading, Ready };

  struct Waiting {
    ClaimRequest Request;
    ClaimPair Pair;
    MonotonicTime Arrived;
    MonotonicTime Expires;
    bool Answered = false;
    /// The root released the claim while it was being written.
    bool Released = false;
  };

  struct PendingRelease {
    ClaimPair Pair;
    MonotonicTime Arrived;
  };

  struct Batch {
    std::vector<Waiting> Claims;
    std::vector<PendingRelease> Releases;
    ClaimRecord Record;
    std::string Text;
    bool InFlight = false;
    /// An earlier write of this text may have or may yet take effect.
    bool Uncertain = false;
  };

  void beginLoad(MonotonicTime Now);
  void advance(MonotonicTime Now);
  void load(MonotonicTime Now);
  bool applyPage(const std::vector<StoredEntry> &Page);
  bool applyStored(uint64_t Sequence, const std::string &Text);

  void expire(MonotonicTime Now);
  void answerQueue(MonotonicTime Now);
  bool answerNow(const Waiting &W, MonotonicTime Now);
  bool answerFromLog(const Waiting &W);
  void write(MonotonicTime Now);
  bool callNow(StoreCallKind Kind, MonotonicTime Oldest, MonotonicTime Now);
  Batch compose(MonotonicTime Now);
  void sendBatch(MonotonicTime Now);
  void finishBatch(MonotonicTime Now);
  void requeueBatch();
  void onWriteFailed(const Error &Failure, MonotonicTime Now);
  void onConflict(const StoredValue &Current, MonotonicTime Now);
  void removeOld(MonotonicTime Now);

  void settleOutcome(const ClaimPair &Pair, ClaimOutcome Outcome);
  void settleRelease(const ClaimPair &Pair, MonotonicTime Now);
  bool releasePending(const ClaimPair &Pair) const;
  Waiting *findWaiting(const ClaimPair &Pair);
  void forget(const Waiting &W);

  ClaimReply replyTo(const Waiting &W, ClaimVerdict Verdict) const;
  void reply(const Waiting &W, ClaimReply Reply);
  void refuse(const Waiting &W, ResultCode Code, bool MayBeRecorded);
  void succeeded(MonotonicTime Now);
  void backOff(MonotonicTime Now);
  int64_t wallMs(MonotonicTime Now) const;
  ClaimOwnerActions take();

  const ServiceId Service;
  const HostId Self;
  const Incarnation SelfIncarnation;
  StoreRateLimiter &Budget;
  const ClaimOwnerOptions Options;

  PhaseKind Phase = PhaseKind::Stopped;
  uint64_t Epoch = 0;
  ClaimLog Log;
  AnswerMemory Answers;
  std::deque<Waiting> Queue;
  std::deque<PendingRelease> Releases;
  std::vector<OutcomeEntry> Outcomes;
  std::optional<Batch> Current;
  /// Number of elements of Queue and Current with a key.
  std::unordered_map<Digest, uint32_t, DigestHash> Pending;
  ClaimOwnerActions Actions;
  ClaimOwnerCounters Counters;

  std::string LoadAfter;
  bool ListInFlight = false;
  bool RemovalInFlight = false;
  /// The log is loaded and nothing hints at another owner since.
  bool Synced = false;
  /// The last call of the store failed.
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
