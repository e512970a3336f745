#include "tools/ctl_client.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration ConnectTimeout = Milliseconds(1000);
/// A read that takes longer goes to the next daemon. A daemon answers reads
/// from memory.
constexpr Duration ReadTimeout = Milliseconds(2000);
/// Longer than the five reads with which a daemon settles a lost reply.
constexpr Duration ChangeTimeout = Milliseconds(8000);
constexpr Duration RetryDelay = Milliseconds(200);

void addFailure(std::string &All, const std::string &Address,
                const Error &Why) {
  if (!All.empty())
    All += "; ";
  All.append(Address).append(": ").append(Why.Message);
}

/// True if \p Answer tells whether the change took effect. A refusal for lack
/// of the store does not tell that of an earlier attempt.
bool settles(const HttpResponse &Answer, bool Unsettled) {
  ResultCode Code = errorInAnswer(Answer).Code;
  if (Code == ResultCode::OutcomeUnknown)
    return false;
  return !Unsettled || Code != ResultCode::StoreUnavailable;
}

} // namespace

Error errorInAnswer(const HttpResponse &Answer) {
  Result<Json> Body = parseJson(Answer.Body);
  if (!ok(Body) || !valueOf(Body).is_object() ||
      !valueOf(Body).contains("result"))
    return {Answer.Status == 200 ? ResultCode::Ok : ResultCode::Internal,
            "HTTP status " + std::to_string(Answer.Status)};
  JsonFields Fields(valueOf(Body)["result"], "result");
  auto Code = static_cast<ResultCode>(Fields.numberOr(
      "code", 0, INT32_MAX, static_cast<int64_t>(ResultCode::Internal)));
  return {Code, Fields.textOr("message", "")};
}

DaemonClient::DaemonClient(FiberLoop &Loop, std::vector<std::string> Addresses,
                           MonotonicTime Deadline)
    : Loop(Loop), Addresses(std::move(Addresses)), Deadline(Deadline) {}

Result<HttpResponse> DaemonClient::tryDaemon(const std::string &Address,
                                             const HttpRequest &Request,
                                             Duration Limit, bool *Sent) {
  if (remaining() <= Duration(0))
    return Error{ResultCode::Timeout, "the time set by --timeout-ms is over"};
  auto Opened = HttpConnection::open(Loop, Address,
                                     std::min(ConnectTimeout, remaining()));
  if (!ok(Opened))
    return errorOf(Opened);
  *Sent = true;
  return valueOf(Opened)->exchange(
      Request, std::max(Duration(1), std::min(Limit, remaining())));
}

Result<HttpResponse> DaemonClient::readFrom(const std::string &Address,
                                            const std::string &Target) {
  bool Sent = false;
  return tryDaemon(Address, {"GET", Target, ""}, ReadTimeout, &Sent);
}

Result<HttpResponse> DaemonClient::read(const std::string &Target) {
  std::string Failures;
  for (const std::string &Address : Addresses) {
    Result<HttpResponse> Answer = readFrom(Address, Target);
    if (ok(Answer))
      return Answer;
    addFailure(Failures, Address, errorOf(Answer));
  }
  ResultCode Code = remaining() > Duration(0) ? ResultCode::PeerUnreachable
                                              : ResultCode::Timeout;
  return Error{Code, "no daemon answers: " + Failures};
}

DaemonClient::ChangeAnswer DaemonClient::change(const std::string &Body) {
  ChangeAnswer Out{Error{}, false};
  HttpRequest Request{"POST", "/v1/config", Body};
  do {
    std::string Failures;
    for (const std::string &Address : Addresses) {
      bool Sent = false;
      Result<HttpResponse> Answer =
          tryDaemon(Address, Request, ChangeTimeout, &Sent);
      if (ok(Answer) && settles(valueOf(Answer), Out.Unsettled)) {
        Out.Answer = std::move(Answer);
        return Out;
      }
      Out.Unsettled |= Sent;
      addFailure(Failures, Address,
                 ok(Answer) ? errorInAnswer(valueOf(Answer)) : errorOf(Answer));
    }
    if (!Out.Unsettled) {
      Out.Answer = Error{ResultCode::PeerUnreachable,
                         "no daemon accepts the change: " + Failures};
      return Out;
    }
    Out.Answer =
        Error{ResultCode::OutcomeUnknown,
              "the change was sent and not confirmed; read the configuration "
              "to see whether it is in force: " +
                  Failures};
    FiberLoop::sleepFor(RetryDelay);
  } while (remaining() > Duration(0));
  return Out;
}

} // namespace mimosa
