#include "tools/ctl_client.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration ConnectTimeout = Milliseconds(1000);
/// After this time, a read is sent to the next daemon. Daemons serve reads from
/// memory.
constexpr Duration ReadTimeout = Milliseconds(2000);
/// Longer than the five reads of the store with which a daemon finds out
/// whether a change took effect whose reply from the store was lost.
constexpr Duration ChangeTimeout = Milliseconds(8000);
constexpr Duration RetryDelay = Milliseconds(200);

void addFailure(std::string &Failures, const std::string &Address,
                const Error &Failure) {
  if (!Failures.empty())
    Failures += "; ";
  Failures.append(Address).append(": ").append(Failure.Message);
}

/// Whether \p Response shows if the change took effect. StoreUnavailable shows
/// it for this attempt, but not for an earlier one with an unknown outcome.
bool showsOutcome(const HttpResponse &Response, bool HasUnknownAttempt) {
  ResultCode Code = resultInResponse(Response).Code;
  if (Code == ResultCode::OutcomeUnknown)
    return false;
  return !HasUnknownAttempt || Code != ResultCode::StoreUnavailable;
}

} // namespace

Error resultInResponse(const HttpResponse &Response) {
  Result<Json> Body = parseJson(Response.Body);
  if (!ok(Body) || !valueOf(Body).is_object() ||
      !valueOf(Body).contains("result"))
    return {Response.Status == 200 ? ResultCode::Ok : ResultCode::Internal,
            "HTTP status " + std::to_string(Response.Status)};
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
    return Error{ResultCode::Timeout, "the time limit of --timeout-ms is over"};
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
    Result<HttpResponse> Response = readFrom(Address, Target);
    if (ok(Response))
      return Response;
    addFailure(Failures, Address, errorOf(Response));
  }
  ResultCode Code = remaining() > Duration(0) ? ResultCode::PeerUnreachable
                                              : ResultCode::Timeout;
  return Error{Code, "no daemon responds: " + Failures};
}

DaemonClient::ChangeResult DaemonClient::change(const std::string &Body) {
  ChangeResult Out{Error{}, false};
  HttpRequest Request{"POST", "/v1/config", Body};
  do {
    std::string Failures;
    for (const std::string &Address : Addresses) {
      bool Sent = false;
      Result<HttpResponse> Response =
          tryDaemon(Address, Request, ChangeTimeout, &Sent);
      if (ok(Response) &&
          showsOutcome(valueOf(Response), Out.HasUnknownAttempt)) {
        Out.Response = std::move(Response);
        return Out;
      }
      Out.HasUnknownAttempt |= Sent;
      addFailure(Failures, Address,
                 ok(Response) ? resultInResponse(valueOf(Response))
                              : errorOf(Response));
    }
    if (!Out.HasUnknownAttempt) {
      Out.Response = Error{ResultCode::PeerUnreachable,
                           "no daemon accepts the change: " + Failures};
      return Out;
    }
    Out.Response =
        Error{ResultCode::OutcomeUnknown,
              "the change was sent and not confirmed; read the configuration "
              "to see whether it took effect: " +
                  Failures};
    FiberLoop::sleepFor(RetryDelay);
  } while (remaining() > Duration(0));
  return Out;
}

} // namespace mimosa
