// Messages of partition ownership (frame types 12 to 14) and the voter set that
// the key-value service stores. One VoteRequest requests or renews the votes
// for all partitions of a candidate, so that renewal costs one frame per voter
// and service.

#ifndef MIMOSA_OWNERSHIP_MESSAGES_H
#define MIMOSA_OWNERSHIP_MESSAGES_H

#include "base/message_codec.h"

#include <vector>

namespace mimosa {

/// A partition of one service's backend servers within a region. The mapping
/// from backend servers to partitions must be the same on all hosts at all
/// times.
using Partition = NumberId<struct PartitionTag, uint32_t>;
/// Version of a voter set; 0 stands for no voter set.
using VoterSetVersion = NumberId<struct VoterSetVersionTag, uint64_t>;
/// Numbers the vote requests of one incarnation of a candidate.
using VoteSequence = NumberId<struct VoteSequenceTag, uint64_t>;

/// The voters of one service and region. While Previous is not empty, the set
/// is in Raft's joint phase: an owner needs a majority of each list.
struct VoterSet {
  VoterSetVersion Version;
  std::vector<HostId> Current;
  std::vector<HostId> Previous;
  MSGPACK_DEFINE_MAP(Version, MSGPACK_NVP("Seats", Current), Previous);
};

/// Candidate or owner to voter. Without partitions it requests the voter set
/// only.
struct VoteRequest {
  ServiceId Service;
  RegionId Region;
  HostId Candidate;
  Incarnation CandidateIncarnation;
  VoteSequence Sequence;
  VoterSetVersion Version;
  /// Empty once the voter has acknowledged Version.
  VoterSet Voters;
  std::vector<Partition> Partitions;
  MSGPACK_DEFINE_MAP(Service, Region, Candidate, CandidateIncarnation, Sequence,
                     Version, MSGPACK_NVP("Record", Voters), Partitions);
};

struct VoteGrant {
  Partition For;
  /// Time after which no sub-request of an earlier owner can still run.
  Duration Wait{};
  MSGPACK_DEFINE_MAP(For, Wait);
};

struct VoteRefusal {
  Partition For;
  HostId Holder;
  /// Time until the holder's vote expires if it is not renewed.
  Duration Remaining{};
  MSGPACK_DEFINE_MAP(For, Holder, Remaining);
};

/// Voter to candidate.
struct VoteReply {
  ServiceId Service;
  RegionId Region;
  HostId Voter;
  /// Of the request, like Sequence.
  Incarnation CandidateIncarnation;
  VoteSequence Sequence;
  VoterSetVersion Version;
  /// Empty unless the request's version is lower.
  VoterSet Voters;
  /// The voter has recovered the voter set since its start; see
  /// VoterSetManager::recovered().
  bool Recovered = false;
  std::vector<VoteGrant> Granted;
  std::vector<VoteRefusal> Refused;
  MSGPACK_DEFINE_MAP(Service, Region, Voter, CandidateIncarnation, Sequence,
                     Version, MSGPACK_NVP("Record", Voters),
                     MSGPACK_NVP("Learned", Recovered), Granted, Refused);
};

/// Owner or candidate to voters and successor: the sender releases its votes.
struct OwnershipRelease {
  ServiceId Service;
  RegionId Region;
  HostId Owner;
  Incarnation OwnerIncarnation;
  /// Vote requests up to this one are void.
  VoteSequence Sequence;
  std::vector<Partition> Partitions;
  /// The host that is to take over; empty if there is none.
  HostId Successor;
  /// Time after which no sub-request of the sender can still run. Not 0 if it
  /// lost the ownership without a release less than the sub-request limit ago.
  Duration Busy{};
  MSGPACK_DEFINE_MAP(Service, Region, Owner, OwnerIncarnation, Sequence,
                     Partitions, Successor, Busy);
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_MESSAGES_H
