#include "daemon/caller_api.h"

#include "daemon/node.h"

namespace mimosa {

int httpStatusOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
  case ResultCode::Partial:
    return 200;
  case ResultCode::UnknownService:
  case ResultCode::NotFound:
    return 404;
  case ResultCode::BodyTooLarge:
    return 413;
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

HttpResponse CallerApi::handle(const HttpRequest &Request,
                               const std::shared_ptr<CallerSignals> &Caller) {
  std::string_view Path = Request.path();
  if (Path == "/v1/query" && Request.Method == "POST")
    return query(Request, Caller);
  if (Path == "/metrics")
    return {200, "text/plain; version=0.0.4", Host.context().Metrics.render()};
  return {404, "application/json",
          errorBody(
              {ResultCode::NotFound, Request.Method + " " + std::string(Path) +
                                         " is not part of the interface"})};
}

HttpResponse CallerApi::query(const HttpRequest &Request,
                              const std::shared_ptr<CallerSignals> &Caller) {
  Result<QueryRequest> Parsed = parseQuery(Request.Body);
  QueryAnswer Answer;
  if (ok(Parsed)) {
    Answer = Host.query(valueOf(Parsed), Caller);
  } else {
    Answer.Code = errorOf(Parsed).Code;
    Answer.Message = errorOf(Parsed).Message;
  }
  return {httpStatusOf(Answer.Code), "application/json", answerJson(Answer)};
}

} // namespace mimosa
