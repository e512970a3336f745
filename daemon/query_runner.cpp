#include "daemon/query_runner.h"

#include "daemon/backend_messages.h"

#include <deque>
#include <map>
#include <variant>

namespace mimosa {

namespace {

struct Answered {
  SubRequestReply Reply;
};
struct Refused {
  Refusal Why;
};
struct Lost {
  bool Backend;
};
struct Cancelled {};
struct CallerGone {};
struct TimerFired {};
struct StrikeAcknowledged {
  uint32_t Strikes;
};

using SessionEvent = std::variant<Answered, Refused, Lost, Cancelled,
                                  CallerGone, TimerFired, StrikeAcknowledged>;

SessionEvent eventOf(DispatchReply &Message) {
  switch (Message.Outcome) {
  case DispatchOutcome::Answered: {
    Result<SubRequestReply> Answer = unpackSubAnswer(Message.Body);
    if (!ok(Answer))
      return Lost{false};
    return Answered{valueOf(std::move(Answer))};
  }
  case DispatchOutcome::NotRun:
    return Refused{refusalOf(Message.Reason)};
  case DispatchOutcome::Cancelled:
    return Cancelled{};
  case DispatchOutcome::BackendLost:
    return Lost{true};
  case DispatchOutcome::Lost:
    break;
  }
  return Lost{false};
}

} // namespace

Refusal refusalOf(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Draining:
  case RefusalReason::ZoneOut:
    return Refusal::Draining;
  case RefusalReason::Cold:
    return Refusal::Cold;
  case RefusalReason::UnknownSnapshot:
    return Refusal::UnknownSnapshot;
  case RefusalReason::Deadline:
  case RefusalReason::Cancelled:
    return Refusal::Dropped;
  case RefusalReason::NotOwner:
  case RefusalReason::Unreachable:
    return Refusal::NotSent;
  case RefusalReason::None:
  case RefusalReason::Shed:
  case RefusalReason::Overloaded:
    break;
  }
  return Refusal::Shed;
}

struct QueryRunner::ActiveQuery {
  ActiveQuery(const QueryRequest &Request, ServiceNode &Node,
              const QuerySessionOptions &Options, QueryHooks &Hooks,
              Random &Rand)
      : Node(Node), Options(Options), Hooks(&Hooks),
        IsBatch(Request.Class == QueryClass::Batch),
        Text(std::make_shared<const std::string>(Request.Query)),
        Session(Options, Node.source(), Rand) {}

  ServiceNode &Node;
  QuerySessionOptions Options;
  /// Null once run() has returned.
  QueryHooks *Hooks;
  bool IsBatch;
  std::shared_ptr<const std::string> Text;
  QuerySession Session;
  std::unordered_map<SubRequestNumber, uint64_t> SubRequests;
  /// Events that arrived while another one was handled.
  std::deque<std::pair<SubRequestNumber, SessionEvent>> Events;
  bool Settling = false;
  bool CanaryReported = false;
  std::optional<QueryAnswer> Answer;
  MonotonicTime WakeUp = MonotonicTime::max();
  FiberEvent Changed;

  void apply(SubRequestNumber Number, SessionEvent &Event, MonotonicTime Now,
             QueryActions &Out) {
    if (auto *A = std::get_if<Answered>(&Event))
      Session.onReply(Number, std::move(A->Reply), Now, Out);
    else if (auto *R = std::get_if<Refused>(&Event))
      Session.onRefused(Number, R->Why, Now, Out);
    else if (auto *L = std::get_if<Lost>(&Event))
      Session.onLost(Number, L->Backend, Now, Out);
    else if (std::holds_alternative<Cancelled>(Event))
      Session.onCancelled(Number, Now, Out);
    else if (auto *S = std::get_if<StrikeAcknowledged>(&Event))
      Session.onStrikeAcknowledged(S->Strikes, Now, Out);
    else if (std::holds_alternative<CallerGone>(Event))
      Session.onAbandoned(Now, Out);
    else
      Session.onTimer(Now, Out);
  }
};

QueryRunner::QueryRunner(NodeContext &Context) : Context(Context) {}
QueryRunner::~QueryRunner() = default;

QueryAnswer QueryRunner::run(const QueryRequest &Request, ServiceNode &Node,
                             const QuerySessionOptions &Options,
                             QueryHooks &Hooks) {
  auto Query = std::make_shared<ActiveQuery>(Request, Node, Options, Hooks,
                                             Context.Rand);
  ++Running;
  std::weak_ptr<ActiveQuery> Weak = Query;
  Hooks.started([this, Weak] {
    if (auto Live = Weak.lock())
      raise(Live, SubRequestNumber(), CallerGone{});
  });
  QueryActions Actions;
  Query->Session.start(Context.Loop.now(), Actions);
  if (Options.KnownGood && Options.Idempotent && !Actions.ToSend.empty())
    probeStraggler(Query, Actions.ToSend.front());
  Query->Settling = true;
  carryOut(Query, Actions);
  Query->Settling = false;
  settle(Query);
  while (!Query->Answer) {
    if (!Query->Changed.waitUntil(Query->WakeUp)) {
      Query->Events.emplace_back(SubRequestNumber(), TimerFired{});
      settle(Query);
    }
    Query->Changed.clear();
  }
  Query->Hooks = nullptr;
  Total += Query->Session.counters();
  --Running;
  return std::move(*Query->Answer);
}

