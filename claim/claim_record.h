// One record of a service's claim log. It is stored in the key-value service as
// JSON under `claims/<service>/<sequence>`:
//
//   {"owner":"10.0.0.1:7000","incarnation":5,"batch":17,"time_ms":1764824400000,
//    "outcomes":[["<key>","<nonce>",0]],"released":[["<key>","<nonce>"]],
//    "claimed":[["<key>","<nonce>"]]}
//
// Keys and nonces are 128-bit digests in hexadecimal. The lists are applied in
// the order outcomes, released, claimed. The combination of `owner`,
// `incarnation` and `batch` is unique, so that the writer of a record
// recognizes it after the reply to the write was lost.

#ifndef MIMOSA_CLAIM_CLAIM_RECORD_H
#define MIMOSA_CLAIM_CLAIM_RECORD_H

#include "base/ids.h"
#include "base/result.h"
#include "claim/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// A 128-bit hash (XXH3).
struct Digest {
  uint64_t High = 0;
  uint64_t Low = 0;

  friend bool operator==(const Digest &A, const Digest &B) {
    return A.High == B.High && A.Low == B.Low;
  }
  friend bool operator!=(const Digest &A, const Digest &B) { return !(A == B); }
};

struct DigestHash {
  size_t operator()(const Digest &D) const { return D.Low; }
};

Digest digestOf(std::string_view Text);
Digest digestOf(const ClaimNonce &Nonce);

/// A key and the nonce that claims or releases it.
struct ClaimPair {
  Digest Key;
  Digest Nonce;
};

/// The outcome of the claim of a key.
struct OutcomeEntry {
  ClaimPair Claim;
  /// Number of a ResultCode.
  int Code = 0;
};

struct ClaimRecord {
  HostId Owner;
  Incarnation OwnerIncarnation;
  /// Counts the batches of this incarnation.
  uint64_t Batch = 0;
  /// The writer's clock, in milliseconds since 1970 (UTC).
  int64_t TimeMs = 0;
  std::vector<OutcomeEntry> Outcomes;
  std::vector<ClaimPair> Released;
  std::vector<ClaimPair> Claimed;
};

/// Encodes \p Record as JSON.
std::string printClaimRecord(const ClaimRecord &Record);

/// Decodes a record; fails with BadJson, MissingField or BadField. An unknown
/// field is an error, because a claim that is ignored could be granted twice.
Result<ClaimRecord> parseClaimRecord(std::string_view Text);

/// The prefix of the keys of the log of \p Service.
std::string claimPrefix(const ServiceId &Service);

/// The key of a record; keys sort by sequence.
std::string claimRecordKey(const ServiceId &Service, uint64_t Sequence);

/// The sequence in \p Key; nothing if \p Key is not a record key of \p Service.
std::optional<uint64_t> claimSequence(const ServiceId &Service,
                                      const std::string &Key);

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_RECORD_H
