// The in-memory state of the claim log of one service. Every claim owner
// applies the same records in the same order, so all owners agree on the holder
// of each key: the first nonce that claims it, until that nonce is released.
//
//   ClaimLog Log;
//   Log.append(Sequence, Record);
//   if (const ClaimState *State = Log.find(digestOf(Key.text())))
//     ...
//
// A claim takes two 16-byte digests and a few words, regardless of the length
// of its key.

#ifndef MIMOSA_CLAIM_CLAIM_LOG_H
#define MIMOSA_CLAIM_CLAIM_LOG_H

#include "base/time.h"
#include "claim/claim_record.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosa {

/// The state of one key.
struct ClaimState {
  /// The nonce that holds the claim, or that released it.
  Digest Nonce;
  /// The sequence of the last record that claimed or released the key.
  uint64_t Sequence = 0;
  /// Number of the ResultCode of the outcome; -1 while there is none.
  int Code = -1;
  bool Released = false;
};

/// See the head of this file.
class ClaimLog {
public:
  /// Applies \p Record; false, without an effect, if \p Sequence is not the
  /// next one. An empty log takes any sequence.
  bool append(uint64_t Sequence, const ClaimRecord &Record);

  /// The state of \p Key; null if it was never claimed.
  const ClaimState *find(const Digest &Key) const;

  /// Sets the outcome of a claim; false if its nonce does not hold the key.
  bool setOutcome(const OutcomeEntry &Entry);

  /// The sequence of the next record; 1 for an empty log.
  uint64_t nextSequence() const { return Next; }

  /// Keys in memory.
  size_t size() const { return States.size(); }

  /// The sequence of the oldest record if it is older than \p Retention at
  /// \p NowMs (milliseconds since 1970). The newest record never expires: a log
  /// without records would start again at sequence 1, while another owner could
  /// still continue the old sequence, so that both could grant the same key.
  std::optional<uint64_t> oldestExpired(int64_t NowMs,
                                        Duration Retention) const;

  /// Drops the oldest record and the keys that no later record changed.
  void dropOldest();

  void clear();

private:
  struct AppliedRecord {
    uint64_t Sequence;
    int64_t TimeMs;
    std::vector<Digest> Keys;
  };

  void release(const ClaimPair &Pair, AppliedRecord &Applied);
  void claim(const ClaimPair &Pair, AppliedRecord &Applied);

  std::unordered_map<Digest, ClaimState, DigestHash> States;
  std::deque<AppliedRecord> Records;
  uint64_t Next = 1;
};

/// Caches the answers of recent requests by the nonce of their claim. Beyond
/// \c MaxBytes the oldest answers are dropped.
class AnswerCache {
public:
  explicit AnswerCache(size_t MaxBytes) : MaxBytes(MaxBytes) {}

  void add(const Digest &Nonce, std::string Answer);
  /// The answer of \p Nonce; empty if it is not cached.
  std::string find(const Digest &Nonce) const;
  void clear();

private:
  size_t MaxBytes;
  size_t Bytes = 0;
  std::unordered_map<Digest, std::string, DigestHash> Answers;
  std::deque<Digest> InsertionOrder;
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_LOG_H
