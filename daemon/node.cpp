#include "daemon/node.h"

#include "daemon/messages.h"
#include "runtime/log.h"

#include <algorithm>
#include <random>

namespace mimosa {

namespace {

constexpr Duration PlacementInterval = Milliseconds(20);
constexpr Duration SeedRefreshInterval = Seconds(30);
constexpr Duration DrainPoll = Milliseconds(10);
/// Time that answers of other hosts may still name this one after it has told
/// them that it is leaving.
constexpr Duration LeaveSpread = Milliseconds(1500);
/// Time for the hand-over of partitions to their next owners.
constexpr Duration HandOverTime = Milliseconds(2000);

uint64_t seedOf(const DaemonOptions &Options) {
  return Options.RandomSeed ? Options.RandomSeed : std::random_device()();
}

Incarnation startTime() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(SinceEpoch).count()));
}

/// The service that a frame of ownership or of owners is about.
struct ServiceOfFrame {
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
                                     startTime()}},
      Store(Loop, Options.StoreAddress),
      Listener(Loop, Options.PeerAddress.text(), *this, Traffic),
      Members(Context, *this),
      Configs(Context, Store, [this] { configChanged(); }),
      Placed(Options.Region), Queries(Context, Store), Forwards(Loop) {}

Node::~Node() = default;

Result<Done> Node::start() {
  Result<Done> Listening = Listener.start();
  if (!ok(Listening))
    return Listening;
  Peers.onConnectionFailure(
      [this](const HostId &Host, PeerClient::ConnectionFailure Failure) {
        Members.hostUnreachable(Host);
        Queries.runner().onOwnerLost(Host, Failure);
        Queries.claims().hostUnreachable(Host);
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
  logInfo("node", "leaving: telling the other hosts");
  Members.leave();
  MonotonicTime Start = Context.Loop.now();
  // The other hosts learn of the leave and ask for the partitions; those that
  // nobody asks for are released afterwards, which leaves a gap.
  FiberLoop::sleepFor(HandOverTime);
  ReleaseAll = true;
  for (auto &[Name, Service] : Services)
    Service->leave();
  MonotonicTime Served = Start + Options.AddressLifetime + LeaveSpread;
  MonotonicTime Limit = Served + Options.DrainLimit;
  auto Busy = [this] {
    if (Queries.inProgress() > 0)
      return true;
    for (auto &[Name, Service] : Services)
      if (!Service->ownsNothing())
        return true;
    return false;
  };
  while (Context.Loop.now() < Served || (Busy() && Context.Loop.now() < Limit))
    FiberLoop::sleepFor(DrainPoll);
  logInfo("node",
          "left with " + std::to_string(Queries.inProgress()) +
              " queries in flight after " +
              std::to_string(inMilliseconds(Context.Loop.now() - Start)) +
              " ms");
}

void Node::memberChanged(const MemberChanged &Change) {
  PlacementDirty = true;
  const Member &Now = Change.Current;
  bool Restarted =
      Change.Before && Change.Before->HostIncarnation != Now.HostIncarnation;
  if (Now.State != MemberState::Dead && !Restarted)
    return;
  for (auto &[Name, Service] : Services)
    Service->hostGone(Now.Host);
  if (Now.State == MemberState::Dead)
    Peers.disconnect(Now.Host);
}

void Node::pauseDetected(Duration) {
  for (auto &[Name, Service] : Services)
    Service->paused();
  Queries.claims().paused();
}

void Node::revisionAnnounced(const HostId &Peer, Revision Announced) {
  Configs.announced(Peer, Announced);
}

void Node::configChanged() {
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
  std::vector<Member> Present = Members.members().members();
  bool SetsChanged = Placed.update(Present, Configs.config());
  std::vector<HostId> ZoneHosts;
  for (const Member &One : Present)
    if (One.Zone == Options.Zone && One.State == MemberState::Alive)
      ZoneHosts.push_back(One.Host);
  Configs.setZoneHosts(ZoneHosts);
  std::vector<HostId> Alive = aliveHosts();
  std::vector<HostId> LeavingHosts;
  for (const Member &One : Present)
    if (One.State == MemberState::Leaving)
      LeavingHosts.push_back(One.Host);
  const Config &Document = *Configs.config();
  Queries.configure(Document);
  Queries.claims().setDaemonCount(Present.size());
  if (SetsChanged)
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
    std::vector<HostId> Live;
    for (const HostId &Host : Service->hosts())
      if (std::find(Alive.begin(), Alive.end(), Host) != Alive.end())
        Live.push_back(Host);
    Queries.claims().setHosts(Name, Live);
  }
}

void Node::configureService(const Service &One, const Config &Document) {
  auto &Slot = Services[One.Name];
  if (!Slot) {
    ServiceId Name = One.Name;
    Slot = std::make_unique<ServiceNode>(
        Context, Store, Name, [this, Name](SubRequestResult Message) {
          subRequestEnded(Name, std::move(Message));
        });
  }
  Slot->configure(Document, Placed);
  if (ReleaseAll)
    Slot->leave();
}

ServiceNode *Node::service(const ServiceId &Name) {
  if (!Configs.config()->service(Name))
    return nullptr;
  auto It = Services.find(Name);
  return It == Services.end() ? nullptr : It->second.get();
}

void Node::subRequestEnded(const ServiceId &Service, SubRequestResult Message) {
  if (Message.Key.Root == Context.Self.Host) {
    Queries.runner().onLocalReply(std::move(Message));
    return;
  }
  HostId Root = Message.Key.Root;
  DispatchReply Out = asDispatchReply(std::move(Message));
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
    return routeToService(Frame);
  case MessageType::Dispatch:
    if (auto Message = unpackBody<Dispatch>(Frame.Body); ok(Message))
      dispatch(valueOf(std::move(Message)));
    return true;
  case MessageType::DispatchReply:
    if (auto Message = unpackBody<DispatchReply>(Frame.Body); ok(Message))
      Queries.runner().onReply(valueOf(std::move(Message)));
    return true;
  case MessageType::DispatchCancel:
    if (auto Message = unpackBody<DispatchCancel>(Frame.Body); ok(Message))
      dispatchCancelled(valueOf(Message));
    return true;
  default:
    return Members.handleFrame(Frame) || Queries.handleFrame(Frame, Reply);
  }
}

