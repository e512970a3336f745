#include "membership/membership.h"

#include "membership/random_choice.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Seeds to which a joining host sends an exchange at a time.
constexpr size_t SeedsPerJoinAttempt = 3;

Member withState(Member Record, MemberState State) {
  Record.State = State;
  return Record;
}

} // namespace

Membership::Membership(Member Self, std::vector<HostId> Seeds, Random &Rand,
                       MembershipOptions Options)
    : Rand(Rand), Options(Options),
      Table(withState(std::move(Self), MemberState::Joining), Options.Table),
      Order(Rand), Pending(Options.ProbeTimeout, Options.IndirectTimeout) {
  setSeeds(std::move(Seeds));
}

void Membership::setSeeds(std::vector<HostId> Hosts) {
  Seeds = std::move(Hosts);
  Seeds.erase(std::remove(Seeds.begin(), Seeds.end(), self().Host),
              Seeds.end());
}

MembershipActions Membership::start(MonotonicTime Now) {
  LastTick = Now;
  JoinDeadline = Now + Options.JoinTimeout;
  NextJoin = Now;
  // Random first times keep hosts that start together from sending together.
  auto Within = [&](Duration Interval) {
    return Now + Duration(Rand.below(Interval.count()));
  };
  NextProbe = Within(Options.ProbeInterval);
  NextGossip = Within(Options.GossipInterval);
  NextExchange = Within(Options.ExchangeInterval);
  join(Now);
  return takeActions();
}

MembershipActions Membership::onTick(MonotonicTime Now) {
  checkPause(Now);
  LastTick = Now;
  join(Now);
  checkProbes(Now);
  probe(Now);
  Table.expire(Now);
  gossip(Now);
  exchange(Now);
  return takeActions();
}

MembershipActions Membership::onMessage(const MembershipMessage &Message,
                                        MonotonicTime Now) {
  checkPause(Now);
  std::visit(
      [&](const auto &Received) {
        if (Received.Sender.empty())
          return;
        if (Received.ConfigRevision > ConfigRevision)
          Actions.push_back(
              RevisionAnnounced{Received.Sender, Received.ConfigRevision});
        handle(Received, Now);
      },
      Message);
  return takeActions();
}

MembershipActions Membership::onUnreachable(const HostId &Host,
                                            MonotonicTime Now) {
  if (!Pending.expireDirect(Host, Now))
    Order.addUrgent(Host);
  checkProbes(Now);
  return takeActions();
}

MembershipActions Membership::leave(MonotonicTime Now) {
  Table.setOwnState(MemberState::Leaving);
  NextGossip = Now;
  gossip(Now);
  return takeActions();
}

void Membership::checkPause(MonotonicTime Now) {
  Duration Gap = Now - LastTick;
  if (Gap <= Options.PauseThreshold)
    return;
  LastTick = Now;
  Actions.push_back(PauseDetected{Gap});
  Pending.clear();
  Table.restartSuspicionTimers(Now);
  NextProbe = Now;
  NextGossip = Now;
  // Others may have declared this host dead; an exchange shows it.
  NextExchange = Now;
}

bool Membership::isAlone() const { return Table.otherHosts(false).empty(); }

void Membership::join(MonotonicTime Now) {
  bool Joining = self().State == MemberState::Joining;
  if (Joining && (Seeds.empty() || Now >= JoinDeadline)) {
    Table.setOwnState(MemberState::Alive);
    Joining = false;
  }
  if (Now < NextJoin || !(Joining || isAlone()))
    return;
  NextJoin = Now + Options.JoinInterval;
  for (const HostId &Seed :
       sample(Seeds, Joining ? SeedsPerJoinAttempt : 1, Rand))
    sendExchange(Seed);
}

void Membership::probe(MonotonicTime Now) {
  if (Now < NextProbe)
    return;
  NextProbe += Options.ProbeInterval;
  std::optional<HostId> Target = Order.next(Table);
  if (Target)
    sendProbe(*Target, Pending.add(*Target, std::nullopt, Now));
}

void Membership::checkProbes(MonotonicTime Now) {
  // Failed probes are taken first, so that indirect probes that start in this
  // call get their full time.
  for (const PendingProbe &Failed : Pending.takeFailed(Now)) {
    Table.recordProbeFailure(Failed.Target, Now);
    std::vector<Member> Update = recordToRefute(Failed.Target);
    if (!Update.empty())
      send(Failed.Target, MembershipUpdate{{}, {}, std::move(Update)});
  }
  for (const PendingProbe &Unanswered : Pending.takeIndirect(Now)) {
    std::vector<HostId> Helpers = Table.otherHosts(false);
    Helpers.erase(
        std::remove(Helpers.begin(), Helpers.end(), Unanswered.Target),
        Helpers.end());
    for (const HostId &Helper :
         sample(std::move(Helpers), Options.IndirectProbeCount, Rand))
      send(Helper,
           IndirectProbe{{}, {}, Unanswered.Sequence, Unanswered.Target});
  }
}

void Membership::gossip(MonotonicTime Now) {
  if (Now < NextGossip)
    return;
  NextGossip += Options.GossipInterval;
  // Rounds also count while there is no other member, so that a host that was
  // isolated does not spread old records when it returns.
  std::vector<Member> Updates = Table.takeUpdates();
  if (Updates.empty())
    return;
  for (const HostId &Target :
       sample(Table.otherHosts(false), Options.GossipFanout, Rand))
    send(Target, MembershipUpdate{{}, {}, Updates});
}

