#include "membership/membership.h"

#include "membership/random_choice.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Seeds that a joining host asks at a time.
constexpr size_t SeedsPerTry = 3;

Member withState(Member Record, MemberState State) {
  Record.State = State;
  return Record;
}

} // namespace

Membership::Membership(Member Self, std::vector<HostId> Seeds, Random &Choices,
                       MembershipOptions Options)
    : Choices(Choices), Options(Options),
      Table(withState(std::move(Self), MemberState::Joining), Options.Table),
      Order(Choices), Pending(Options.ProbeTimeout, Options.IndirectTimeout) {
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
  // Random first times spread the hosts of a cluster that was started at once.
  auto Within = [&](Duration Interval) {
    return Now + Duration(Choices.below(Interval.count()));
  };
  NextProbe = Within(Options.ProbeInterval);
  NextSpread = Within(Options.SpreadInterval);
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
  spread(Now);
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
  NextSpread = Now;
  spread(Now);
  return takeActions();
}

void Membership::checkPause(MonotonicTime Now) {
  Duration Gap = Now - LastTick;
  if (Gap <= Options.PauseGap)
    return;
  LastTick = Now;
  Actions.push_back(PauseDetected{Gap});
  Pending.clear();
  Table.restartSuspicions(Now);
  NextProbe = Now;
  NextSpread = Now;
  // The others may have declared this host dead; an exchange tells.
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
  for (const HostId &Seed : sample(Seeds, Joining ? SeedsPerTry : 1, Choices))
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
  // Probes that failed are taken first, so that an indirect probe which is due
  // in this call keeps its full time.
  for (const PendingProbe &Failed : Pending.takeFailed(Now)) {
    Table.suspect(Failed.Target, Now);
    std::vector<Member> Claim = accusation(Failed.Target);
    if (!Claim.empty())
      send(Failed.Target, MembershipUpdate{{}, {}, std::move(Claim)});
  }
  for (const PendingProbe &Late : Pending.takeIndirect(Now)) {
    std::vector<HostId> Helpers = Table.otherHosts(false);
    Helpers.erase(std::remove(Helpers.begin(), Helpers.end(), Late.Target),
                  Helpers.end());
    for (const HostId &Helper :
         sample(std::move(Helpers), Options.IndirectProbes, Choices))
      send(Helper, IndirectProbe{{}, {}, Late.Sequence, Late.Target});
  }
}

void Membership::spread(MonotonicTime Now) {
  if (Now < NextSpread)
    return;
  NextSpread += Options.SpreadInterval;
  // Rounds also pass while there is nobody to tell, so that a host that was cut
  // off does not spread its old records when it returns.
  std::vector<Member> Updates = Table.takeUpdates();
  if (Updates.empty())
    return;
  for (const HostId &Target :
       sample(Table.otherHosts(false), Options.SpreadTargets, Choices))
    send(Target, MembershipUpdate{{}, {}, Updates});
}

std::vector<HostId> Membership::lostHosts() const {
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
  for (const HostId &Peer : sample(Table.otherHosts(false), 1, Choices))
    sendExchange(Peer);
  for (const HostId &Peer : sample(lostHosts(), 1, Choices))
    sendExchange(Peer);
}

/// The record of \p Host if the host has to refute it.
std::vector<Member> Membership::accusation(const HostId &Host) const {
  const Member *Held = Table.find(Host);
  if (!Held ||
      (Held->State != MemberState::Suspect && Held->State != MemberState::Dead))
    return {};
  return {*Held};
}

template <typename T> void Membership::send(const HostId &To, T Message) {
  Message.Sender = self().Host;
  Message.ConfigRevision = ConfigRevision;
  Actions.push_back(SendMessage{To, std::move(Message)});
}

void Membership::sendProbe(const HostId &To, uint64_t Sequence) {
  send(To, Probe{{}, {}, Sequence, self(), accusation(To)});
}

void Membership::sendExchange(const HostId &To) {
  send(To, MembershipExchange{{}, {}, self(), Table.digest(), accusation(To)});
}

void Membership::sendNewer(const HostId &To,
                           const std::vector<Member> &Theirs) {
  std::map<HostId, const Member *> Known;
  for (const Member &Record : Theirs)
    Known[Record.Host] = &Record;
  std::vector<Member> Newer;
  for (Member &Record : Table.all()) {
    auto It = Known.find(Record.Host);
    bool Missing = It == Known.end() && Record.State != MemberState::Dead;
    if (Missing || (It != Known.end() && replaces(Record, *It->second)))
      Newer.push_back(std::move(Record));
  }
  if (!Newer.empty())
    send(To, MembershipUpdate{{}, {}, std::move(Newer)});
}

void Membership::apply(const Member &Claim, MonotonicTime Now) {
  bool Known = Table.find(Claim.Host) != nullptr;
  // A joining host learns what all others know already.
  bool Spread = self().State != MemberState::Joining;
  ClaimResult Outcome = Table.apply(Claim, Now, Spread);
  if (Outcome == ClaimResult::Conflicting)
    Order.addUrgent(Claim.Host);
  if (Outcome == ClaimResult::Changed && !Known)
    Order.add(Claim.Host);
}

void Membership::apply(const std::vector<Member> &Claims, MonotonicTime Now) {
  for (const Member &Claim : Claims)
    apply(Claim, Now);
}

void Membership::handle(const Probe &Message, MonotonicTime Now) {
  apply(Message.Self, Now);
  apply(Message.Updates, Now);
  std::vector<Member> Updates;
  const Member *Held = Table.find(Message.Self.Host);
  if (Held && replaces(*Held, Message.Self))
    Updates.push_back(*Held);
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
  Table.confirm(Answered->Target);
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
