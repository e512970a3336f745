// The records of all known members and the rules by which a claim replaces a
// record (SWIM: Das, Gupta, Motivala, DSN 2002, section 4.2). A record's
// version is its incarnation and its number of refutations; a higher version
// replaces a lower one, and for equal versions a higher state replaces a lower
// one.
//
// One rule is stricter than SWIM's: a claim that a member is dead is not taken
// over about a member that is up here. A suspect turns dead only after this
// host's own suspicion time, and for any other member the claim is Conflicting,
// upon which the caller probes it. Otherwise the hosts that were cut off, and
// so hold everyone else dead, would spread that on their return faster than the
// members can refute it. Every host hears of the suspicion within a few rounds,
// so a true death is seen no later.
//
// A change is queued to be spread to others; takeUpdates() hands out the
// records of one round.

#ifndef MIMOSA_MEMBERSHIP_MEMBER_TABLE_H
#define MIMOSA_MEMBERSHIP_MEMBER_TABLE_H

#include "base/time.h"
#include "membership/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace mimosa {

struct MemberTableOptions {
  /// Time from suspect to dead.
  Duration SuspicionTime = Milliseconds(2000);
  /// Time for which a dead member is remembered, so that the two sides of a
  /// network partition find each other again. Partitions last minutes.
  Duration DeadRetention = Seconds(3600);
  /// An update is spread for this many times log2(members) rounds.
  uint32_t RoundsFactor = 3;
  /// Records per message, which bounds the bytes of a round after a mass
  /// change: 200 short records are about 8 KB. With 50, the refutations after a
  /// short cut between 2 x 128 hosts took longer than the suspicion time.
  size_t MaxUpdatesPerMessage = 200;
};

/// A record that changed.
struct MemberChanged {
  Member Current;
  /// Empty if the member was unknown.
  std::optional<Member> Before;
};

/// What became of a claim.
enum class ClaimResult { Ignored, Changed, Conflicting };

/// True if \p Claim replaces \p Held by version and state.
bool replaces(const Member &Claim, const Member &Held);

/// The members that this host knows, itself included.
class MemberTable {
public:
  MemberTable(Member Self, MemberTableOptions Options);

  const Member &self() const { return Members.at(SelfId).Record; }
  const Member *find(const HostId &Host) const;

  /// True if \p Host is known and not dead.
  bool isPresent(const HostId &Host) const;

  /// All members that are not dead, this host included, in order of host id.
  std::vector<Member> present() const;

  /// The hosts of all other members that are not dead, or that are dead.
  std::vector<HostId> otherHosts(bool Dead) const;

  /// All records, dead ones included.
  std::vector<Member> all() const;

  /// Changes with each change of a record of a member that is not dead.
  uint64_t version() const { return Version; }

  /// A number that differs if the present members' versions or states differ.
  uint64_t digest() const;

  /// Applies another host's claim. A claim about this host that it is not up is
  /// refuted. A change is spread if \p Spread is set.
  ClaimResult apply(const Member &Claim, MonotonicTime Now, bool Spread = true);

  /// Sets this host's own state.
  void setOwnState(MemberState State);

  /// Notes that no probe reached \p Host.
  void suspect(const HostId &Host, MonotonicTime Now);

  /// Notes that \p Host answered a probe.
  void confirm(const HostId &Host);

  /// Turns members dead whose suspicion time is over and forgets those that
  /// have been dead for long.
  void expire(MonotonicTime Now);

  /// Starts all suspicion times again; for a host that could not hear
  /// refutations.
  void restartSuspicions(MonotonicTime Now);

  /// The records to send in this round, empty if there are none. Those of a new
  /// life are whole, the others short.
  std::vector<Member> takeUpdates();

  /// The changes since the last call.
  std::vector<MemberChanged> takeChanges();

private:
  struct Entry {
    Member Record;
    /// When the member turns dead, for one that is suspect, or leaving and
    /// silent.
    std::optional<MonotonicTime> DeadAt;
    MonotonicTime ForgetAt;
  };

  ClaimResult applyToOther(Entry &Held, Member Claim, MonotonicTime Now,
                           bool Spread);
  ClaimResult applyToSelf(const Member &Claim);
  void set(Entry &Held, Member Record, MonotonicTime Now, bool Spread);
  void spread(const HostId &Host);

  HostId SelfId;
  MemberTableOptions Options;
  std::map<HostId, Entry> Members;
  /// Rounds left for each record that is being spread.
  std::map<HostId, uint32_t> RoundsLeft;
  std::vector<MemberChanged> Changes;
  size_t PresentCount = 1;
  uint64_t Version = 1;
};

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_MEMBER_TABLE_H
