#include "daemon/operator_api.h"

#include "daemon/node.h"

namespace mimosa {

namespace {

constexpr int HttpTooLarge = 413;

HttpResponse jsonResponse(int Status, const Json &Body) {
  return {Status, "application/json",
          Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Json resultJson(ResultCode Code, const std::string &Message) {
  return {{"code", static_cast<int>(Code)},
          {"name", resultCodeName(Code)},
          {"message", Message}};
}

Result<ConfigChange> parseChange(const std::string &Body) {
  Result<Json> Parsed = parseJson(Body);
  if (!ok(Parsed))
    return errorOf(Parsed);
  JsonFields Fields(valueOf(Parsed), "change");
  ConfigChange Out;
  Out.ExpectedRevision = Revision(
      static_cast<uint64_t>(Fields.number("expected_revision", 0, INT64_MAX)));
  Out.ChangeId = Fields.text("change_id");
  const Json &Document = Fields.object("config");
  if (Fields.failed())
    return Fields.error();
  // The revision and the change id are those of the change, so the document,
  // such as one written by the Python library, may omit them.
  Json WithIds = Document;
  WithIds["revision"] = Out.ExpectedRevision.number() + 1;
  WithIds["change_id"] = Out.ChangeId;
  Result<Config> ConfigDocument = parseConfigJson(WithIds, "config");
  if (!ok(ConfigDocument))
    return errorOf(ConfigDocument);
  Out.Document = valueOf(std::move(ConfigDocument));
  return Out;
}

} // namespace

int httpStatusOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
  case ResultCode::Partial:
    return 200;
  case ResultCode::UnknownService:
  case ResultCode::NotFound:
    return 404;
  case ResultCode::BodyTooLarge:
    return HttpTooLarge;
  case ResultCode::SlowSender:
    return 408;
  case ResultCode::Conflict:
  case ResultCode::AlreadyClaimed:
    return 409;
  case ResultCode::InvalidConfig:
    return 422;
  case ResultCode::DeadlineExceeded:
  case ResultCode::OutcomeUnknown:
  case ResultCode::Timeout:
    return 504;
  default:
    break;
  }
  int Number = static_cast<int>(Code);
  if (Number >= 100 && Number < 200)
    return 400;
  return Number >= 500 ? 500 : 503;
}

HttpResponse errorResponse(const Error &E) {
  return {httpStatusOf(E.Code), "application/json", errorBody(E)};
}

std::optional<HttpResponse> OperatorApi::handle(const HttpRequest &Request) {
  std::string_view Path = Request.path();
  if (Path == "/metrics")
    return HttpResponse{200, "text/plain; version=0.0.4",
                        Daemon.renderMetrics()};
  if (Path == "/v1/status")
    return jsonResponse(200, Daemon.status());
  if (Path == "/v1/hosts")
    return hosts();
  if (Path == "/v1/config" && Request.Method == "GET")
    return HttpResponse{200, "application/json",
                        printConfig(*Daemon.configs().config())};
  if (Path == "/v1/config" && Request.Method == "POST")
    return changeConfig(Request);
  return std::nullopt;
}

HttpResponse OperatorApi::hosts() {
  Json Status = Daemon.status();
  return jsonResponse(200, {{"result", resultJson(ResultCode::Ok, "")},
                            {"revision", Status["revision"]},
                            {"hosts", Status["hosts"]}});
}

HttpResponse OperatorApi::changeConfig(const HttpRequest &Request) {
  Result<ConfigChange> Change = parseChange(Request.Body);
  if (!ok(Change))
    return errorResponse(errorOf(Change));
  ConfigChangeResult Outcome =
      Daemon.configs().change(valueOf(std::move(Change)));
  Json Body = {{"result", resultJson(Outcome.Code, Outcome.Message)}};
  if (Outcome.StoredDocument) {
    Body["revision"] = Outcome.StoredDocument->ConfigRevision.number();
    if (Outcome.Code == ResultCode::Conflict)
      Body["config"] = configJson(*Outcome.StoredDocument);
  }
  return jsonResponse(httpStatusOf(Outcome.Code), Body);
}

} // namespace mimosa
