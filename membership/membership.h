// Which hosts are up: SWIM (Das, Gupta, Motivala, DSN 2002) with suspicion, as
// set out in docs/design.md, 4.3. The class takes ticks and messages and
// returns the messages to send and the changes that others need to know:
//
//   Membership Members(Self, Seeds, Choices);
//   perform(Members.start(Now));
//   perform(Members.onTick(Now));              // every 100 ms
//   perform(Members.onMessage(Message, Now));
//
// The cost of a host in the steady state does not depend on the number of
// members: 2 probes a second, as many answers, and one exchange in 30 s. Each
// host sends one more exchange in 30 s to a member that it holds dead or to a
// seed that it does not know, which joins the sides of a network partition
// again after it has healed.
//
// A host that was paused cannot tell whose answers it missed. After a gap of
// over 500 ms it drops its open probes and gives every suspect the full
// suspicion time again.

#ifndef MIMOSA_MEMBERSHIP_MEMBERSHIP_H
#define MIMOSA_MEMBERSHIP_MEMBERSHIP_H

#include "membership/member_table.h"
#include "membership/prober.h"

#include <variant>
#include <vector>

namespace mimosa {

struct MembershipOptions {
  Duration ProbeInterval = Milliseconds(500);
  /// Time for a direct answer.
  Duration ProbeTimeout = Milliseconds(300);
  /// Time for an answer through another member, which takes two hops more.
  Duration IndirectTimeout = Milliseconds(400);
  size_t IndirectProbes = 3;
  Duration SpreadInterval = Milliseconds(200);
  size_t SpreadTargets = 3;
  Duration ExchangeInterval = Seconds(30);
  /// Time between exchanges while no other member is known.
  Duration JoinInterval = Milliseconds(500);
  /// Time after which a host that reached no seed takes part alone.
  Duration JoinTimeout = Milliseconds(3000);
  /// A longer gap between two ticks is a pause of this process.
  Duration PauseGap = Milliseconds(500);
  MemberTableOptions Table;
};

/// Send \c Message to \c To; it may be lost.
struct SendMessage {
  HostId To;
  MembershipMessage Message;
};

/// This process did not run for \c Gap.
struct PauseDetected {
  Duration Gap{};
};

/// \c Peer has \c PeerRevision, which is above this host's revision.
struct RevisionAnnounced {
  HostId Peer;
  Revision PeerRevision;
};

using MembershipAction =
    std::variant<SendMessage, MemberChanged, PauseDetected, RevisionAnnounced>;
using MembershipActions = std::vector<MembershipAction>;

/// This host's view of the members.
class Membership {
public:
  /// \p Self is this host's record; its state is set here. \p Seeds are hosts
  /// that may be up, from the platform's list. \p Choices must outlive this.
  Membership(Member Self, std::vector<HostId> Seeds, Random &Choices,
             MembershipOptions Options = {});

  /// Joins through the seeds; at once alive if there are none.
  MembershipActions start(MonotonicTime Now);

  /// Call at least every 100 ms.
  MembershipActions onTick(MonotonicTime Now);

  /// Handles a message of a peer; one without a sender is ignored.
  MembershipActions onMessage(const MembershipMessage &Message,
                              MonotonicTime Now);

  /// Notes that \p Host refused or reset a connection: its probe does not wait
  /// for the time-out, or it is probed next.
  MembershipActions onUnreachable(const HostId &Host, MonotonicTime Now);

  /// Tells the others that this host is leaving. It goes on taking part.
  MembershipActions leave(MonotonicTime Now);

  /// Replaces the seeds.
  void setSeeds(std::vector<HostId> Hosts);

  /// The revision in force here, which every message carries.
  void setRevision(Revision InForce) { ConfigRevision = InForce; }

  /// This host's record. Its incarnation is above the given one if an earlier
  /// life under this address had a higher one.
  const Member &self() const { return Table.self(); }

  /// The record of \p Host, null if it is unknown. It may be dead.
  const Member *member(const HostId &Host) const { return Table.find(Host); }

  /// All members that are not dead, this host included, in order of host id.
  std::vector<Member> members() const { return Table.present(); }

  /// Changes with each change of members().
  uint64_t version() const { return Table.version(); }

private:
  void handle(const Probe &Message, MonotonicTime Now);
  void handle(const ProbeReply &Message, MonotonicTime Now);
  void handle(const IndirectProbe &Message, MonotonicTime Now);
  void handle(const MembershipUpdate &Message, MonotonicTime Now);
  void handle(const MembershipExchange &Message, MonotonicTime Now);
  void handle(const MembershipExchangeReply &Message, MonotonicTime Now);

  void checkPause(MonotonicTime Now);
  void join(MonotonicTime Now);
  void probe(MonotonicTime Now);
  void checkProbes(MonotonicTime Now);
  void spread(MonotonicTime Now);
  void exchange(MonotonicTime Now);

  void sendProbe(const HostId &To, uint64_t Sequence);
  void sendExchange(const HostId &To);
  void sendNewer(const HostId &To, const std::vector<Member> &Theirs);
  void apply(const std::vector<Member> &Claims, MonotonicTime Now);
  void apply(const Member &Claim, MonotonicTime Now);
  std::vector<Member> accusation(const HostId &Host) const;
  std::vector<HostId> lostHosts() const;
  bool isAlone() const;
  template <typename T> void send(const HostId &To, T Message);
  MembershipActions takeActions();

  Random &Choices;
  MembershipOptions Options;
  MemberTable Table;
  std::vector<HostId> Seeds;
  ProbeOrder Order;
  PendingProbes Pending;
  Revision ConfigRevision;
  MembershipActions Actions;
  MonotonicTime LastTick;
  MonotonicTime JoinDeadline;
  MonotonicTime NextJoin;
  MonotonicTime NextProbe;
  MonotonicTime NextSpread;
  MonotonicTime NextExchange;
};

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_MEMBERSHIP_H
