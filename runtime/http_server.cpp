#include "runtime/asio_fiber.h"
#include "runtime/http.h"
#include "runtime/http_response_encoder.h"
#include "runtime/log.h"
#include "runtime/receive_budget.h"
#include "runtime/received_body.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <set>
#include <string_view>
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
/// In seconds. Most requests that hold much end within this time.
constexpr const char *MemoryRetryAfter = "1";
/// Memory of one header field: 48 bytes and the allocation of its text in the
/// parser; an HttpHeader, which holds short texts itself, in a request.
constexpr size_t ParsedFieldBytes = 96;
constexpr size_t CopiedFieldBytes = 80;
/// A request in progress holds its body twice: as received, and as part of the
/// request that all attempts share.
constexpr size_t BodyCopies = 2;
/// Budget of a server without HttpServerOptions::Ingress: no limit.
constexpr IngressAmounts UnlimitedAmounts{size_t(1) << 40, size_t(1) << 40};
/// In seconds. Callers of a host that shuts down can turn to other hosts.
constexpr const char *ShutdownRetryAfter = "0.02";

bool isFinalStatus(int Status) { return Status >= 200 && Status <= 599; }

HttpResponse memoryRefusal() {
  return {503,
          "application/json",
          errorBody({ResultCode::Overloaded,
                     "the requests of all connections hold too much memory"}),
          {{"Retry-After", MemoryRetryAfter}}};
}

} // namespace

class HttpServerConnection;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(FiberLoop &Loop, HttpServerOptions Options, HttpHandler &Handler)
      : Loop(Loop), Options(std::move(Options)), Handler(Handler),
        Acceptor(Loop.impl().Io),
        BodyBudget(this->Options.MaxBodyBytesTotal, FreeBodyBytes),
        OwnBudget(UnlimitedAmounts), OwnAddress(OwnBudget, 0),
        Ingress(this->Options.Ingress ? *this->Options.Ingress : OwnAddress) {}

  FiberLoop &Loop;
  HttpServerOptions Options;
  HttpHandler &Handler;
  tcp::acceptor Acceptor;
  ReceiveBudget BodyBudget;
  IngressBudget OwnBudget;
  IngressAddress OwnAddress;
  IngressAddress &Ingress;
  HttpServerCounters Counters;
  size_t InFlight = 0;
  bool Draining = false;
  bool CloseAfterResponses = false;
  bool RefuseIncomplete = false;
  std::set<HttpServerConnection *> Connections;

  void acceptLoop();
  void startConnection(tcp::socket Socket);
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

  /// Takes a part of the memory for the connection; false if there is none.
  bool openAccount();
  void close();
  /// Serves requests until the connection ends.
  void run();
  /// Lets a wait for bytes look at the state of the server again.
  void wakeUp() { ReadEvent.set(); }

