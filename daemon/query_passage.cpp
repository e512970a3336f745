#include "daemon/query_passage.h"

namespace mimosa {

namespace {

RequestClass classOf(const QueryRequest &Request) {
  return Request.Class == QueryClass::Batch ? RequestClass::Batch
                                            : RequestClass::Interactive;
}

} // namespace

QueryService::Passage::Passage(QueryService &Service, RequestId Id,
                               const QueryRequest &Request, ServiceNode &Node)
    : Service(Service), Id(Id), Request(Request), Node(Node),
      Received(Service.Context.Loop.now()),
      Deadline(Received +
               Request.Deadline.value_or(Node.settings().DefaultDeadline)),
      Print(queryFingerprint(Request.Service, Request.Query)),
      Alive(std::make_shared<Passage *>(this)) {}

QueryAnswer QueryService::Passage::refusal(ResultCode Code,
                                           std::string Message) const {
  QueryAnswer Out;
  Out.Code = Code;
  Out.Message = std::move(Message);
  Out.Elapsed = now() - Received;
  return Out;
}

QueryAnswer QueryService::Passage::gone() const {
  return refusal(ResultCode::Cancelled, "the caller gave up");
}

void QueryService::Passage::callerGone() {
  CallerIsGone = true;
  if (Abort)
    Abort();
  Changed.set();
}

void QueryService::Passage::admitted(bool Starts) {
  Admission = Starts;
  Changed.set();
}

void QueryService::Passage::decided(QuarantineDecision What) {
  Decision = What;
  Changed.set();
}

QueryAnswer QueryService::Passage::run() {
  Service.Abandoned.arrived(Id, Request.Service, classOf(Request), Deadline,
                            Received);
  if (std::optional<QueryAnswer> Refused = waitForAdmission()) {
    *Alive = nullptr;
    return *Refused;
  }
  Service.Abandoned.started(Id);
  QueryAnswer Answer = runAdmitted();
  bool Aborted = CallerIsGone || Answer.Outcome == Execution::NotRun;
  Service.Admission.finished(
      Id, Aborted ? QueryEnd::Aborted : QueryEnd::Answered, now());
  if (Answer.Outcome == Execution::NotRun)
    Service.Abandoned.refused(Id);
  else
    Service.Abandoned.answered(Id, now());
  *Alive = nullptr;
  return Answer;
}

std::optional<QueryAnswer> QueryService::Passage::waitForAdmission() {
  Result<Done> Taken = Service.Admission.offer(
      {Id, Request.Service, classOf(Request), Deadline}, now());
  if (!ok(Taken)) {
    Service.Abandoned.refused(Id);
    return refusal(errorOf(Taken).Code, errorOf(Taken).Message);
  }
  Service.poll();
  while (!Admission && !CallerIsGone) {
    Changed.wait();
    Changed.clear();
  }
  if (CallerIsGone && !Admission) {
    Service.Admission.cancel(Id);
    return gone();
  }
  if (*Admission)
    return std::nullopt;
  Service.Abandoned.expiredInQueue(Id, now());
  return refusal(ResultCode::DeadlineTooShort,
                 "the deadline passed before the query could start");
}

QueryAnswer QueryService::Passage::runAdmitted() {
  if (CallerIsGone)
    return gone();
  bool Guarded = Service.Context.Policy == QueryPolicy::Adaptive;
  if (Guarded)
    if (std::optional<QueryAnswer> Refused = passQuarantine())
      return *Refused;
  QueryAnswer Answer = Request.Idempotent ? runSession() : runClaimed();
  // After a strike the canary has ended already; then this has no effect.
  if (IsCanary)
    endCanary(CanaryEnd::Undecided);
  return Answer;
}

QuarantineDecision
QueryService::Passage::waitForDecision(QuarantineDecision First) {
  if (First != QuarantineDecision::Wait)
    return First;
  Decision.reset();
  while (!Decision && !CallerIsGone && now() < Deadline) {
    Changed.waitUntil(Deadline);
    Changed.clear();
  }
  if (Decision)
    return *Decision;
  Service.Guard.stopWaiting(Print, Id);
  return QuarantineDecision::Wait;
}

std::optional<QueryAnswer> QueryService::Passage::passQuarantine() {
  QuarantineDecision What =
      waitForDecision(Service.Guard.decide(Print, Id, now()));
  IsCanary = What == QuarantineDecision::Canary;
  switch (What) {
  case QuarantineDecision::Run:
  case QuarantineDecision::Canary:
    return std::nullopt;
  case QuarantineDecision::Wait:
    if (CallerIsGone)
      return gone();
    return refusal(ResultCode::DeadlineTooShort,
                   "the deadline passed while an equal query was tried");
  case QuarantineDecision::Refuse:
    return refusal(ResultCode::Quarantined,
                   "equal queries have crashed backend servers");
  case QuarantineDecision::Busy:
    break;
  }
  return refusal(ResultCode::Overloaded,
                 "too many queries wait for a trial of an equal one");
}

QueryAnswer QueryService::Passage::runClaimed() {
  ClaimDecision Claim =
      Service.Claims.claim(Request.Service, Request.Key, Deadline);
  if (Claim.Kind != ClaimDecisionKind::Granted) {
    QueryAnswer Out = refusal(Claim.Reason.Code, Claim.Reason.Message);
    if (Claim.Kind != ClaimDecisionKind::NotRun)
      Out.Outcome = Execution::Unknown;
    if (Claim.Outcome &&
        Claim.Outcome->Code != static_cast<int>(ResultCode::OutcomeUnknown)) {
      Out.Outcome = Execution::Ran;
      Out.Message = "the request with this key has ended with code " +
                    std::to_string(Claim.Outcome->Code);
    }
    return Out;
  }
  QueryAnswer Answer = CallerIsGone ? gone() : runSession();
  bool NotRun = Answer.Outcome == Execution::NotRun;
  Service.Claims.settle(Claim.Ticket, NotRun, Answer.Code,
                        NotRun ? std::string() : answerJson(Answer));
  return Answer;
}

QueryAnswer QueryService::Passage::runSession() {
  QuerySessionOptions Options;
  Options.Received = Received;
  Options.Deadline = Deadline;
  Options.Idempotent = Request.Idempotent;
  Options.Limit = Request.Limit;
  Options.KnownGood = !IsCanary;
  Options.PriorStrikes =
      static_cast<uint32_t>(Service.Guard.strikes(Print, now()));
  QueryAnswer Answer = Service.Runner.run(Request, Node, Options, *this);
  Abort = nullptr;
  return Answer;
}

void QueryService::Passage::started(std::function<void()> NewAbort) {
  Abort = std::move(NewAbort);
}

void QueryService::Passage::endCanary(CanaryEnd End) {
  IsCanary = false;
  CanaryOutcome Outcome =
      Service.Guard.canaryEnded(Request.Service, Print, Id, End, now());
  // The passage may be gone before the strike has been sent.
  if (Outcome.Strike)
    Service.Context.Loop.spawn(
        [&Tell = Service.Strikes, S = *Outcome.Strike, Hosts = Node.hosts()] {
          Tell.broadcast(S, Hosts);
        });
  Service.release(Outcome.Released);
}

void QueryService::Passage::canaryPassed() { endCanary(CanaryEnd::Good); }

void QueryService::Passage::strike(std::function<void(uint32_t)> Acknowledge) {
  CanaryOutcome Outcome = Service.Guard.canaryEnded(
      Request.Service, Print, Id, CanaryEnd::BackendLost, now());
  IsCanary = false;
  Service.release(Outcome.Released);
  std::weak_ptr<Passage *> Weak = Alive;
  Service.Context.Loop.spawn([this, Weak, Outcome = std::move(Outcome),
                              Acknowledge = std::move(Acknowledge)] {
    if (Outcome.Strike)
      Service.Strikes.broadcast(*Outcome.Strike, Node.hosts());
    auto Live = Weak.lock();
    if (!Live || !*Live)
      return;
    // A second trial needs a decision of its own.
    QuarantineDecision Next =
        waitForDecision(Service.Guard.decide(Print, Id, now()));
    if (!*Live)
      return;
    IsCanary = Next == QuarantineDecision::Canary;
    bool MayTry = IsCanary || Next == QuarantineDecision::Run;
    auto Strikes = static_cast<uint32_t>(Service.Guard.strikes(Print, now()));
    Acknowledge(MayTry ? Strikes : std::max(Strikes, QuarantineStrikes));
  });
}

} // namespace mimosa
