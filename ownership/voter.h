// The votes that this host has granted.
//
// A voter votes for one owner per partition at a time, until the vote expires
// or the owner releases it. A grant also carries the time that the new owner
// has to wait: the last sub-requests of an owner whose vote expired can still
// run for the sub-request limit. Any two majorities share a voter, so the
// longest wait in a majority of grants covers every earlier owner, in whatever
// order releases, crashes and lost elections occurred.

#ifndef MIMOSA_OWNERSHIP_VOTER_H
#define MIMOSA_OWNERSHIP_VOTER_H

#include "ownership/voter_set_manager.h"

#include <map>
#include <optional>

namespace mimosa {

class Voter {
public:
  /// A voter abstains for a vote's lifetime after its start, because it may
  /// have voted before a restart.
  Voter(HostId Self, Duration SubRequestLimit, MonotonicTime Now);

  /// Discards all votes and abstains, as after a restart.
  void reset(MonotonicTime Now);
  /// Applies to votes that expire from now on.
  void setSubRequestLimit(Duration Limit) { SubRequestLimit = Limit; }

  /// Adopts the voter set in \p Request if it is newer, then votes.
  VoteReply answer(const VoteRequest &Request, VoterSetManager &VoterSets,
                   MonotonicTime Now);
  /// Ends the votes for the sender of \p Release.
  void onRelease(const OwnershipRelease &Release, MonotonicTime Now);

  /// Since when this voter may take over \p P by itself, because it has no vote
  /// for another host; empty while a vote is granted or the voter abstains.
  std::optional<MonotonicTime> freeSince(Partition P, MonotonicTime Now) const;

private:
  struct Vote {
    HostId Holder;
    Incarnation HolderIncarnation;
    /// Requests of the holder up to this one are void.
    VoteSequence VoidUpTo;
    /// The last request of the holder that this voter granted.
    VoteSequence LastGranted;
    bool Granted = false;
    MonotonicTime Expires;
    /// Sub-requests of an earlier owner can run until then.
    MonotonicTime BusyUntil;
    MonotonicTime FreeSince;
  };

  Vote &voteOn(Partition P, MonotonicTime Now);
  void expire(Vote &V, MonotonicTime Now) const;

  HostId Self;
  Duration SubRequestLimit;
  MonotonicTime AbstainUntil;
  /// Value of BusyUntil for partitions without an entry in Votes.
  MonotonicTime UnknownBusyUntil;
  std::map<Partition, Vote> Votes;
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_VOTER_H
