#include "entry/entry_service.h"

#include "balance/retry_after.h"
#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Time reserved for the network, since the answer must reach the caller by its
/// deadline. One way takes the users' callers 1 to 3 ms, and opening a
/// connection takes two ways.
constexpr Duration NetworkMargin = Milliseconds(12);
/// A host without a configuration receives it within a few calls to the store.
constexpr Duration UnconfiguredRetryAfter = Milliseconds(300);
/// Callers of a stopping host can retry at once at other hosts.
constexpr Duration StoppingRetryAfter = Milliseconds(20);
/// A request that crashes backend servers stays quarantined for minutes.
constexpr Duration QuarantinedRetryAfter = Seconds(10);
/// A configuration that has not been confirmed for this long may lack a new
/// key. It is longer than the usual time between two confirmations.
constexpr Duration StaleConfigAge = Milliseconds(2400);
/// Other hosts, which callers may choose, usually have the new configuration.
constexpr Duration StaleConfigRetryAfter = Milliseconds(100);
/// Services whose held back servers a line of the log names.
constexpr size_t MaxDescribedServices = 3;

/// Wakes the fiber of a request when its call has ended.
class SingleObserver : public CallObserver {
public:
  void callEnded(CallId, CallResult NewResult) override {
    Result = std::move(NewResult);
    Ended.set();
  }
  std::optional<CallResult> Result;
  FiberEvent Ended;
};

/// Wakes the fiber of a query when one of its calls has ended.
class GatherObserver : public CallObserver {
public:
  explicit GatherObserver(GatherQuery &Query) : Query(Query) {}
  void callEnded(CallId, CallResult Result) override {
    Query.addResult(Result);
    if (Result.Reason == CallReason::HeldBack)
      HeldBack.push_back(std::move(Result.Service));
    Changed.set();
  }
  GatherQuery &Query;
  /// Shards whose backend servers allowed no request in time.
  std::vector<ServiceId> HeldBack;
  FiberEvent Changed;
};

/// Cancels the calls that an exception leaves behind, because their observer is
/// destroyed with the request.
class CallCleanup {
public:
  CallCleanup(CallScheduler &Scheduler, CallerConnection &Caller,
              FiberLoop &Loop)
      : Scheduler(Scheduler), Caller(Caller), Loop(Loop) {}
  ~CallCleanup() {
    callGuarded("call cleanup", [this] {
      if (Ids.empty())
        return;
      Caller.onDisconnect(nullptr);
      for (CallId Id : Ids)
        Scheduler.cancel(Id, false, Loop.now());
    });
  }
  CallCleanup(const CallCleanup &) = delete;
  CallCleanup &operator=(const CallCleanup &) = delete;
  /// The calls have ended or have been cancelled.
  void finished() { Ids.clear(); }

  std::vector<CallId> Ids;

private:
  CallScheduler &Scheduler;
  CallerConnection &Caller;
  FiberLoop &Loop;
};

/// Counts a request while it is served.
class ScopedCount {
public:
  explicit ScopedCount(size_t &Count) : Count(Count) { ++Count; }
  ~ScopedCount() { --Count; }
  ScopedCount(const ScopedCount &) = delete;
  ScopedCount &operator=(const ScopedCount &) = delete;

private:
  size_t &Count;
};

/// Describes the unfinished call to one shard for the log.
std::string describeUnfinished(const ServiceId &Shard,
                               const CallStatus &Status) {
  std::string Out = Shard.text();
  if (Status.Waiting)
    Out += ":waiting";
  for (const BackendServerId &Server : Status.TriedServers)
    Out += ":" + Server.text();
  if (Status.NoHedgeServer > 0)
    Out += ":no_hedge_server";
  if (Status.NoHedgeBudget > 0)
    Out += ":no_retry_budget";
  return Out;
}

std::string requestIdText(const CallerRequest &Request) {
  return Request.Id.empty() ? "-" : Request.Id.text();
}

} // namespace