private:
  using RequestParser = http::request_parser<ReceivedBody>;
  /// ShuttingDown: nothing more is read, see refuseIncompleteRequests().
  enum class ReadResult { Bytes, Closed, TimedOut, ShuttingDown };

  void serve();
  bool awaitFirstByte();
  bool readRequest(RequestParser &Parser);
  bool parse(RequestParser &Parser, error_code &Failure);
  /// Whether a HEAD request is being received, as far as it is known.
  bool receivesHead(const RequestParser &Parser) const;
  bool refuse(error_code Failure);
  bool refuseSlowSender();
  bool refuseBody(RequestParser &Parser);
  bool refuseIncomplete();
  bool refuseForMemory(RequestParser &Parser);
  void discardInput();
  /// Called by the budget, within a call by another connection.
  void evict();
  /// Accounts for the buffer and \p Bytes more.
  bool hold(size_t Bytes) {
    return Account->resize(Buffer.capacity() + Bytes, Loop.now());
  }
  /// Number of lines of a head within the first \p Bytes of the buffer.
  size_t countHeadLines(size_t Bytes) const;
  /// Accounts for what the parser holds, and for the fields that it makes of
  /// the bytes in the buffer.
  bool holdForParser(RequestParser &Parser);
  bool holdForHandler(const HttpRequest &Request);
  HttpResponse callHandler(const HttpRequest &Request);
  /// Returns whether the connection can be used for another request.
  bool respond(HttpResponse Response, bool KeepAlive);
  /// Releases \p Bytes before it waits for anything else.
  bool writeAll(std::string Bytes);
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
  /// Empty before openAccount().
  std::unique_ptr<IngressAccount> Account;
  /// Lines of the head that the parser has consumed, and that are in the
  /// buffer.
  size_t ParsedLines = 0;
  size_t BufferedLines = 0;
  /// The parser of the request that is being received, if any.
  RequestParser *CurrentParser = nullptr;
  /// Whether a request has begun to arrive and is not handled yet.
  bool Receiving = false;
  /// Whether the request that is being received or answered is a HEAD request.
  bool AnswersHead = false;
  /// When the latest bytes were ready to be read.
  MonotonicTime ReadableAt;
  /// When the first byte of the request was ready to be read, which may be long
  /// before it is read: another request of the connection may be running.
  MonotonicTime ArrivedAt;
  /// The caller of the latest request, until the next request arrives.
  std::shared_ptr<CallerConnection> LatestCaller;
  bool HandlerRunning = false;
  /// Whether the request counts in HttpServer::inFlight().
  bool InFlight = false;
  bool ReadWaitPending = false;
  bool Readable = false;
  bool Closed = false;
  bool ContinueSent = false;
  bool HasServedRequest = false;
  FiberEvent ReadEvent;
};

bool HttpServerConnection::openAccount() {
  Account = IngressAccount::open(
      Server.Ingress, [this] { evict(); }, Loop.now());
  return Account != nullptr;
}

void HttpServerConnection::evict() {
  ++Counters.RefusedForMemory;
  logRequest("http", "event=evicted connection=" + std::to_string(Id) +
                         " receiving=" + (Receiving ? "1" : "0") +
                         " buffered=" + std::to_string(Buffer.size()));
  // The memory is needed at once, so the response is sent only as far as the
  // socket takes it, and may be lost if the caller is still sending.
  error_code Ignored;
  if (Receiving)
    Socket.write_some(
        asio::buffer(encodeResponse(memoryRefusal(), AnswersHead, false)),
        Ignored);
  // Frees the memory now: many connections may be evicted before the fiber of
  // this one runs, which waits for bytes or for room to write.
  if (CurrentParser)
    CurrentParser->release();
  Buffer.clear();
  Buffer.shrink_to_fit();
  close();
}

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
    if (!Readable || Closed)
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
  Receiving = false;
  if (Buffer.size() == 0) {
    // Thousands of connections may be idle.
    Buffer.clear();
    Buffer.shrink_to_fit();
  }
  hold(0);
  Account->restart(Loop.now());
  Account->setEvictable(true);
  bool Received =
      Buffer.size() > 0 ||
      readMore(Loop.now() + Options.IdleTimeout) == ReadResult::Bytes;
  LatestCaller.reset();
  AnswersHead = false;
  ArrivedAt = ReadableAt;
  Receiving = Received;
  Account->restart(Loop.now());
  return Received;
}