void QueryRunner::settle(const std::shared_ptr<ActiveQuery> &Query) {
  if (Query->Settling)
    return;
  Query->Settling = true;
  QueryActions Actions;
  while (!Query->Events.empty()) {
    auto [Number, Event] = std::move(Query->Events.front());
    Query->Events.pop_front();
    Query->apply(Number, Event, Context.Loop.now(), Actions);
    carryOut(Query, Actions);
    Actions.clear();
  }
  Query->Settling = false;
}

void QueryRunner::carryOut(const std::shared_ptr<ActiveQuery> &Query,
                           QueryActions &Actions) {
  send(Query, Actions.ToSend);
  for (SubRequestNumber Number : Actions.ToCancel)
    cancel(*Query, Number);
  bool Wake = false;
  if (Actions.WakeUp && *Actions.WakeUp != Query->WakeUp) {
    Wake = *Actions.WakeUp < Query->WakeUp;
    Query->WakeUp = *Actions.WakeUp;
  }
  if (Query->Hooks && Query->Session.canaryPassed() && !Query->CanaryReported) {
    Query->CanaryReported = true;
    Query->Hooks->canaryPassed();
  }
  if (Query->Hooks && Actions.Strike)
    reportStrike(Query);
  if (Actions.Answer) {
    Query->Answer = std::move(Actions.Answer);
    Wake = true;
  }
  if (Wake)
    Query->Changed.set();
}

void QueryRunner::reportStrike(const std::shared_ptr<ActiveQuery> &Query) {
  std::weak_ptr<ActiveQuery> Weak = Query;
  Query->Hooks->strike([this, Weak](uint32_t Strikes) {
    if (auto Live = Weak.lock())
      raise(Live, SubRequestNumber(), StrikeAcknowledged{Strikes});
  });
}

template <typename Event>
void QueryRunner::raise(const std::shared_ptr<ActiveQuery> &Query,
                        SubRequestNumber Number, Event What) {
  if (Query->Answer)
    return;
  Query->Events.emplace_back(Number, std::move(What));
  settle(Query);
}

void QueryRunner::send(const std::shared_ptr<ActiveQuery> &Query,
                       std::vector<OutgoingSubRequest> &Sends) {
  if (Sends.empty())
    return;
  std::map<HostId, std::vector<DispatchItem>> ByOwner;
  SnapshotId Snapshot = Sends.front().Snapshot;
  for (OutgoingSubRequest &Send : Sends) {
    std::optional<HostId> Owner = Query->Node.directory().owner(Send.Backend);
    if (!Owner) {
      Query->Events.emplace_back(Send.Number, Refused{Refusal::NotSent});
      continue;
    }
    uint64_t Id = ++LastSubRequest;
    Query->SubRequests[Send.Number] = Id;
    BySubRequest[Id] = {Query,  Send.Number, Send.Backend,
                        *Owner, nullptr,     MonotonicTime()};
    ByOwner[*Owner].push_back(
        {RequestId(Id), std::move(Send.Backend), std::move(Send.Shards)});
  }
  for (auto &[Owner, Items] : ByOwner) {
    if (Owner == Context.Self.Host)
      sendLocal(*Query, std::move(Items), Snapshot);
    else
      sendRemote(*Query, Owner, std::move(Items), Snapshot);
  }
}

void QueryRunner::sendLocal(ActiveQuery &Query, std::vector<DispatchItem> Items,
                            const SnapshotId &Snapshot) {
  for (DispatchItem &Item : Items) {
    SubRequest Work;
    Work.Key = {Context.Self.Host, Context.Self.Life, Item.Id};
    Work.Snapshot = Snapshot;
    Work.Shards = std::move(Item.Shards);
    Work.Class =
        Query.IsBatch ? SubRequestClass::Batch : SubRequestClass::Interactive;
    Work.Deadline = Query.Options.Deadline;
    Work.Idempotent = Query.Options.Idempotent;
    Work.Query = Query.Text;
    Query.Node.submit(Item.Backend, std::move(Work));
  }
}

void QueryRunner::sendRemote(ActiveQuery &Query, const HostId &Owner,
                             std::vector<DispatchItem> Items,
                             const SnapshotId &Snapshot) {
  Dispatch Message;
  Message.Service = Query.Node.settings().Name;
  Message.Root = Context.Self.Host;
  Message.RootIncarnation = Context.Self.Life;
  Message.Snapshot = Snapshot;
  Message.IsBatch = Query.IsBatch;
  Message.Idempotent = Query.Options.Idempotent;
  Message.Remaining = Query.Options.Deadline - Context.Loop.now();
  Message.Query = *Query.Text;
  Message.Items = std::move(Items);
  Context.Peers.send(Owner, MessageType::Dispatch, packBody(Message));
}