CallRequest EntryService::makeCallRequest(const RequestContext &Context,
                                          const ServiceId &Service) const {
  CallRequest Out;
  Out.Service = Service;
  Out.Route = Context.MatchedRoute.Id;
  Out.Idempotent = Context.MatchedRoute.Idempotent;
  Out.MaxAttempts = Context.MatchedRoute.MaxAttempts;
  if (Context.CallerTeam)
    Out.Team = Context.CallerTeam->Id;
  Out.Priority = Context.Priority;
  Out.TargetLatency = Context.MatchedRoute.TargetLatency;
  Out.Deadline = Context.Times.Deadline;
  Out.UsefulUntil = Context.MatchedRoute.isGather() ? Context.Times.PartialFrom
                                                    : Context.Times.Deadline;
  if (Context.MatchedRoute.isGather())
    Out.MaxAnswerBytes = maxShardResultBytes(Context.MatchedRoute);
  Out.Message = Context.Request;
  return Out;
}

void EntryService::recordOutcome(const RequestContext &Context,
                                 const char *Outcome,
                                 const std::string &Detail) {
  Duration Elapsed = Loop.now() - Context.ArrivedAt;
  Labels L = {{"route", Context.MatchedRoute.Id.text()}, {"outcome", Outcome}};
  Metrics.counter("mimosa_requests_total", L).add();
  if (Context.CallerTeam)
    Metrics
        .counter(
            "mimosa_team_requests_total",
            {{"team", Context.CallerTeam->Id.text()}, {"outcome", Outcome}})
        .add();
  Metrics
      .histogram("mimosa_request_seconds",
                 {{"route", Context.MatchedRoute.Id.text()}})
      .record(Elapsed);
  logRequest("request",
             "request=" + requestIdText(*Context.Request) +
                 " route=" + Context.MatchedRoute.Id.text() +
                 (Context.CallerTeam ? " team=" + Context.CallerTeam->Id.text()
                                     : std::string()) +
                 " version=" + std::to_string(Context.Table->version()) +
                 " outcome=" + Outcome + " elapsed_us=" +
                 std::to_string(Elapsed.count()) + " " + Detail);
}

void EntryService::recordCrashes(const RequestContext &Context,
                                 const ServiceId &Service, uint32_t Lost,
                                 bool Succeeded) {
  if (Succeeded && Lost == 0) {
    auto Withdrawal =
        Crashes.recordAnswer(Context.RequestFingerprint, Service, Loop.now());
    if (!Withdrawal)
      return;
    logRequest("request", "event=strikes_withdrawn request=" +
                              requestIdText(*Context.Request) +
                              " service=" + Service.text());
    if (WithdrawalCallback)
      WithdrawalCallback(*Withdrawal);
    return;
  }
  auto Strike = Crashes.recordAttempt(Context.RequestFingerprint, Service, Lost,
                                      Succeeded, Loop.now());
  if (!Strike)
    return;
  logRequest("request",
             "event=strike request=" + requestIdText(*Context.Request) +
                 " service=" + Service.text() +
                 " lost=" + std::to_string(Lost));
  if (StrikeCallback)
    StrikeCallback(*Strike);
}

std::string
EntryService::describeHeldBack(const std::vector<ServiceId> &Services) const {
  std::string Out;
  for (size_t I = 0; I < std::min(Services.size(), MaxDescribedServices); ++I)
    Out += (I == 0 ? " held_back=" : ",") +
           Scheduler.registry().describeHeldBack(Services[I], Loop.now());
  return Out;
}

CallerAnswer EntryService::refuse(const RequestContext &Context, RunState State,
                                  ResultCode Code, const std::string &Reason,
                                  Duration RetryAfter,
                                  const std::string &Detail) {
  // Whatever keeps this host from serving the request, another one may serve
  // it.
  if (Shutdown)
    RetryAfter = std::min(RetryAfter, StoppingRetryAfter);
  recordOutcome(Context, "refused",
                "reason=" + Reason + " retry_after_ms=" +
                    std::to_string(inMilliseconds(RetryAfter)) + Detail);
  return {State, encodeRefusal({Code, Reason}, RetryAfter)};
}

CallerAnswer EntryService::refuseOverQuota(const RequestContext &Context) {
  Duration RetryAfter = Quota->retryAfter(Context.CallerTeam->Id, Rng);
  recordOutcome(Context, "refused",
                "reason=quota retry_after_ms=" +
                    std::to_string(inMilliseconds(RetryAfter)) + " " +
                    Quota->describe(Context.CallerTeam->Id));
  return {RunState::NeverSent,
          encodeQuotaRefusal({ResultCode::QuotaExceeded, "quota"}, RetryAfter)};
}

