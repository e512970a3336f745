#include "daemon/node.h"

#include "daemon/messages.h"
#include "runtime/log.h"

#include <algorithm>
#include <random>

namespace mimosa {

namespace {

constexpr Duration PlacementInterval = Milliseconds(20);
constexpr Duration SeedRefreshInterval = Seconds(30);
constexpr Duration DrainPollInterval = Milliseconds(10);
/// Time until all hosts have learned that this one is leaving and no longer
/// return its address to callers.
constexpr Duration LeavePropagationTime = Milliseconds(1500);
/// Time for the hand-over of the partitions to their next owners.
constexpr Duration HandoverTime = Milliseconds(2000);

uint64_t seedOf(const DaemonOptions &Options) {
  return Options.RandomSeed ? Options.RandomSeed : std::random_device()();
}

Incarnation newIncarnation() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(SinceEpoch).count()));
}

/// Reads only the service from the body of an ownership frame.
struct ServiceField {
  ServiceId Service;
  MSGPACK_DEFINE_MAP(Service);
};

} // namespace

Node::Node(FiberLoop &Loop, const DaemonOptions &Options)
    : Options(Options), Rand(seedOf(Options)),
      Peers(Loop, Traffic), Context{Loop,
                                    Rand,
                                    Peers,
                                    Metrics,
                                    {Options.PeerAddress, Options.CallerAddress,
                                     Options.Zone, Options.Region,
                                     newIncarnation()}},
      Store(Loop, Options.StoreAddress),
      Listener(Loop, Options.PeerAddress.text(), *this, Traffic),
      Members(Context, *this),
      Configs(Context, Store, [this] { onConfigChanged(); }),
      HostPlacement(Options.Region), Queries(Context, Store), Forwarder(Loop) {}

Node::~Node() = default;

Result<Done> Node::start() {
  Result<Done> Listening = Listener.start();
  if (!ok(Listening))
    return Listening;
  Peers.onConnectionFailure(
      [this](const HostId &Host, PeerClient::ConnectionFailure Failure) {
        Members.onHostUnreachable(Host);
        Queries.runner().onOwnerConnectionLost(Host, Failure);
        Queries.claims().onHostUnreachable(Host);
      });
  registerGauges();
  Configs.start();
  Members.start(Options.Seeds);
  refreshSeeds();
  SeedRefresh =
      Context.Loop.every(SeedRefreshInterval, [this] { refreshSeeds(); });
  PlacementTicks = Context.Loop.every(PlacementInterval, [this] {
    if (PlacementDirty)
      updatePlacement();
  });
  return Done{};
}

void Node::refreshSeeds() {
  Store.hosts([this](const Result<std::vector<PlatformHost>> &Reply) {
    if (!ok(Reply))
      return;
    std::vector<HostId> Seeds = Options.Seeds;
    for (const PlatformHost &Host : valueOf(Reply))
      if (!Host.Leaving)
        Seeds.push_back(Host.Host);
    Members.setSeeds(std::move(Seeds));
  });
}

void Node::shutDown() {
  Leaving = true;
  logInfo("node", "leaving: notifying the other hosts");
  Members.leave();
  MonotonicTime Start = Context.Loop.now();
  // The next owners request the partitions and take them over without a gap.
  // Partitions that no host has requested by then are released, and have no
  // owner until one is elected.
  FiberLoop::sleepFor(HandoverTime);
  ReleasingAll = true;
  for (auto &[Name, Service] : Services)
    Service->leave();
  MonotonicTime ServeUntil =
      Start + Options.AddressLifetime + LeavePropagationTime;
  MonotonicTime DrainDeadline = ServeUntil + Options.DrainLimit;
  auto Busy = [this] {
    if (Queries.inProgress() > 0)
      return true;
    for (auto &[Name, Service] : Services)
      if (!Service->ownsNothing())
        return true;
    return false;
  };
  while (Context.Loop.now() < ServeUntil ||
         (Busy() && Context.Loop.now() < DrainDeadline))
    FiberLoop::sleepFor(DrainPollInterval);
  logInfo("node",
          "stopped with " + std::to_string(Queries.inProgress()) +
              " queries in flight after " +
              std::to_string(inMilliseconds(Context.Loop.now() - Start)) +
              " ms");
}

