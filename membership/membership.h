// Failure detection and membership: SWIM (Das, Gupta, Motivala, DSN 2002) with
// suspicion, as described in docs/design.md, 4.3. The class performs no I/O: it
// handles ticks and messages and returns actions, which are the messages to
// send and the events for other components:
//
//   Membership Members(Self, Seeds, Rand);
//   perform(Members.start(Now));
//   perform(Members.onTick(Now));              // every 100 ms
//   perform(Members.onMessage(Message, Now));
//
// In the steady state, the cost of a host does not depend on the number of
// members: 2 probes a second, as many replies, and one exchange in 30 s. Each
// host sends one more exchange in 30 s to a member that it holds dead or to a
// seed that is not in its table, which rejoins the sides of a network partition
// after it has healed.
//
// A host cannot tell which replies it missed during a pause. After a gap of
// over 500 ms between ticks it drops its pending probes and restarts the
// suspicion time of every suspect.

#ifndef MIMOSA_MEMBERSHIP_MEMBERSHIP_H
#define MIMOSA_MEMBERSHIP_MEMBERSHIP_H

#include "membership/member_table.h"
#include "membership/prober.h"

#include <variant>
#include <vector>

namespace mimosa {

struct MembershipOptions {
  Duration ProbeInterval = Milliseconds(500);
  /// Time for a direct reply.
  Duration ProbeTimeout = Milliseconds(300);
  /// Time for a reply through another member, which takes two more hops.
  Duration IndirectTimeout = Milliseconds(400);
  size_t IndirectProbeCount = 3;
  Duration GossipInterval = Milliseconds(200);
  size_t GossipFanout = 3;
  Duration ExchangeInterval = Seconds(30);
  /// Time between exchanges while no other member is known.
  Duration JoinInterval = Milliseconds(500);
  /// Time after which a host that reached no seed becomes alive on its own.
  Duration JoinTimeout = Milliseconds(3000);
  /// A longer gap between two ticks counts as a pause of this process.
  Duration PauseThreshold = Milliseconds(500);
  MemberTableOptions Table;
};

/// Send \c Message to \c To; it may be lost.
struct SendMessage {
  HostId To;
  MembershipMessage Message;
};

/// This process did not run for \c Gap, as the time between ticks shows.
struct PauseDetected {
  Duration Gap{};
};

/// \c Peer has the configuration \c PeerRevision, which is newer than this
/// host's.
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
  /// \p Self is this host's record; its state is ignored. \p Seeds are hosts
  /// that may be up, from the platform's list. \p Rand must outlive this
  /// instance.
  Membership(Member Self, std::vector<HostId> Seeds, Random &Rand,
             MembershipOptions Options = {});

  /// Joins through the seeds; without seeds, this host is alive at once.
  MembershipActions start(MonotonicTime Now);

  /// Call at least every 100 ms.
  MembershipActions onTick(MonotonicTime Now);

  /// Handles a message from a peer; ignores one without a sender.
  MembershipActions onMessage(const MembershipMessage &Message,
                              MonotonicTime Now);

  /// Notes that \p Host refused or reset a connection. If a probe of it is
  /// pending, the probe times out now; otherwise the host is probed soon.
  MembershipActions onUnreachable(const HostId &Host, MonotonicTime Now);

  /// Announces that this host is leaving. It still takes part in the protocol.
  MembershipActions leave(MonotonicTime Now);

  void setSeeds(std::vector<HostId> Hosts);

  /// Sets the active revision of this host, which every message carries.
  void setRevision(Revision Active) { ConfigRevision = Active; }

  /// This host's record. Its incarnation is above that of \c Self if an earlier
  /// incarnation under this address had a higher number.
  const Member &self() const { return Table.self(); }

  /// The record of \p Host, which may be dead; null if there is none.
  const Member *member(const HostId &Host) const { return Table.find(Host); }

  /// All members that are not dead, this host included, in order of host id.
  std::vector<Member> members() const { return Table.present(); }

  /// Increases with each change of members().
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
  void gossip(MonotonicTime Now);
  void exchange(MonotonicTime Now);

  void sendProbe(const HostId &To, uint64_t Sequence);
  void sendExchange(const HostId &To);
  void sendNewer(const HostId &To, const std::vector<Member> &PeerRecords);
  void apply(const std::vector<Member> &Updates, MonotonicTime Now);
  void apply(const Member &Update, MonotonicTime Now);
  std::vector<Member> recordToRefute(const HostId &Host) const;
  std::vector<HostId> rejoinCandidates() const;
  bool isAlone() const;
  template <typename T> void send(const HostId &To, T Message);
  MembershipActions takeActions();

  Random &Rand;
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
  MonotonicTime NextGossip;
  MonotonicTime NextExchange;
};

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_MEMBERSHIP_H
