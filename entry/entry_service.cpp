#include "entry/entry_service.h"

#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

/// The answer must be at the caller by its deadline; the ways of the users'
/// callers take 1 to 3 ms, and a connection two of them.
constexpr Duration WayBack = Milliseconds(12);
/// A host without a configuration gets it within a few calls to the store.
constexpr Duration UnconfiguredRetry = Milliseconds(300);
/// Callers of a stopping host have other hosts to go to.
constexpr Duration StoppingRetry = Milliseconds(20);
/// A queue that is too long for a request shrinks within about one work time.
constexpr Duration OverloadedRetry = Milliseconds(60);
/// Backend servers that are down are tried again after 250 ms.
constexpr Duration UnavailableRetry = Milliseconds(150);
/// A request that crashes backend servers stays refused for minutes.
constexpr Duration ContainedRetry = Seconds(10);
/// Callers that were refused together come back spread over this share of the
/// time.
constexpr double RetrySpread = 0.5;

/// Wakes the fiber of a request when one of its calls has ended.
class SingleObserver : public CallObserver {
public:
  void callEnded(CallId, CallResult NewResult) override {
    Result = std::move(NewResult);
    Ended.set();
  }
  std::optional<CallResult> Result;
  FiberEvent Ended;
};

class GatherObserver : public CallObserver {
public:
  explicit GatherObserver(GatherQuery &Query) : Query(Query) {}
  void callEnded(CallId, CallResult Result) override {
    Query.addResult(Result);
    Changed.set();
  }
  GatherQuery &Query;
  FiberEvent Changed;
};

/// One shard that is left out of an answer, for logs.
std::string describeMissing(const ServiceId &Shard, const CallStatus &Status) {
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

std::string idOf(const CallerRequest &Request) {
  return Request.Id.empty() ? "-" : Request.Id.text();
}

} // namespace

CallRequest EntryService::callRequest(const Passage &P,
                                      const ServiceId &Service) const {
  CallRequest Out;
  Out.Service = Service;
  Out.Route = P.Path.Id;
  Out.Idempotent = P.Path.Idempotent;
  Out.MaxAttempts = P.Path.MaxAttempts;
  Out.Priority = P.Path.Priority;
  Out.TargetLatency = P.Path.TargetLatency;
  Out.Deadline = P.Times.Deadline;
  Out.UsefulUntil = P.Path.isGather() ? P.Times.PartialFrom : P.Times.Deadline;
  Out.Message = P.Request;
  return Out;
}

Duration EntryService::retryAfter(CallReason Reason) {
  Duration Base =
      Reason == CallReason::Unavailable ? UnavailableRetry : OverloadedRetry;
  double Factor = 1 + RetrySpread * Rng.unit();
  return Duration(
      static_cast<int64_t>(static_cast<double>(Base.count()) * Factor));
}

void EntryService::note(const Passage &P, const char *Outcome,
                        const std::string &Detail) {
  Duration Elapsed = Loop.now() - P.ArrivedAt;
  Labels L = {{"route", P.Path.Id.text()}, {"outcome", Outcome}};
  Metrics.counter("mimosa_requests_total", L).add();
  Metrics.histogram("mimosa_request_seconds", {{"route", P.Path.Id.text()}})
      .record(Elapsed);
  logRequest("request", "request=" + idOf(*P.Request) +
                            " route=" + P.Path.Id.text() +
                            " version=" + std::to_string(P.Table->version()) +
                            " outcome=" + Outcome + " elapsed_us=" +
                            std::to_string(Elapsed.count()) + " " + Detail);
}

void EntryService::noteCrashes(const Passage &P, const ServiceId &Service,
                               uint32_t Lost, bool Succeeded) {
  auto Strike =
      Crashes.recordAttempt(P.Print, Service, Lost, Succeeded, Loop.now());
  if (!Strike)
    return;
  logRequest("request", "event=strike request=" + idOf(*P.Request) +
                            " service=" + Service.text() +
                            " lost=" + std::to_string(Lost));
  if (TellStrike)
    TellStrike(*Strike);
}

HttpResponse EntryService::refuse(const Passage &P, ResultCode Code,
                                  const std::string &Why, Duration RetryAfter) {
  note(P, "refused",
       "reason=" + Why +
           " retry_after_ms=" + std::to_string(inMilliseconds(RetryAfter)));
  return encodeRefusal({Code, Why}, RetryAfter);
}