CallerAnswer EntryService::fail(const RequestContext &Context, bool TimedOut,
                                const std::string &Reason) {
  recordOutcome(Context, TimedOut ? "timeout" : "lost", Reason);
  return {RunState::MayHaveRun,
          TimedOut ? encodeFailure(504, {ResultCode::DeadlineExceeded, Reason})
                   : encodeFailure(502, {ResultCode::OutcomeUnknown, Reason})};
}

CallerAnswer EntryService::closeWithoutAnswer(const RequestContext &Context,
                                              bool MayHaveRun) {
  recordOutcome(Context, "caller_left", "");
  CallerAnswer Out;
  Out.State = MayHaveRun ? RunState::MayHaveRun : RunState::Declined;
  Out.Response.Status = 0;
  return Out;
}

CallerAnswer
EntryService::refuseUnconfigured(const DecodedCallerRequest &Decoded) const {
  logRequest("request", "request=" + requestIdText(*Decoded.Request) +
                            " outcome=refused reason=unconfigured");
  return {RunState::NeverSent,
          encodeRefusal({ResultCode::StoreUnavailable, "unconfigured"},
                        UnconfiguredRetryAfter)};
}

void EntryService::shutDown(const ShutdownPlan &Plan) {
  Shutdown = Plan;
  size_t Ended = Scheduler.endCallsBy(Plan.finishBy(), Loop.now());
  logInfo("request",
          "event=shutting_down in_flight=" + std::to_string(InFlight) +
              " ended_calls=" + std::to_string(Ended));
}

EntryService::RequestContext EntryService::makeContext(
    const DecodedCallerRequest &Decoded, const HttpRequest &Request,
    const Route &MatchedRoute, const Team *CallerTeam,
    const std::shared_ptr<CallerConnection> &Caller) const {
  Duration Allowed = std::min(Decoded.Timeout, MatchedRoute.Timeout);
  MonotonicTime Deadline =
      Request.ArrivedAt +
      std::max<Duration>(Allowed - NetworkMargin, Milliseconds(1));
  std::string_view Head = Decoded.Request->Head;
  Fingerprint RequestFingerprint = requestFingerprint(
      Decoded.Host, Head.substr(0, Head.find('\r')), Decoded.Request->Body);
  uint32_t Priority = combinedPriority(CallerTeam ? CallerTeam->Priority : 0,
                                       MatchedRoute.Priority);
  return {MatchedRoute,
          CallerTeam,
          Priority,
          Routes,
          Decoded.Request,
          Caller,
          Request.ArrivedAt,
          gatherTimes(MatchedRoute, Request.ArrivedAt, Deadline,
                      {Request.RoundTrip, Request.NewConnection}),
          RequestFingerprint};
}

std::variant<const Team *, HttpResponse>
EntryService::identifyTeam(const DecodedCallerRequest &Decoded,
                           const Route &MatchedRoute) const {
  const std::optional<TeamConfig> &Teams = Routes->config().Teams;
  if (!Teams || (MatchedRoute.Anonymous && !Decoded.HasCredentials))
    return static_cast<const Team *>(nullptr);
  Duration Age = ConfigAge();
  std::optional<size_t> Found = Teams->Keys.find(Decoded.Key);
  bool Stale = Found ? RevocationLimit && Age >= *RevocationLimit
                     : !Decoded.Key.empty() && Age >= StaleConfigAge;
  const char *Reason = !Decoded.HasCredentials ? "no_key"
                       : Found                 ? "key_not_confirmed"
                                               : "unknown_key";
  if (Found && !Stale)
    return &Teams->Teams[*Found];
  logRequest("request",
             "request=" + requestIdText(*Decoded.Request) + " outcome=" +
                 (Stale ? "refused" : "unauthorized") + " reason=" + Reason +
                 " version=" + std::to_string(Routes->version()) +
                 " config_age_ms=" + std::to_string(inMilliseconds(Age)));
  if (Stale)
    return encodeRefusal({ResultCode::StoreUnavailable, Reason},
                         StaleConfigRetryAfter);
  return encodeFailure(401, {ResultCode::UnknownKey, Reason});
}

