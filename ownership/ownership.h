// Decides which host owns each partition of one service's backend servers in
// one region. An owner alone may send to the backend servers of its partition.
//
// Every host of the service's host set has one instance, which is voter,
// candidate and owner in one. It performs no I/O; its caller carries out the
// actions in Out:
//
//   Ownership O(Options, Rand, Now);
//   O.setHostSet(...); O.setVoterCandidates(...); O.setPartitions(...);
//   O.tick(Now, Out);                     // every OwnershipTick
//   if (O.mayDispatch(P, Now)) ...        // before each sub-request
//
// The owner of a partition is the host that holds the votes of a majority of
// the voters. It counts its lease from the time at which it sent the vote
// request, so the voters are bound for longer than the owner relies on them.
// The preferred owner keeps requesting votes; another owner hands over to it.
// When the vote of a voter expires without a release, that voter becomes a
// candidate itself, which recovers from a crash before the membership has
// detected it.
//
// The mapping from backend servers to partitions, and so the number of
// partitions, must be the same on all hosts at all times. Votes are per
// partition: two hosts that number them differently could own the same backend
// server.

#ifndef MIMOSA_OWNERSHIP_OWNERSHIP_H
#define MIMOSA_OWNERSHIP_OWNERSHIP_H

#include "ownership/voter.h"

namespace mimosa {

/// Interval at which Ownership::tick() is to be called.
constexpr Duration OwnershipTick = Milliseconds(10);

struct OwnershipOptions {
  ServiceId Service;
  RegionId Region;
  HostId Self;
  /// Higher at each start of this host.
  Incarnation SelfIncarnation;
  /// The longest time that a sub-request may run at a backend server.
  Duration SubRequestLimit = Milliseconds(1000);
};

/// A partition and the live host that is to own it.
struct PreferredOwner {
  Partition P;
  HostId Host;
};

/// Totals since the start.
struct OwnershipCounters {
  uint64_t ElectionsWon = 0;
  uint64_t ElectionsLost = 0;
  uint64_t LeasesExpired = 0;
  uint64_t Releases = 0;
  uint64_t Pauses = 0;
};

class Ownership {
public:
  /// \p Rand must outlive the instance. \p Now is the start of the process.
  Ownership(OwnershipOptions Options, Random &Rand, MonotonicTime Now);

  // Inputs from placement, configuration and membership.
  void setHostSet(std::vector<HostId> Hosts) { HostSet = std::move(Hosts); }
  void setVoterCandidates(std::vector<HostId> Hosts, MonotonicTime Now);
  /// Sets all partitions that have backend servers; any other is released.
  void setPartitions(const std::vector<PreferredOwner> &All, MonotonicTime Now,
                     OwnershipActions &Out);
  void setSubRequestLimit(Duration Limit);
  void addAliveHost(const HostId &Host, MonotonicTime Now);
  void removeAliveHost(const HostId &Host) { AliveSince.erase(Host); }

  /// The event loop did not run for over 500 ms: drops votes and ownership.
  void onPause(MonotonicTime Now, OwnershipActions &Out);
  /// Releases all partitions and requests no more votes. The host still votes.
  void leave(MonotonicTime Now, OwnershipActions &Out);
  /// True if no partition is owned, requested or being released.
  bool ownsNothing() const;
  /// After StopDispatch: no sub-request of \p P runs any more.
  void onDispatchEnded(Partition P, MonotonicTime Now, OwnershipActions &Out);
  void tick(MonotonicTime Now, OwnershipActions &Out);

  // Messages of other hosts.
  void onVoteRequest(const VoteRequest &Request, MonotonicTime Now,
                     OwnershipActions &Out);
  void onVoteReply(const VoteReply &Reply, MonotonicTime Now,
                   OwnershipActions &Out);
  void onRelease(const OwnershipRelease &Release, MonotonicTime Now,
                 OwnershipActions &Out);
  /// \p Owner has announced, on a change or in a BackendSummary, that it owns
  /// \p Owned.
  void onOwnerAnnounced(const HostId &Owner,
                        const std::vector<Partition> &Owned);
  /// \p Host has refused a sub-request because it does not own \p P.
  void onNotOwner(Partition P, const HostId &Host);

  // Replies of the key-value service; see VoterSetManager.
  void onVoterSetRead(const std::optional<VoterSet> &Stored,
                      uint64_t StoreVersion, MonotonicTime Now) {
    VoterSets.onVoterSetRead(Stored, StoreVersion, Now);
  }
  void onVoterSetWritten(uint64_t StoreVersion, MonotonicTime Now) {
    VoterSets.onVoterSetWritten(StoreVersion, Now);
  }
  void onVoterSetConflict(MonotonicTime Now) {
    VoterSets.onVoterSetConflict(Now);
  }
  void onStoreFailure(MonotonicTime Now) { VoterSets.onStoreFailure(Now); }

