#include "daemon/caller_api.h"

#include "daemon/node.h"

namespace mimosa {

namespace {

/// Time after the deadline for which the answer to a forwarded query is
/// awaited.
constexpr Duration ForwardSlack = Milliseconds(500);

HttpResponse refusalResponse(const Error &Reason,
                             Execution Outcome = Execution::NotRun) {
  QueryAnswer Answer;
  Answer.Code = Reason.Code;
  Answer.Message = Reason.Message;
  Answer.Outcome = Outcome;
  return {httpStatusOf(Reason.Code), "application/json", answerJson(Answer)};
}

std::string queryParameter(const HttpRequest &Request, const char *Name) {
  auto Parameters = Request.parameters();
  auto It = Parameters.find(Name);
  return It == Parameters.end() ? "" : It->second;
}

} // namespace

HttpResponse
CallerApi::handle(const HttpRequest &Request,
                  const std::shared_ptr<CallerConnection> &Caller) {
  std::string_view Path = Request.path();
  if (Path == "/v1/query" && Request.Method == "POST")
    return query(Request, Caller);
  if (Path == "/v1/cancel" && Request.Method == "POST")
    return cancel(Request);
  if (Path == "/v1/addresses")
    return addresses(Request);
  if (std::optional<HttpResponse> Answer = Operators.handle(Request))
    return *Answer;
  return errorResponse(
      {ResultCode::NotFound, Request.Method + " " + std::string(Path) +
                                 " is not an endpoint of mimosad"});
}

HttpResponse CallerApi::query(const HttpRequest &Request,
                              const std::shared_ptr<CallerConnection> &Caller) {
  Result<QueryRequest> Parsed = parseQuery(Request.Body);
  if (!ok(Parsed))
    return refusalResponse(errorOf(Parsed));
  const QueryRequest &Query = valueOf(Parsed);
  ServiceNode *Service = Daemon.service(Query.Service);
  if (!Service)
    return refusalResponse(
        {ResultCode::UnknownService,
         "service '" + Query.Service.text() + "' is not in revision " +
             std::to_string(Daemon.configs().revision().number())});
  if (!Service->isServedHere() && !Daemon.leaving())
    return forwardQuery(Request, Query, *Service, Caller);
  QueryAnswer Answer = Daemon.queries().run(Query, *Service, Caller);
  return {httpStatusOf(Answer.Code), "application/json", answerJson(Answer)};
}

std::vector<std::string>
CallerApi::callerAddresses(const ServiceNode &Service) {
  std::vector<std::string> Out;
  for (const HostId &Host : Service.hosts())
    if (const Member *Peer = Daemon.members().member(Host))
      if (Peer->State == MemberState::Alive &&
          Peer->Region == Daemon.options().Region)
        Out.push_back(Peer->CallerAddress);
  if (Out.size() > 1)
    std::swap(Out.front(), Out[Daemon.context().Rand.below(Out.size())]);
  return Out;
}

HttpResponse
CallerApi::forwardQuery(const HttpRequest &Request, const QueryRequest &Query,
                        ServiceNode &Service,
                        const std::shared_ptr<CallerConnection> &Caller) {
  if (Request.Forwarded)
    return refusalResponse({ResultCode::NotInHostSet,
                            "this host does not serve the service; see "
                            "/v1/addresses for hosts that do"});
  Duration Limit = Query.Deadline.value_or(Service.settings().DefaultDeadline) +
                   ForwardSlack;
  Result<HttpResponse> Answer = Daemon.forwarder().forward(
      Request.Body, callerAddresses(Service), Limit, Caller);
  if (ok(Answer))
    return valueOf(std::move(Answer));
  bool WasSent = errorOf(Answer).Code == ResultCode::OutcomeUnknown;
  return refusalResponse(errorOf(Answer),
                         WasSent ? Execution::Unknown : Execution::NotRun);
}

HttpResponse CallerApi::cancel(const HttpRequest &Request) {
  Result<Json> Body = parseJson(Request.Body);
  if (!ok(Body))
    return errorResponse(errorOf(Body));
  JsonFields Fields(valueOf(Body), "cancel");
  CallerId Caller(Fields.text("caller"));
  RequestKey Key(Fields.text("request_key"));
  if (Fields.failed())
    return errorResponse(Fields.error());
  size_t Ended = Daemon.queries().cancel(Caller, Key);
  if (Ended == 0)
    return errorResponse({ResultCode::NotFound,
                          "no query of this caller with this request key is "
                          "running on this host"});
  return {200, "application/json", errorBody({ResultCode::Ok, ""})};
}

HttpResponse CallerApi::addresses(const HttpRequest &Request) {
  Result<AddressAnswer> Answer = Daemon.placement().addresses(
      ServiceId(queryParameter(Request, "service")),
      AvailabilityZoneId(queryParameter(Request, "zone")),
      Daemon.context().Rand);
  if (!ok(Answer))
    return errorResponse(errorOf(Answer));
  valueOf(Answer).Lifetime = Daemon.options().AddressLifetime;
  return {200, "application/json", addressAnswerJson(valueOf(Answer)).dump()};
}

} // namespace mimosa
