#include "runtime/asio_fiber.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/receive_budget.h"
#include "runtime/received_body.h"

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace mimosa {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
constexpr Duration AcceptRetryDelay = Milliseconds(20);
constexpr size_t ReadBytes = 8 * 1024;
/// Limits on reading the rest of a refused request after its response.
constexpr Duration DiscardTimeout = Milliseconds(500);
constexpr size_t MaxDiscardedBytes = 16 << 20;
/// Part of each body that does not count against the limit on all bodies. Most
/// requests have no body, and thousands of connections may be open.
constexpr size_t FreeBodyBytes = 4 * 1024;
/// Seconds within which usual bodies have been received and forwarded.
constexpr const char *BodiesRetryAfter = "1";
/// In seconds. Callers of a host that shuts down can turn to other hosts.
constexpr const char *ShutdownRetryAfter = "0.02";

std::string encodeResponse(const HttpResponse &Response, bool KeepAlive) {
  auto Reason =
      http::obsolete_reason(static_cast<http::status>(Response.Status));
  std::string Out = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Out.reserve(256 + Response.Body.size());
  Out.append(Reason.data(), Reason.size()).append("\r\n");
  if (!findHeader(Response.Headers, "Content-Type"))
    Out.append("Content-Type: ").append(Response.ContentType).append("\r\n");
  for (const HttpHeader &H : Response.Headers)
    Out.append(H.Name).append(": ").append(H.Value).append("\r\n");
  if (!KeepAlive)
    Out += "Connection: close\r\n";
  // A response without content has no Content-Length (RFC 9110, 8.6).
  if (Response.Status != 204 && Response.Status != 304)
    Out += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  Out += "\r\n";
  if (!Response.OmitBody)
    Out += Response.Body;
  return Out;
}

} // namespace

class HttpServerConnection;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(FiberLoop &Loop, HttpServerOptions Options, HttpHandler &Handler)
      : Loop(Loop), Options(std::move(Options)), Handler(Handler),
        Acceptor(Loop.impl().Io),
        BodyBudget(this->Options.MaxBodyBytesTotal, FreeBodyBytes) {}

  FiberLoop &Loop;
  HttpServerOptions Options;
  HttpHandler &Handler;
  tcp::acceptor Acceptor;
  ReceiveBudget BodyBudget;
  HttpServerCounters Counters;
  size_t InFlight = 0;
  bool Draining = false;
  bool CloseAfterResponses = false;
  bool RefuseIncomplete = false;
  std::set<HttpServerConnection *> Connections;

  void acceptLoop();
};

/// A caller's connection, served by a fiber of its own. While a request is
/// handled, the connection also waits for its socket to become readable, so
/// that a disconnect of the caller is detected. At most one such wait is
/// pending.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
public:
  HttpServerConnection(HttpServer::Impl &Server, tcp::socket Socket,
                       uint64_t Id)
      : Server(Server), Loop(Server.Loop), Socket(std::move(Socket)), Id(Id),
        Options(Server.Options), Counters(Server.Counters),
        BodyShare(Server.BodyBudget) {}

  void close();
  void serve();
  /// Lets a wait for bytes look at the state of the server again.
  void wakeUp() { ReadEvent.set(); }

private:
  using RequestParser = http::request_parser<ReceivedBody>;
  /// ShuttingDown: nothing more is read, see refuseIncompleteRequests().
  enum class ReadResult { Bytes, Closed, TimedOut, ShuttingDown };

  bool awaitFirstByte();
  bool readRequest(RequestParser &Parser);
  bool parse(RequestParser &Parser, error_code &Failure);
  bool refuse(error_code Failure);
  bool refuseSlowSender();
  bool refuseBody(RequestParser &Parser);
  bool refuseIncomplete();
  void discardInput();
  /// Returns whether the connection can be used for another request.
  bool respond(const HttpResponse &Response, bool KeepAlive);
  bool writeAll(const std::string &Bytes);
  bool handleRequest(RequestParser &Parser);
  /// See HttpRequest::RoundTrip.
  Duration roundTrip();
  void startReadWait();
  /// Waits until \p Deadline for the next bytes and reads them.
  ReadResult readMore(MonotonicTime Deadline);
  void checkDisconnect();
  void setSocketOptions();

  HttpServer::Impl &Server;
  FiberLoop &Loop;
  tcp::socket Socket;
  uint64_t Id;
  beast::flat_buffer Buffer;
  const HttpServerOptions &Options;
  HttpServerCounters &Counters;
  /// For the body of the request that is being received or handled.
  ReceiveBudget::Share BodyShare;
  /// When the latest bytes were ready to be read.
  MonotonicTime ReadableAt;
  /// When the first byte of the request was ready to be read, which may be long
  /// before it is read: another request of the connection may be running.
  MonotonicTime ArrivedAt;
  /// The caller of the latest request, until the next request arrives.
  std::shared_ptr<CallerConnection> LatestCaller;
  bool HandlerRunning = false;
  bool ReadWaitPending = false;
  bool Readable = false;
  bool Closed = false;
  bool ContinueSent = false;
  bool HasServedRequest = false;
  FiberEvent ReadEvent;
};