void Node::onMemberChanged(const MemberChanged &Change) {
  PlacementDirty = true;
  const Member &Current = Change.Current;
  bool Restarted = Change.Before &&
                   Change.Before->HostIncarnation != Current.HostIncarnation;
  if (Current.State != MemberState::Dead && !Restarted)
    return;
  for (auto &[Name, Service] : Services)
    Service->clearOwner(Current.Host);
  if (Current.State == MemberState::Dead)
    Peers.disconnect(Current.Host);
}

void Node::onPauseDetected(Duration) {
  for (auto &[Name, Service] : Services)
    Service->onPause();
  Queries.claims().onPause();
}

void Node::onRevisionAnnounced(const HostId &Peer, Revision Announced) {
  Configs.onAnnouncement(Peer, Announced);
}

void Node::onConfigChanged() {
  Members.members().setRevision(Configs.revision());
  updatePlacement();
}

std::vector<HostId> Node::aliveHosts() {
  std::vector<HostId> Out;
  for (const Member &One : Members.members().members())
    if (One.State == MemberState::Alive || One.State == MemberState::Suspect)
      Out.push_back(One.Host);
  return Out;
}

void Node::updatePlacement() {
  PlacementDirty = false;
  std::vector<Member> AllMembers = Members.members().members();
  bool HostSetsChanged = HostPlacement.update(AllMembers, Configs.config());
  std::vector<HostId> ZoneHosts;
  for (const Member &One : AllMembers)
    if (One.Zone == Options.Zone && One.State == MemberState::Alive)
      ZoneHosts.push_back(One.Host);
  Configs.setZoneHosts(ZoneHosts);
  std::vector<HostId> Alive = aliveHosts();
  std::vector<HostId> LeavingHosts;
  for (const Member &One : AllMembers)
    if (One.State == MemberState::Leaving)
      LeavingHosts.push_back(One.Host);
  const Config &Document = *Configs.config();
  Queries.configure(Document);
  Queries.claims().setHostCount(AllMembers.size());
  if (HostSetsChanged)
    for (const Service &One : Document.Services)
      configureService(One, Document);
  for (auto &[Name, Service] : Services) {
    Service->setAliveHosts(Alive);
    Service->setLeavingHosts(LeavingHosts);
    if (!Document.service(Name))
      Service->retire();
  }
  updateClaimOwners(Alive);
}

void Node::updateClaimOwners(const std::vector<HostId> &Alive) {
  for (auto &[Name, Service] : Services) {
    std::vector<HostId> ServingHosts;
    for (const HostId &Host : Service->hosts())
      if (std::find(Alive.begin(), Alive.end(), Host) != Alive.end())
        ServingHosts.push_back(Host);
    Queries.claims().setHosts(Name, ServingHosts);
  }
}

void Node::configureService(const Service &Settings, const Config &Document) {
  auto &Entry = Services[Settings.Name];
  if (!Entry) {
    ServiceId Name = Settings.Name;
    Entry = std::make_unique<ServiceNode>(
        Context, Store, Name, [this, Name](SubRequestResult Message) {
          onSubRequestEnded(Name, std::move(Message));
        });
  }
  Entry->configure(Document, HostPlacement);
  if (ReleasingAll)
    Entry->leave();
}

ServiceNode *Node::service(const ServiceId &Name) {
  if (!Configs.config()->service(Name))
    return nullptr;
  auto It = Services.find(Name);
  return It == Services.end() ? nullptr : It->second.get();
}