bool Node::routeToService(const PeerFrame &Frame) {
  if (Frame.Type == MessageType::BackendSummary) {
    auto Report = unpackBody<OwnerReport>(Frame.Body);
    if (!ok(Report))
      return false;
    if (ServiceNode *Found = service(valueOf(Report).Service))
      Found->reported(valueOf(Report));
    return true;
  }
  auto Named = unpackBody<ServiceOfFrame>(Frame.Body);
  if (!ok(Named))
    return false;
  ServiceNode *Found = service(valueOf(Named).Service);
  return Found && Found->handleFrame(Frame);
}

void Node::dispatch(Dispatch Message) {
  ServiceNode *Found = service(Message.Service);
  if (!Found) {
    refuseDispatch(Message);
    return;
  }
  auto Text = std::make_shared<const std::string>(std::move(Message.Query));
  MonotonicTime Deadline = Context.Loop.now() + Message.Remaining;
  for (DispatchItem &Item : Message.Items) {
    SubRequest Work;
    Work.Key = {Message.Root, Message.RootIncarnation, Item.Id};
    Work.Snapshot = Message.Snapshot;
    Work.Shards = std::move(Item.Shards);
    Work.Class =
        Message.IsBatch ? SubRequestClass::Batch : SubRequestClass::Interactive;
    Work.Deadline = Deadline;
    Work.Idempotent = Message.Idempotent;
    Work.Query = Text;
    Found->submit(Item.Backend, std::move(Work));
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

void Node::dispatchCancelled(const DispatchCancel &Message) {
  ServiceNode *Found = service(Message.Service);
  if (!Found)
    return;
  for (const DispatchCancelItem &Item : Message.Items)
    Found->cancel(Item.Backend,
                  {Message.Root, Message.RootIncarnation, Item.Id});
}

} // namespace mimosa