HttpResponse EntryService::fail(const Passage &P, bool TimedOut,
                                const std::string &Why) {
  note(P, TimedOut ? "timeout" : "lost", Why);
  return TimedOut ? encodeFailure(504, {ResultCode::DeadlineExceeded, Why})
                  : encodeFailure(502, {ResultCode::OutcomeUnknown, Why});
}

HttpResponse EntryService::callerLeft(const Passage &P) {
  note(P, "caller_left", "");
  HttpResponse Out;
  Out.Status = 0;
  return Out;
}

HttpResponse EntryService::refuseUnready(const DecodedCallerRequest &In) const {
  const char *Why = Refusing ? "stopping" : "unconfigured";
  logRequest("request",
             "request=" + idOf(*In.Request) + " outcome=refused reason=" + Why);
  HttpResponse Out = encodeRefusal(
      {Refusing ? ResultCode::ShuttingDown : ResultCode::StoreUnavailable, Why},
      Refusing ? StoppingRetry : UnconfiguredRetry);
  Out.Close = Refusing;
  return Out;
}

EntryService::Passage
EntryService::passage(const DecodedCallerRequest &In,
                      const HttpRequest &Request, const Route &Path,
                      const std::shared_ptr<CallerSignals> &Caller) const {
  Duration Allowed = std::min(In.Timeout, Path.Timeout);
  MonotonicTime Deadline =
      Request.ArrivedAt +
      std::max<Duration>(Allowed - WayBack, Milliseconds(1));
  std::string_view Head = In.Request->Head;
  Fingerprint Print = requestFingerprint(
      In.Host, Head.substr(0, Head.find('\r')), In.Request->Body);
  return {Path,
          Routes,
          In.Request,
          Caller,
          Request.ArrivedAt,
          gatherTimes(Path, Request.ArrivedAt, Deadline),
          Print};
}

HttpResponse
EntryService::handle(const HttpRequest &Request,
                     const std::shared_ptr<CallerSignals> &Caller) {
  Result<DecodedCallerRequest> Envelope = decodeCallerRequest(Request);
  if (!ok(Envelope)) {
    logRequest("request", "outcome=bad_request reason=\"" +
                              errorOf(Envelope).Message + "\"");
    return encodeFailure(400, errorOf(Envelope));
  }
  const DecodedCallerRequest &In = valueOf(Envelope);
  if (!Routes || Refusing)
    return refuseUnready(In);
  const Route *Found = Routes->find(In.Host, Request.path());
  if (!Found) {
    logRequest("request", "request=" + idOf(*In.Request) +
                              " outcome=no_route host=" + In.Host +
                              " path=" + std::string(Request.path()) +
                              " version=" + std::to_string(Routes->version()));
    return encodeFailure(404, {ResultCode::NotFound, "no route"});
  }
  Passage P = passage(In, Request, *Found, Caller);
  if (Crashes.quarantined(P.Print, Loop.now()))
    return refuse(P, ResultCode::Quarantined, "crashes_backend_servers",
                  ContainedRetry);
  ++InFlight;
  HttpResponse Out = Found->isGather() ? serveGather(P) : serveSingle(P);
  --InFlight;
  return Out;
}