HttpResponse
EntryService::handle(const HttpRequest &Request,
                     const std::shared_ptr<CallerConnection> &Caller) {
  CallerRequestId Id;
  CallerAnswer Answer = serve(Request, Caller, Id);
  return Validator.validate(std::move(Answer), Id);
}

CallerAnswer
EntryService::serve(const HttpRequest &Request,
                    const std::shared_ptr<CallerConnection> &Caller,
                    CallerRequestId &Id) {
  Result<DecodedCallerRequest> DecodeResult = decodeCallerRequest(
      Request, Routes && Routes->config().Teams ? CallerKeys::Used
                                                : CallerKeys::Ignored);
  if (!ok(DecodeResult)) {
    logRequest("request", "outcome=bad_request reason=\"" +
                              errorOf(DecodeResult).Message + "\"");
    return {RunState::NeverSent, encodeFailure(400, errorOf(DecodeResult))};
  }
  const DecodedCallerRequest &Decoded = valueOf(DecodeResult);
  Id = Decoded.Request->Id;
  if (!Routes)
    return refuseUnconfigured(Decoded);
  const Route *MatchedRoute = Routes->find(Decoded.Host, Request.path());
  if (!MatchedRoute) {
    logRequest("request", "request=" + requestIdText(*Decoded.Request) +
                              " outcome=no_route host=" + Decoded.Host +
                              " path=" + std::string(Request.path()) +
                              " version=" + std::to_string(Routes->version()));
    return {RunState::NeverSent,
            encodeFailure(404, {ResultCode::NotFound, "no route"})};
  }
  auto Identified = identifyTeam(Decoded, *MatchedRoute);
  if (HttpResponse *Refusal = std::get_if<HttpResponse>(&Identified))
    return {RunState::NeverSent, std::move(*Refusal)};
  const Team *CallerTeam = std::get<const Team *>(Identified);
  if (CallerTeam)
    setTeam(*Decoded.Request, CallerTeam->Id);
  RequestContext Context =
      makeContext(Decoded, Request, *MatchedRoute, CallerTeam, Caller);
  if (Crashes.quarantined(Context.RequestFingerprint, Loop.now()))
    return refuse(Context, RunState::NeverSent, ResultCode::Quarantined,
                  "crashes_backend_servers", QuarantinedRetryAfter);
  if (Loop.now() >= Context.Times.Deadline)
    return refuse(Context, RunState::NeverSent, ResultCode::DeadlineTooShort,
                  "waited_too_long",
                  retryAfter(CallReason::Overloaded, Duration(0), Rng));
  if (Shutdown && Loop.now() >= Shutdown->acceptUntil())
    return refuse(Context, RunState::NeverSent, ResultCode::ShuttingDown,
                  "stopping", StoppingRetryAfter);
  // Counted before the fiber may be suspended: a stop waits for it.
  ScopedCount Counted(InFlight);
  if (CallerTeam && Quota) {
    if (!Quota->admit(CallerTeam->Id, Context.Times.Deadline))
      return refuseOverQuota(Context);
  }
  CallerAnswer Answer =
      MatchedRoute->isGather() ? serveGather(Context) : serveSingle(Context);
  if (CallerTeam && Quota && hasNotRun(Answer.State))
    Quota->refund(CallerTeam->Id);
  return Answer;
}

Duration EntryService::availableIn(const RequestContext &Context,
                                   const ServiceId &Service) const {
  MonotonicTime Now = Loop.now();
  MonotonicTime At = Scheduler.expectedSendAt(
      Service, Context.Priority,
      Context.CallerTeam ? Context.CallerTeam->Id : TeamId(), Now);
  return At == MonotonicTime::max() ? Duration(0) : At - Now;
}