void HttpServerConnection::close() {
  Closed = true;
  error_code Ignored;
  Socket.close(Ignored);
  ReadEvent.set();
}

void HttpServerConnection::setSocketOptions() {
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  setConnectionOptions(Socket);
  auto Timeout =
      static_cast<unsigned>(inMilliseconds(Options.UnreachableTimeout));
  setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout,
             sizeof(Timeout));
}

void HttpServerConnection::startReadWait() {
  if (ReadWaitPending || Readable || Closed)
    return;
  ReadWaitPending = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](error_code Failure) {
                      Self->ReadWaitPending = false;
                      if (Failure || Self->Closed)
                        return;
                      Self->Readable = true;
                      Self->ReadableAt = Self->Loop.now();
                      if (Self->HandlerRunning)
                        Self->checkDisconnect();
                      Self->ReadEvent.set();
                    });
}

void HttpServerConnection::checkDisconnect() {
  char Byte = 0;
  ssize_t Count =
      recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0 || (Count < 0 && errno == EAGAIN))
    return;
  LatestCaller->recordDisconnect(Count < 0 && errno == ETIMEDOUT
                                     ? DisconnectReason::Unreachable
                                     : DisconnectReason::Closed);
}

HttpServerConnection::ReadResult
HttpServerConnection::readMore(MonotonicTime Deadline) {
  while (!Closed) {
    startReadWait();
    error_code Ignored;
    if (!Readable && Server.RefuseIncomplete && Socket.available(Ignored) == 0)
      return ReadResult::ShuttingDown;
    if (!Readable && !ReadEvent.waitUntil(Deadline))
      return ReadResult::TimedOut;
    ReadEvent.clear();
    if (!Readable)
      continue;
    Readable = false;
    error_code Failure;
    size_t Bytes = Socket.read_some(Buffer.prepare(ReadBytes), Failure);
    Buffer.commit(Bytes);
    if (!Failure)
      return ReadResult::Bytes;
    if (Failure == asio::error::would_block)
      continue;
    if (LatestCaller && Failure == asio::error::timed_out)
      LatestCaller->recordDisconnect(DisconnectReason::Unreachable);
    else if (LatestCaller && Failure == asio::error::connection_reset)
      LatestCaller->recordDisconnect(DisconnectReason::Closed);
    return ReadResult::Closed;
  }
  return ReadResult::Closed;
}

bool HttpServerConnection::awaitFirstByte() {
  bool Received =
      Buffer.size() > 0 ||
      readMore(Loop.now() + Options.IdleTimeout) == ReadResult::Bytes;
  LatestCaller.reset();
  ArrivedAt = ReadableAt;
  return Received;
}

bool HttpServerConnection::writeAll(const std::string &Bytes) {
  MonotonicTime Deadline = Loop.now() + Options.UnreachableTimeout;
  size_t Written = 0;
  while (!Closed) {
    error_code Failure;
    Written += Socket.write_some(asio::buffer(Bytes) + Written, Failure);
    if (Written == Bytes.size())
      return true;
    if (Failure && Failure != asio::error::would_block) {
      logRequest("http",
                 "event=answer_not_written connection=" + std::to_string(Id) +
                     " reason=\"" + Failure.message() + "\"");
      if (LatestCaller)
        LatestCaller->recordDisconnect(Failure == asio::error::timed_out
                                           ? DisconnectReason::Unreachable
                                           : DisconnectReason::Closed);
      return false;
    }
    auto Writable = std::make_shared<FiberEvent>();
    Socket.async_wait(tcp::socket::wait_write,
                      [Writable](error_code) { Writable->set(); });
    if (!Writable->waitUntil(Deadline)) {
      logRequest("http",
                 "event=answer_not_read connection=" + std::to_string(Id));
      if (LatestCaller)
        LatestCaller->recordDisconnect(DisconnectReason::Unreachable);
      return false;
    }
  }
  return false;
}

bool HttpServerConnection::respond(const HttpResponse &Response,
                                   bool KeepAlive) {
  return writeAll(encodeResponse(Response, KeepAlive)) && KeepAlive;
}

