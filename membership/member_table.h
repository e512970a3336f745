// The records of all known members, and the rules by which an update from
// another host overrides a record (SWIM: Das, Gupta, Motivala, DSN 2002,
// section 4.2). A record's version is its incarnation and its number of
// refutations; a higher version overrides a lower one, and for equal versions a
// higher state overrides a lower one.
//
// One rule is stricter than SWIM's: an update to dead is not applied to a
// member that is suspect, joining or alive here. A suspect turns dead only when
// this host's own suspicion time has passed. For a joining or alive member the
// update is Conflicting, and the caller probes the member. Without this rule,
// hosts that were isolated, and so declared all others dead, would spread that
// after their return faster than the members could refute it. The rule does not
// delay the detection of a real death, because the suspicion reaches every host
// within a few rounds of gossip.
//
// Each change is queued for gossip; takeUpdates() returns the records to send
// in one round.

#ifndef MIMOSA_MEMBERSHIP_MEMBER_TABLE_H
#define MIMOSA_MEMBERSHIP_MEMBER_TABLE_H

#include "base/time.h"
#include "membership/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace mimosa {

struct MemberTableOptions {
  /// Time after which a suspect turns dead unless it refutes the suspicion.
  Duration SuspicionTime = Milliseconds(2000);
  /// Time for which the record of a dead member is kept, so that the two sides
  /// of a network partition can rejoin. Partitions last minutes.
  Duration DeadRetention = Seconds(3600);
  /// A change is sent in this many times log2(members) rounds of gossip.
  uint32_t GossipRoundsFactor = 3;
  /// Records per message, which bounds the bytes of a round when many members
  /// change at once: 200 short records are about 8 KB. With 50, the refutations
  /// after a short network partition between 2 x 128 hosts took longer than the
  /// suspicion time.
  size_t MaxUpdatesPerMessage = 200;
};

/// A record that changed.
struct MemberChanged {
  Member Current;
  /// Empty if the member was unknown.
  std::optional<Member> Before;
};

/// Effect of an update. Conflicting: the member has to be probed.
enum class UpdateResult { Ignored, Changed, Conflicting };

/// True if \p Update overrides \p Existing by version and state.
bool overrides(const Member &Update, const Member &Existing);

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

  /// The hosts of all other members that are dead, or of those that are not.
  std::vector<HostId> otherHosts(bool Dead) const;

  /// All records, dead ones included.
  std::vector<Member> all() const;

  /// Increases with each change of the members that are not dead.
  uint64_t version() const { return Version; }

  /// A number that differs if the present members' versions or states differ.
  uint64_t digest() const;

  /// Applies a record from another host. If it overrides this host's own
  /// record, it is refuted. A change of another member is queued for gossip if
  /// \p Gossip is set.
  UpdateResult apply(const Member &Update, MonotonicTime Now,
                     bool Gossip = true);

  /// Sets this host's own state.
  void setOwnState(MemberState State);

  /// Makes \p Host suspect, or starts the suspicion time if it is leaving.
  void recordProbeFailure(const HostId &Host, MonotonicTime Now);

  /// Ends the suspicion time of \p Host if it is leaving.
  void recordProbeReply(const HostId &Host);

  /// Makes members dead whose suspicion time is over, and removes those that
  /// have been dead for DeadRetention.
  void expire(MonotonicTime Now);

  /// Restarts all suspicion times, after a pause in which refutations were not
  /// received.
  void restartSuspicionTimers(MonotonicTime Now);

  /// The records to send in this round of gossip, empty if there are none.
  /// Those of a new incarnation are full, the others short.
  std::vector<Member> takeUpdates();

  /// The changes since the last call.
  std::vector<MemberChanged> takeChanges();

private:
  struct Entry {
    Member Record;
    /// When the suspicion time ends; set for a member that is suspect, or that
    /// is leaving and did not answer a probe.
    std::optional<MonotonicTime> DeadAt;
    MonotonicTime ForgetAt;
  };

  UpdateResult applyToOther(Entry &Existing, Member Update, MonotonicTime Now,
                            bool Gossip);
  UpdateResult applyToSelf(const Member &Update);
  void set(Entry &Existing, Member Record, MonotonicTime Now, bool Gossip);
  void enqueueGossip(const HostId &Host);

  HostId SelfId;
  MemberTableOptions Options;
  std::map<HostId, Entry> Members;
  /// Remaining rounds of gossip for each changed record.
  std::map<HostId, uint32_t> GossipRoundsLeft;
  std::vector<MemberChanged> Changes;
  /// Number of members that are not dead.
  size_t PresentCount = 1;
  uint64_t Version = 1;
};

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_MEMBER_TABLE_H