CallerAnswer EntryService::serveSingle(const RequestContext &Context) {
  const ServiceId *Service =
      RoundRobins[Context.MatchedRoute.Id].next(Context.MatchedRoute.Targets);
  if (!Service)
    return refuse(Context, RunState::NeverSent, ResultCode::NoBackend,
                  "no_target",
                  retryAfter(CallReason::Unavailable, Duration(0), Rng));
  SingleObserver Observer;
  CallCleanup Cleanup(Scheduler, *Context.Caller, Loop);
  Cleanup.Ids.reserve(1);
  CallId Id =
      Scheduler.begin(makeCallRequest(Context, *Service), Observer, Loop.now());
  Cleanup.Ids.push_back(Id);
  Context.Caller->onDisconnect(
      [&Observer](DisconnectReason) { Observer.Ended.set(); });
  Observer.Ended.wait();
  Context.Caller->onDisconnect(nullptr);
  Cleanup.finished();
  if (!Observer.Result)
    return closeWithoutAnswer(Context, Scheduler.cancel(Id, true, Loop.now()));
  CallResult &R = *Observer.Result;
  recordCrashes(Context, *Service, R.LostAttempts,
                R.Outcome == CallOutcome::Answered);
  std::string Detail = "service=" + Service->text() +
                       " server=" + R.Server.text() +
                       " sends=" + std::to_string(R.Attempts) +
                       " reason=" + callReasonName(R.Reason);
  RunState State = runStateOf(R);
  switch (R.Outcome) {
  case CallOutcome::Answered: {
    recordOutcome(Context, R.Answer.success() ? "answered" : "backend_failure",
                  Detail + " status=" + std::to_string(R.Answer.Status));
    // A body in an encoding that was not requested is invalid.
    if (R.Answer.UnexpectedEncoding)
      return {State,
              encodeFailure(502, {ResultCode::BadBackendReply, "encoded"})};
    return {State, encodeForwardedAnswer(R.Answer)};
  }
  case CallOutcome::NotRun:
    return refuse(
        Context, State, ResultCode::Overloaded, callReasonName(R.Reason),
        retryAfter(R.Reason, availableIn(Context, *Service), Rng),
        R.Reason == CallReason::HeldBack ? describeHeldBack({*Service}) : "");
  case CallOutcome::Unknown:
    break;
  }
  return fail(Context, R.Reason == CallReason::Deadline, Detail);
}

bool EntryService::cancelUnfinished(const RequestContext &Context,
                                    const std::vector<CallId> &Ids,
                                    std::string *Unfinished) {
  bool MayHaveRun = false;
  for (size_t I = 0; I < Ids.size(); ++I) {
    if (auto Status = Scheduler.status(Ids[I]))
      *Unfinished +=
          (Unfinished->empty() ? "" : ",") +
          describeUnfinished(Context.MatchedRoute.Shards[I], *Status);
    MayHaveRun =
        Scheduler.cancel(Ids[I], Context.Caller->disconnected(), Loop.now()) ||
        MayHaveRun;
  }
  return MayHaveRun;
}

std::vector<ServiceId>
EntryService::heldBackShards(const RequestContext &Context,
                             MonotonicTime Now) const {
  std::vector<ServiceId> Out;
  for (const ServiceId &Shard : Context.MatchedRoute.Shards)
    if (Scheduler.expectedSendAt(Shard, Context.Priority,
                                 Context.CallerTeam ? Context.CallerTeam->Id
                                                    : TeamId(),
                                 Now) > Context.Times.PartialFrom)
      Out.push_back(Shard);
  return Out;
}

QueryOffer EntryService::offerOf(const RequestContext &Context) {
  QueryOffer Out;
  Out.Route = Context.MatchedRoute.Id;
  Out.FirstShard = Context.MatchedRoute.Shards.front();
  if (Context.CallerTeam)
    Out.Team = Context.CallerTeam->Id;
  Out.Priority = Context.Priority;
  // A caller with a short timeout must not make its queries look congested.
  Out.UsefulTime = gatherTimes(Context.MatchedRoute, Context.ArrivedAt,
                               MonotonicTime::max(), {})
                       .PartialFrom -
                   Context.ArrivedAt;
  return Out;
}

