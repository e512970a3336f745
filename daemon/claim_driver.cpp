#include "daemon/claim_driver.h"

#include "runtime/log.h"

namespace mimosa {

namespace {

constexpr Duration TickTime = Milliseconds(20);

int64_t wallClockMs() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(SinceEpoch).count();
}

} // namespace

struct ClaimDriver::Waiting {
  FiberEvent Decided;
  ClaimDecision Decision;
};

ClaimDriver::ClaimDriver(NodeContext &Context, KeyValueStore &Store)
    : Context(Context), Store(Store), Budget(StoreRateLimiter::evenShare(1)),
      Client(Context.Self.Host, Context.Self.Life, {}) {
  Ticks = Context.Loop.every(TickTime, [this] { tick(); });
}

ClaimDriver::~ClaimDriver() = default;

void ClaimDriver::tick() {
  perform(Client.onTick(now()));
  for (auto &[Service, Owner] : Owners)
    perform(Service, Owner->onTick(now()));
}

void ClaimDriver::setDaemonCount(size_t Count) {
  Budget.setLimits(StoreRateLimiter::evenShare(Count), now());
}

ClaimOwner &ClaimDriver::ownerOf(const ServiceId &Service) {
  auto &Slot = Owners[Service];
  if (!Slot) {
    Slot = std::make_unique<ClaimOwner>(Service, Context.Self.Host,
                                        Context.Self.Life, Budget,
                                        ClaimOwnerOptions());
    Slot->setWallClock(wallClockMs(), now());
  }
  return *Slot;
}

void ClaimDriver::setHosts(const ServiceId &Service,
                           const std::vector<HostId> &LiveHosts) {
  std::optional<HostId> Next = claimOwner(Service, LiveHosts);
  std::optional<HostId> &Known = OwnerHosts[Service];
  if (Next == Known)
    return;
  bool Was = Known == Context.Self.Host;
  bool Is = Next == Context.Self.Host;
  Known = Next;
  if (Is)
    perform(Service, ownerOf(Service).start(now()));
  else if (Was)
    perform(Service, ownerOf(Service).stop());
  perform(Client.onOwnerChange(Service, Next, now()));
}

void ClaimDriver::paused() {
  for (auto &[Service, Owner] : Owners)
    Owner->markUnsynced();
}

ClaimDecision ClaimDriver::claim(const ServiceId &Service,
                                 const RequestKey &Key,
                                 MonotonicTime Deadline) {
  Waiting State;
  RequestId Ticket =
      Client.begin(Service, Key, OwnerHosts[Service], Deadline, now());
  Asking[Ticket] = &State;
  perform(Client.takeActions());
  State.Decided.wait();
  Asking.erase(Ticket);
  return std::move(State.Decision);
}

void ClaimDriver::settle(RequestId Ticket, bool NotRun, ResultCode Code,
                         std::string Answer) {
  if (NotRun)
    Client.release(Ticket);
  else
    Client.recordOutcome(Ticket, Code, std::move(Answer));
  perform(Client.takeActions());
}

void ClaimDriver::hostUnreachable(const HostId &Host) {
  perform(Client.onUnreachable(Host, now()));
}

void ClaimDriver::perform(ClaimClientActions Actions) {
  for (ClaimClientAction &Action : Actions) {
    if (auto *Ask = std::get_if<SendClaimRequest>(&Action)) {
      request(Ask->To, Ask->Request);
    } else if (auto *End = std::get_if<SendClaimSettlement>(&Action)) {
      settlement(End->To, End->Settlement);
    } else {
      auto &Decision = std::get<ClaimDecision>(Action);
      auto It = Asking.find(Decision.Ticket);
      if (It == Asking.end())
        continue;
      It->second->Decision = std::move(Decision);
      It->second->Decided.set();
    }
  }
}

void ClaimDriver::request(const HostId &To, const ClaimRequest &Message) {
  if (To == Context.Self.Host)
    perform(Message.Service,
            ownerOf(Message.Service).onRequest(Message, now()));
  else
    Context.Peers.send(To, MessageType::ClaimRequest, packBody(Message));
}

void ClaimDriver::settlement(const HostId &To, const ClaimSettlement &Message) {
  if (To == Context.Self.Host)
    perform(Message.Service,
            ownerOf(Message.Service).onSettlement(Message, now()));
  else
    Context.Peers.send(To, MessageType::ClaimOutcome, packBody(Message));
}

void ClaimDriver::reply(const HostId &To, const ClaimReply &Message) {
  if (To == Context.Self.Host)
    perform(Client.onReply(To, Message, now()));
  else
    Context.Peers.send(To, MessageType::ClaimReply, packBody(Message));
}

void ClaimDriver::perform(const ServiceId &Service, ClaimOwnerActions Actions) {
  for (ClaimOwnerAction &Action : Actions) {
    if (auto *Listing = std::get_if<ListClaimRecords>(&Action))
      list(Service, *Listing);
    else if (auto *Record = std::get_if<CreateClaimRecord>(&Action))
      create(Service, *Record);
    else if (auto *Old = std::get_if<RemoveClaimRecord>(&Action))
      remove(Service, *Old);
    else if (auto *Answer = std::get_if<SendClaimReply>(&Action)) {
      Answer->Reply.Sender = Context.Self.Host;
      reply(Answer->To, Answer->Reply);
    }
  }
}

void ClaimDriver::list(const ServiceId &Service,
                       const ListClaimRecords &Action) {
  Store.list(Action.Prefix, Action.After,
             [this, Service, Epoch = Action.Epoch](const auto &Reply) {
               perform(Service, ownerOf(Service).onListed(Epoch, Reply, now()));
             });
}

void ClaimDriver::create(const ServiceId &Service,
                         const CreateClaimRecord &Action) {
  Store.compareAndSwap(
      Action.Key, Action.Value, StoreVersion(),
      [this, Service, Epoch = Action.Epoch](const auto &Reply) {
        perform(Service, ownerOf(Service).onCreated(Epoch, Reply, now()));
      });
}

void ClaimDriver::remove(const ServiceId &Service,
                         const RemoveClaimRecord &Action) {
  Store.remove(
      Action.Key, [this, Service, Epoch = Action.Epoch](const auto &Reply) {
        perform(Service, ownerOf(Service).onRemoved(Epoch, Reply, now()));
      });
}

bool ClaimDriver::handleFrame(const PeerFrame &Frame) {
  if (Frame.Type == MessageType::ClaimRequest) {
    if (auto Message = unpackBody<ClaimRequest>(Frame.Body); ok(Message))
      perform(
          valueOf(Message).Service,
          ownerOf(valueOf(Message).Service).onRequest(valueOf(Message), now()));
    return true;
  }
  if (Frame.Type == MessageType::ClaimReply) {
    auto Message = unpackBody<ClaimReply>(Frame.Body);
    if (!ok(Message))
      return true;
    HostId Sender = valueOf(Message).Sender;
    perform(Client.onReply(Sender, valueOf(Message), now()));
    return true;
  }
  if (Frame.Type == MessageType::ClaimOutcome) {
    if (auto Message = unpackBody<ClaimSettlement>(Frame.Body); ok(Message))
      perform(valueOf(Message).Service,
              ownerOf(valueOf(Message).Service)
                  .onSettlement(valueOf(Message), now()));
    return true;
  }
  return false;
}

} // namespace mimosa
