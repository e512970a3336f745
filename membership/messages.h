// Messages of the membership protocol (frame types 1 to 6) and the record of a
// member that they carry. Every message names its sender and the revision of
// the sender's configuration.

#ifndef MIMOSA_MEMBERSHIP_MESSAGES_H
#define MIMOSA_MEMBERSHIP_MESSAGES_H

#include "base/message_codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosa {

/// The states of a member. For one version of a member, a higher number
/// replaces a lower one.
enum class MemberState : uint8_t {
  Joining = 0,
  Alive = 1,
  Suspect = 2,
  Leaving = 3,
  Dead = 4,
};

/// "joining", "alive", "suspect", "leaving", "dead"; "unknown" for a number
/// that this version does not know.
const char *memberStateName(MemberState State);

} // namespace mimosa

MSGPACK_ADD_ENUM(mimosa::MemberState);

namespace mimosa {

/// What one host claims about a member.
struct Member {
  /// Peer address, "ip:port".
  HostId Host;
  AvailabilityZoneId Zone;
  RegionId Region;
  /// Where callers connect, "ip:port".
  std::string CallerAddress;
  /// The process's start time in ms; changes only with a restart.
  Incarnation HostIncarnation;
  /// How often this life has refuted a suspicion. SWIM raises the incarnation
  /// instead; a separate number keeps a refutation from looking like a restart.
  uint32_t Refutations = 0;
  MemberState State = MemberState::Joining;
  // Short names, because records are most of the bytes of this protocol.
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("h", Host), MSGPACK_NVP("z", Zone),
                     MSGPACK_NVP("g", Region), MSGPACK_NVP("c", CallerAddress),
                     MSGPACK_NVP("i", HostIncarnation),
                     MSGPACK_NVP("r", Refutations), MSGPACK_NVP("s", State));

  /// True for a record without zone, region and caller address. It is sent for
  /// a change of a member whose other fields the receiver knows.
  bool isShort() const { return Zone.empty(); }
};

/// Asks whether the receiver is up (type 1).
struct Probe {
  HostId Sender;
  Revision ConfigRevision;
  uint64_t Sequence = 0;
  /// The sender's own record.
  Member Self;
  /// The receiver's record at the sender if the receiver may have to refute it.
  std::vector<Member> Updates;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Sequence, Self, Updates);
};

/// The answer to Probe, from the probed host or from the host that probed it on
/// the receiver's behalf (type 2).
struct ProbeReply {
  HostId Sender;
  Revision ConfigRevision;
  /// Of the receiver's Probe or IndirectProbe.
  uint64_t Sequence = 0;
  /// The probed host's own record.
  Member Probed;
  std::vector<Member> Updates;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Sequence, Probed, Updates);
};

/// Asks the receiver to probe \c Target (type 3).
struct IndirectProbe {
  HostId Sender;
  Revision ConfigRevision;
  uint64_t Sequence = 0;
  HostId Target;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Sequence, Target);
};

/// Records that changed lately (type 4).
struct MembershipUpdate {
  HostId Sender;
  Revision ConfigRevision;
  std::vector<Member> Updates;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Updates);
};

/// Starts a full exchange (type 5).
struct MembershipExchange {
  HostId Sender;
  Revision ConfigRevision;
  Member Self;
  /// Digest of the sender's records; the records follow only if it differs.
  uint64_t Digest = 0;
  std::vector<Member> Updates;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Self, Digest, Updates);
};

/// The answer to MembershipExchange (type 6).
struct MembershipExchangeReply {
  HostId Sender;
  Revision ConfigRevision;
  /// All records of the sender; empty if the digests were equal.
  std::vector<Member> Members;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Members);
};

using MembershipMessage =
    std::variant<Probe, ProbeReply, IndirectProbe, MembershipUpdate,
                 MembershipExchange, MembershipExchangeReply>;

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_MESSAGES_H
