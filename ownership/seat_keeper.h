// The seat record as this host knows it: learning it, adopting newer versions,
// and changing it.
//
// The rule is the joint rule of Raft's membership change (Ongaro and Ousterhout
// 2014) without a log. A change first writes the new seats with the old ones as
// `previous`; while `previous` is not empty an owner needs both majorities. The
// record is written again without `previous` only when a majority of both lists
// has confirmed the joint version without a break for a vote's lifetime and the
// sub-request limit: by then every lease that was won under the old seats alone
// has expired, and the last sub-requests under it have ended. Only the old
// seats know how long a new owner has to wait for them.
//
// A restarted voter has forgotten which versions it has refused. It counts only
// what other seats tell it after it has abstained for a vote's lifetime, and a
// confirmation counts only for a vote's lifetime. So a confirmation from before
// its restart is void by the time at which it could learn an older version.
//
// Every change is a compare-and-swap, and only what was read from the store or
// shown by another host is used. A write whose reply is lost is settled by
// reading back; while the store is down the seats stay as they are.

#ifndef MIMOSA_OWNERSHIP_SEAT_KEEPER_H
#define MIMOSA_OWNERSHIP_SEAT_KEEPER_H

#include "base/random.h"
#include "ownership/actions.h"
#include "ownership/seats.h"

#include <map>
#include <optional>

namespace mimosa {

class SeatKeeper {
public:
  /// \p Rand must outlive the keeper.
  SeatKeeper(HostId Self, Duration SubRequestLimit, Random &Rand,
             MonotonicTime Now);

  const SeatRecord &record() const { return Record; }
  /// All hosts that vote under record().
  const std::set<HostId> &voters() const { return Voters; }
  /// True once the seats were read from the store or told by a majority of the
  /// other seats; before that this host does not vote.
  bool learned() const { return Learned; }
  /// Takes \p Newer if its version is higher.
  void adopt(const SeatRecord &Newer);
  /// Takes what a host said of the seats; \p PeerLearned as in VoteReply.
  /// \p AskedAt is when this host sent the request.
  void peerTold(const HostId &From, const SeatRecord &Told, bool PeerLearned,
                MonotonicTime AskedAt);
  /// A voter has confirmed, in reply to a request sent at \p AskedAt, that it
  /// uses \p Version.
  void acknowledged(const HostId &VoterHost, SeatVersion Version,
                    MonotonicTime AskedAt, MonotonicTime Now);
  /// True if \p VoterHost is known to have the present record.
  bool knowsRecord(const HostId &VoterHost) const {
    return Acknowledged.count(VoterHost) > 0;
  }

  void setSubRequestLimit(Duration Limit) { SubRequestLimit = Limit; }
  /// The hosts that are to hold the seats, computed elsewhere.
  void setCandidates(std::vector<HostId> Hosts, MonotonicTime Now);
  /// Reads or changes the record if that is due. \p MayChange: this host is an
  /// owner and its turn to change the seats.
  void tick(bool MayChange, MonotonicTime Now, OwnershipActions &Out);
  /// True if the seats have to be asked of other hosts.
  bool asksPeers() const { return !Learned && StoreHasFailed; }
  /// Reads the record from the store at the next tick.
  void readSoon(MonotonicTime Now) { ReadDue = std::min(ReadDue, Now); }

  /// Reply to ReadSeats; empty if there is no record.
  void seatsRead(const std::optional<SeatRecord> &Stored, uint64_t StoreVersion,
                 MonotonicTime Now);
  /// WriteSeats took effect.
  void seatsWritten(uint64_t StoreVersion, MonotonicTime Now);
  /// WriteSeats met another version.
  void seatsConflict(MonotonicTime Now);
  /// The store did not answer; a write may or may not have taken effect.
  void storeFailed(MonotonicTime Now);

private:
  bool isMajorityOfOthers(const std::vector<HostId> &Hosts) const;
  bool isConfirmed(MonotonicTime Now) const;
  bool isSettled(MonotonicTime Now) const;
  std::optional<SeatRecord> nextRecord(bool MayChange, MonotonicTime Now) const;
  Duration jittered(Duration Base);

  HostId Self;
  Duration SubRequestLimit;
  Random &Rand;
  MonotonicTime Started;
  SeatRecord Record;
  std::set<HostId> Voters;
  bool Learned = false;
  /// Version of the stored value that Record was read from; empty if Record
  /// was learned elsewhere.
  std::optional<uint64_t> StoreVersion;
  std::vector<HostId> Candidates;
  MonotonicTime CandidatesSince;

  /// Time of sending of the last request that each voter has confirmed.
  std::map<HostId, MonotonicTime> Acknowledged;
  std::optional<MonotonicTime> MajoritySince;
  std::set<HostId> ToldBy;

  bool StoreBusy = false;
  bool StoreHasFailed = false;
  bool StoreIsEmpty = false;
  std::optional<SeatRecord> Writing;
  Duration Backoff;
  MonotonicTime ReadDue;
  MonotonicTime CallDue;
  MonotonicTime EmptySince;
};

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_SEAT_KEEPER_H
