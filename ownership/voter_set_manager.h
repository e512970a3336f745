// Keeps this host's copy of the voter set: recovers it after the start, adopts
// newer versions, and changes it.
//
// A change follows Raft's joint consensus (Ongaro and Ousterhout 2014), without
// a log. The first write stores the new voters as Current and the old ones as
// Previous; while Previous is not empty an owner needs a majority of each. The
// second write, which empties Previous, is made only when a majority of both
// lists has acknowledged the joint version without a break for a vote's
// lifetime plus the sub-request limit. By then every lease that was won under
// the old voters alone has expired, and the last sub-requests under it have
// ended. The wait is needed because only the old voters can report how long a
// new owner must wait for those sub-requests.
//
// A restarted voter has lost the versions that it had refused. It accepts
// reports of other voters only after it has abstained for a vote's lifetime,
// and an acknowledgement is valid for no longer than a vote. An acknowledgement
// from before the restart has therefore expired when the voter could recover an
// older version.
//
// Each change is a compare-and-swap, and only a voter set that was read from
// the store or sent by another host is used. If the reply to a write is lost,
// the manager reads the stored value back. While the store is down the voter
// set stays as it is.

#ifndef MIMOSA_OWNERSHIP_VOTER_SET_MANAGER_H
#define MIMOSA_OWNERSHIP_VOTER_SET_MANAGER_H

#include "base/random.h"
#include "ownership/actions.h"
#include "ownership/voter_set.h"

#include <map>
#include <optional>

namespace mimosa {

class VoterSetManager {
public:
  /// \p Rand must outlive the manager.
  VoterSetManager(HostId Self, Duration SubRequestLimit, Random &Rand,
                  MonotonicTime Now);

  const VoterSet &voterSet() const { return Set; }
  /// The current and previous voters of voterSet().
  const std::set<HostId> &voters() const { return Voters; }
  /// True once the voter set was read from the store or reported by a majority
  /// of the other voters; until then this host does not vote.
  bool recovered() const { return Recovered; }
  /// Replaces the voter set by \p Newer if its version is higher.
  void adopt(const VoterSet &Newer);
  /// Handles the voter set in the reply of \p From to a request that was sent
  /// at \p RequestedAt; \p PeerRecovered is VoteReply::Recovered.
  void onPeerReport(const HostId &From, const VoterSet &Reported,
                    bool PeerRecovered, MonotonicTime RequestedAt);
  /// Notes that a voter uses \p Version, from its reply to a request that was
  /// sent at \p RequestedAt.
  void recordAcknowledgement(const HostId &VoterHost, VoterSetVersion Version,
                             MonotonicTime RequestedAt, MonotonicTime Now);
  /// True if \p VoterHost has acknowledged the version of voterSet().
  bool hasAcknowledged(const HostId &VoterHost) const {
    return Acknowledged.count(VoterHost) > 0;
  }

  void setSubRequestLimit(Duration Limit) { SubRequestLimit = Limit; }
  /// Sets the hosts that are to be the voters, as placement chooses them.
  void setCandidates(std::vector<HostId> Hosts, MonotonicTime Now);
  /// Reads or changes the stored voter set if that is due. \p MayChange is true
  /// if this host is the one that may change it now.
  void tick(bool MayChange, MonotonicTime Now, OwnershipActions &Out);
  /// True if the voter set has to be requested from other hosts, because the
  /// store has failed.
  bool mustRequestFromPeers() const { return !Recovered && StoreHasFailed; }
  /// Has the voter set read from the store at the next tick.
  void requestRead(MonotonicTime Now) { NextRead = std::min(NextRead, Now); }

  /// Result of ReadVoterSet; \p Stored is empty if no voter set is stored.
  void onVoterSetRead(const std::optional<VoterSet> &Stored,
                      uint64_t StoreVersion, MonotonicTime Now);
  /// WriteVoterSet took effect.
  void onVoterSetWritten(uint64_t StoreVersion, MonotonicTime Now);
  /// WriteVoterSet found another version in the store.
  void onVoterSetConflict(MonotonicTime Now);
  /// The store did not answer; a write may or may not have taken effect.
  void onStoreFailure(MonotonicTime Now);

private:
  bool isMajorityOfPeers(const std::vector<HostId> &Hosts) const;
  bool isAcknowledgedByMajority(MonotonicTime Now) const;
  bool canEndJointPhase(MonotonicTime Now) const;
  std::optional<VoterSet> nextVoterSet(bool MayChange, MonotonicTime Now) const;
  Duration jittered(Duration Base);

  HostId Self;
  Duration SubRequestLimit;
  Random &Rand;
  MonotonicTime Started;
  VoterSet Set;
  std::set<HostId> Voters;
  bool Recovered = false;
  /// Version of the stored value that Set was read from; empty if Set came from
  /// another host.
  std::optional<uint64_t> StoreVersion;
  std::vector<HostId> Candidates;
  MonotonicTime CandidatesSince;

  /// When the last request was sent to which each voter replied with the
  /// version of Set.
  std::map<HostId, MonotonicTime> Acknowledged;
  /// Since when a majority has acknowledged Set without a break.
  std::optional<MonotonicTime> MajoritySince;
  /// The hosts whose reports count towards recovered().
  std::set<HostId> Reporters;

  bool StoreCallInFlight = false;
  bool StoreHasFailed = false;
  bool StoreIsEmpty = false;
  std::optional<VoterSet> PendingWrite;
  Duration Backoff;
  MonotonicTime NextRead;
  MonotonicTime NextStoreCall;
  MonotonicTime EmptySince;
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_VOTER_SET_MANAGER_H
