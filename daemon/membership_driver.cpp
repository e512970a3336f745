#include "daemon/membership_driver.h"

#include "runtime/log.h"

namespace mimosa {

namespace {

constexpr Duration TickInterval = Milliseconds(50);

Member localMember(const HostIdentity &Self) {
  Member Out;
  Out.Host = Self.Host;
  Out.Zone = Self.Zone;
  Out.Region = Self.Region;
  Out.CallerAddress = Self.CallerAddress;
  Out.HostIncarnation = Self.HostIncarnation;
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
      Protocol(localMember(Context.Self), {}, Context.Rand) {}

void MembershipDriver::start(std::vector<HostId> Seeds) {
  Protocol.setSeeds(std::move(Seeds));
  perform(Protocol.start(Context.Loop.now()));
  Ticks = Context.Loop.every(
      TickInterval, [this] { perform(Protocol.onTick(Context.Loop.now())); });
}

void MembershipDriver::setSeeds(std::vector<HostId> Seeds) {
  Protocol.setSeeds(std::move(Seeds));
}

template <typename T>
bool MembershipDriver::handleMessage(const PeerFrame &Frame) {
  Result<T> Message = unpackBody<T>(Frame.Body);
  if (!ok(Message))
    return false;
  perform(Protocol.onMessage(valueOf(Message), Context.Loop.now()));
  return true;
}

bool MembershipDriver::handleFrame(const PeerFrame &Frame) {
  switch (Frame.Type) {
  case MessageType::Probe:
    return handleMessage<Probe>(Frame);
  case MessageType::ProbeReply:
    return handleMessage<ProbeReply>(Frame);
  case MessageType::IndirectProbe:
    return handleMessage<IndirectProbe>(Frame);
  case MessageType::MembershipUpdate:
    return handleMessage<MembershipUpdate>(Frame);
  case MessageType::MembershipExchange:
    return handleMessage<MembershipExchange>(Frame);
  case MessageType::MembershipExchangeReply:
    return handleMessage<MembershipExchangeReply>(Frame);
  default:
    return false;
  }
}

void MembershipDriver::onHostUnreachable(const HostId &Host) {
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
      Events.onMemberChanged(*Change);
    } else if (const auto *Pause = std::get_if<PauseDetected>(&Action)) {
      logWarn("membership", "this process was paused for " +
                                std::to_string(inMilliseconds(Pause->Gap)) +
                                " ms");
      Events.onPauseDetected(Pause->Gap);
    } else if (const auto *Announcement =
                   std::get_if<RevisionAnnounced>(&Action)) {
      Events.onRevisionAnnounced(Announcement->Peer,
                                 Announcement->PeerRevision);
    }
  }
}

} // namespace mimosa
