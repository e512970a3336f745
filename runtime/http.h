// HTTP/1.1 for callers, operators, backend servers and the platform, over
// Boost.Beast.
//
// Server: implement HttpHandler and hand it to HttpServer. Each connection has
// a fiber; handle() may suspend. CallerConnection tells a running handler that
// its caller has gone.
//
// Client: HttpConnection::open() and exchange(), both suspend the fiber:
//
//   auto Opened = HttpConnection::open(Loop, "127.0.0.1:9001", Seconds(1));
//   auto Reply = valueOf(Opened)->exchange(Request, Milliseconds(200));

#ifndef MIMOSA_RUNTIME_HTTP_H
#define MIMOSA_RUNTIME_HTTP_H

#include "base/http_header.h"
#include "runtime/fiber_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// Longest body of an answer that is read.
constexpr size_t MaxAnswerBytes = 16 << 20;

/// \p Text for the query string of a target.
std::string percentEncode(const std::string &Text);

struct HttpRequest {
  std::string Method = "GET";
  /// Path with the query string, as sent.
  std::string Target;
  std::string Body;
  /// Set if the request has the header "mimosa-forwarded".
  bool Forwarded = false;
  /// Numbers the server's connections in the order of their arrival.
  uint64_t ConnectionId = 0;
  /// All headers, in order. The client sends none of these.
  std::vector<HttpHeader> Headers;
  /// When the first byte was read.
  MonotonicTime ArrivedAt;

  /// Target without the query string.
  std::string_view path() const;
  /// The decoded parameters of the query string.
  std::map<std::string, std::string> parameters() const;
};

struct HttpResponse {
  /// 0 closes the connection without an answer.
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  /// Further headers. If one of them is Content-Type, ContentType is not sent.
  std::vector<HttpHeader> Headers;
  /// The connection is closed after this answer.
  bool Close = false;
  /// The answer belongs to a HEAD request: Content-Length without a body.
  bool OmitBody = false;
};

/// How a caller was lost.
enum class DisconnectReason {
  /// It closed its connection.
  Closed,
  /// Nothing was acknowledged for the server's user timeout.
  Unreachable,
};

/// What a handler can learn about the caller of one request.
class CallerConnection {
public:
  /// Calls \p Callback once if the caller is lost while the request runs or
  /// before its answer is acknowledged.
  void onDisconnect(std::function<void(DisconnectReason)> Callback);
  bool disconnected() const { return Disconnected; }

  /// Called by the server.
  void recordDisconnect(DisconnectReason Reason);

private:
  std::function<void(DisconnectReason)> Callback;
  bool Disconnected = false;
};

/// Serves requests; called in the fiber of the connection.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  virtual HttpResponse
  handle(const HttpRequest &Request,
         const std::shared_ptr<CallerConnection> &Caller) = 0;
};

struct HttpServerOptions {
  std::string Address;
  size_t MaxBodyBytes = 1 << 20;
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxConnections = 4096;
  /// A request that has not arrived in full this long after its first byte is
  /// refused as slow_sender.
  Duration RequestTimeout = Seconds(5);
  /// Connections without a request are closed after this time.
  Duration IdleTimeout = Seconds(60);
  /// TCP_USER_TIMEOUT: a caller that acknowledges nothing for so long is lost.
  Duration UnreachableTimeout = Seconds(5);
};

/// Counts of one server since its start.
struct HttpServerCounters {
  uint64_t AcceptedConnections = 0;
  uint64_t OpenConnections = 0;
  uint64_t RefusedConnections = 0;
  uint64_t Requests = 0;
  uint64_t BadRequests = 0;
  uint64_t SlowSenders = 0;
};

class HttpServer {
public:
  /// \p Handler must outlive the server.
  HttpServer(FiberLoop &Loop, HttpServerOptions Options, HttpHandler &Handler);
  ~HttpServer();

  /// Listens and starts to accept; fails with BadSetting.
  Result<Done> start();
  /// Stops accepting. Connections go on; after the answer to the request that
  /// runs, each is told "Connection: close" and closed.
  void drain();
  /// Closes the listener and all connections at once, as a crash would.
  void abort();
  /// Changes the limits; they hold from each connection's next request on.
  void setLimits(size_t MaxHeaderBytes, size_t MaxBodyBytes,
                 Duration RequestTimeout, Duration IdleTimeout);
  /// Every further answer says "Connection: close", while new connections are
  /// still accepted.
  void closeAfterResponses();
  /// Number of requests whose answer has not been written.
  size_t inFlight() const;
  const HttpServerCounters &counters() const;

  struct Impl;

private:
  std::shared_ptr<Impl> State;
};

class HttpConnection {
public:
  /// Connects to \p Address; fails with BackendLost or Timeout.
  static Result<std::unique_ptr<HttpConnection>>
  open(FiberLoop &Loop, const std::string &Address, Duration Timeout);
  ~HttpConnection();

  /// Sends \p Request and waits for its answer. After a failure (BackendLost,
  /// Timeout) the connection is closed.
  Result<HttpResponse> exchange(const HttpRequest &Request, Duration Timeout);

  /// Closes the connection; a running exchange() fails with BackendLost.
  void close();
  bool isOpen() const;

private:
  struct Impl;
  explicit HttpConnection(std::unique_ptr<Impl> State);
  std::unique_ptr<Impl> State;
};

/// A JSON body with the result code \p E, its name and message.
std::string errorBody(const Error &E);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_HTTP_H