bool HttpServerConnection::refuseSlowSender() {
  ++Counters.SlowSenders;
  respond(
      {408, "application/json",
       errorBody({ResultCode::SlowSender,
                  "the request did not arrive completely within " +
                      std::to_string(inMilliseconds(Options.RequestTimeout)) +
                      " ms"})},
      false);
  return false;
}

bool HttpServerConnection::refuseBody(RequestParser &Parser) {
  ++Counters.RefusedBodies;
  logRequest("http",
             "event=body_refused connection=" + std::to_string(Id) +
                 " bytes=" + std::to_string(Parser.get().body().size()) +
                 " all_bytes=" + std::to_string(Server.BodyBudget.usedBytes()));
  Parser.get().body() = std::string();
  BodyShare.reset();
  respond(
      {503,
       "application/json",
       errorBody({ResultCode::Overloaded,
                  "the bodies of all requests together exceed " +
                      std::to_string(Options.MaxBodyBytesTotal) + " bytes"}),
       {{"Retry-After", BodiesRetryAfter}}},
      false);
  discardInput();
  return false;
}

bool HttpServerConnection::refuseIncomplete() {
  respond({503,
           "application/json",
           errorBody({ResultCode::ShuttingDown,
                      "the host stops before the request is complete"}),
           {{"Retry-After", ShutdownRetryAfter}}},
          false);
  return false;
}

bool HttpServerConnection::refuse(error_code Failure) {
  HttpResponse Response;
  ++Counters.BadRequests;
  if (Failure == http::error::body_limit) {
    Response.Status = 413;
    Response.Body =
        errorBody({ResultCode::BodyTooLarge,
                   "the request body exceeds the limit of " +
                       std::to_string(Options.MaxBodyBytes) + " bytes"});
  } else if (Failure == http::error::header_limit) {
    Response.Status = 431;
    Response.Body =
        errorBody({ResultCode::BodyTooLarge,
                   "the request headers exceed the limit of " +
                       std::to_string(Options.MaxHeaderBytes) + " bytes"});
  } else if (Failure == http::error::end_of_stream ||
             Failure == http::error::partial_message) {
    Response.Status = 400;
    Response.Body =
        errorBody({ResultCode::SlowSender,
                   "the connection ended before the request was complete"});
  } else {
    Response.Status = 400;
    Response.Body = errorBody(
        {ResultCode::BadJson, "malformed HTTP request: " + Failure.message()});
  }
  respond(Response, false);
  discardInput();
  return false;
}

void HttpServerConnection::discardInput() {
  // Closing a socket with unread bytes resets the connection, and the caller
  // may not receive the response (RFC 9112, 9.6).
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  MonotonicTime Deadline = Loop.now() + DiscardTimeout;
  for (size_t Discarded = 0; Discarded < MaxDiscardedBytes;) {
    Buffer.consume(Buffer.size());
    if (readMore(Deadline) != ReadResult::Bytes)
      return;
    Discarded += Buffer.size();
  }
}

bool HttpServerConnection::parse(RequestParser &Parser, error_code &Failure) {
  size_t Consumed = putBytes(Parser, Buffer.data(), Failure);
  Buffer.consume(Consumed);
  if (Failure == http::error::need_more)
    Failure = {};
  return !Failure && Parser.is_done();
}

bool HttpServerConnection::readRequest(RequestParser &Parser) {
  Parser.body_limit(Options.MaxBodyBytes);
  Parser.header_limit(static_cast<uint32_t>(Options.MaxHeaderBytes));
  MonotonicTime Deadline = Loop.now() + Options.RequestTimeout;
  ContinueSent = false;
  while (true) {
    error_code Failure;
    if (Buffer.size() > 0 && parse(Parser, Failure))
      return true;
    // Chunk headers and trailers are parsed as a whole, too.
    if (!Failure && Buffer.size() > Options.MaxHeaderBytes)
      Failure = http::error::header_limit;
    if (Failure)
      return refuse(Failure);
    if (!BodyShare.resize(Parser.get().body().size()))
      return refuseBody(Parser);
    if (Parser.is_header_done() && !ContinueSent &&
        Parser.get().find(http::field::expect) != Parser.get().end()) {
      ContinueSent = true;
      if (!writeAll("HTTP/1.1 100 Continue\r\n\r\n"))
        return false;
    }
    ReadResult Outcome = readMore(Deadline);
    if (Outcome == ReadResult::TimedOut)
      return refuseSlowSender();
    if (Outcome == ReadResult::ShuttingDown)
      return refuseIncomplete();
    if (Outcome == ReadResult::Closed)
      return refuse(http::error::partial_message);
  }
}

