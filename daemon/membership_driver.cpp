#include "daemon/membership_driver.h"

#include "runtime/log.h"

namespace mimosa {

namespace {

constexpr Duration TickTime = Milliseconds(50);

Member ownRecord(const HostIdentity &Self) {
  Member Out;
  Out.Host = Self.Host;
  Out.Zone = Self.Zone;
  Out.Region = Self.Region;
  Out.CallerAddress = Self.CallerAddress;
  Out.HostIncarnation = Self.Life;
  return Out;
}

MessageType typeOf(const MembershipMessage &Message) {
  constexpr MessageType Types[] = {
      MessageType::Probe,
      MessageType::ProbeReply,
      MessageType::IndirectProbe,
      MessageType::MembershipUpdate,
      MessageType::MembershipExchange,
      MessageType::MembershipExchangeReply,
  };
  return Types[Message.index()];
}

} // namespace

MembershipDriver::MembershipDriver(NodeContext &Context,
                                   MembershipEvents &Events)
    : Context(Context), Events(Events),
      Protocol(ownRecord(Context.Self), {}, Context.Rand) {}

void MembershipDriver::start(std::vector<HostId> Seeds) {
  Protocol.setSeeds(std::move(Seeds));
  perform(Protocol.start(Context.Loop.now()));
  Ticks = Context.Loop.every(
      TickTime, [this] { perform(Protocol.onTick(Context.Loop.now())); });
}

void MembershipDriver::setSeeds(std::vector<HostId> Seeds) {
  Protocol.setSeeds(std::move(Seeds));
}

template <typename T> bool MembershipDriver::take(const PeerFrame &Frame) {
  Result<T> Message = unpackBody<T>(Frame.Body);
  if (!ok(Message))
    return false;
  perform(Protocol.onMessage(valueOf(Message), Context.Loop.now()));
  return true;
}

bool MembershipDriver::handleFrame(const PeerFrame &Frame) {
  switch (Frame.Type) {
  case MessageType::Probe:
    return take<Probe>(Frame);
  case MessageType::ProbeReply:
    return take<ProbeReply>(Frame);
  case MessageType::IndirectProbe:
    return take<IndirectProbe>(Frame);
  case MessageType::MembershipUpdate:
    return take<MembershipUpdate>(Frame);
  case MessageType::MembershipExchange:
    return take<MembershipExchange>(Frame);
  case MessageType::MembershipExchangeReply:
    return take<MembershipExchangeReply>(Frame);
  default:
    return false;
  }
}

void MembershipDriver::hostUnreachable(const HostId &Host) {
  perform(Protocol.onUnreachable(Host, Context.Loop.now()));
}

void MembershipDriver::leave() { perform(Protocol.leave(Context.Loop.now())); }

void MembershipDriver::send(const SendMessage &Action) {
  std::string Body = std::visit(
      [](const auto &Message) { return packBody(Message); }, Action.Message);
  Context.Peers.send(Action.To, typeOf(Action.Message), std::move(Body));
}

void MembershipDriver::perform(const MembershipActions &Actions) {
  for (const MembershipAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendMessage>(&Action)) {
      send(*Send);
    } else if (const auto *Change = std::get_if<MemberChanged>(&Action)) {
      logInfo("membership", "host " + Change->Current.Host.text() + " is " +
                                memberStateName(Change->Current.State));
      Events.memberChanged(*Change);
    } else if (const auto *Pause = std::get_if<PauseDetected>(&Action)) {
      logWarn("membership", "this process did not run for " +
                                std::to_string(inMilliseconds(Pause->Gap)) +
                                " ms");
      Events.pauseDetected(Pause->Gap);
    } else if (const auto *News = std::get_if<RevisionAnnounced>(&Action)) {
      Events.revisionAnnounced(News->Peer, News->PeerRevision);
    }
  }
}

} // namespace mimosa
