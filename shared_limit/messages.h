// The message with which hosts tell each other how much of their shared limits
// they have used; see shared_limits.h.

#ifndef MIMOSA_SHARED_LIMIT_MESSAGES_H
#define MIMOSA_SHARED_LIMIT_MESSAGES_H

#include "base/message_codec.h"

#include <vector>

namespace mimosa {

/// The name of a limit that all hosts share, such as "team/NAME".
using SharedLimitKey = TextId<struct SharedLimitKeyTag>;

/// The use of one limit.
struct LimitUsage {
  SharedLimitKey Key;
  /// Tokens taken by the sender since its process started, less refunds.
  int64_t Used = 0;
  /// Tokens left in the sender's replica.
  double Level = 0;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("k", Key), MSGPACK_NVP("u", Used),
                     MSGPACK_NVP("l", Level));
};

/// Message 26. Counts are cumulative, so that a lost message does no harm.
struct SharedUsage {
  HostId Sender;
  Incarnation Process;
  /// Increases with each report of the process.
  uint64_t Sequence = 0;
  /// The newest report that the sender has applied from the recipient; 0 if
  /// there is none.
  Incarnation AckedProcess;
  uint64_t AckedSequence = 0;
  /// All limits that the sender has used are listed, not only changes.
  bool Full = false;
  /// The sender has been in contact with the others.
  bool Settled = false;
  /// The sender takes no tokens until it sends a report without this flag.
  bool Leaving = false;
  /// The sender has no share of its own, since it is not listed: it takes
  /// tokens only together with hosts that have one.
  bool Spare = false;
  /// The recipient should report at once.
  bool WantsReply = false;
  /// Number of hosts that have a share, as far as the sender knows.
  uint32_t SharingHosts = 0;
  /// The part of all limits that the sender leaves to itself and the hosts
  /// that it is connected to.
  double Share = 0;
  /// The sender takes tokens from one level with the recipient, if the
  /// recipient agrees.
  bool InGroup = false;
  /// Sorted hashes of the hosts that the sender is in contact with.
  std::vector<uint32_t> Contacts;
  std::vector<LimitUsage> Usage;
  MSGPACK_DEFINE_MAP(
      MSGPACK_NVP("from", Sender), MSGPACK_NVP("run", Process),
      MSGPACK_NVP("seq", Sequence), MSGPACK_NVP("ack_run", AckedProcess),
      MSGPACK_NVP("ack", AckedSequence), MSGPACK_NVP("full", Full),
      MSGPACK_NVP("settled", Settled), MSGPACK_NVP("leaving", Leaving),
      MSGPACK_NVP("spare", Spare), MSGPACK_NVP("reply", WantsReply),
      MSGPACK_NVP("hosts", SharingHosts), MSGPACK_NVP("share", Share),
      MSGPACK_NVP("group", InGroup), MSGPACK_NVP("contacts", Contacts),
      MSGPACK_NVP("usage", Usage));
};

} // namespace mimosa

#endif // MIMOSA_SHARED_LIMIT_MESSAGES_H