  /// True if this host may send to the backend servers of \p P at \p Now.
  bool mayDispatch(Partition P, MonotonicTime Now) const;
  /// The last known owner of \p P, which may have lost the ownership since.
  std::optional<HostId> lastKnownOwner(Partition P) const;
  /// The partitions that this host owns, for its announcements.
  std::vector<Partition> ownedPartitions(MonotonicTime Now) const;
  const VoterSet &voterSet() const { return VoterSets.voterSet(); }
  const OwnershipCounters &counters() const { return Counters; }

private:
  enum class Stage : uint8_t {
    None,
    /// Has requested votes.
    Campaigning,
    /// Has the votes; sub-requests of an earlier owner may still run.
    Waiting,
    Owning,
    /// Keeps the votes until its own sub-requests have ended.
    Releasing,
  };

  struct Grant {
    MonotonicTime Expires;
    /// No earlier owner known to this voter has sub-requests after this.
    MonotonicTime ReadyAt;
  };

  struct PartitionState {
    Stage CurrentStage = Stage::None;
    HostId Preferred;
    HostId LastKnownOwner;
    std::map<HostId, Grant> Grants;
    MonotonicTime LeaseEnd;
    // Campaigning.
    VoteSequence RoundSequence;
    MonotonicTime RoundStart;
    std::set<HostId> Refusers;
    /// Longest time for which a refusing voter is still bound by its vote.
    Duration LongestRemaining{};
    MonotonicTime RetryAt;
    uint32_t FailedRounds = 0;
    /// Until then this host is the named successor of a release.
    MonotonicTime SuccessorUntil;
    // Owning and Releasing.
    MonotonicTime PreferredRequestedAt;
    HostId Successor;
    MonotonicTime ReleaseEnd;
    /// Sub-requests from an earlier ownership of this host can run until then.
    MonotonicTime BusyUntil;
  };

  /// The vote request that was sent under one sequence number.
  struct Round {
    MonotonicTime SentAt;
    std::vector<Partition> Partitions;
    /// Voters to which it was sent again with the voter set.
    std::set<HostId> Resent;
  };

  // ownership.cpp: the stages of a partition.
  void reset(PartitionState &S, MonotonicTime Now);
  /// Like reset(), but sub-requests of this host may still run.
  void dropOwnership(Partition P, PartitionState &S, MonotonicTime Now,
                     OwnershipActions &Out);
  void expireLease(Partition P, PartitionState &S, MonotonicTime Now,
                   OwnershipActions &Out);
  bool isReady(const PartitionState &S, MonotonicTime Now) const;
  void startIfReady(Partition P, PartitionState &S, MonotonicTime Now,
                    OwnershipActions &Out);
  void handOverIfRequested(Partition P, PartitionState &S, MonotonicTime Now,
                           OwnershipActions &Out);
  void beginRelease(Partition P, PartitionState &S, const HostId &Successor,
                    MonotonicTime Now, OwnershipActions &Out);
  void sendRelease(Partition P, PartitionState &S, const HostId &Successor,
                   MonotonicTime Now, OwnershipActions &Out);
  bool mayChangeVoterSet(MonotonicTime Now) const;

  // campaign.cpp: vote requests and their replies.
  bool shouldCampaign(Partition P, const PartitionState &S,
                      MonotonicTime Now) const;
  bool takeoverIsDue(Partition P, const PartitionState &S,
                     MonotonicTime Now) const;
  void requestVotes(MonotonicTime Now, OwnershipActions &Out);
  void requestVoterSetFromPeers(MonotonicTime Now, OwnershipActions &Out);
  void startRound(std::vector<Partition> Partitions, MonotonicTime Now,
                  OwnershipActions &Out);
  VoteRequest makeRequest(VoteSequence Sequence,
                          const std::vector<Partition> &Partitions) const;
  void resendWithVoterSet(const VoteReply &Reply, Round &Original,
                          OwnershipActions &Out);
  void onGrant(const VoteGrant &NewGrant, const VoteReply &Reply,
               MonotonicTime SentAt, MonotonicTime Now, OwnershipActions &Out);
  void onRefusal(const VoteRefusal &Refusal, const VoteReply &Reply,
                 MonotonicTime Now, OwnershipActions &Out);
  void onRoundLost(Partition P, PartitionState &S, MonotonicTime Now,
                   OwnershipActions &Out);
  void extendLease(PartitionState &S) const;

  OwnershipOptions Options;
  Random &Rand;
  VoterSetManager VoterSets;
  Voter Votes;
  std::vector<HostId> HostSet;
  std::map<HostId, MonotonicTime> AliveSince;
  std::map<Partition, PartitionState> States;
  std::map<VoteSequence, Round> Rounds;
  VoteSequence LastRound;
  MonotonicTime NextRenewal;
  MonotonicTime NextPeerRequest;
  uint32_t UnansweredRounds = 0;
  bool Leaving = false;
  OwnershipCounters Counters;
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_OWNERSHIP_H