std::optional<CallerAnswer>
EntryService::refuseGather(const RequestContext &Context) {
  MonotonicTime Now = Loop.now();
  const Route &Matched = Context.MatchedRoute;
  CoverageForecast Forecast = forecastCoverage(
      Matched, makeCallRequest(Context, Matched.Shards.front()), Scheduler,
      Now);
  std::string Detail;
  if (Forecast.Obstacle == CallReason::HeldBack)
    Detail = describeHeldBack(heldBackShards(Context, Now));
  if (Forecast.Obstacle == CallReason::None && RefuseCongested) {
    Admission.setHostCount(Scheduler.registry().hostCount());
    if (auto ReturnAfter = Admission.refuse(offerOf(Context), Now)) {
      Forecast = {CallReason::Congested, *ReturnAfter};
      Detail =
          " limit_per_s=" +
          std::to_string(Admission.limit(Matched.Shards.front()).value_or(0));
    }
  }
  if (Forecast.Obstacle == CallReason::None)
    return std::nullopt;
  return refuse(
      Context, RunState::NeverSent,
      Forecast.Obstacle == CallReason::Unavailable ? ResultCode::NoBackend
                                                   : ResultCode::Overloaded,
      std::string("shards_") + callReasonName(Forecast.Obstacle),
      retryAfter(Forecast.Obstacle, Forecast.AvailableIn, Rng), Detail);
}

CallerAnswer EntryService::serveGather(const RequestContext &Context) {
  if (auto Refusal = refuseGather(Context))
    return std::move(*Refusal);
  MonotonicTime Now = Loop.now();
  GatherQuery Query(Context.MatchedRoute, Context.Times);
  GatherObserver Observer(Query);
  CallCleanup Cleanup(Scheduler, *Context.Caller, Loop);
  std::vector<CallId> &Ids = Cleanup.Ids;
  Ids.reserve(Context.MatchedRoute.Shards.size());
  for (const ServiceId &Shard : Context.MatchedRoute.Shards)
    Ids.push_back(
        Scheduler.begin(makeCallRequest(Context, Shard), Observer, Now));
  Context.Caller->onDisconnect(
      [&Observer](DisconnectReason) { Observer.Changed.set(); });
  GatherDecision Decision = GatherDecision::Wait;
  while (!Context.Caller->disconnected()) {
    Now = Loop.now();
    Decision = Query.decide(Now);
    if (Decision != GatherDecision::Wait)
      break;
    Observer.Changed.waitUntil(Query.nextWakeUp(Now));
    Observer.Changed.clear();
  }
  Context.Caller->onDisconnect(nullptr);
  std::string Unfinished;
  bool MayHaveRun =
      cancelUnfinished(Context, Ids, &Unfinished) || Query.mayHaveRun();
  Cleanup.finished();
  recordCrashes(Context, Context.MatchedRoute.Shards.front(),
                Query.lostAttempts(),
                Query.missingShards() < Query.totalShards());
  if (Context.Caller->disconnected())
    return closeWithoutAnswer(Context, MayHaveRun);
  QueryOffer Offer = offerOf(Context);
  if (Context.Times.PartialFrom - Context.ArrivedAt >= Offer.UsefulTime)
    Admission.recordProgress(
        Offer, Query.mostAnsweredAt().value_or(Now) - Context.ArrivedAt,
        Decision == GatherDecision::Fail && Query.overloaded(), Now);
  std::string Detail = "shards=" + std::to_string(Query.totalShards()) +
                       " missing=" + std::to_string(Query.missingShards()) +
                       " reason=" + callReasonName(Query.lastReason()) +
                       (Unfinished.empty() ? "" : " unfinished=" + Unfinished) +
                       describeHeldBack(Observer.HeldBack);
  if (Decision == GatherDecision::Answer) {
    recordOutcome(Context, Query.missingShards() ? "partial" : "answered",
                  Detail);
    return {RunState::HasRun,
            encodeMergedAnswer(*Context.Request, Query.signatures(),
                               Query.missingShards(), Query.mergedRecords())};
  }
  if (!MayHaveRun)
    return refuse(Context, RunState::Declined, ResultCode::Overloaded,
                  callReasonName(Query.lastReason()),
                  retryAfter(Query.lastReason(), Duration(0), Rng),
                  describeHeldBack(Observer.HeldBack));
  return fail(Context, Now >= Context.Times.Deadline, Detail);
}

} // namespace mimosa