std::vector<HostId> Membership::rejoinCandidates() const {
  std::vector<HostId> Lost = Table.otherHosts(/*Dead=*/true);
  for (const HostId &Seed : Seeds)
    if (!Table.find(Seed))
      Lost.push_back(Seed);
  return Lost;
}

void Membership::exchange(MonotonicTime Now) {
  if (Now < NextExchange)
    return;
  NextExchange = Now + Options.ExchangeInterval;
  for (const HostId &Peer : sample(Table.otherHosts(false), 1, Rand))
    sendExchange(Peer);
  for (const HostId &Peer : sample(rejoinCandidates(), 1, Rand))
    sendExchange(Peer);
}

/// The record of \p Host if it is suspect or dead, so that the host can refute
/// it.
std::vector<Member> Membership::recordToRefute(const HostId &Host) const {
  const Member *Existing = Table.find(Host);
  if (!Existing || (Existing->State != MemberState::Suspect &&
                    Existing->State != MemberState::Dead))
    return {};
  return {*Existing};
}

template <typename T> void Membership::send(const HostId &To, T Message) {
  Message.Sender = self().Host;
  Message.ConfigRevision = ConfigRevision;
  Actions.push_back(SendMessage{To, std::move(Message)});
}

void Membership::sendProbe(const HostId &To, uint64_t Sequence) {
  send(To, Probe{{}, {}, Sequence, self(), recordToRefute(To)});
}

void Membership::sendExchange(const HostId &To) {
  send(To,
       MembershipExchange{{}, {}, self(), Table.digest(), recordToRefute(To)});
}

void Membership::sendNewer(const HostId &To,
                           const std::vector<Member> &PeerRecords) {
  std::map<HostId, const Member *> RecordsAtPeer;
  for (const Member &Record : PeerRecords)
    RecordsAtPeer[Record.Host] = &Record;
  std::vector<Member> Newer;
  for (Member &Record : Table.all()) {
    auto It = RecordsAtPeer.find(Record.Host);
    bool Missing =
        It == RecordsAtPeer.end() && Record.State != MemberState::Dead;
    if (Missing ||
        (It != RecordsAtPeer.end() && overrides(Record, *It->second)))
      Newer.push_back(std::move(Record));
  }
  if (!Newer.empty())
    send(To, MembershipUpdate{{}, {}, std::move(Newer)});
}

void Membership::apply(const Member &Update, MonotonicTime Now) {
  bool Known = Table.find(Update.Host) != nullptr;
  // A joining host receives records that all others have already.
  bool Gossip = self().State != MemberState::Joining;
  UpdateResult Outcome = Table.apply(Update, Now, Gossip);
  if (Outcome == UpdateResult::Conflicting)
    Order.addUrgent(Update.Host);
  if (Outcome == UpdateResult::Changed && !Known)
    Order.add(Update.Host);
}

void Membership::apply(const std::vector<Member> &Updates, MonotonicTime Now) {
  for (const Member &Update : Updates)
    apply(Update, Now);
}

void Membership::handle(const Probe &Message, MonotonicTime Now) {
  apply(Message.Self, Now);
  apply(Message.Updates, Now);
  std::vector<Member> Updates;
  const Member *Existing = Table.find(Message.Self.Host);
  if (Existing && overrides(*Existing, Message.Self))
    Updates.push_back(*Existing);
  send(Message.Sender,
       ProbeReply{{}, {}, Message.Sequence, self(), std::move(Updates)});
}

void Membership::handle(const ProbeReply &Message, MonotonicTime Now) {
  apply(Message.Probed, Now);
  apply(Message.Updates, Now);
  std::optional<PendingProbe> Answered =
      Pending.onReply(Message.Sequence, Message.Probed.Host);
  if (!Answered)
    return;
  Table.recordProbeReply(Answered->Target);
  if (Answered->Origin)
    send(Answered->Origin->Host,
         ProbeReply{{}, {}, Answered->Origin->Sequence, Message.Probed, {}});
}

void Membership::handle(const IndirectProbe &Message, MonotonicTime Now) {
  if (Message.Target == self().Host)
    return;
  ProbeOrigin Origin{Message.Sender, Message.Sequence};
  sendProbe(Message.Target, Pending.add(Message.Target, Origin, Now));
}

void Membership::handle(const MembershipUpdate &Message, MonotonicTime Now) {
  apply(Message.Updates, Now);
}

void Membership::handle(const MembershipExchange &Message, MonotonicTime Now) {
  apply(Message.Self, Now);
  apply(Message.Updates, Now);
  MembershipExchangeReply Reply;
  if (Message.Digest != Table.digest())
    Reply.Members = Table.all();
  send(Message.Sender, std::move(Reply));
}

void Membership::handle(const MembershipExchangeReply &Message,
                        MonotonicTime Now) {
  apply(Message.Members, Now);
  if (self().State == MemberState::Joining)
    Table.setOwnState(MemberState::Alive);
  if (!Message.Members.empty())
    sendNewer(Message.Sender, Message.Members);
}

MembershipActions Membership::takeActions() {
  for (MemberChanged &Change : Table.takeChanges())
    Actions.push_back(std::move(Change));
  return std::exchange(Actions, {});
}

} // namespace mimosa
