#include "runtime/asio_fiber.h"
#include "runtime/http.h"

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
constexpr size_t MaxHeaderBytes = 16 * 1024;
/// What is read of a refused request after its answer.
constexpr Duration DiscardTime = Milliseconds(500);
constexpr size_t MaxDiscardedBytes = 16 << 20;
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
  std::set<HttpServerConnection *> Open;

  void acceptLoop();
};

/// One caller's connection; lives in the fiber that serves it.
class HttpServerConnection {
public:
  HttpServerConnection(HttpServer::Impl &Server, tcp::socket Socket,
                       uint64_t Id)
      : Server(Server), Loop(Server.Loop), Stream(std::move(Socket)), Id(Id),
        Options(Server.Options), Counters(Server.Counters) {}

  void close() { Stream.close(); }
  void serve();

private:
  using Parser = http::request_parser<http::string_body>;

  bool awaitFirstByte();
  bool readRequest(Parser &In);
  bool refuse(error_code Failure);
  void discardRest();
  bool answer(const HttpResponse &Response, bool KeepAlive);
  bool handleRequest(Parser &In);
  void watchForLoss(const std::shared_ptr<CallerSignals> &Caller);
  void setSocketOptions();

  HttpServer::Impl &Server;
  FiberLoop &Loop;
  beast::tcp_stream Stream;
  uint64_t Id;
  beast::flat_buffer Buffer;
  const HttpServerOptions &Options;
  HttpServerCounters &Counters;
  /// The caller of the latest request, until its next request arrives.
  std::shared_ptr<CallerSignals> Latest;
  bool Watching = false;
  FiberEvent WatchEnded;
};

void HttpServerConnection::setSocketOptions() {
  error_code Ignored;
  Stream.socket().set_option(tcp::no_delay(true), Ignored);
  Stream.socket().set_option(asio::socket_base::keep_alive(true), Ignored);
  auto Timeout =
      static_cast<unsigned>(inMilliseconds(Options.UnreachableTimeout));
  setsockopt(Stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &Timeout, sizeof(Timeout));
}

bool HttpServerConnection::awaitFirstByte() {
  if (Buffer.size() > 0)
    return true;
  Stream.expires_after(Options.IdleTimeout);
  IoOutcome Out = awaitIo([&](auto Handler) {
    Stream.async_read_some(Buffer.prepare(4096), std::move(Handler));
  });
  Buffer.commit(Out.Bytes);
  if (Out.Failure && Latest) {
    if (Out.Failure == asio::error::timed_out)
      Latest->report(CallerLoss::Unreachable);
    else if (Out.Failure == asio::error::connection_reset)
      Latest->report(CallerLoss::Closed);
  }
  Latest.reset();
  return !Out.Failure;
}

bool HttpServerConnection::answer(const HttpResponse &Response,
                                  bool KeepAlive) {
  http::response<http::string_body> Out(
      static_cast<http::status>(Response.Status), 11);
  Out.set(http::field::content_type, Response.ContentType);
  Out.keep_alive(KeepAlive);
  Out.body() = Response.Body;
  Out.prepare_payload();
  Stream.expires_after(Options.UnreachableTimeout);
  IoOutcome Written = awaitIo([&](auto Handler) {
    http::async_write(Stream, Out, std::move(Handler));
  });
  if (!Written.Failure)
    return KeepAlive;
  if (Latest)
    Latest->report(Written.Failure == beast::error::timeout ||
                           Written.Failure == asio::error::timed_out
                       ? CallerLoss::Unreachable
                       : CallerLoss::Closed);
  return false;
}

bool HttpServerConnection::refuse(error_code Failure) {
  HttpResponse Out;
  if (Failure == beast::error::timeout) {
    ++Counters.SlowSenders;
    // The timed-out stream is closed already, so nothing can be answered on it.
    return false;
  }
  ++Counters.BadRequests;
  if (Failure == http::error::body_limit) {
    Out.Status = 413;
    Out.Body = errorBody({ResultCode::BodyTooLarge,
                          "the body exceeds the limit of " +
                              std::to_string(Options.MaxBodyBytes) + " bytes"});
  } else if (Failure == http::error::end_of_stream ||
             Failure == http::error::partial_message ||
             Failure == asio::error::connection_reset) {
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
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Stream.expires_after(DiscardTime);
  std::array<char, 4096> Scratch;
  for (size_t Seen = 0; Seen < MaxDiscardedBytes;) {
    IoOutcome Out = awaitIo([&](auto Handler) {
      Stream.async_read_some(asio::buffer(Scratch), std::move(Handler));
    });
    if (Out.Failure)
      return;
    Seen += Out.Bytes;
  }
}

bool HttpServerConnection::readRequest(Parser &In) {
  In.body_limit(Options.MaxBodyBytes);
  In.header_limit(MaxHeaderBytes);
  bool TimedOut = false;
  // A plain timer instead of the stream's own: the stream would close the
  // socket, and a slow sender is owed an answer.
  Subscription Deadline = Loop.after(Options.RequestTimeout, [&] {
    TimedOut = true;
    error_code Ignored;
    Stream.socket().cancel(Ignored);
  });
  Stream.expires_never();
  IoOutcome Read = awaitIo([&](auto Handler) {
    http::async_read(Stream, Buffer, In, std::move(Handler));
  });
  if (!Read.Failure)
    return true;
  if (!TimedOut) {
    refuse(Read.Failure);
    return false;
  }
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

void HttpServerConnection::watchForLoss(
    const std::shared_ptr<CallerSignals> &Caller) {
  if (Buffer.size() > 0)
    return;
  Watching = true;
  Stream.socket().async_wait(
      tcp::socket::wait_read, [this, Caller](error_code Failure) {
        Watching = false;
        WatchEnded.set();
        if (Failure)
          return;
        char Byte = 0;
        ssize_t Count = recv(Stream.socket().native_handle(), &Byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
        if (Count > 0 || (Count < 0 && errno == EAGAIN))
          return;
        Caller->report(Count < 0 && errno == ETIMEDOUT ? CallerLoss::Unreachable
                                                       : CallerLoss::Closed);
      });
}

bool HttpServerConnection::handleRequest(Parser &In) {
  auto Message = In.release();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.Body = std::move(Message.body());
  Request.Forwarded = Message.find("mimosa-forwarded") != Message.end();
  Request.ConnectionId = Id;
  ++Counters.Requests;
  ++Server.InFlight;
  Latest = std::make_shared<CallerSignals>();
  watchForLoss(Latest);
  HttpResponse Response = Server.Handler.handle(Request, Latest);
  if (Watching) {
    WatchEnded.clear();
    error_code Ignored;
    Stream.socket().cancel(Ignored);
    while (Watching)
      WatchEnded.wait();
  }
  bool KeepAlive = Response.Status != 0 &&
                   answer(Response, Message.keep_alive() && !Server.Draining);
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
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
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
    if (Counters.Open >= Options.MaxConnections) {
      ++Counters.Refused;
      continue;
    }
    ++Counters.Connections;
    ++Counters.Open;
    auto Shared = std::make_shared<tcp::socket>(std::move(Socket));
    Loop.spawn([Self, Shared, Id = Counters.Connections] {
      HttpServerConnection Connection(*Self, std::move(*Shared), Id);
      Self->Open.insert(&Connection);
      Connection.serve();
      Self->Open.erase(&Connection);
      --Self->Counters.Open;
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

size_t HttpServer::inFlight() const { return State->InFlight; }

const HttpServerCounters &HttpServer::counters() const {
  return State->Counters;
}

} // namespace mimosa
