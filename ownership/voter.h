// The votes that this host has given.
//
// A voter votes for one owner per partition at a time, until the vote expires
// or the owner releases it. A grant also says how long the new owner has to
// wait: a vote that expired may have belonged to an owner whose last
// sub-requests still run for the sub-request limit. Any two majorities share a
// voter, so the longest wait in a majority of grants covers every earlier owner
// whatever order releases, crashes and losing candidates came in.

#ifndef MIMOSA_OWNERSHIP_VOTER_H
#define MIMOSA_OWNERSHIP_VOTER_H

#include "ownership/voter_set_manager.h"

#include <map>
#include <optional>

namespace mimosa {

class Voter {
public:
  /// A voter that has just started; it abstains for a vote's lifetime, because
  /// it may have voted before its restart.
  Voter(HostId Self, Duration SubRequestLimit, MonotonicTime Now);

  /// Forgets all votes, and abstains like a restarted voter.
  void reset(MonotonicTime Now);
  /// A change applies to votes that expire from now on.
  void setSubRequestLimit(Duration Limit) { SubRequestLimit = Limit; }

  /// Takes over a newer seat record in \p Request, then votes.
  VoteReply answer(const VoteRequest &Request, VoterSetManager &VoterSets,
                   MonotonicTime Now);
  /// Frees the votes for the sender of \p Release.
  void onRelease(const OwnershipRelease &Release, MonotonicTime Now);

  /// Time from which a seat may take over \p P by itself, because no vote was
  /// given to another host; empty while this voter's vote is given or it
  /// abstains.
  std::optional<MonotonicTime> freeSince(Partition P, MonotonicTime Now) const;

private:
  struct Vote {
    HostId Holder;
    Incarnation HolderIncarnation;
    /// Requests of the holder up to this one are void.
    VoteSequence VoidUpTo;
    /// The last request of the holder that was granted.
    VoteSequence LastGranted;
    bool Given = false;
    MonotonicTime Expires;
    /// An earlier owner's sub-requests may run until then.
    MonotonicTime BusyUntil;
    MonotonicTime FreeSince;
  };

  Vote &voteOn(Partition P, MonotonicTime Now);
  void expire(Vote &V, MonotonicTime Now) const;

  HostId Self;
  Duration SubRequestLimit;
  MonotonicTime AbstainUntil;
  /// Busy time of partitions on which no vote is known.
  MonotonicTime UnknownBusyUntil;
  std::map<Partition, Vote> Votes;
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_VOTER_H
