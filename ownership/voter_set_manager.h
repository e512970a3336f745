// The seat record as this host knows it: learning it, adopting newer versions,
// and changing it.
//
// The rule is the joint rule of Raft's membership change (Ongaro and Ousterhout
// 2014) without a log. A change first writes the new voterSet with the old ones
// as `previous`; while `previous` is not empty an owner needs both majorities.
// The record is written again without `previous` only when a majority of both
// lists has confirmed the joint version without a break for a vote's lifetime
// and the sub-request limit: by then every lease that was won under the old
// voterSet alone has expired, and the last sub-requests under it have ended.
// Only the old voterSet know how long a new owner has to wait for them.
//
// A restarted voter has forgotten which versions it has refused. It counts only
// what other voterSet tell it after it has abstained for a vote's lifetime, and
// a confirmation counts only for a vote's lifetime. So a confirmation from
// before its restart is void by the time at which it could learn an older
// version.
//
// Every change is a compare-and-swap, and only what was read from the store or
// shown by another host is used. A write whose reply is lost is settled by
// reading back; while the store is down the voterSet stay as they are.

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
  /// \p Rand must outlive the keeper.
  VoterSetManager(HostId Self, Duration SubRequestLimit, Random &Rand,
                  MonotonicTime Now);

  const VoterSet &voterSet() const { return Set; }
  /// All hosts that vote under voterSet().
  const std::set<HostId> &voters() const { return Voters; }
  /// True once the voterSet were read from the store or told by a majority of
  /// the other voterSet; before that this host does not vote.
  bool recovered() const { return Recovered; }
  /// Takes \p Newer if its version is higher.
  void adopt(const VoterSet &Newer);
  /// Takes what a host said of the voterSet; \p PeerRecovered as in VoteReply.
  /// \p AskedAt is when this host sent the request.
  void onPeerReport(const HostId &From, const VoterSet &Told,
                    bool PeerRecovered, MonotonicTime AskedAt);
  /// A voter has confirmed, in reply to a request sent at \p AskedAt, that it
  /// uses \p Version.
  void recordAcknowledgement(const HostId &VoterHost, VoterSetVersion Version,
                             MonotonicTime AskedAt, MonotonicTime Now);
  /// True if \p VoterHost is known to have the present record.
  bool hasAcknowledged(const HostId &VoterHost) const {
    return Acknowledged.count(VoterHost) > 0;
  }

  void setSubRequestLimit(Duration Limit) { SubRequestLimit = Limit; }
  /// The hosts that are to hold the voterSet, computed elsewhere.
  void setCandidates(std::vector<HostId> Hosts, MonotonicTime Now);
  /// Reads or changes the record if that is due. \p MayChange: this host is an
  /// owner and its turn to change the voterSet.
  void tick(bool MayChange, MonotonicTime Now, OwnershipActions &Out);
  /// True if the voterSet have to be asked of other hosts.
  bool mustAskPeers() const { return !Recovered && StoreHasFailed; }
  /// Reads the record from the store at the next tick.
  void requestRead(MonotonicTime Now) { NextRead = std::min(NextRead, Now); }

  /// Reply to ReadVoterSet; empty if there is no record.
  void onVoterSetRead(const std::optional<VoterSet> &Stored,
                      uint64_t StoreVersion, MonotonicTime Now);
  /// WriteVoterSet took effect.
  void onVoterSetWritten(uint64_t StoreVersion, MonotonicTime Now);
  /// WriteVoterSet met another version.
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
  /// Version of the stored value that Record was read from; empty if Record
  /// was learned elsewhere.
  std::optional<uint64_t> StoreVersion;
  std::vector<HostId> Candidates;
  MonotonicTime CandidatesSince;

  /// Time of sending of the last request that each voter has confirmed.
  std::map<HostId, MonotonicTime> Acknowledged;
  std::optional<MonotonicTime> MajoritySince;
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
