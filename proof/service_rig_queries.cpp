#include "proof/service_rig.h"

namespace mimosa {

namespace {

constexpr Duration Hop = Milliseconds(1);
constexpr Duration QueryDeadline = Milliseconds(160);
constexpr Duration RequestDeadline = Milliseconds(1500);

} // namespace

ServiceRig::Query ServiceRig::begin(const std::string &Id, size_t Root,
                                    const std::string &Key, bool KnownGood) {
  auto Q = std::make_shared<Running>();
  Q->Id = Id;
  Q->Key = Key;
  Q->Root = Root;
  Q->Deadline = Time.Now + (Key.empty() ? QueryDeadline : RequestDeadline);
  if (!Key.empty())
    Seen.Keys[Id] = Key;
  Seen.add({Time.Now, EventKind::Query, hostName(Root).text(), Id, Key});
  if (!Key.empty()) {
    Q->Claim = Claims.request(Root, Key, RequestDeadline);
    if (Broken != Break::ClaimNotAwaited) {
      Waiting.push_back(Q);
      return Q;
    }
  }
  beginSession(Q, KnownGood, 0);
  return Q;
}

void ServiceRig::beginCrash(const std::string &Id, size_t Root) {
  auto Q = std::make_shared<Running>();
  Q->Id = Id;
  Q->Root = Root;
  Q->Deadline = Time.Now + QueryDeadline;
  Q->Print = queryFingerprint(ServiceId("storm"), "crash");
  Seen.add({Time.Now, EventKind::Query, hostName(Root).text(), Id});
  RequestId Number(++LastQuery);
  switch (Guards[Root].decide(*Q->Print, Number, Time.Now)) {
  case QuarantineDecision::Run:
  case QuarantineDecision::Canary:
    Q->GuardId = Number;
    beginSession(
        Q, false,
        static_cast<uint32_t>(Guards[Root].strikes(*Q->Print, Time.Now)));
    return;
  case QuarantineDecision::Wait:
    // The rig keeps no queue; a caller that gives up at once is as good.
    Guards[Root].stopWaiting(*Q->Print, Number);
    refuse(Q, ResultCode::Overloaded, Execution::NotRun);
    return;
  case QuarantineDecision::Refuse:
  case QuarantineDecision::Busy:
    refuse(Q, ResultCode::Quarantined, Execution::NotRun);
  }
}

void ServiceRig::beginSession(const Query &Q, bool KnownGood,
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

void ServiceRig::callSession(const Query &Q,
                             const std::function<void(QueryActions &)> &Call) {
  QueryActions Actions;
  Call(Actions);
  carryOut(Q, Actions);
}

/// Starts the requests whose claim was decided.
void ServiceRig::awaitClaim(const Query &Q) {
  ClaimDecision Decision = Claims.decision(Q->Claim);
  switch (Decision.Kind) {
  case ClaimDecisionKind::Granted:
    Seen.add({Time.Now, EventKind::Note, "", Q->Id, "claim granted"});
    if (Q->Id == Subject)
      reach(Step::ClaimGranted);
    Q->Claimed = true;
    beginSession(Q, true, 0);
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

void ServiceRig::refuse(const Query &Q, ResultCode Code, Execution Outcome) {
  QueryAnswer Given;
  Given.Code = Code;
  Given.Outcome = Outcome;
  answer(Q, std::move(Given));
}

void ServiceRig::carryOut(const Query &Q, QueryActions &Actions) {
  for (const OutgoingSubRequest &Send : Actions.ToSend)
    ask(Q, Send);
  for (SubRequestNumber Number : Actions.ToCancel)
    cancel(Q, Number);
  if (Actions.Strike)
    strike(Q);
  if (Actions.Answer)
    answer(Q, std::move(*Actions.Answer));
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
    reach(S);
  if (Q->Session->counters().Hedges > 0)
    reach(Step::Hedged);
}

void ServiceRig::ask(const Query &Q, const OutgoingSubRequest &Send) {
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
  Event E{Time.Now, EventKind::Ask, Send.Backend.text(), Q->Id};
  E.Text = "of " + Owner->text();
  E.Snapshot = Send.Snapshot.text();
  E.Shards = Send.Shards;
  Seen.add(std::move(E));
  uint64_t Id = ++LastSubRequest;
  size_t OwnerIndex = hostIndex(*Owner);
  Q->Numbers[Send.Number] = Id;
  BySubRequest[Id] = {Q, Send.Number, B, OwnerIndex, Send.Snapshot, false};
  SubRequest Work;
  Work.Key = {hostName(Q->Root), Incarnation(1), RequestId(Id)};
  Work.Snapshot = Send.Snapshot;
  Work.Shards = Send.Shards;
  Work.Deadline = Q->Deadline;
  Work.Idempotent = Q->Key.empty();
  Work.Query = std::make_shared<const std::string>(Q->Id);
  Time.after(Hop, [this, OwnerIndex, B, Work] { submit(OwnerIndex, B, Work); });
}

void ServiceRig::submit(size_t Owner, size_t Backend, const SubRequest &Work) {
  if (Broken == Break::LimitIgnored) {
    Backends.sendPastGate(
        Owner, Backend, Work,
        [this](const SubRequestResult &Message) { onReply(Message); });
    return;
  }
  if (!Hosts[Owner]->Up) {
    SubRequestResult Refused;
    Refused.Key = Work.Key;
    Refused.Outcome = DispatchOutcome::NotRun;
    Refused.Reason = RefusalReason::Unreachable;
    onReply(Refused);
    return;
  }
  auto Found = BySubRequest.find(Work.Key.Id.number());
  if (Found != BySubRequest.end())
    Found->second.Arrived = true;
  onGates(Owner, [this, Backend, Work](Dispatcher &D, DispatchActions &Out) {
    D.submit(FakeBackends::name(Backend), Work, Time.Now, Out);
  });
}

void ServiceRig::cancel(const Query &Q, SubRequestNumber Number) {
  auto Found = BySubRequest.find(Q->Numbers[Number]);
  if (Found == BySubRequest.end())
    return;
  Outstanding Sent = Found->second;
  SubRequestKey Key{hostName(Q->Root), Incarnation(1), RequestId(Found->first)};
  BySubRequest.erase(Found);
  Time.after(Hop, [this, Sent, Key] {
    onGates(Sent.Owner, [=](Dispatcher &D, DispatchActions &Out) {
      D.cancel(FakeBackends::name(Sent.Backend), Key, Time.Now, Out);
    });
  });
}

/// Sends the strike to the other root and then tells the session.
void ServiceRig::strike(const Query &Q) {
  if (!Q->Print) {
    Time.after(2 * Hop, [this, Q] {
      callSession(Q, [&](QueryActions &Out) {
        Q->Session->onStrikeAcknowledged(1, Time.Now, Out);
      });
    });
    return;
  }
  CanaryOutcome Ended =
      Guards[Q->Root].canaryEnded(ServiceId("storm"), *Q->Print, Q->GuardId,
                                  CanaryEnd::BackendLost, Time.Now);
  Q->GuardEnded = true;
  if (Ended.Strike)
    Guards[3 - Q->Root].strikeReceived(*Ended.Strike, Time.Now);
  Time.after(2 * Hop, [this, Q] {
    auto Known = Guards[Q->Root].strikes(*Q->Print, Time.Now);
    // A session whose canary lost its backend server asks again first.
    if (Guards[Q->Root].decide(*Q->Print, Q->GuardId, Time.Now) ==
        QuarantineDecision::Canary)
      Q->GuardEnded = false;
    callSession(Q, [&](QueryActions &Out) {
      Q->Session->onStrikeAcknowledged(static_cast<uint32_t>(Known), Time.Now,
                                       Out);
    });
  });
}

void ServiceRig::onReply(const SubRequestResult &Message) {
  auto Found = BySubRequest.find(Message.Key.Id.number());
  if (Found == BySubRequest.end())
    return;
  Outstanding Sent = Found->second;
  BySubRequest.erase(Found);
  if (Message.Reason == RefusalReason::NotOwner)
    with(2, [&](Ownership &O) {
      O.onNotOwner(FakeBackends::partition(Sent.Backend), hostName(Sent.Owner));
    });
  else
    Directory.onOwnerReport(FakeBackends::name(Sent.Backend),
                            Message.QueueLength, Message.Limit, Time.Now);
  Time.after(Hop, [this, Sent, Message] { settle(Sent.Of, Sent, Message); });
}

void ServiceRig::settle(const Query &Q, const Outstanding &Sent,
                        const SubRequestResult &Message) {
  callSession(Q, [&](QueryActions &Out) {
    if (Message.Outcome == DispatchOutcome::Cancelled) {
      Q->Session->onCancelled(Sent.Number, Time.Now, Out);
    } else if (Message.Outcome == DispatchOutcome::NotRun) {
      Q->Session->onRefused(Sent.Number, refusalFor(Message.Reason), Time.Now,
                            Out);
    } else if (Message.Outcome == DispatchOutcome::Lost ||
               Message.Outcome == DispatchOutcome::BackendLost) {
      Seen.add({Time.Now, EventKind::Note,
                FakeBackends::name(Sent.Backend).text(), Q->Id,
                "sub-request lost"});
      if (Broken == Break::LossCalledNotRun)
        Q->Session->onRefused(Sent.Number, Refusal::NotSent, Time.Now, Out);
      else
        Q->Session->onLost(Sent.Number,
                           Message.Outcome == DispatchOutcome::BackendLost,
                           Time.Now, Out);
    } else {
      auto Body = valueOf(unpackBody<FakeAnswer>(Message.Body));
      if (Broken == Break::RepliesCrossed)
        std::swap(Body.Request, CrossedRequest);
      SubRequestReply Answer;
      Answer.Snapshot = Body.Snapshot;
      Answer.Shards = Body.Shards;
      for (ShardId S : Body.Shards)
        Answer.Hits.push_back({S,
                               Body.Snapshot.text() + "/" + Body.Request + "/" +
                                   std::to_string(S.number()),
                               1.0 + S.number()});
      if (Broken == Break::SnapshotUnchecked)
        Answer.Snapshot = Sent.Snapshot;
      Q->Session->onReply(Sent.Number, std::move(Answer), Time.Now, Out);
    }
  });
}

void ServiceRig::answer(const Query &Q, QueryAnswer Given) {
  if (Broken == Break::CoverageInvented) {
    Given.Shards.Answered = Given.Shards.Total;
    Given.Complete = true;
  }
  Q->Answered = true;
  if (Q->Print && !Q->GuardEnded && Q->GuardId != RequestId()) {
    CanaryOutcome Ended =
        Guards[Q->Root].canaryEnded(ServiceId("storm"), *Q->Print, Q->GuardId,
                                    CanaryEnd::Undecided, Time.Now);
    if (Ended.Strike)
      Guards[3 - Q->Root].strikeReceived(*Ended.Strike, Time.Now);
  }
  if (Q->Claimed && Claims.Running.count(Q->Claim) > 0)
    Claims.finish(Q->Claim, Given.Outcome != Execution::NotRun);
  Event E{Time.Now, EventKind::Answer, hostName(Q->Root).text(), Q->Id};
  E.Text = std::string(resultCodeName(Given.Code)) + " " +
           executionName(Given.Outcome) + " " +
           std::to_string(Given.Shards.Answered) + "/" +
           std::to_string(Given.Shards.Asked) + "/" +
           std::to_string(Given.Shards.Total) +
           (Given.Complete ? " complete" : "");
  E.Snapshot = Given.Snapshot.text();
  E.Answer = std::move(Given);
  Seen.add(std::move(E));
  if (Q->Id == Subject)
    Time.after(Duration(0), [this] { reach(Step::Answered); });
}

} // namespace mimosa
