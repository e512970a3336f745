// Messages with which hosts exchange strikes: crashes of backend servers that
// are counted against a request.

#ifndef MIMOSA_QUARANTINE_MESSAGES_H
#define MIMOSA_QUARANTINE_MESSAGES_H

#include "base/ids.h"
#include "base/message_codec.h"

#include <cstdint>
#include <vector>

namespace mimosa {

/// Hash that is equal for equal requests; see queryFingerprint() and
/// requestFingerprint().
using Fingerprint = NumberId<struct FingerprintTag, uint64_t>;

/// Identifies a strike: the host that detected it, and a number that is unique
/// within the host's incarnation.
struct StrikeId {
  HostId Host;
  Incarnation HostIncarnation;
  uint64_t Sequence = 0;
  MSGPACK_DEFINE_MAP(Host, HostIncarnation, Sequence);
};

inline bool operator==(const StrikeId &A, const StrikeId &B) {
  return A.Sequence == B.Sequence && A.HostIncarnation == B.HostIncarnation &&
         A.Host == B.Host;
}

/// Message 22: a request with the fingerprint lost its backend server.
struct StrikeNotice {
  StrikeId Id;
  ServiceId Service;
  Fingerprint RequestFingerprint;
  /// Time since the strikes of the request last changed when the notice is
  /// sent: they expire together.
  Duration Age{0};
  /// Time since this strike. Negative if that is Age, as in a notice of a
  /// strike that has just happened, or of a host that does not know this field.
  Duration OwnAge{-1};
  MSGPACK_DEFINE_MAP(Id, Service, MSGPACK_NVP("Print", RequestFingerprint), Age,
                     OwnAge);
};

/// Message 33: a backend server has answered a request that had strikes, so
/// that these do not show that it crashes the backend servers of the service.
struct StrikeWithdrawal {
  ServiceId Service;
  Fingerprint RequestFingerprint;
  /// Time since the answer when the message is sent.
  Duration Age{0};
  MSGPACK_DEFINE_MAP(Service, MSGPACK_NVP("Print", RequestFingerprint), Age);
};

/// Message 23: \c Sender has counted the strike.
struct StrikeAck {
  HostId Sender;
  StrikeId Id;
  MSGPACK_DEFINE_MAP(Sender, Id);
};

/// Strikes that hosts compare.
enum class StrikeScope : uint8_t {
  /// Those of quarantined requests.
  Quarantined = 0,
  All = 1,
};

} // namespace mimosa

MSGPACK_ADD_ENUM(mimosa::StrikeScope)

namespace mimosa {

/// Message 28: asks for the strikes in \c Scope, unless \c Digest is that of
/// the receiver, too.
struct StrikeQuery {
  StrikeScope Scope = StrikeScope::Quarantined;
  uint64_t Digest = 0;
  MSGPACK_DEFINE_MAP(Scope, Digest);
};

/// Message 29: the strikes that a host has counted and withdrawn; empty if the
/// digests are equal.
struct StrikeReport {
  std::vector<StrikeNotice> Strikes;
  std::vector<StrikeWithdrawal> Withdrawals;
  MSGPACK_DEFINE_MAP(Strikes, Withdrawals);
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_MESSAGES_H
