#include "daemon/request_context.h"

namespace mimosa {

namespace {

RequestClass classOf(const QueryRequest &Request) {
  return Request.Class == QueryClass::Batch ? RequestClass::Batch
                                            : RequestClass::Interactive;
}

} // namespace

QueryService::RequestContext::RequestContext(QueryService &Queries,
                                             RequestId Id,
                                             const QueryRequest &Request,
                                             ServiceNode &Service)
    : Queries(Queries), Id(Id), Request(Request), Service(Service),
      Received(Queries.Context.Loop.now()),
      Deadline(Received +
               Request.Deadline.value_or(Service.settings().DefaultDeadline)),
      RequestFingerprint(queryFingerprint(Request.Service, Request.Query)),
      Self(std::make_shared<RequestContext *>(this)) {}

QueryAnswer QueryService::RequestContext::refusal(ResultCode Code,
                                                  std::string Message) const {
  QueryAnswer Out;
  Out.Code = Code;
  Out.Message = std::move(Message);
  Out.Elapsed = now() - Received;
  return Out;
}

QueryAnswer QueryService::RequestContext::abandonedAnswer() const {
  return refusal(ResultCode::Cancelled,
                 "the caller disconnected or cancelled the query");
}

void QueryService::RequestContext::abandon() {
  Abandoned = true;
  if (Abort)
    Abort();
  Changed.set();
}

void QueryService::RequestContext::onAdmissionDecision(bool MayStart) {
  Admitted = MayStart;
  Changed.set();
}

void QueryService::RequestContext::onQuarantineDecision(
    QuarantineDecision Next) {
  QuarantineResult = Next;
  Changed.set();
}

QueryAnswer QueryService::RequestContext::run() {
  Queries.Abandonments.arrived(Id, Request.Service, classOf(Request), Deadline,
                               Received);
  if (std::optional<QueryAnswer> Refused = waitForAdmission()) {
    *Self = nullptr;
    return *Refused;
  }
  Queries.Abandonments.started(Id);
  QueryAnswer Answer = runAdmitted();
  bool Aborted = Abandoned || Answer.Outcome == Execution::NotRun;
  Queries.Admission.finished(
      Id, Aborted ? QueryEnd::Aborted : QueryEnd::Answered, now());
  if (Answer.Outcome == Execution::NotRun)
    Queries.Abandonments.refused(Id);
  else
    Queries.Abandonments.answered(Id, now());
  *Self = nullptr;
  return Answer;
}

std::optional<QueryAnswer> QueryService::RequestContext::waitForAdmission() {
  Result<Done> Offered = Queries.Admission.offer(
      {Id, Request.Service, classOf(Request), Deadline}, now());
  if (!ok(Offered)) {
    Queries.Abandonments.refused(Id);
    return refusal(errorOf(Offered).Code, errorOf(Offered).Message);
  }
  Queries.pollAdmission();
  while (!Admitted && !Abandoned) {
    Changed.wait();
    Changed.clear();
  }
  if (Abandoned && !Admitted) {
    Queries.Admission.cancel(Id);
    return abandonedAnswer();
  }
  if (*Admitted)
    return std::nullopt;
  Queries.Abandonments.expiredInQueue(Id, now());
  return refusal(ResultCode::DeadlineTooShort,
                 "the deadline passed in the admission queue");
}

QueryAnswer QueryService::RequestContext::runAdmitted() {
  if (Abandoned)
    return abandonedAnswer();
  bool UsesQuarantine = Queries.Context.Policy == QueryPolicy::Adaptive;
  if (UsesQuarantine)
    if (std::optional<QueryAnswer> Refused = passQuarantine())
      return *Refused;
  QueryAnswer Answer = Request.Idempotent ? runSession() : runClaimed();
  // IsCanary is false if the canary has ended already: it passed, or its
  // backend server was lost.
  if (IsCanary)
    endCanary(CanaryEnd::Undecided);
  return Answer;
}

QuarantineDecision
QueryService::RequestContext::waitForDecision(QuarantineDecision First) {
  if (First != QuarantineDecision::Wait)
    return First;
  QuarantineResult.reset();
  while (!QuarantineResult && !Abandoned && now() < Deadline) {
    Changed.waitUntil(Deadline);
    Changed.clear();
  }
  if (QuarantineResult)
    return *QuarantineResult;
  Queries.CrashQuarantine.stopWaiting(RequestFingerprint, Id);
  return QuarantineDecision::Wait;
}

std::optional<QueryAnswer> QueryService::RequestContext::passQuarantine() {
  QuarantineDecision Decision = waitForDecision(
      Queries.CrashQuarantine.decide(RequestFingerprint, Id, now()));
  IsCanary = Decision == QuarantineDecision::Canary;
  switch (Decision) {
  case QuarantineDecision::Run:
  case QuarantineDecision::Canary:
    return std::nullopt;
  case QuarantineDecision::Wait:
    if (Abandoned)
      return abandonedAnswer();
    return refusal(
        ResultCode::DeadlineTooShort,
        "the deadline passed while the query waited for the canary of an "
        "identical one");
  case QuarantineDecision::Refuse:
    return refusal(
        ResultCode::Quarantined,
        "quarantined: identical queries have crashed backend servers");
  case QuarantineDecision::Busy:
    break;
  }
  return refusal(ResultCode::Overloaded,
                 "too many queries are waiting for canaries of identical ones");
}

QueryAnswer QueryService::RequestContext::runClaimed() {
  ClaimDecision Claim =
      Queries.Claims.claim(Request.Service, Request.Key, Deadline);
  if (Claim.Kind != ClaimDecisionKind::Granted) {
    QueryAnswer Out = refusal(Claim.Reason.Code, Claim.Reason.Message);
    if (Claim.Kind != ClaimDecisionKind::NotRun)
      Out.Outcome = Execution::Unknown;
    if (Claim.Outcome &&
        Claim.Outcome->Code != static_cast<int>(ResultCode::OutcomeUnknown)) {
      Out.Outcome = Execution::Ran;
      Out.Message =
          "an earlier attempt with this request key ended with code " +
          std::to_string(Claim.Outcome->Code);
    }
    return Out;
  }
  QueryAnswer Answer = Abandoned ? abandonedAnswer() : runSession();
  bool NotRun = Answer.Outcome == Execution::NotRun;
  Queries.Claims.settle(Claim.Ticket, NotRun, Answer.Code,
                        NotRun ? std::string() : answerJson(Answer));
  return Answer;
}

QueryAnswer QueryService::RequestContext::runSession() {
  QuerySessionOptions Options;
  Options.Received = Received;
  Options.Deadline = Deadline;
  Options.Idempotent = Request.Idempotent;
  Options.Limit = Request.Limit;
  Options.KnownGood = !IsCanary;
  Options.PriorStrikes = static_cast<uint32_t>(
      Queries.CrashQuarantine.strikes(RequestFingerprint, now()));
  QueryAnswer Answer = Queries.Runner.run(Request, Service, Options, *this);
  Abort = nullptr;
  return Answer;
}

void QueryService::RequestContext::onStarted(std::function<void()> NewAbort) {
  Abort = std::move(NewAbort);
}

void QueryService::RequestContext::endCanary(CanaryEnd End) {
  IsCanary = false;
  CanaryOutcome Outcome = Queries.CrashQuarantine.canaryEnded(
      Request.Service, RequestFingerprint, Id, End, now());
  // The fiber must not use this object, which may be destroyed before the
  // broadcast ends.
  if (Outcome.Strike)
    Queries.Context.Loop.spawn(
        [&Broadcaster = Queries.Strikes, Strike = *Outcome.Strike,
         Hosts = Service.hosts()] { Broadcaster.broadcast(Strike, Hosts); });
  Queries.releaseWaiting(Outcome.Released);
}

void QueryService::RequestContext::onCanaryPassed() {
  endCanary(CanaryEnd::Good);
}

void QueryService::RequestContext::onStrike(
    std::function<void(uint32_t)> Acknowledge) {
  CanaryOutcome Outcome = Queries.CrashQuarantine.canaryEnded(
      Request.Service, RequestFingerprint, Id, CanaryEnd::BackendLost, now());
  IsCanary = false;
  Queries.releaseWaiting(Outcome.Released);
  std::weak_ptr<RequestContext *> Weak = Self;
  Queries.Context.Loop.spawn([this, Weak, Outcome = std::move(Outcome),
                              Acknowledge = std::move(Acknowledge)] {
    if (Outcome.Strike)
      Queries.Strikes.broadcast(*Outcome.Strike, Service.hosts());
    auto Handle = Weak.lock();
    if (!Handle || !*Handle)
      return;
    // The query may be sent to another backend server only after a new
    // decision of the quarantine.
    QuarantineDecision Next = waitForDecision(
        Queries.CrashQuarantine.decide(RequestFingerprint, Id, now()));
    if (!*Handle)
      return;
    IsCanary = Next == QuarantineDecision::Canary;
    bool MayRetry = IsCanary || Next == QuarantineDecision::Run;
    auto Strikes = static_cast<uint32_t>(
        Queries.CrashQuarantine.strikes(RequestFingerprint, now()));
    // The session does not retry once there are QuarantineStrikes strikes.
    Acknowledge(MayRetry ? Strikes : std::max(Strikes, QuarantineStrikes));
  });
}

} // namespace mimosa
