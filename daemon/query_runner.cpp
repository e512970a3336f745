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
  Refusal Reason;
};
struct Lost {
  bool BackendLost;
};
struct Cancelled {};
struct Abandoned {};
struct TimerFired {};
struct StrikeAcknowledged {
  uint32_t Strikes;
};

using SessionEvent = std::variant<Answered, Refused, Lost, Cancelled, Abandoned,
                                  TimerFired, StrikeAcknowledged>;

SessionEvent toSessionEvent(DispatchReply &Message) {
  switch (Message.Outcome) {
  case DispatchOutcome::Answered: {
    Result<SubRequestReply> Reply = unpackSubRequestReply(Message.Body);
    if (!ok(Reply))
      return Lost{false};
    return Answered{valueOf(std::move(Reply))};
  }
  case DispatchOutcome::NotRun:
    return Refused{toRefusal(Message.Reason)};
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

Refusal toRefusal(RefusalReason Reason) {
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
  ActiveQuery(const QueryRequest &Request, ServiceNode &Service,
              const QuerySessionOptions &Options, QueryHooks &Hooks,
              Random &Rand)
      : Service(Service), Options(Options), Hooks(&Hooks),
        IsBatch(Request.Class == QueryClass::Batch),
        QueryText(std::make_shared<const std::string>(Request.Query)),
        Session(Options, Service.replicaSource(), Rand) {}

  ServiceNode &Service;
  QuerySessionOptions Options;
  /// Null once run() has returned.
  QueryHooks *Hooks;
  bool IsBatch;
  std::shared_ptr<const std::string> QueryText;
  QuerySession Session;
  /// Keys of OutstandingById by the session's numbers.
  std::unordered_map<SubRequestNumber, uint64_t> SubRequestIds;
  /// Events to be handled. Handling one can cause others, which are queued
  /// until it is done.
  std::deque<std::pair<SubRequestNumber, SessionEvent>> Events;
  bool ProcessingEvents = false;
  bool CanaryReported = false;
  std::optional<QueryAnswer> Answer;
  MonotonicTime WakeUp = MonotonicTime::max();
  FiberEvent Changed;

  void apply(SubRequestNumber Number, SessionEvent &Event, MonotonicTime Now,
             QueryActions &Out) {
    if (auto *A = std::get_if<Answered>(&Event))
      Session.onReply(Number, std::move(A->Reply), Now, Out);
    else if (auto *R = std::get_if<Refused>(&Event))
      Session.onRefused(Number, R->Reason, Now, Out);
    else if (auto *L = std::get_if<Lost>(&Event))
      Session.onLost(Number, L->BackendLost, Now, Out);
    else if (std::holds_alternative<Cancelled>(Event))
      Session.onCancelled(Number, Now, Out);
    else if (auto *S = std::get_if<StrikeAcknowledged>(&Event))
      Session.onStrikeAcknowledged(S->Strikes, Now, Out);
    else if (std::holds_alternative<Abandoned>(Event))
      Session.onAbandoned(Now, Out);
    else
      Session.onTimer(Now, Out);
  }
};

QueryRunner::QueryRunner(NodeContext &Context) : Context(Context) {}
QueryRunner::~QueryRunner() = default;

QueryAnswer QueryRunner::run(const QueryRequest &Request, ServiceNode &Service,
                             const QuerySessionOptions &Options,
                             QueryHooks &Hooks) {
  auto Query = std::make_shared<ActiveQuery>(Request, Service, Options, Hooks,
                                             Context.Rand);
  ++RunningQueries;
  std::weak_ptr<ActiveQuery> Weak = Query;
  Hooks.onStarted([this, Weak] {
    if (auto Live = Weak.lock())
      postEvent(Live, SubRequestNumber(), Abandoned{});
  });
  QueryActions Actions;
  Query->Session.start(Context.Loop.now(), Actions);
  if (Options.KnownGood && Options.Idempotent && !Actions.ToSend.empty())
    probeStraggler(Query, Actions.ToSend.front());
  Query->ProcessingEvents = true;
  perform(Query, Actions);
  Query->ProcessingEvents = false;
  processEvents(Query);
  while (!Query->Answer) {
    if (!Query->Changed.waitUntil(Query->WakeUp)) {
      Query->Events.emplace_back(SubRequestNumber(), TimerFired{});
      processEvents(Query);
    }
    Query->Changed.clear();
  }
  Query->Hooks = nullptr;
  Totals += Query->Session.counters();
  --RunningQueries;
  return std::move(*Query->Answer);
}

void QueryRunner::processEvents(const std::shared_ptr<ActiveQuery> &Query) {
  if (Query->ProcessingEvents)
    return;
  Query->ProcessingEvents = true;
  QueryActions Actions;
  while (!Query->Events.empty()) {
    auto [Number, Event] = std::move(Query->Events.front());
    Query->Events.pop_front();
    Query->apply(Number, Event, Context.Loop.now(), Actions);
    perform(Query, Actions);
    Actions.clear();
  }
  Query->ProcessingEvents = false;
}

void QueryRunner::perform(const std::shared_ptr<ActiveQuery> &Query,
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
    Query->Hooks->onCanaryPassed();
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
  Query->Hooks->onStrike([this, Weak](uint32_t Strikes) {
    if (auto Live = Weak.lock())
      postEvent(Live, SubRequestNumber(), StrikeAcknowledged{Strikes});
  });
}

template <typename Event>
void QueryRunner::postEvent(const std::shared_ptr<ActiveQuery> &Query,
                            SubRequestNumber Number, Event Posted) {
  if (Query->Answer)
    return;
  Query->Events.emplace_back(Number, std::move(Posted));
  processEvents(Query);
}

void QueryRunner::send(const std::shared_ptr<ActiveQuery> &Query,
                       std::vector<OutgoingSubRequest> &ToSend) {
  if (ToSend.empty())
    return;
  std::map<HostId, std::vector<DispatchItem>> ByOwner;
  SnapshotId Snapshot = ToSend.front().Snapshot;
  for (OutgoingSubRequest &Outgoing : ToSend) {
    std::optional<HostId> Owner =
        Query->Service.directory().owner(Outgoing.Backend);
    if (!Owner) {
      Query->Events.emplace_back(Outgoing.Number, Refused{Refusal::NotSent});
      continue;
    }
    uint64_t Id = ++LastSubRequestId;
    Query->SubRequestIds[Outgoing.Number] = Id;
    OutstandingById[Id] = {Query,  Outgoing.Number, Outgoing.Backend,
                           *Owner, nullptr,         MonotonicTime()};
    ByOwner[*Owner].push_back({RequestId(Id), std::move(Outgoing.Backend),
                               std::move(Outgoing.Shards)});
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
    SubRequest Request;
    Request.Key = {Context.Self.Host, Context.Self.HostIncarnation, Item.Id};
    Request.Snapshot = Snapshot;
    Request.Shards = std::move(Item.Shards);
    Request.Class =
        Query.IsBatch ? SubRequestClass::Batch : SubRequestClass::Interactive;
    Request.Deadline = Query.Options.Deadline;
    Request.Idempotent = Query.Options.Idempotent;
    Request.Query = Query.QueryText;
    Query.Service.submit(Item.Backend, std::move(Request));
  }
}

void QueryRunner::sendRemote(ActiveQuery &Query, const HostId &Owner,
                             std::vector<DispatchItem> Items,
                             const SnapshotId &Snapshot) {
  Dispatch Message;
  Message.Service = Query.Service.settings().Name;
  Message.Root = Context.Self.Host;
  Message.RootIncarnation = Context.Self.HostIncarnation;
  Message.Snapshot = Snapshot;
  Message.IsBatch = Query.IsBatch;
  Message.Idempotent = Query.Options.Idempotent;
  Message.Remaining = Query.Options.Deadline - Context.Loop.now();
  Message.Query = *Query.QueryText;
  Message.Items = std::move(Items);
  Context.Peers.send(Owner, MessageType::Dispatch, packBody(Message));
}

void QueryRunner::probeStraggler(const std::shared_ptr<ActiveQuery> &Query,
                                 const OutgoingSubRequest &Outgoing) {
  if (Outgoing.Shards.empty())
    return;
  MonotonicTime Now = Context.Loop.now();
  BackendDirectory &Directory = Query->Service.directory();
  ShardId Shard = Outgoing.Shards[Context.Rand.below(Outgoing.Shards.size())];
  auto Straggler = Directory.takeProbe(Outgoing.Snapshot, Shard, Now);
  if (!Straggler)
    return;
  std::optional<HostId> Owner = Directory.owner(*Straggler);
  if (!Owner)
    return;
  uint64_t Id = ++LastSubRequestId;
  OutstandingById[Id] = {Query,  SubRequestNumber(), *Straggler,
                         *Owner, &Query->Service,    Now};
  Directory.onSubRequestSent(*Straggler, Now);
  std::vector<DispatchItem> Items{{RequestId(Id), *Straggler, {Shard}}};
  if (*Owner == Context.Self.Host)
    sendLocal(*Query, std::move(Items), Outgoing.Snapshot);
  else
    sendRemote(*Query, *Owner, std::move(Items), Outgoing.Snapshot);
}

void QueryRunner::endProbe(const OutstandingSubRequest &Probe, bool Answered) {
  MonotonicTime Now = Context.Loop.now();
  std::optional<Duration> Latency;
  if (Answered)
    Latency = Now - Probe.SentAt;
  Probe.ProbedService->directory().onSubRequestEnded(Probe.Backend, Latency,
                                                     Now);
}

void QueryRunner::cancel(ActiveQuery &Query, SubRequestNumber Number) {
  auto Found = Query.SubRequestIds.find(Number);
  if (Found == Query.SubRequestIds.end())
    return;
  uint64_t Id = Found->second;
  auto It = OutstandingById.find(Id);
  if (It == OutstandingById.end())
    return;
  OutstandingSubRequest Entry = std::move(It->second);
  OutstandingById.erase(It);
  if (Entry.Owner == Context.Self.Host) {
    Query.Service.cancel(
        Entry.Backend,
        {Context.Self.Host, Context.Self.HostIncarnation, RequestId(Id)});
    return;
  }
  DispatchCancel Message;
  Message.Service = Query.Service.settings().Name;
  Message.Root = Context.Self.Host;
  Message.RootIncarnation = Context.Self.HostIncarnation;
  Message.Items.push_back({RequestId(Id), Entry.Backend});
  Context.Peers.send(Entry.Owner, MessageType::DispatchCancel,
                     packBody(Message));
}

void QueryRunner::onReply(DispatchReply Message) {
  if (Message.RootIncarnation != Context.Self.HostIncarnation)
    return;
  auto It = OutstandingById.find(Message.Id.number());
  if (It == OutstandingById.end())
    return;
  OutstandingSubRequest Entry = std::move(It->second);
  OutstandingById.erase(It);
  if (Message.Reason == RefusalReason::NotOwner)
    Entry.Query->Service.onNotOwner(Entry.Backend, Entry.Owner);
  else
    Entry.Query->Service.directory().onOwnerReport(
        Entry.Backend, Message.QueueLength, Message.Limit, Context.Loop.now());
  if (Entry.ProbedService) {
    endProbe(Entry, Message.Outcome == DispatchOutcome::Answered);
    return;
  }
  Entry.Query->Events.emplace_back(Entry.Number, toSessionEvent(Message));
  processEvents(Entry.Query);
}

DispatchReply toDispatchReply(SubRequestResult Message) {
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

void QueryRunner::onLocalResult(SubRequestResult Message) {
  onReply(toDispatchReply(std::move(Message)));
}

void QueryRunner::onOwnerConnectionLost(const HostId &Owner,
                                        PeerClient::ConnectionFailure Failure) {
  std::vector<OutstandingSubRequest> Ended;
  for (auto It = OutstandingById.begin(); It != OutstandingById.end();) {
    if (It->second.Owner != Owner) {
      ++It;
      continue;
    }
    Ended.push_back(std::move(It->second));
    It = OutstandingById.erase(It);
  }
  for (OutstandingSubRequest &Entry : Ended) {
    if (Entry.ProbedService) {
      endProbe(Entry, false);
      continue;
    }
    if (Failure == PeerClient::ConnectionFailure::NotConnected)
      Entry.Query->Events.emplace_back(Entry.Number, Refused{Refusal::NotSent});
    else
      Entry.Query->Events.emplace_back(Entry.Number, Lost{false});
    processEvents(Entry.Query);
  }
}

} // namespace mimosa
