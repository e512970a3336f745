// HTTP/1.1 server and client on top of Boost.Beast, for the traffic with
// callers, operators, backend servers and the platform.
//
// Server: implement HttpHandler and pass it to HttpServer. Each connection is
// served by a fiber of its own; handle() may suspend it. CallerConnection
// notifies a running handler if its caller disconnects.
//
// Client: HttpConnection::open() and exchange() suspend the calling fiber:
//
//   auto Opened = HttpConnection::open(Loop, "127.0.0.1:9001", Seconds(1));
//   auto Response = valueOf(Opened)->exchange(Request, Milliseconds(200));

#ifndef MIMOSA_RUNTIME_HTTP_H
#define MIMOSA_RUNTIME_HTTP_H

#include "base/http_header.h"
#include "runtime/fiber_loop.h"
#include "runtime/ingress_budget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// Limit on the body of a response that a client reads.
constexpr size_t MaxResponseBytes = 16 << 20;

/// Percent-encodes \p Text for use in the query string of a target.
std::string percentEncode(const std::string &Text);

struct HttpRequest {
  std::string Method = "GET";
  /// Path and query string, as sent.
  std::string Target;
  std::string Body;
  /// Whether the request has the header "mimosa-forwarded".
  bool Forwarded = false;
  /// Sequence number of the connection since the start of the server.
  uint64_t ConnectionId = 0;
  /// All headers, in the order received. A client does not send them.
  std::vector<HttpHeader> Headers;
  /// When the first byte of the request was ready to be read.
  MonotonicTime ArrivedAt;
  /// Round trip to the caller as the kernel has measured it; 0 if it is not
  /// known.
  Duration RoundTrip{0};
  /// The request is the first one on its connection.
  bool NewConnection = false;

  /// The target without its query string.
  std::string_view path() const;
  /// The decoded parameters of the query string.
  std::map<std::string, std::string> parameters() const;
};

struct HttpResponse {
  /// 0 closes the connection without a response.
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  /// Additional headers. If one of them is Content-Type, ContentType is not
  /// sent. In a response that a client received, all headers.
  std::vector<HttpHeader> Headers;
  /// Whether to close the connection after this response.
  bool Close = false;
  /// Content-Length of the response to a HEAD request if Body is empty; not
  /// sent if it is not known. The server never sends a body in response to a
  /// HEAD request.
  std::optional<uint64_t> LengthForHead;
};

/// Why a caller counts as disconnected.
enum class DisconnectReason {
  /// The caller closed or reset its connection.
  Closed,
  /// The caller acknowledged no data for HttpServerOptions::UnreachableTimeout.
  Unreachable,
};

/// State of the caller's connection during one request.
class CallerConnection {
public:
  /// Sets the callback that is called once if the caller disconnects while the
  /// request runs or before its response is acknowledged.
  void onDisconnect(std::function<void(DisconnectReason)> Callback);
  bool disconnected() const { return Disconnected; }

  /// Called by the server. Calls after the first have no effect.
  void recordDisconnect(DisconnectReason Reason);

private:
  std::function<void(DisconnectReason)> Callback;
  bool Disconnected = false;
};

/// Handles requests, each in the fiber of its connection.
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
  /// Limit on the bodies of all requests together that are being received or
  /// handled; another one is refused with overloaded.
  size_t MaxBodyBytesTotal = 256 << 20;
  /// Limits the memory and the connections of this server together with those
  /// of others; must outlive the server. Without it, only the limits above
  /// apply.
  IngressAddress *Ingress = nullptr;
  /// A request that is incomplete this long after its first byte is refused
  /// with slow_sender.
  Duration RequestTimeout = Seconds(5);
  /// A connection that is idle for this time is closed.
  Duration IdleTimeout = Seconds(60);
  /// TCP_USER_TIMEOUT: a caller that acknowledges no data for this time is
  /// unreachable.
  Duration UnreachableTimeout = Seconds(5);
};

/// Counters of a server since its start. OpenConnections is the current number.
struct HttpServerCounters {
  uint64_t AcceptedConnections = 0;
  uint64_t OpenConnections = 0;
  uint64_t RefusedConnections = 0;
  uint64_t Requests = 0;
  uint64_t BadRequests = 0;
  uint64_t SlowSenders = 0;
  /// Requests refused because of HttpServerOptions::MaxBodyBytesTotal.
  uint64_t RefusedBodies = 0;
  /// Requests and connections ended for lack of room in
  /// HttpServerOptions::Ingress.
  uint64_t RefusedForMemory = 0;
  /// Requests and connections ended by an exception, such as std::bad_alloc.
  uint64_t Exceptions = 0;
};

class HttpServer {
public:
  /// \p Handler must outlive the server.
  HttpServer(FiberLoop &Loop, HttpServerOptions Options, HttpHandler &Handler);
  ~HttpServer();

  /// Starts to listen and to accept connections; fails with BadSetting.
  Result<Done> start();
  /// Stops accepting connections. Each open connection is closed after its next
  /// response, which has the header "Connection: close".
  void drain();
  /// Closes the listener and all connections immediately, as a crash does.
  void abort();
  /// Changes limits. They apply to an open connection from its next request on.
  void setLimits(size_t MaxHeaderBytes, size_t MaxBodyBytes,
                 Duration RequestTimeout, Duration IdleTimeout);
  /// From now on closes each connection after one response, with the header
  /// "Connection: close"; new connections are still accepted.
  void closeAfterResponses();
  /// From now on closes each connection as soon as it has no complete request:
  /// at once if it is idle, and after a refusal with shutting_down if it is
  /// receiving one. New connections are accepted and treated alike.
  void refuseIncompleteRequests();
  /// Number of requests whose response has not been written.
  size_t inFlight() const;
  const HttpServerCounters &counters() const;

  struct Impl;

private:
  std::shared_ptr<Impl> State;
};

/// A client connection for one request at a time.
class HttpConnection {
public:
  /// Connects to \p Address; fails with BackendLost or Timeout.
  static Result<std::unique_ptr<HttpConnection>>
  open(FiberLoop &Loop, const std::string &Address, Duration Timeout);
  ~HttpConnection();

  /// Sends \p Request and waits for its response. Fails with BackendLost or
  /// Timeout; the connection is then closed.
  Result<HttpResponse> exchange(const HttpRequest &Request, Duration Timeout);

  /// Closes the connection. An exchange() in progress fails with BackendLost.
  void close();
  bool isOpen() const;

private:
  struct Impl;
  explicit HttpConnection(std::unique_ptr<Impl> State);
  /// Reads the response to the request that was sent last.
  Result<HttpResponse> readResponse(Impl &S);
  std::unique_ptr<Impl> State;
};

/// JSON body with the code, name and message of \p E.
std::string errorBody(const Error &E);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_HTTP_H
