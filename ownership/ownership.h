// Who owns the partitions of one service's backend servers in one region.
//
// Every host of the service's host set has one instance. It is voter, candidate
// and owner in one:
//
//   Ownership O(Options, Rand, Now);
//   O.setHostSet(...); O.setVoterCandidates(...); O.setPartitions(...);
//   O.tick(Now, Out);                     // every OwnershipTick
//   if (O.mayDispatch(P, Now)) ...        // before each send
//
// The owner of a partition is the host that holds the votes of a majority of
// the voterSet. It counts its lease from the time at which it sent the request,
// so the voters are bound for longer than it relies on them. The preferred
// owner asks for votes all the time; another owner hands over to it. When the
// vote of a seat expires without a release, that seat takes over by itself: it
// learns of a crash sooner than the membership does.
//
// The way from backend servers to partitions, and so the number of partitions,
// must be the same on all hosts at all times. Votes are per partition: two
// hosts that number them differently could own the same backend server.

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

  // What is computed elsewhere.
  void setHostSet(std::vector<HostId> Hosts) { HostSet = std::move(Hosts); }
  void setVoterCandidates(std::vector<HostId> Hosts, MonotonicTime Now);
  /// All partitions that have backend servers. One that is missing is
  /// onRelease.
  void setPartitions(const std::vector<PreferredOwner> &All, MonotonicTime Now,
                     OwnershipActions &Out);
  void setSubRequestLimit(Duration Limit);
  void addAliveHost(const HostId &Host, MonotonicTime Now);
  void removeAliveHost(const HostId &Host) { AliveSince.erase(Host); }

  /// The event loop stood still for over 500 ms: drops votes and ownership.
  void onPause(MonotonicTime Now, OwnershipActions &Out);
  /// Releases everything and asks for no more votes; the host goes on voting.
  void leave(MonotonicTime Now, OwnershipActions &Out);
  /// True if nothing is ownedPartitions or in the course of release.
  bool ownsNothing() const;
  /// No sub-request of \p P runs any more, after StopDispatch.
  void onDispatchEnded(Partition P, MonotonicTime Now, OwnershipActions &Out);
  void tick(MonotonicTime Now, OwnershipActions &Out);

  // Frames.
  void onVoteRequest(const VoteRequest &Request, MonotonicTime Now,
                     OwnershipActions &Out);
  void onVoteReply(const VoteReply &Reply, MonotonicTime Now,
                   OwnershipActions &Out);
  void onRelease(const OwnershipRelease &Release, MonotonicTime Now,
                 OwnershipActions &Out);
  /// A host has said, on a change or in a BackendSummary, that it owns \p
  /// Owned.
  void onOwnerReport(const HostId &Owner, const std::vector<Partition> &Owned);
  /// \p Host has refused a sub-request because it does not own \p P.
  void onNotOwner(Partition P, const HostId &Host);

  // The key-value service; see VoterSetManager.
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
  /// The host that is believed to own \p P. The belief can be wrong.
  std::optional<HostId> lastKnownOwner(Partition P) const;
  /// The partitions that this host owns, to be announced.
  std::vector<Partition> ownedPartitions(MonotonicTime Now) const;
  const VoterSet &voterSet() const { return VoterSets.voterSet(); }
  const OwnershipCounters &counters() const { return Counters; }

private:
  enum class Stage : uint8_t {
    None,
    /// A round of votes is under way.
    Campaigning,
    /// Has the votes; an earlier owner's sub-requests may still run.
    Waiting,
    Owning,
    /// Keeps the votes until its own sub-requests have ended.
    Releasing,
  };

  struct Grant {
    MonotonicTime Expires;
    /// No earlier owner that this voter knew has sub-requests after this.
    MonotonicTime Ready;
  };

  struct State {
    Stage Now = Stage::None;
    HostId Preferred;
    HostId LastKnownOwner;
    std::map<HostId, Grant> Grants;
    MonotonicTime LeaseEnd;
    // Campaigning.
    VoteSequence Round;
    MonotonicTime RoundStart;
    std::set<HostId> Refusers;
    Duration LongestRemaining{};
    MonotonicTime RetryAt;
    uint32_t FailedRounds = 0;
    /// This host was named as successor until then.
    MonotonicTime SuccessorUntil;
    // Owning and Releasing.
    MonotonicTime PreferredRequestedAt;
    HostId Successor;
    MonotonicTime ReleaseEnd;
    /// Sub-requests from an ownership that was lost can run until then.
    MonotonicTime BusyUntil;
  };

  struct Round {
    MonotonicTime SentAt;
    std::vector<Partition> Partitions;
    std::set<HostId> Resent;
  };

  // ownership.cpp: the stages of a partition.
  void reset(State &S, MonotonicTime Now);
  /// As reset(), without the end of the sub-requests.
  void dropOwnership(Partition P, State &S, MonotonicTime Now,
                     OwnershipActions &Out);
  void expireLease(Partition P, State &S, MonotonicTime Now,
                   OwnershipActions &Out);
  bool isReady(const State &S, MonotonicTime Now) const;
  void startIfReady(Partition P, State &S, MonotonicTime Now,
                    OwnershipActions &Out);
  void handOverIfRequested(Partition P, State &S, MonotonicTime Now,
                           OwnershipActions &Out);
  void beginRelease(Partition P, State &S, const HostId &Successor,
                    MonotonicTime Now, OwnershipActions &Out);
  void sendRelease(Partition P, State &S, const HostId &Successor,
                   MonotonicTime Now, OwnershipActions &Out);
  bool mayChangeVoterSet(MonotonicTime Now) const;

  // campaign.cpp: rounds of votes.
  bool shouldCampaign(Partition P, const State &S, MonotonicTime Now) const;
  bool takeoverIsDue(Partition P, const State &S, MonotonicTime Now) const;
  void requestVotes(MonotonicTime Now, OwnershipActions &Out);
  void askPeersForVoterSet(MonotonicTime Now, OwnershipActions &Out);
  void startRound(std::vector<Partition> Partitions, MonotonicTime Now,
                  OwnershipActions &Out);
  VoteRequest makeRequest(VoteSequence Sequence,
                          const std::vector<Partition> &Partitions) const;
  void resendWithVoterSet(const VoteReply &Reply, Round &Asked,
                          OwnershipActions &Out);
  void onGrant(const VoteGrant &Given, const VoteReply &Reply,
               MonotonicTime SentAt, MonotonicTime Now, OwnershipActions &Out);
  void onRefusal(const VoteRefusal &Refusal, const VoteReply &Reply,
                 MonotonicTime Now, OwnershipActions &Out);
  void onRoundLost(Partition P, State &S, MonotonicTime Now,
                   OwnershipActions &Out);
  void extendLease(State &S) const;

  OwnershipOptions Options;
  Random &Rand;
  VoterSetManager VoterSets;
  Voter Votes;
  std::vector<HostId> HostSet;
  std::map<HostId, MonotonicTime> AliveSince;
  std::map<Partition, State> States;
  std::map<VoteSequence, Round> Rounds;
  VoteSequence LastRound;
  MonotonicTime RenewAt;
  MonotonicTime AskPeersAt;
  uint32_t SilentRounds = 0;
  bool Leaving = false;
  OwnershipCounters Counters;
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_OWNERSHIP_H