void Node::onSubRequestEnded(const ServiceId &Service,
                             SubRequestResult Message) {
  if (Message.Key.Root == Context.Self.Host) {
    Queries.runner().onLocalResult(std::move(Message));
    return;
  }
  HostId Root = Message.Key.Root;
  DispatchReply Out = toDispatchReply(std::move(Message));
  Out.Service = Service;
  Peers.send(Root, MessageType::DispatchReply, packBody(Out));
}

bool Node::handleFrame(const PeerFrame &Frame, PeerReplier Reply) {
  switch (Frame.Type) {
  case MessageType::ConfigPull:
    Reply(MessageType::ConfigDocument, Configs.pullReply(Frame));
    return true;
  case MessageType::VoteRequest:
  case MessageType::VoteReply:
  case MessageType::OwnershipRelease:
  case MessageType::BackendSummary:
    return handleServiceFrame(Frame);
  case MessageType::Dispatch:
    if (auto Message = unpackBody<Dispatch>(Frame.Body); ok(Message))
      onDispatch(valueOf(std::move(Message)));
    return true;
  case MessageType::DispatchReply:
    if (auto Message = unpackBody<DispatchReply>(Frame.Body); ok(Message))
      Queries.runner().onReply(valueOf(std::move(Message)));
    return true;
  case MessageType::DispatchCancel:
    if (auto Message = unpackBody<DispatchCancel>(Frame.Body); ok(Message))
      onDispatchCancel(valueOf(Message));
    return true;
  default:
    return Members.handleFrame(Frame) || Queries.handleFrame(Frame, Reply);
  }
}

bool Node::handleServiceFrame(const PeerFrame &Frame) {
  if (Frame.Type == MessageType::BackendSummary) {
    auto Report = unpackBody<OwnerReport>(Frame.Body);
    if (!ok(Report))
      return false;
    if (ServiceNode *Service = service(valueOf(Report).Service))
      Service->onOwnerReport(valueOf(Report));
    return true;
  }
  auto Header = unpackBody<ServiceField>(Frame.Body);
  if (!ok(Header))
    return false;
  ServiceNode *Service = service(valueOf(Header).Service);
  return Service && Service->handleFrame(Frame);
}

void Node::onDispatch(Dispatch Message) {
  ServiceNode *Service = service(Message.Service);
  if (!Service) {
    refuseDispatch(Message);
    return;
  }
  auto Query = std::make_shared<const std::string>(std::move(Message.Query));
  MonotonicTime Deadline = Context.Loop.now() + Message.Remaining;
  for (DispatchItem &Item : Message.Items) {
    SubRequest Request;
    Request.Key = {Message.Root, Message.RootIncarnation, Item.Id};
    Request.Snapshot = Message.Snapshot;
    Request.Shards = std::move(Item.Shards);
    Request.Class =
        Message.IsBatch ? SubRequestClass::Batch : SubRequestClass::Interactive;
    Request.Deadline = Deadline;
    Request.Idempotent = Message.Idempotent;
    Request.Query = Query;
    Service->submit(Item.Backend, std::move(Request));
  }
}

void Node::refuseDispatch(const Dispatch &Message) {
  for (const DispatchItem &Item : Message.Items) {
    DispatchReply Out;
    Out.Service = Message.Service;
    Out.RootIncarnation = Message.RootIncarnation;
    Out.Id = Item.Id;
    Out.Outcome = DispatchOutcome::NotRun;
    Out.Reason = RefusalReason::NotOwner;
    Peers.send(Message.Root, MessageType::DispatchReply, packBody(Out));
  }
}

void Node::onDispatchCancel(const DispatchCancel &Message) {
  ServiceNode *Service = service(Message.Service);
  if (!Service)
    return;
  for (const DispatchCancelItem &Item : Message.Items)
    Service->cancel(Item.Backend,
                    {Message.Root, Message.RootIncarnation, Item.Id});
}

} // namespace mimosa
