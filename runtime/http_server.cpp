#include "runtime/asio_fiber.h"
#include "runtime/http.h"
#include "runtime/log.h"

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>

namespace mimosa {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
constexpr Duration AcceptRetryDelay = Milliseconds(20);
constexpr size_t ReadBytes = 8 * 1024;
/// What is read of a refused request after its answer.
constexpr Duration DiscardTime = Milliseconds(500);
constexpr size_t MaxDiscardedBytes = 16 << 20;

/// The answer as bytes.
std::string render(const HttpResponse &Response, bool KeepAlive) {
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
  // An answer without content must not carry a length (RFC 9110, 8.6).
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
        Acceptor(Loop.impl().Io) {}

  FiberLoop &Loop;
  HttpServerOptions Options;
  HttpHandler &Handler;
  tcp::acceptor Acceptor;
  HttpServerCounters Counters;
  size_t InFlight = 0;
  bool Draining = false;
  bool CloseAfterResponses = false;
  std::set<HttpServerConnection *> Open;

  void acceptLoop();
};

/// One caller's connection; served by one fiber. One wait for readability is
/// armed at most, also while a request is handled, so that the caller's loss
/// is seen.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
public:
  HttpServerConnection(HttpServer::Impl &Server, tcp::socket Socket,
                       uint64_t Id)
      : Server(Server), Loop(Server.Loop), Socket(std::move(Socket)), Id(Id),
        Options(Server.Options), Counters(Server.Counters) {}

  void close();
  void serve();

private:
  using Parser = http::request_parser<http::string_body>;
  enum class ReadEnd { Bytes, Closed, TimedOut };

  bool awaitFirstByte();
  bool readRequest(Parser &In);
  bool parse(Parser &In, error_code &Failure);
  bool refuse(error_code Failure);
  bool refuseSlow();
  void discardRest();
  bool answer(const HttpResponse &Response, bool KeepAlive);
  bool writeAll(const std::string &Bytes);
  bool handleRequest(Parser &In);
  void armRead();
  ReadEnd readMore(MonotonicTime Deadline);
  void peekForLoss();
  void setSocketOptions();

  HttpServer::Impl &Server;
  FiberLoop &Loop;
  tcp::socket Socket;
  uint64_t Id;
  beast::flat_buffer Buffer;
  const HttpServerOptions &Options;
  HttpServerCounters &Counters;
  MonotonicTime ArrivedAt;
  /// The caller of the latest request, until its next request arrives.
  std::shared_ptr<CallerConnection> Latest;
  bool Handling = false;
  bool Armed = false;
  bool Readable = false;
  bool Closed = false;
  bool Continued = false;
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

void HttpServerConnection::armRead() {
  if (Armed || Readable || Closed)
    return;
  Armed = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](error_code Failure) {
                      Self->Armed = false;
                      if (Failure || Self->Closed)
                        return;
                      Self->Readable = true;
                      if (Self->Handling)
                        Self->peekForLoss();
                      Self->ReadEvent.set();
                    });
}

void HttpServerConnection::peekForLoss() {
  char Byte = 0;
  ssize_t Count =
      recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0 || (Count < 0 && errno == EAGAIN))
    return;
  Latest->recordDisconnect(Count < 0 && errno == ETIMEDOUT
                               ? DisconnectReason::Unreachable
                               : DisconnectReason::Closed);
}

HttpServerConnection::ReadEnd
HttpServerConnection::readMore(MonotonicTime Deadline) {
  while (!Closed) {
    armRead();
    if (!Readable && !ReadEvent.waitUntil(Deadline))
      return ReadEnd::TimedOut;
    ReadEvent.clear();
    if (!Readable)
      continue;
    Readable = false;
    error_code Failure;
    size_t Bytes = Socket.read_some(Buffer.prepare(ReadBytes), Failure);
    Buffer.commit(Bytes);
    if (!Failure)
      return ReadEnd::Bytes;
    if (Failure == asio::error::would_block)
      continue;
    if (Latest && Failure == asio::error::timed_out)
      Latest->recordDisconnect(DisconnectReason::Unreachable);
    else if (Latest && Failure == asio::error::connection_reset)
      Latest->recordDisconnect(DisconnectReason::Closed);
    return ReadEnd::Closed;
  }
  return ReadEnd::Closed;
}

bool HttpServerConnection::awaitFirstByte() {
  bool Came = Buffer.size() > 0 ||
              readMore(Loop.now() + Options.IdleTimeout) == ReadEnd::Bytes;
  Latest.reset();
  ArrivedAt = Loop.now();
  return Came;
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
      if (Latest)
        Latest->recordDisconnect(Failure == asio::error::timed_out
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
      if (Latest)
        Latest->recordDisconnect(DisconnectReason::Unreachable);
      return false;
    }
  }
  return false;
}

