#include "daemon/ownership_driver.h"

#include "base/json_fields.h"
#include "runtime/log.h"

namespace mimosa {

namespace {

Json hostsJson(const std::vector<HostId> &Hosts) {
  Json Out = Json::array();
  for (const HostId &Host : Hosts)
    Out.push_back(Host.text());
  return Out;
}

std::vector<HostId> parseHosts(const Json &List) {
  std::vector<HostId> Out;
  for (const Json &Host : List)
    if (Host.is_string())
      Out.emplace_back(Host.get<std::string>());
  return Out;
}

// "seats" is the stored name of the voters.
std::string voterSetText(const VoterSet &Record) {
  Json Out = {{"version", Record.Version.number()},
              {"seats", hostsJson(Record.Current)},
              {"previous", hostsJson(Record.Previous)}};
  return Out.dump();
}

std::optional<VoterSet> parseVoterSet(const std::string &Text) {
  Result<Json> Parsed = parseJson(Text);
  if (!ok(Parsed))
    return std::nullopt;
  JsonFields Fields(valueOf(Parsed), "seats");
  VoterSet Out;
  Out.Version = VoterSetVersion(
      static_cast<uint64_t>(Fields.number("version", 0, INT64_MAX)));
  Out.Current = parseHosts(Fields.array("seats"));
  Out.Previous = parseHosts(Fields.array("previous"));
  if (Fields.failed())
    return std::nullopt;
  return Out;
}

OwnershipOptions optionsFor(const NodeContext &Context,
                            const ServiceId &Service,
                            Duration SubRequestLimit) {
  OwnershipOptions Out;
  Out.Service = Service;
  Out.Region = Context.Self.Region;
  Out.Self = Context.Self.Host;
  Out.SelfIncarnation = Context.Self.HostIncarnation;
  Out.SubRequestLimit = SubRequestLimit;
  return Out;
}

} // namespace

OwnershipDriver::OwnershipDriver(NodeContext &Context, KeyValueStore &Store,
                                 DispatchControl &Control,
                                 const ServiceId &Service,
                                 Duration SubRequestLimit)
    : Context(Context), Store(Store), Control(Control),
      StoreKey("seats/" + Service.text() + "/" + Context.Self.Region.text()),
      Protocol(optionsFor(Context, Service, SubRequestLimit), Context.Rand,
               Context.Loop.now()),
      Self(std::make_shared<OwnershipDriver *>(this)) {
  Ticks = Context.Loop.every(OwnershipTick, [this] { tick(); });
}

OwnershipDriver::~OwnershipDriver() { *Self = nullptr; }

void OwnershipDriver::tick() {
  OwnershipActions Actions;
  Protocol.tick(now(), Actions);
  perform(Actions);
}

void OwnershipDriver::setPlacement(const OwnershipPlacement &Placement) {
  OwnershipActions Actions;
  Protocol.setHostSet(Placement.HostSet);
  Protocol.setVoterCandidates(Placement.VoterCandidates, now());
  Protocol.setPartitions(Placement.Preferred, now(), Actions);
  perform(Actions);
}

void OwnershipDriver::setAliveHosts(const std::vector<HostId> &Hosts) {
  std::set<HostId> Next(Hosts.begin(), Hosts.end());
  for (const HostId &Host : AliveHosts)
    if (Next.count(Host) == 0)
      Protocol.removeAliveHost(Host);
  for (const HostId &Host : Next)
    if (AliveHosts.count(Host) == 0)
      Protocol.addAliveHost(Host, now());
  AliveHosts = std::move(Next);
}

void OwnershipDriver::onPause() {
  OwnershipActions Actions;
  Protocol.onPause(now(), Actions);
  perform(Actions);
}

void OwnershipDriver::leave() {
  OwnershipActions Actions;
  Protocol.leave(now(), Actions);
  perform(Actions);
}

void OwnershipDriver::onDispatchEnded(Partition P) {
  OwnershipActions Actions;
  Protocol.onDispatchEnded(P, now(), Actions);
  perform(Actions);
}

bool OwnershipDriver::handleFrame(const PeerFrame &Frame) {
  OwnershipActions Actions;
  if (Frame.Type == MessageType::VoteRequest) {
    if (auto Message = unpackBody<VoteRequest>(Frame.Body); ok(Message))
      Protocol.onVoteRequest(valueOf(Message), now(), Actions);
  } else if (Frame.Type == MessageType::VoteReply) {
    if (auto Message = unpackBody<VoteReply>(Frame.Body); ok(Message))
      Protocol.onVoteReply(valueOf(Message), now(), Actions);
  } else if (Frame.Type == MessageType::OwnershipRelease) {
    if (auto Message = unpackBody<OwnershipRelease>(Frame.Body); ok(Message))
      Protocol.onRelease(valueOf(Message), now(), Actions);
  } else {
    return false;
  }
  perform(Actions);
  return true;
}

void OwnershipDriver::perform(OwnershipActions &Actions) {
  for (const OwnershipAction &Action : Actions)
    std::visit([this](const auto &One) { perform(One); }, Action);
}

void OwnershipDriver::perform(const SendVoteRequest &Action) {
  Context.Peers.send(Action.To, MessageType::VoteRequest,
                     packBody(Action.Message));
}

void OwnershipDriver::perform(const SendVoteReply &Action) {
  Context.Peers.send(Action.To, MessageType::VoteReply,
                     packBody(Action.Message));
}

void OwnershipDriver::perform(const SendOwnershipRelease &Action) {
  Context.Peers.send(Action.To, MessageType::OwnershipRelease,
                     packBody(Action.Message));
}

void OwnershipDriver::perform(const ReadVoterSet &) {
  Store.read(StoreKey, [Handle = Self](const Result<StoredValue> &Reply) {
    OwnershipDriver *Driver = *Handle;
    if (!Driver)
      return;
    if (!ok(Reply) && errorOf(Reply).Code != ResultCode::NotFound) {
      Driver->Protocol.onStoreFailure(Driver->now());
      return;
    }
    if (!ok(Reply)) {
      Driver->Protocol.onVoterSetRead(std::nullopt, 0, Driver->now());
      return;
    }
    Driver->Protocol.onVoterSetRead(parseVoterSet(valueOf(Reply).Value),
                                    valueOf(Reply).Version.number(),
                                    Driver->now());
  });
}

void OwnershipDriver::perform(const WriteVoterSet &Action) {
  Store.compareAndSwap(StoreKey, voterSetText(Action.Voters),
                       StoreVersion(Action.ExpectedVersion),
                       [Handle = Self](const Result<SwapReply> &Reply) {
                         OwnershipDriver *Driver = *Handle;
                         if (!Driver)
                           return;
                         if (!ok(Reply))
                           Driver->Protocol.onStoreFailure(Driver->now());
                         else if (valueOf(Reply).Swapped)
                           Driver->Protocol.onVoterSetWritten(
                               valueOf(Reply).Current.Version.number(),
                               Driver->now());
                         else
                           Driver->Protocol.onVoterSetConflict(Driver->now());
                       });
}

void OwnershipDriver::perform(const StartDispatch &Action) {
  Control.startDispatch(Action.P);
}

void OwnershipDriver::perform(const StopDispatch &Action) {
  Control.stopDispatch(Action.P);
}

} // namespace mimosa
