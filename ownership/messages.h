// Frames of ownership (types 12 to 14) and the seat record that the key-value
// service keeps. One VoteRequest carries all partitions for which a host asks
// or renews votes, so that renewal costs one frame per seat and service.

#ifndef MIMOSA_OWNERSHIP_MESSAGES_H
#define MIMOSA_OWNERSHIP_MESSAGES_H

#include "base/message_codec.h"

#include <vector>

namespace mimosa {

/// A partition of one service's backend servers within a region. The way from
/// backend servers to partitions must be the same on all hosts at all times.
using Partition = NumberId<struct PartitionTag, uint32_t>;
/// Version of a seat record; 0 stands for no record.
using VoterSetVersion = NumberId<struct VoterSetVersionTag, uint64_t>;
/// Counts the requests of one incarnation of a candidate.
using VoteSequence = NumberId<struct VoteSequenceTag, uint64_t>;

/// The voters of one service and region. While Previous is not empty, a
/// majority of both lists is needed.
struct VoterSet {
  VoterSetVersion Version;
  std::vector<HostId> Current;
  std::vector<HostId> Previous;
  MSGPACK_DEFINE_MAP(Version, MSGPACK_NVP("Seats", Current), Previous);
};

/// Candidate or owner to voter. Without partitions it asks for the voterSet
/// only.
struct VoteRequest {
  ServiceId Service;
  RegionId Region;
  HostId Candidate;
  Incarnation CandidateIncarnation;
  VoteSequence Sequence;
  VoterSetVersion Version;
  /// Sent while the voter is not known to have Version.
  VoterSet Voters;
  std::vector<Partition> Partitions;
  MSGPACK_DEFINE_MAP(Service, Region, Candidate, CandidateIncarnation, Sequence,
                     Version, MSGPACK_NVP("Record", Voters), Partitions);
};

struct VoteGrant {
  Partition For;
  /// Time until the sub-requests of an earlier owner have surely ended.
  Duration Wait{};
  MSGPACK_DEFINE_MAP(For, Wait);
};

struct VoteRefusal {
  Partition For;
  HostId Holder;
  /// Time until the holder's vote expires unless it is renewed.
  Duration Remaining{};
  MSGPACK_DEFINE_MAP(For, Holder, Remaining);
};

/// Voter to candidate.
struct VoteReply {
  ServiceId Service;
  RegionId Region;
  HostId Voter;
  /// Of the request.
  Incarnation CandidateIncarnation;
  VoteSequence Sequence;
  VoterSetVersion Version;
  /// Sent if the request's version is lower.
  VoterSet Voters;
  /// The voter has learned the voterSet.
  bool Recovered = false;
  std::vector<VoteGrant> Granted;
  std::vector<VoteRefusal> Refused;
  MSGPACK_DEFINE_MAP(Service, Region, Voter, CandidateIncarnation, Sequence,
                     Version, MSGPACK_NVP("Record", Voters),
                     MSGPACK_NVP("Learned", Recovered), Granted, Refused);
};

/// Owner or candidate to voters and to the successor: it gives up its votes.
struct OwnershipRelease {
  ServiceId Service;
  RegionId Region;
  HostId Owner;
  Incarnation OwnerIncarnation;
  /// Requests up to this one are void.
  VoteSequence Sequence;
  std::vector<Partition> Partitions;
  /// The host that is to take over; empty if there is none.
  HostId Successor;
  /// Time until the sender's own sub-requests have surely ended. Not 0 if it
  /// lost the ownership before, and asked for votes again in vain.
  Duration Busy{};
  MSGPACK_DEFINE_MAP(Service, Region, Owner, OwnerIncarnation, Sequence,
                     Partitions, Successor, Busy);
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_MESSAGES_H
