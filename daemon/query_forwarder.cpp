#include "daemon/query_forwarder.h"

namespace mimosa {

namespace {
constexpr Duration ConnectTimeout = Milliseconds(300);
constexpr size_t MaxIdlePerHost = 32;
} // namespace

std::shared_ptr<HttpConnection>
QueryForwarder::takeConnection(const std::string &Address) {
  auto &Pool = IdleConnections[Address];
  if (!Pool.empty()) {
    auto Connection = std::move(Pool.back());
    Pool.pop_back();
    return Connection;
  }
  auto Opened = HttpConnection::open(Loop, Address, ConnectTimeout);
  if (!ok(Opened))
    return nullptr;
  return valueOf(std::move(Opened));
}

Result<HttpResponse> QueryForwarder::forward(
    const std::string &Body, const std::vector<std::string> &Addresses,
    Duration Timeout, const std::shared_ptr<CallerConnection> &Caller) {
  for (const std::string &Address : Addresses) {
    std::shared_ptr<HttpConnection> Connection = takeConnection(Address);
    if (!Connection)
      continue;
    ++ForwardedQueries;
    // Closes the connection if the caller disconnects; the other host then
    // aborts the query.
    std::weak_ptr<HttpConnection> Weak = Connection;
    Caller->onDisconnect([Weak](DisconnectReason) {
      if (auto Live = Weak.lock())
        Live->close();
    });
    HttpRequest Request{"POST", "/v1/query", Body};
    Request.Forwarded = true;
    Result<HttpResponse> Answer = Connection->exchange(Request, Timeout);
    Caller->onDisconnect(nullptr);
    if (!ok(Answer))
      return Error{ResultCode::OutcomeUnknown,
                   "the host that serves the service did not answer; "
                   "the query may have run"};
    auto &Pool = IdleConnections[Address];
    if (Connection->isOpen() && Pool.size() < MaxIdlePerHost)
      Pool.push_back(std::move(Connection));
    return Answer;
  }
  return Error{ResultCode::PeerUnreachable,
               "no host that serves the service accepts connections"};
}

} // namespace mimosa
