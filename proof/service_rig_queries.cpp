#include "proof/service_rig.h"

namespace mimosa {

namespace {

constexpr Duration NetworkDelay = Milliseconds(1);
constexpr Duration QueryDeadline = Milliseconds(160);
constexpr Duration RequestDeadline = Milliseconds(1500);

} // namespace

ServiceRig::QueryPtr ServiceRig::startQuery(const std::string &Id, size_t Root,
                                            const std::string &Key,
                                            bool KnownGood) {
  auto Q = std::make_shared<RunningQuery>();
  Q->Id = Id;
  Q->Key = Key;
  Q->Root = Root;
  Q->Deadline = Time.Now + (Key.empty() ? QueryDeadline : RequestDeadline);
  if (!Key.empty())
    Log.RequestKeys[Id] = Key;
  Log.add({Time.Now, EventKind::Query, hostName(Root).text(), Id, Key});
  if (!Key.empty()) {
    Q->Claim = Claims.request(Root, Key, RequestDeadline);
    if (Bug != InjectedBug::ClaimNotAwaited) {
      AwaitingClaim.push_back(Q);
      return Q;
    }
  }
  startSession(Q, KnownGood, 0);
  return Q;
}

void ServiceRig::startCrashingQuery(const std::string &Id, size_t Root) {
  auto Q = std::make_shared<RunningQuery>();
  Q->Id = Id;
  Q->Root = Root;
  Q->Deadline = Time.Now + QueryDeadline;
  Q->RequestFingerprint = queryFingerprint(ServiceId("storm"), "crash");
  Log.add({Time.Now, EventKind::Query, hostName(Root).text(), Id});
  RequestId Number(++LastQueryNumber);
  switch (Quarantines[Root].decide(*Q->RequestFingerprint, Number, Time.Now)) {
  case QuarantineDecision::Run:
  case QuarantineDecision::Canary:
    Q->QuarantineId = Number;
    startSession(Q, false,
                 static_cast<uint32_t>(Quarantines[Root].strikes(
                     *Q->RequestFingerprint, Time.Now)));
    return;
  case QuarantineDecision::Wait:
    // The rig has no queue; the caller cancels at once instead of waiting.
    Quarantines[Root].stopWaiting(*Q->RequestFingerprint, Number);
    refuse(Q, ResultCode::Overloaded, Execution::NotRun);
    return;
  case QuarantineDecision::Refuse:
  case QuarantineDecision::Busy:
    refuse(Q, ResultCode::Quarantined, Execution::NotRun);
  }
}

void ServiceRig::startSession(const QueryPtr &Q, bool KnownGood,
                              uint32_t Strikes) {
  QuerySessionOptions Options;
  Options.Received = Time.Now;
  Options.Deadline = Q->Deadline;
  Options.Idempotent = Q->Key.empty();
  Options.KnownGood = KnownGood;
  Options.PriorStrikes = Strikes;
  Q->Session = std::make_unique<QuerySession>(Options, Directory, Rand);
  callSession(
      Q, [&](QueryActions &Actions) { Q->Session->start(Time.Now, Actions); });
}

void ServiceRig::callSession(const QueryPtr &Q,
                             const std::function<void(QueryActions &)> &Call) {
  QueryActions Actions;
  Call(Actions);
  performActions(Q, Actions);
}

/// Runs the request if its claim was granted, and refuses it otherwise.
void ServiceRig::onClaimDecided(const QueryPtr &Q) {
  ClaimDecision Decision = Claims.decision(Q->Claim);
  switch (Decision.Kind) {
  case ClaimDecisionKind::Granted:
    Log.add({Time.Now, EventKind::Note, "", Q->Id, "claim granted"});
    if (Q->Id == Subject)
      reachStep(Step::ClaimGranted);
    Q->HoldsClaim = true;
    startSession(Q, true, 0);
    return;
  case ClaimDecisionKind::AlreadyClaimed:
    refuse(Q, ResultCode::AlreadyClaimed,
           Decision.Outcome ? Execution::Ran : Execution::Unknown);
    return;
  case ClaimDecisionKind::Unknown:
    refuse(Q, Decision.Reason.Code, Execution::Unknown);
    return;
  case ClaimDecisionKind::NotRun:
    refuse(Q, Decision.Reason.Code, Execution::NotRun);
  }
}

void ServiceRig::refuse(const QueryPtr &Q, ResultCode Code, Execution Outcome) {
  QueryAnswer Answer;
  Answer.Code = Code;
  Answer.Outcome = Outcome;
  finishQuery(Q, std::move(Answer));
}

void ServiceRig::performActions(const QueryPtr &Q, QueryActions &Actions) {
  for (const OutgoingSubRequest &Send : Actions.ToSend)
    sendSubRequest(Q, Send);
  for (SubRequestNumber Number : Actions.ToCancel)
    cancel(Q, Number);
  if (Actions.Strike)
    broadcastStrike(Q);
  if (Actions.Answer)
    finishQuery(Q, std::move(*Actions.Answer));
  if (Actions.WakeUp && *Actions.WakeUp != Q->WakeUp && !Q->Answered) {
    Q->WakeUp = *Actions.WakeUp;
    Time.after(std::max(Duration(0), Q->WakeUp - Time.Now),
               [this, Q, At = Q->WakeUp] {
                 if (Q->Answered || Q->WakeUp != At)
                   return;
                 callSession(Q, [&](QueryActions &Out) {
                   Q->Session->onTimer(Time.Now, Out);
                 });
               });
  }
  if (Q->Id != Subject || Actions.ToSend.empty())
    return;
  for (Step S : {Step::Canary, Step::Sent, Step::RequestSent})
    reachStep(S);
  if (Q->Session->counters().Hedges > 0)
    reachStep(Step::Hedged);
}

void ServiceRig::sendSubRequest(const QueryPtr &Q,
                                const OutgoingSubRequest &Send) {
  size_t B = FakeBackends::index(Send.Backend);
  std::optional<HostId> Owner = Directory.owner(Send.Backend);
  if (!Owner) {
    Time.after(Duration(0), [this, Q, Number = Send.Number] {
      callSession(Q, [&](QueryActions &Out) {
        Q->Session->onRefused(Number, Refusal::NotSent, Time.Now, Out);
      });
    });
    return;
  }
  Event E{Time.Now, EventKind::SubRequestSent, Send.Backend.text(), Q->Id};
  E.Text = "of " + Owner->text();
  E.Snapshot = Send.Snapshot.text();
  E.Shards = Send.Shards;
  Log.add(std::move(E));
  uint64_t Id = ++LastSubRequestId;
  size_t OwnerIndex = hostIndex(*Owner);
  Q->SubRequestIds[Send.Number] = Id;
  OutstandingSubRequests[Id] = {Q,          Send.Number,   B,
                                OwnerIndex, Send.Snapshot, false};
  SubRequest Request;
  Request.Key = {hostName(Q->Root), Incarnation(1), RequestId(Id)};
  Request.Snapshot = Send.Snapshot;
  Request.Shards = Send.Shards;
  Request.Deadline = Q->Deadline;
  Request.Idempotent = Q->Key.empty();
  Request.Query = std::make_shared<const std::string>(Q->Id);
  Time.after(NetworkDelay, [this, OwnerIndex, B, Request] {
    submit(OwnerIndex, B, Request);
  });
}

void ServiceRig::submit(size_t Owner, size_t Backend,
                        const SubRequest &Request) {
  if (Bug == InjectedBug::LimitIgnored) {
    Backends.sendBypassingScheduler(
        Owner, Backend, Request,
        [this](const SubRequestResult &Message) { onReply(Message); });
    return;
  }
  if (!Hosts[Owner]->Up) {
    SubRequestResult Refused;
    Refused.Key = Request.Key;
    Refused.Outcome = DispatchOutcome::NotRun;
    Refused.Reason = RefusalReason::Unreachable;
    onReply(Refused);
    return;
  }
  auto Found = OutstandingSubRequests.find(Request.Key.Id.number());
  if (Found != OutstandingSubRequests.end())
    Found->second.ReachedOwner = true;
  onDispatcher(Owner,
               [this, Backend, Request](Dispatcher &D, DispatchActions &Out) {
                 D.submit(FakeBackends::name(Backend), Request, Time.Now, Out);
               });
}

void ServiceRig::cancel(const QueryPtr &Q, SubRequestNumber Number) {
  auto Found = OutstandingSubRequests.find(Q->SubRequestIds[Number]);
  if (Found == OutstandingSubRequests.end())
    return;
  OutstandingSubRequest Sent = Found->second;
  SubRequestKey Key{hostName(Q->Root), Incarnation(1), RequestId(Found->first)};
  OutstandingSubRequests.erase(Found);
  Time.after(NetworkDelay, [this, Sent, Key] {
    onDispatcher(Sent.Owner, [=](Dispatcher &D, DispatchActions &Out) {
      D.cancel(FakeBackends::name(Sent.Backend), Key, Time.Now, Out);
    });
  });
}

/// Sends the strike to the other root and then notifies the session.
void ServiceRig::broadcastStrike(const QueryPtr &Q) {
  if (!Q->RequestFingerprint) {
    Time.after(2 * NetworkDelay, [this, Q] {
      callSession(Q, [&](QueryActions &Out) {
        Q->Session->onStrikeAcknowledged(1, Time.Now, Out);
      });
    });
    return;
  }
  CanaryOutcome Ended = Quarantines[Q->Root].canaryEnded(
      ServiceId("storm"), *Q->RequestFingerprint, Q->QuarantineId,
      CanaryEnd::BackendLost, Time.Now);
  Q->QuarantineEnded = true;
  if (Ended.Strike)
    Quarantines[3 - Q->Root].strikeReceived(*Ended.Strike, Time.Now);
  Time.after(2 * NetworkDelay, [this, Q] {
    auto Strikes =
        Quarantines[Q->Root].strikes(*Q->RequestFingerprint, Time.Now);
    // After its canary lost the backend server, a session needs a new decision.
    if (Quarantines[Q->Root].decide(*Q->RequestFingerprint, Q->QuarantineId,
                                    Time.Now) == QuarantineDecision::Canary)
      Q->QuarantineEnded = false;
    callSession(Q, [&](QueryActions &Out) {
      Q->Session->onStrikeAcknowledged(static_cast<uint32_t>(Strikes), Time.Now,
                                       Out);
    });
  });
}

void ServiceRig::onReply(const SubRequestResult &Message) {
  auto Found = OutstandingSubRequests.find(Message.Key.Id.number());
  if (Found == OutstandingSubRequests.end())
    return;
  OutstandingSubRequest Sent = Found->second;
  OutstandingSubRequests.erase(Found);
  if (Message.Reason == RefusalReason::NotOwner)
    callOwnership(2, [&](Ownership &O) {
      O.onNotOwner(FakeBackends::partition(Sent.Backend), hostName(Sent.Owner));
    });
  else
    Directory.onOwnerReport(FakeBackends::name(Sent.Backend),
                            Message.QueueLength, Message.Limit, Time.Now);
  Time.after(NetworkDelay, [this, Sent, Message] {
    deliverResult(Sent.Query, Sent, Message);
  });
}

void ServiceRig::deliverResult(const QueryPtr &Q,
                               const OutstandingSubRequest &Sent,
                               const SubRequestResult &Message) {
  callSession(Q, [&](QueryActions &Out) {
    if (Message.Outcome == DispatchOutcome::Cancelled) {
      Q->Session->onCancelled(Sent.Number, Time.Now, Out);
    } else if (Message.Outcome == DispatchOutcome::NotRun) {
      Q->Session->onRefused(Sent.Number, toRefusal(Message.Reason), Time.Now,
                            Out);
    } else if (Message.Outcome == DispatchOutcome::Lost ||
               Message.Outcome == DispatchOutcome::BackendLost) {
      Log.add({Time.Now, EventKind::Note,
               FakeBackends::name(Sent.Backend).text(), Q->Id,
               "sub-request lost"});
      if (Bug == InjectedBug::LossReportedAsNotRun)
        Q->Session->onRefused(Sent.Number, Refusal::NotSent, Time.Now, Out);
      else
        Q->Session->onLost(Sent.Number,
                           Message.Outcome == DispatchOutcome::BackendLost,
                           Time.Now, Out);
    } else {
      auto Body = valueOf(unpackBody<FakeReplyBody>(Message.Body));
      if (Bug == InjectedBug::RepliesSwapped)
        std::swap(Body.Request, PreviousReplyRequest);
      SubRequestReply Answer;
      Answer.Snapshot = Body.Snapshot;
      Answer.Shards = Body.Shards;
      for (ShardId S : Body.Shards)
        Answer.Hits.push_back({S,
                               Body.Snapshot.text() + "/" + Body.Request + "/" +
                                   std::to_string(S.number()),
                               1.0 + S.number()});
      if (Bug == InjectedBug::SnapshotUnchecked)
        Answer.Snapshot = Sent.Snapshot;
      Q->Session->onReply(Sent.Number, std::move(Answer), Time.Now, Out);
    }
  });
}

void ServiceRig::finishQuery(const QueryPtr &Q, QueryAnswer Answer) {
  if (Bug == InjectedBug::CoverageFabricated) {
    Answer.Shards.Answered = Answer.Shards.Total;
    Answer.Complete = true;
  }
  Q->Answered = true;
  if (Q->RequestFingerprint && !Q->QuarantineEnded &&
      Q->QuarantineId != RequestId()) {
    CanaryOutcome Ended = Quarantines[Q->Root].canaryEnded(
        ServiceId("storm"), *Q->RequestFingerprint, Q->QuarantineId,
        CanaryEnd::Undecided, Time.Now);
    if (Ended.Strike)
      Quarantines[3 - Q->Root].strikeReceived(*Ended.Strike, Time.Now);
  }
  if (Q->HoldsClaim && Claims.Running.count(Q->Claim) > 0)
    Claims.finish(Q->Claim, Answer.Outcome != Execution::NotRun);
  Event E{Time.Now, EventKind::Answer, hostName(Q->Root).text(), Q->Id};
  E.Text = std::string(resultCodeName(Answer.Code)) + " " +
           executionName(Answer.Outcome) + " " +
           std::to_string(Answer.Shards.Answered) + "/" +
           std::to_string(Answer.Shards.Asked) + "/" +
           std::to_string(Answer.Shards.Total) +
           (Answer.Complete ? " complete" : "");
  E.Snapshot = Answer.Snapshot.text();
  E.Answer = std::move(Answer);
  Log.add(std::move(E));
  if (Q->Id == Subject)
    Time.after(Duration(0), [this] { reachStep(Step::Answered); });
}

} // namespace mimosa