void QueryRunner::probeStraggler(const std::shared_ptr<ActiveQuery> &Query,
                                 const OutgoingSubRequest &Sample) {
  if (Sample.Shards.empty())
    return;
  MonotonicTime Now = Context.Loop.now();
  BackendDirectory &Directory = Query->Node.directory();
  ShardId Shard = Sample.Shards[Context.Rand.below(Sample.Shards.size())];
  auto Straggler = Directory.takeProbe(Sample.Snapshot, Shard, Now);
  if (!Straggler)
    return;
  std::optional<HostId> Owner = Directory.owner(*Straggler);
  if (!Owner)
    return;
  uint64_t Id = ++LastSubRequest;
  BySubRequest[Id] = {Query,  SubRequestNumber(), *Straggler,
                      *Owner, &Query->Node,       Now};
  Directory.onSubRequestSent(*Straggler, Now);
  std::vector<DispatchItem> Items{{RequestId(Id), *Straggler, {Shard}}};
  if (*Owner == Context.Self.Host)
    sendLocal(*Query, std::move(Items), Sample.Snapshot);
  else
    sendRemote(*Query, *Owner, std::move(Items), Sample.Snapshot);
}

void QueryRunner::endProbe(const Outstanding &Probe, bool Answered) {
  MonotonicTime Now = Context.Loop.now();
  std::optional<Duration> Latency;
  if (Answered)
    Latency = Now - Probe.SentAt;
  Probe.ProbeOf->directory().onSubRequestEnded(Probe.Backend, Latency, Now);
}

void QueryRunner::cancel(ActiveQuery &Query, SubRequestNumber Number) {
  auto Found = Query.SubRequests.find(Number);
  if (Found == Query.SubRequests.end())
    return;
  uint64_t Id = Found->second;
  auto It = BySubRequest.find(Id);
  if (It == BySubRequest.end())
    return;
  Outstanding Sent = std::move(It->second);
  BySubRequest.erase(It);
  if (Sent.Owner == Context.Self.Host) {
    Query.Node.cancel(Sent.Backend,
                      {Context.Self.Host, Context.Self.Life, RequestId(Id)});
    return;
  }
  DispatchCancel Message;
  Message.Service = Query.Node.settings().Name;
  Message.Root = Context.Self.Host;
  Message.RootIncarnation = Context.Self.Life;
  Message.Items.push_back({RequestId(Id), Sent.Backend});
  Context.Peers.send(Sent.Owner, MessageType::DispatchCancel,
                     packBody(Message));
}

void QueryRunner::onReply(DispatchReply Message) {
  if (Message.RootIncarnation != Context.Self.Life)
    return;
  auto It = BySubRequest.find(Message.Id.number());
  if (It == BySubRequest.end())
    return;
  Outstanding Sent = std::move(It->second);
  BySubRequest.erase(It);
  if (Message.Reason == RefusalReason::NotOwner)
    Sent.Query->Node.ownerDenied(Sent.Backend, Sent.Owner);
  else
    Sent.Query->Node.directory().onOwnerReport(
        Sent.Backend, Message.QueueLength, Message.Limit, Context.Loop.now());
  if (Sent.ProbeOf) {
    endProbe(Sent, Message.Outcome == DispatchOutcome::Answered);
    return;
  }
  Sent.Query->Events.emplace_back(Sent.Number, eventOf(Message));
  settle(Sent.Query);
}

DispatchReply asDispatchReply(SubRequestResult Message) {
  DispatchReply Out;
  Out.RootIncarnation = Message.Key.RootIncarnation;
  Out.Id = Message.Key.Id;
  Out.Outcome = Message.Outcome;
  Out.Reason = Message.Reason;
  Out.Body = std::move(Message.Body);
  Out.ServiceTime = Message.ServiceTime;
  Out.QueueLength = Message.QueueLength;
  Out.Limit = Message.Limit;
  return Out;
}

void QueryRunner::onLocalReply(SubRequestResult Message) {
  onReply(asDispatchReply(std::move(Message)));
}

void QueryRunner::onOwnerLost(const HostId &Owner,
                              PeerClient::ConnectionFailure Failure) {
  std::vector<Outstanding> Ended;
  for (auto It = BySubRequest.begin(); It != BySubRequest.end();) {
    if (It->second.Owner != Owner) {
      ++It;
      continue;
    }
    Ended.push_back(std::move(It->second));
    It = BySubRequest.erase(It);
  }
  for (Outstanding &Sent : Ended) {
    if (Sent.ProbeOf) {
      endProbe(Sent, false);
      continue;
    }
    if (Failure == PeerClient::ConnectionFailure::NotConnected)
      Sent.Query->Events.emplace_back(Sent.Number, Refused{Refusal::NotSent});
    else
      Sent.Query->Events.emplace_back(Sent.Number, Lost{false});
    settle(Sent.Query);
  }
}

} // namespace mimosa
