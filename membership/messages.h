// Messages of the membership protocol (frame types 1 to 6) and the member
// records that they carry. Every message contains its sender and the revision
// of the sender's configuration.

#ifndef MIMOSA_MEMBERSHIP_MESSAGES_H
#define MIMOSA_MEMBERSHIP_MESSAGES_H

#include "base/message_codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosa {

/// The states of a member. Between records of the same version, the higher
/// state overrides the lower one.
enum class MemberState : uint8_t {
  Joining = 0,
  Alive = 1,
  Suspect = 2,
  Leaving = 3,
  Dead = 4,
};

/// "joining", "alive", "suspect", "leaving", "dead"; "unknown" for any other
/// number.
const char *memberStateName(MemberState State);

} // namespace mimosa

MSGPACK_ADD_ENUM(mimosa::MemberState);

namespace mimosa {

/// The record of a member, as one host has it.
struct Member {
  /// Peer address, "ip:port".
  HostId Host;
  AvailabilityZoneId Zone;
  RegionId Region;
  /// Where callers connect, "ip:port".
  std::string CallerAddress;
  /// The process's start time in ms; changes only with a restart.
  Incarnation HostIncarnation;
  /// How often this incarnation has refuted a suspicion. SWIM raises the
  /// incarnation instead; a separate number distinguishes a refutation from a
  /// restart.
  uint32_t Refutations = 0;
  MemberState State = MemberState::Joining;
  // Short keys, because records make up most of the bytes of this protocol.
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("h", Host), MSGPACK_NVP("z", Zone),
                     MSGPACK_NVP("g", Region), MSGPACK_NVP("c", CallerAddress),
                     MSGPACK_NVP("i", HostIncarnation),
                     MSGPACK_NVP("r", Refutations), MSGPACK_NVP("s", State));

  /// True for a record without zone, region and caller address. It is sent when
  /// the state of a member changes whose other fields the receiver has already.
  bool isShort() const { return Zone.empty(); }
};

/// Asks whether the receiver is up (type 1).
struct Probe {
  HostId Sender;
  Revision ConfigRevision;
  uint64_t Sequence = 0;
  /// The sender's own record.
  Member Self;
  /// The sender's record of the receiver if the receiver may have to refute it.
  std::vector<Member> Updates;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Sequence, Self, Updates);
};

/// The reply to Probe, from the probed host or from the host that probed it on
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

/// Records that changed recently (type 4).
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
  /// Digest of the sender's records; the reply carries records only if the
  /// receiver's digest differs.
  uint64_t Digest = 0;
  std::vector<Member> Updates;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Self, Digest, Updates);
};

/// The reply to MembershipExchange (type 6).
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
