#include "daemon/caller_api.h"

#include "daemon/node.h"

namespace mimosa {

namespace {

/// Time beyond the deadline that a forwarded answer may take.
constexpr Duration ForwardSlack = Milliseconds(500);

HttpResponse refusal(const Error &Why, Execution Outcome = Execution::NotRun) {
  QueryAnswer Answer;
  Answer.Code = Why.Code;
  Answer.Message = Why.Message;
  Answer.Outcome = Outcome;
  return {httpStatusOf(Why.Code), "application/json", answerJson(Answer)};
}

std::string parameter(const HttpRequest &Request, const char *Name) {
  auto All = Request.parameters();
  auto It = All.find(Name);
  return It == All.end() ? "" : It->second;
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
  return errorAnswer(
      {ResultCode::NotFound, Request.Method + " " + std::string(Path) +
                                 " is not part of the interface"});
}

HttpResponse CallerApi::query(const HttpRequest &Request,
                              const std::shared_ptr<CallerConnection> &Caller) {
  Result<QueryRequest> Parsed = parseQuery(Request.Body);
  if (!ok(Parsed))
    return refusal(errorOf(Parsed));
  const QueryRequest &Query = valueOf(Parsed);
  ServiceNode *Service = Host.service(Query.Service);
  if (!Service)
    return refusal({ResultCode::UnknownService,
                    "service '" + Query.Service.text() +
                        "' is not in revision " +
                        std::to_string(Host.configs().revision().number())});
  if (!Service->isServedHere() && !Host.leaving())
    return queryElsewhere(Request, Query, *Service, Caller);
  QueryAnswer Answer = Host.queries().run(Query, *Service, Caller);
  return {httpStatusOf(Answer.Code), "application/json", answerJson(Answer)};
}

std::vector<std::string> CallerApi::addressesOf(const ServiceNode &Node) {
  std::vector<std::string> Out;
  for (const HostId &Name : Node.hosts())
    if (const Member *Found = Host.members().member(Name))
      if (Found->State == MemberState::Alive &&
          Found->Region == Host.options().Region)
        Out.push_back(Found->CallerAddress);
  if (Out.size() > 1)
    std::swap(Out.front(), Out[Host.context().Rand.below(Out.size())]);
  return Out;
}

HttpResponse
CallerApi::queryElsewhere(const HttpRequest &Request,
                          const QueryRequest &Parsed, ServiceNode &Node,
                          const std::shared_ptr<CallerConnection> &Caller) {
  if (Request.Forwarded)
    return refusal({ResultCode::NotInHostSet,
                    "this host does not serve the service; ask "
                    "/v1/addresses for hosts that do"});
  Duration Limit =
      Parsed.Deadline.value_or(Node.settings().DefaultDeadline) + ForwardSlack;
  Result<HttpResponse> Answer =
      Host.forwarder().forward(Request.Body, addressesOf(Node), Limit, Caller);
  if (ok(Answer))
    return valueOf(std::move(Answer));
  bool Sent = errorOf(Answer).Code == ResultCode::OutcomeUnknown;
  return refusal(errorOf(Answer),
                 Sent ? Execution::Unknown : Execution::NotRun);
}

HttpResponse CallerApi::cancel(const HttpRequest &Request) {
  Result<Json> Body = parseJson(Request.Body);
  if (!ok(Body))
    return errorAnswer(errorOf(Body));
  JsonFields Fields(valueOf(Body), "cancel");
  CallerId Caller(Fields.text("caller"));
  RequestKey Key(Fields.text("request_key"));
  if (Fields.failed())
    return errorAnswer(Fields.error());
  size_t Ended = Host.queries().cancel(Caller, Key);
  if (Ended == 0)
    return errorAnswer({ResultCode::NotFound,
                        "no query of this caller with this key runs here"});
  return {200, "application/json", errorBody({ResultCode::Ok, ""})};
}

HttpResponse CallerApi::addresses(const HttpRequest &Request) {
  Result<AddressAnswer> Answer = Host.placement().addresses(
      ServiceId(parameter(Request, "service")),
      AvailabilityZoneId(parameter(Request, "zone")), Host.context().Rand);
  if (!ok(Answer))
    return errorAnswer(errorOf(Answer));
  valueOf(Answer).Lifetime = Host.options().AddressLifetime;
  return {200, "application/json", addressAnswerJson(valueOf(Answer)).dump()};
}

} // namespace mimosa