Duration HttpServerConnection::roundTrip() {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  bool Known = getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                          &Size) == 0;
  return Duration(Known ? Info.tcpi_rtt : 0);
}

bool HttpServerConnection::handleRequest(RequestParser &Parser) {
  auto Message = Parser.release();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.ArrivedAt = ArrivedAt;
  Request.Headers.reserve(12);
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  Request.Forwarded = Message.find("mimosa-forwarded") != Message.end();
  Request.ConnectionId = Id;
  Request.RoundTrip = roundTrip();
  Request.NewConnection = !std::exchange(HasServedRequest, true);
  ++Counters.Requests;
  ++Server.InFlight;
  LatestCaller = std::make_shared<CallerConnection>();
  HandlerRunning = true;
  startReadWait();
  HttpResponse Response = Server.Handler.handle(Request, LatestCaller);
  HandlerRunning = false;
  // A pipelined request that has been read is served, too.
  bool ServerCloses =
      Server.Draining || (Server.CloseAfterResponses && Buffer.size() == 0);
  bool KeepAlive = Response.Status != 0 &&
                   respond(Response, Message.keep_alive() && !Response.Close &&
                                         !ServerCloses);
  --Server.InFlight;
  // Bytes that arrived meanwhile would reset the connection.
  error_code Ignored;
  if (Response.Status != 0 && !KeepAlive && !Closed &&
      (Buffer.size() > 0 || Socket.available(Ignored) > 0))
    discardInput();
  return KeepAlive;
}

void HttpServerConnection::serve() {
  setSocketOptions();
  while (awaitFirstByte()) {
    RequestParser Parser;
    if (!readRequest(Parser) || !handleRequest(Parser))
      break;
    BodyShare.reset();
  }
  error_code Ignored;
  if (!Closed)
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  close();
}

void HttpServer::Impl::acceptLoop() {
  auto Self = shared_from_this();
  while (!Draining) {
    tcp::socket Socket(Loop.impl().Io);
    IoOutcome Accepted = awaitIo([&](auto Handler) {
      Acceptor.async_accept(Socket, std::move(Handler));
    });
    if (Draining)
      return;
    if (Accepted.Failure) {
      // The process may have run out of file descriptors, for example;
      // accepting is retried later.
      FiberLoop::sleepFor(AcceptRetryDelay);
      continue;
    }
    if (Counters.OpenConnections >= Options.MaxConnections) {
      ++Counters.RefusedConnections;
      continue;
    }
    ++Counters.AcceptedConnections;
    ++Counters.OpenConnections;
    auto Shared = std::make_shared<tcp::socket>(std::move(Socket));
    Loop.spawn([Self, Shared, Id = Counters.AcceptedConnections] {
      auto Connection =
          std::make_shared<HttpServerConnection>(*Self, std::move(*Shared), Id);
      Self->Connections.insert(Connection.get());
      Connection->serve();
      Self->Connections.erase(Connection.get());
      --Self->Counters.OpenConnections;
    });
  }
}

HttpServer::HttpServer(FiberLoop &Loop, HttpServerOptions Options,
                       HttpHandler &Handler)
    : State(std::make_shared<Impl>(Loop, std::move(Options), Handler)) {}

HttpServer::~HttpServer() = default;

Result<Done> HttpServer::start() {
  Result<Done> Listening = listenOn(State->Acceptor, State->Options.Address);
  if (!ok(Listening))
    return Listening;
  State->Loop.spawn([Shared = State] { Shared->acceptLoop(); });
  return Done{};
}

void HttpServer::drain() {
  State->Draining = true;
  error_code Ignored;
  State->Acceptor.close(Ignored);
}

void HttpServer::abort() {
  drain();
  for (HttpServerConnection *Connection : State->Connections)
    Connection->close();
}

void HttpServer::setLimits(size_t MaxHeaderBytes, size_t MaxBodyBytes,
                           Duration RequestTimeout, Duration IdleTimeout) {
  State->Options.MaxHeaderBytes = MaxHeaderBytes;
  State->Options.MaxBodyBytes = MaxBodyBytes;
  State->Options.RequestTimeout = RequestTimeout;
  State->Options.IdleTimeout = IdleTimeout;
}

void HttpServer::closeAfterResponses() { State->CloseAfterResponses = true; }

void HttpServer::refuseIncompleteRequests() {
  State->RefuseIncomplete = true;
  for (HttpServerConnection *Connection : State->Connections)
    Connection->wakeUp();
}

size_t HttpServer::inFlight() const { return State->InFlight; }

const HttpServerCounters &HttpServer::counters() const {
  return State->Counters;
}

} // namespace mimosa