bool HttpServerConnection::writeAll(std::string Bytes) {
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
    // A caller that does not read may be closed if memory is needed.
    Account->setEvictable(true);
    if (!hold(Bytes.capacity()))
      return false;
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

bool HttpServerConnection::respond(HttpResponse Response, bool KeepAlive) {
  Receiving = false;
  // Nothing but 0 and final responses is defined; RFC 9110, 15.
  if (!isFinalStatus(Response.Status)) {
    logError("http", "event=undefined_status connection=" + std::to_string(Id) +
                         " status=" + std::to_string(Response.Status));
    return respond({502, "application/json",
                    errorBody({ResultCode::BadBackendReply,
                               "the answer has an undefined status"})},
                   KeepAlive);
  }
  std::string Bytes = encodeResponse(Response, AnswersHead, KeepAlive);
  // The answer exists only once while it is sent.
  Response = HttpResponse();
  return writeAll(std::move(Bytes)) && KeepAlive;
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

bool HttpServerConnection::refuseForMemory(RequestParser &Parser) {
  // The response of an evicted connection has been sent.
  if (Closed)
    return false;
  ++Counters.RefusedForMemory;
  logRequest("http",
             "event=refused_for_memory connection=" + std::to_string(Id) +
                 " fields=" + std::to_string(ParsedLines + BufferedLines) +
                 " bytes=" + std::to_string(Parser.get().body().size()) +
                 " all_bytes=" + std::to_string(Server.Ingress.used().Bytes));
  Parser.release();
  BodyShare.reset();
  hold(0);
  Receiving = false;
  respond(memoryRefusal(), false);
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

size_t HttpServerConnection::countHeadLines(size_t Bytes) const {
  std::string_view Text(static_cast<const char *>(Buffer.data().data()), Bytes);
  constexpr std::string_view End = "\r\n\r\n";
  size_t Found = Text.find(End);
  if (Found != std::string_view::npos)
    Text = Text.substr(0, Found + End.size());
  return static_cast<size_t>(std::count(Text.begin(), Text.end(), '\n'));
}

bool HttpServerConnection::holdForParser(RequestParser &Parser) {
  BufferedLines = Parser.is_header_done() ? 0 : countHeadLines(Buffer.size());
  return hold((ParsedLines + BufferedLines) * ParsedFieldBytes +
              Parser.get().body().capacity());
}

bool HttpServerConnection::holdForHandler(const HttpRequest &Request) {
  size_t Text = Request.Target.capacity();
  for (const HttpHeader &H : Request.Headers)
    Text += H.Name.size() + H.Value.size();
  return hold(Request.Headers.capacity() * CopiedFieldBytes + 2 * Text +
              BodyCopies * Request.Body.capacity());
}

bool HttpServerConnection::receivesHead(const RequestParser &Parser) const {
  if (!Parser.get().method_string().empty())
    return Parser.get().method() == http::verb::head;
  // The parser may refuse a head before it parses the request line.
  constexpr std::string_view Begin = "HEAD ";
  std::string_view Text(static_cast<const char *>(Buffer.data().data()),
                        Buffer.size());
  return Text.substr(0, Begin.size()) == Begin;
}

bool HttpServerConnection::parse(RequestParser &Parser, error_code &Failure) {
  bool InHead = !Parser.is_header_done();
  AnswersHead = receivesHead(Parser);
  size_t Consumed = putBytes(Parser, Buffer.data(), Failure);
  if (InHead)
    ParsedLines += countHeadLines(Consumed);
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
  ParsedLines = 0;
  while (true) {
    error_code Failure;
    if (Buffer.size() > 0) {
      if (!holdForParser(Parser))
        return refuseForMemory(Parser);
      if (parse(Parser, Failure))
        return true;
    }
    // Chunk headers and trailers are parsed as a whole, too.
    if (!Failure && Buffer.size() > Options.MaxHeaderBytes)
      Failure = http::error::header_limit;
    if (Failure)
      return refuse(Failure);
    if (!BodyShare.resize(Parser.get().body().size()))
      return refuseBody(Parser);
    if (!holdForParser(Parser))
      return refuseForMemory(Parser);
    // HTTP/1.0 has no interim responses.
    if (Parser.is_header_done() && !ContinueSent &&
        Parser.get().version() >= 11 &&
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

HttpResponse HttpServerConnection::callHandler(const HttpRequest &Request) {
  try {
    return Server.Handler.handle(Request, LatestCaller);
  } catch (const std::exception &E) {
    // The request may have run.
    ++Counters.Exceptions;
    logError("http", "event=handler_failed connection=" + std::to_string(Id) +
                         " reason=\"" + E.what() + "\"");
    return {500, "application/json",
            errorBody({ResultCode::Internal, "the request failed"})};
  }
}

bool HttpServerConnection::handleRequest(RequestParser &Parser) {
  auto Message = Parser.release();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.ArrivedAt = ArrivedAt;
  Request.Headers.reserve(
      static_cast<size_t>(std::distance(Message.begin(), Message.end())));
  for (const auto &Field : Message)
    Request.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body = std::move(Message.body());
  Request.Forwarded = Message.find("mimosa-forwarded") != Message.end();
  Request.ConnectionId = Id;
  Request.RoundTrip = roundTrip();
  Request.NewConnection = !std::exchange(HasServedRequest, true);
  // Responses are of HTTP/1.1, whose rules for kept connections callers of
  // HTTP/1.0 do not know.
  bool WantsKeepAlive = Message.keep_alive() && Message.version() >= 11;
  // The fields exist only once while the request runs.
  Message = decltype(Message)();
  if (Request.Body.capacity() > 2 * Request.Body.size())
    Request.Body.shrink_to_fit();
  if (!holdForHandler(Request)) {
    Request = HttpRequest();
    return refuseForMemory(Parser);
  }
  Receiving = false;
  ++Counters.Requests;
  ++Server.InFlight;
  InFlight = true;
  LatestCaller = std::make_shared<CallerConnection>();
  HandlerRunning = true;
  Account->setEvictable(false);
  startReadWait();
  HttpResponse Response = callHandler(Request);
  HandlerRunning = false;
  Request = HttpRequest();
  hold(0);
  // A pipelined request that has been read is served, too.
  bool ServerCloses =
      Server.Draining || (Server.CloseAfterResponses && Buffer.size() == 0);
  bool HasAnswer = Response.Status != 0;
  bool CloseAfter = Response.Close || ServerCloses;
  bool KeepAlive =
      HasAnswer && respond(std::move(Response), WantsKeepAlive && !CloseAfter);
  --Server.InFlight;
  InFlight = false;
  // Bytes that arrived meanwhile would reset the connection.
  error_code Ignored;
  if (HasAnswer && !KeepAlive && !Closed &&
      (Buffer.size() > 0 || Socket.available(Ignored) > 0))
    discardInput();
  return KeepAlive;
}

void HttpServerConnection::run() {
  try {
    serve();
  } catch (const std::exception &E) {
    ++Counters.Exceptions;
    CurrentParser = nullptr;
    if (std::exchange(InFlight, false))
      --Server.InFlight;
    logError("http", "event=connection_failed connection=" +
                         std::to_string(Id) + " reason=\"" + E.what() + "\"");
    close();
  }
}

void HttpServerConnection::serve() {
  setSocketOptions();
  while (awaitFirstByte()) {
    RequestParser Parser;
    CurrentParser = &Parser;
    bool Complete = readRequest(Parser);
    CurrentParser = nullptr;
    if (!Complete || !handleRequest(Parser))
      break;
    BodyShare.reset();
    // Hundreds of pipelined requests may be in the buffer, and their responses
    // may all be written without a wait.
    if (Buffer.size() > 0)
      FiberLoop::yield();
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
    try {
      startConnection(std::move(Socket));
    } catch (const std::exception &E) {
      ++Counters.Exceptions;
      logError("http",
               std::string("event=accept_failed reason=\"") + E.what() + "\"");
    }
  }
}

void HttpServer::Impl::startConnection(tcp::socket Socket) {
  auto Connection = std::make_shared<HttpServerConnection>(
      *this, std::move(Socket), Counters.AcceptedConnections + 1);
  if (!Connection->openAccount()) {
    ++Counters.RefusedConnections;
    return;
  }
  Loop.spawn([Self = shared_from_this(), Connection] {
    Self->Connections.insert(Connection.get());
    Connection->run();
    Self->Connections.erase(Connection.get());
    --Self->Counters.OpenConnections;
  });
  ++Counters.AcceptedConnections;
  ++Counters.OpenConnections;
}

HttpServer::HttpServer(FiberLoop &Loop, HttpServerOptions Options,
                       HttpHandler &Handler)
    : State(std::make_shared<Impl>(Loop, std::move(Options), Handler)) {}

HttpServer::~HttpServer() = default;

Result<Done> HttpServer::start() {
  Result<Done> Listening = listenOn(State->Acceptor, State->Options.Address);
  if (!ok(Listening))
    return Listening;
  State->Loop.spawnService([Shared = State] { Shared->acceptLoop(); });
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