HttpResponse EntryService::serveSingle(const Passage &P) {
  const ServiceId *Service = Rotations[P.Path.Id].next(P.Path.Targets);
  if (!Service)
    return refuse(P, ResultCode::NoBackend, "no_target", UnavailableRetry);
  SingleObserver Observer;
  CallId Id = Calls.begin(callRequest(P, *Service), Observer, Loop.now());
  P.Caller->onLoss([&Observer](CallerLoss) { Observer.Ended.set(); });
  Observer.Ended.wait();
  P.Caller->onLoss(nullptr);
  if (!Observer.Result) {
    Calls.cancel(Id, true, Loop.now());
    return callerLeft(P);
  }
  CallResult &R = *Observer.Result;
  noteCrashes(P, *Service, R.LostAttempts, R.Outcome == CallOutcome::Answered);
  std::string Detail = "service=" + Service->text() +
                       " server=" + R.Server.text() +
                       " sends=" + std::to_string(R.Attempts) +
                       " reason=" + callReasonName(R.Reason);
  switch (R.Outcome) {
  case CallOutcome::Answered: {
    note(P, R.Answer.success() ? "answered" : "backend_failure",
         Detail + " status=" + std::to_string(R.Answer.Status));
    // Bytes in an encoding that nobody asked for are not the server's body.
    if (R.Answer.UnexpectedEncoding)
      return encodeFailure(502, {ResultCode::BadBackendReply, "encoded"});
    if (R.Answer.Status >= 200 && R.Answer.Status < 300 &&
        R.Answer.Signature.empty())
      return encodeFailure(502, {ResultCode::BadBackendReply, "unsigned"});
    HttpResponse Out = encodeForwardedAnswer(R.Answer);
    Out.HeadOnly = P.Request->IsHeadRequest;
    return Out;
  }
  case CallOutcome::NotRun:
    return refuse(P, ResultCode::Overloaded, callReasonName(R.Reason),
                  retryAfter(R.Reason));
  case CallOutcome::Unknown:
    break;
  }
  return fail(P, R.Reason == CallReason::Deadline, Detail);
}

bool EntryService::hopeless(const Route &R, MonotonicTime Now) const {
  size_t Unavailable = 0;
  for (const ServiceId &Shard : R.Shards)
    if (Registry.state(Shard, Now) == ServiceState::Unavailable)
      ++Unavailable;
  return R.Shards.size() - Unavailable < R.minShardResults();
}

bool EntryService::cancelRest(const Passage &P, const std::vector<CallId> &Ids,
                              std::string *LeftOut) {
  bool MayHaveRun = false;
  for (size_t I = 0; I < Ids.size(); ++I) {
    if (auto Status = Calls.status(Ids[I]))
      *LeftOut += (LeftOut->empty() ? "" : ",") +
                  describeMissing(P.Path.Shards[I], *Status);
    MayHaveRun =
        Calls.cancel(Ids[I], P.Caller->lost(), Loop.now()) || MayHaveRun;
  }
  return MayHaveRun;
}

HttpResponse EntryService::serveGather(const Passage &P) {
  MonotonicTime Now = Loop.now();
  if (hopeless(P.Path, Now))
    return refuse(P, ResultCode::NoBackend, "shards_unavailable",
                  retryAfter(CallReason::Unavailable));
  GatherQuery Query(P.Path, P.Times);
  GatherObserver Observer(Query);
  std::vector<CallId> Ids;
  Ids.reserve(P.Path.Shards.size());
  for (const ServiceId &Shard : P.Path.Shards)
    Ids.push_back(Calls.begin(callRequest(P, Shard), Observer, Now));
  P.Caller->onLoss([&Observer](CallerLoss) { Observer.Changed.set(); });
  GatherDecision Decision = GatherDecision::Wait;
  while (!P.Caller->lost()) {
    Now = Loop.now();
    Decision = Query.decide(Now);
    if (Decision != GatherDecision::Wait)
      break;
    Observer.Changed.waitUntil(Query.nextWakeUp(Now));
    Observer.Changed.clear();
  }
  P.Caller->onLoss(nullptr);
  std::string LeftOut;
  bool MayHaveRun = cancelRest(P, Ids, &LeftOut) || Query.mayHaveRun();
  noteCrashes(P, P.Path.Shards.front(), Query.lostAttempts(),
              Query.missingShards() < Query.totalShards());
  if (P.Caller->lost())
    return callerLeft(P);
  std::string Detail = "shards=" + std::to_string(Query.totalShards()) +
                       " missing=" + std::to_string(Query.missingShards()) +
                       " reason=" + callReasonName(Query.lastReason()) +
                       (LeftOut.empty() ? "" : " unfinished=" + LeftOut);
  if (Decision == GatherDecision::Answer) {
    note(P, Query.missingShards() ? "partial" : "answered", Detail);
    return encodeMergedAnswer(*P.Request, Query.signatures(),
                              Query.missingShards(), Query.mergedRecords());
  }
  if (!MayHaveRun)
    return refuse(P, ResultCode::Overloaded, callReasonName(Query.lastReason()),
                  retryAfter(Query.lastReason()));
  return fail(P, Now >= P.Times.Deadline, Detail);
}

} // namespace mimosa