bool HttpServerConnection::answer(const HttpResponse &Response,
                                  bool KeepAlive) {
  return writeAll(render(Response, KeepAlive)) && KeepAlive;
}

bool HttpServerConnection::refuseSlow() {
  ++Counters.SlowSenders;
  answer(
      {408, "application/json",
       errorBody({ResultCode::SlowSender,
                  "the request did not arrive in full within " +
                      std::to_string(inMilliseconds(Options.RequestTimeout)) +
                      " ms"})},
      false);
  return false;
}

bool HttpServerConnection::refuse(error_code Failure) {
  HttpResponse Out;
  ++Counters.BadRequests;
  if (Failure == http::error::body_limit) {
    Out.Status = 413;
    Out.Body = errorBody({ResultCode::BodyTooLarge,
                          "the body exceeds the limit of " +
                              std::to_string(Options.MaxBodyBytes) + " bytes"});
  } else if (Failure == http::error::header_limit) {
    Out.Status = 431;
    Out.Body =
        errorBody({ResultCode::BodyTooLarge,
                   "the headers exceed the limit of " +
                       std::to_string(Options.MaxHeaderBytes) + " bytes"});
  } else if (Failure == http::error::end_of_stream ||
             Failure == http::error::partial_message) {
    Out.Status = 400;
    Out.Body = errorBody({ResultCode::SlowSender,
                          "the request ended before its declared length"});
  } else {
    Out.Status = 400;
    Out.Body = errorBody(
        {ResultCode::BadJson, "malformed HTTP request: " + Failure.message()});
  }
  answer(Out, false);
  discardRest();
  return false;
}

void HttpServerConnection::discardRest() {
  // Closing with unread bytes resets the connection, and the caller would lose
  // the answer (RFC 9112, 9.6).
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  MonotonicTime Deadline = Loop.now() + DiscardTime;
  for (size_t Seen = 0; Seen < MaxDiscardedBytes;) {
    Buffer.consume(Buffer.size());
    if (readMore(Deadline) != ReadEnd::Bytes)
      return;
    Seen += Buffer.size();
  }
}

bool HttpServerConnection::parse(Parser &In, error_code &Failure) {
  size_t Used = In.put(Buffer.data(), Failure);
  Buffer.consume(Used);
  if (Failure == http::error::need_more)
    Failure = {};
  return !Failure && In.is_done();
}

bool HttpServerConnection::readRequest(Parser &In) {
  In.eager(true);
  In.body_limit(Options.MaxBodyBytes);
  In.header_limit(static_cast<uint32_t>(Options.MaxHeaderBytes));
  MonotonicTime Deadline = ArrivedAt + Options.RequestTimeout;
  Continued = false;
  while (true) {
    error_code Failure;
    if (Buffer.size() > 0 && parse(In, Failure))
      return true;
    if (Failure)
      return refuse(Failure);
    if (In.is_header_done() && !Continued &&
        In.get().find(http::field::expect) != In.get().end()) {
      Continued = true;
      if (!writeAll("HTTP/1.1 100 Continue\r\n\r\n"))
        return false;
    }
    ReadEnd End = readMore(Deadline);
    if (End == ReadEnd::TimedOut)
      return refuseSlow();
    if (End == ReadEnd::Closed)
      return refuse(http::error::partial_message);
  }
}

bool HttpServerConnection::handleRequest(Parser &In) {
  auto Message = In.release();
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
  ++Counters.Requests;
  ++Server.InFlight;
  Latest = std::make_shared<CallerConnection>();
  Handling = true;
  armRead();
  HttpResponse Response = Server.Handler.handle(Request, Latest);
  Handling = false;
  bool KeepAlive =
      Response.Status != 0 &&
      answer(Response, Message.keep_alive() && !Response.Close &&
                           !Server.Draining && !Server.CloseAfterResponses);
  --Server.InFlight;
  return KeepAlive;
}

void HttpServerConnection::serve() {
  setSocketOptions();
  while (awaitFirstByte()) {
    Parser In;
    if (!readRequest(In) || !handleRequest(In))
      break;
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
    IoOutcome Out = awaitIo([&](auto Handler) {
      Acceptor.async_accept(Socket, std::move(Handler));
    });
    if (Draining)
      return;
    if (Out.Failure) {
      // Out of file descriptors, for example: accepting goes on later.
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
      Self->Open.insert(Connection.get());
      Connection->serve();
      Self->Open.erase(Connection.get());
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
  for (HttpServerConnection *Connection : State->Open)
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

size_t HttpServer::inFlight() const { return State->InFlight; }

const HttpServerCounters &HttpServer::counters() const {
  return State->Counters;
}

} // namespace mimosa
