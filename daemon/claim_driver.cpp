#include "daemon/claim_driver.h"

#include "runtime/log.h"

namespace mimosa {

namespace {

constexpr Duration TickInterval = Milliseconds(20);

int64_t wallClockMs() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(SinceEpoch).count();
}

} // namespace

struct ClaimDriver::PendingClaim {
  FiberEvent Decided;
  ClaimDecision Decision;
};

ClaimDriver::ClaimDriver(NodeContext &Context, KeyValueStore &Store)
    : Context(Context), Store(Store),
      StoreLimiter(StoreRateLimiter::evenShare(1)),
      Client(Context.Self.Host, Context.Self.HostIncarnation, {}) {
  Ticks = Context.Loop.every(TickInterval, [this] { tick(); });
}

ClaimDriver::~ClaimDriver() = default;

void ClaimDriver::tick() {
  perform(Client.onTick(now()));
  for (auto &[Service, Owner] : LocalOwners)
    perform(Service, Owner->onTick(now()));
}

void ClaimDriver::setHostCount(size_t Count) {
  StoreLimiter.setLimits(StoreRateLimiter::evenShare(Count), now());
}

ClaimOwner &ClaimDriver::localOwner(const ServiceId &Service) {
  auto &Owner = LocalOwners[Service];
  if (!Owner) {
    Owner = std::make_unique<ClaimOwner>(Service, Context.Self.Host,
                                         Context.Self.HostIncarnation,
                                         StoreLimiter, ClaimOwnerOptions());
    Owner->setWallClock(wallClockMs(), now());
  }
  return *Owner;
}

void ClaimDriver::setHosts(const ServiceId &Service,
                           const std::vector<HostId> &LiveHosts) {
  std::optional<HostId> Next = claimOwner(Service, LiveHosts);
  std::optional<HostId> &Current = CurrentOwners[Service];
  if (Next == Current)
    return;
  bool WasOwner = Current == Context.Self.Host;
  bool IsOwner = Next == Context.Self.Host;
  Current = Next;
  if (IsOwner)
    perform(Service, localOwner(Service).start(now()));
  else if (WasOwner)
    perform(Service, localOwner(Service).stop());
  perform(Client.onOwnerChange(Service, Next, now()));
}

void ClaimDriver::onPause() {
  for (auto &[Service, Owner] : LocalOwners)
    Owner->markUnsynced();
}

ClaimDecision ClaimDriver::claim(const ServiceId &Service,
                                 const RequestKey &Key,
                                 MonotonicTime Deadline) {
  PendingClaim Claim;
  RequestId Ticket =
      Client.begin(Service, Key, CurrentOwners[Service], Deadline, now());
  Pending[Ticket] = &Claim;
  perform(Client.takeActions());
  Claim.Decided.wait();
  Pending.erase(Ticket);
  return std::move(Claim.Decision);
}

void ClaimDriver::settle(RequestId Ticket, bool NotRun, ResultCode Code,
                         std::string Answer) {
  if (NotRun)
    Client.release(Ticket);
  else
    Client.recordOutcome(Ticket, Code, std::move(Answer));
  perform(Client.takeActions());
}

void ClaimDriver::onHostUnreachable(const HostId &Host) {
  perform(Client.onUnreachable(Host, now()));
}

void ClaimDriver::perform(ClaimClientActions Actions) {
  for (ClaimClientAction &Action : Actions) {
    if (auto *Request = std::get_if<SendClaimRequest>(&Action)) {
      sendRequest(Request->To, Request->Request);
    } else if (auto *Settlement = std::get_if<SendClaimSettlement>(&Action)) {
      sendSettlement(Settlement->To, Settlement->Settlement);
    } else {
      auto &Decision = std::get<ClaimDecision>(Action);
      auto It = Pending.find(Decision.Ticket);
      if (It == Pending.end())
        continue;
      It->second->Decision = std::move(Decision);
      It->second->Decided.set();
    }
  }
}

void ClaimDriver::sendRequest(const HostId &To, const ClaimRequest &Message) {
  if (To == Context.Self.Host)
    perform(Message.Service,
            localOwner(Message.Service).onRequest(Message, now()));
  else
    Context.Peers.send(To, MessageType::ClaimRequest, packBody(Message));
}

void ClaimDriver::sendSettlement(const HostId &To,
                                 const ClaimSettlement &Message) {
  if (To == Context.Self.Host)
    perform(Message.Service,
            localOwner(Message.Service).onSettlement(Message, now()));
  else
    Context.Peers.send(To, MessageType::ClaimOutcome, packBody(Message));
}

void ClaimDriver::sendReply(const HostId &To, const ClaimReply &Message) {
  if (To == Context.Self.Host)
    perform(Client.onReply(To, Message, now()));
  else
    Context.Peers.send(To, MessageType::ClaimReply, packBody(Message));
}

void ClaimDriver::perform(const ServiceId &Service, ClaimOwnerActions Actions) {
  for (ClaimOwnerAction &Action : Actions) {
    if (auto *Listing = std::get_if<ListClaimRecords>(&Action))
      listRecords(Service, *Listing);
    else if (auto *Creation = std::get_if<CreateClaimRecord>(&Action))
      createRecord(Service, *Creation);
    else if (auto *Removal = std::get_if<RemoveClaimRecord>(&Action))
      removeRecord(Service, *Removal);
    else if (auto *Answer = std::get_if<SendClaimReply>(&Action)) {
      Answer->Reply.Sender = Context.Self.Host;
      sendReply(Answer->To, Answer->Reply);
    }
  }
}

void ClaimDriver::listRecords(const ServiceId &Service,
                              const ListClaimRecords &Action) {
  Store.list(Action.Prefix, Action.After,
             [this, Service, Epoch = Action.Epoch](const auto &Reply) {
               perform(Service,
                       localOwner(Service).onListed(Epoch, Reply, now()));
             });
}

void ClaimDriver::createRecord(const ServiceId &Service,
                               const CreateClaimRecord &Action) {
  Store.compareAndSwap(
      Action.Key, Action.Value, StoreVersion(),
      [this, Service, Epoch = Action.Epoch](const auto &Reply) {
        perform(Service, localOwner(Service).onCreated(Epoch, Reply, now()));
      });
}

void ClaimDriver::removeRecord(const ServiceId &Service,
                               const RemoveClaimRecord &Action) {
  Store.remove(
      Action.Key, [this, Service, Epoch = Action.Epoch](const auto &Reply) {
        perform(Service, localOwner(Service).onRemoved(Epoch, Reply, now()));
      });
}

bool ClaimDriver::handleFrame(const PeerFrame &Frame) {
  if (Frame.Type == MessageType::ClaimRequest) {
    if (auto Message = unpackBody<ClaimRequest>(Frame.Body); ok(Message))
      perform(valueOf(Message).Service,
              localOwner(valueOf(Message).Service)
                  .onRequest(valueOf(Message), now()));
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
              localOwner(valueOf(Message).Service)
                  .onSettlement(valueOf(Message), now()));
    return true;
  }
  return false;
}

} // namespace mimosa
