// Messages about requests that crash backend servers.

#ifndef MIMOSA_QUARANTINE_MESSAGES_H
#define MIMOSA_QUARANTINE_MESSAGES_H

#include "base/ids.h"
#include "base/message_codec.h"

#include <cstdint>

namespace mimosa {

/// Hash of the service and the query text of a request.
using Fingerprint = NumberId<struct FingerprintTag, uint64_t>;

/// Names a strike: the host that saw it, and a number within its incarnation.
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

/// Message 22: a canary of the fingerprint ended with the loss of its backend
/// server.
struct StrikeNotice {
  StrikeId Id;
  ServiceId Service;
  Fingerprint Print;
  /// Time since the strike when the notice is sent.
  Duration Age{0};
  MSGPACK_DEFINE_MAP(Id, Service, Print, Age);
};

/// Message 23: \c Sender has taken over the strike.
struct StrikeAck {
  HostId Sender;
  StrikeId Id;
  MSGPACK_DEFINE_MAP(Sender, Id);
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_MESSAGES_H
