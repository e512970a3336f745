// Actions that the caller of Ownership has to carry out.

#ifndef MIMOSA_OWNERSHIP_ACTIONS_H
#define MIMOSA_OWNERSHIP_ACTIONS_H

#include "ownership/messages.h"

#include <variant>

namespace mimosa {

struct SendVoteRequest {
  HostId To;
  VoteRequest Message;
};

struct SendVoteReply {
  HostId To;
  VoteReply Message;
};

struct SendOwnershipRelease {
  HostId To;
  OwnershipRelease Message;
};

/// Read the stored voter set, then call onVoterSetRead() or onStoreFailure().
struct ReadVoterSet {};

/// Compare and swap the stored voter set, then call onVoterSetWritten(),
/// onVoterSetConflict() or onStoreFailure().
struct WriteVoterSet {
  VoterSet Voters;
  /// Version of the stored value; 0 to create it.
  uint64_t ExpectedVersion = 0;
};

/// This host owns the partition from now on: start its schedulers and announce
/// the owner to the host set.
struct StartDispatch {
  Partition P;
};

/// Send nothing more to the partition's backend servers. Call
/// onDispatchEnded() when its sub-requests have ended and its connections are
/// closed.
struct StopDispatch {
  Partition P;
};

using OwnershipAction =
    std::variant<SendVoteRequest, SendVoteReply, SendOwnershipRelease,
                 ReadVoterSet, WriteVoterSet, StartDispatch, StopDispatch>;
using OwnershipActions = std::vector<OwnershipAction>;

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_ACTIONS_H
