#include "runtime/asio_fiber.h"
#include "runtime/http.h"
#include "runtime/received_body.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace mimosa {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Longest part of a response that is only parsed as a whole, such as a head,
/// the header of a chunk or a trailer. A longer one fails the exchange.
constexpr size_t MaxUnparsedBytes = 64 * 1024;
/// Informational responses that may precede the response.
constexpr uint32_t MaxInformationalResponses = 8;

Error ioError(const std::string &Address, const char *Step,
              error_code Failure) {
  ResultCode Code = Failure == beast::error::timeout ? ResultCode::Timeout
                                                     : ResultCode::BackendLost;
  return Error{Code, std::string(Step) + " " + Address +
                         " failed: " + Failure.message()};
}

} // namespace

struct HttpConnection::Impl {
  explicit Impl(asio::io_context &Io) : Stream(Io) {}
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::string Address;
  bool Open = false;
};

HttpConnection::HttpConnection(std::unique_ptr<Impl> State)
    : State(std::move(State)) {}

HttpConnection::~HttpConnection() { close(); }

Result<std::unique_ptr<HttpConnection>>
HttpConnection::open(FiberLoop &Loop, const std::string &Address,
                     Duration Timeout) {
  auto Endpoint = parseEndpoint(Address);
  if (!ok(Endpoint))
    return errorOf(Endpoint);
  auto State = std::make_unique<Impl>(Loop.impl().Io);
  State->Address = Address;
  State->Stream.expires_after(Timeout);
  IoOutcome Connected = awaitIo([&](auto Handler) {
    State->Stream.async_connect(valueOf(Endpoint), std::move(Handler));
  });
  if (Connected.Failure)
    return ioError(Address, "connecting to", Connected.Failure);
  setConnectionOptions(State->Stream.socket());
  State->Open = true;
  return std::unique_ptr<HttpConnection>(new HttpConnection(std::move(State)));
}

Result<HttpResponse> HttpConnection::exchange(const HttpRequest &Request,
                                              Duration Timeout) {
  Impl &S = *State;
  if (!S.Open)
    return Error{ResultCode::BackendLost,
                 "the connection to " + S.Address + " is closed"};
  http::request<http::string_body> RequestMessage(
      http::string_to_verb(Request.Method), Request.Target, 11);
  RequestMessage.set(http::field::host, S.Address);
  if (Request.Forwarded)
    RequestMessage.set("mimosa-forwarded", "1");
  RequestMessage.body() = Request.Body;
  RequestMessage.prepare_payload();
  S.Stream.expires_after(Timeout);
  IoOutcome Written = awaitIo([&](auto Handler) {
    http::async_write(S.Stream, RequestMessage, std::move(Handler));
  });
  if (Written.Failure) {
    close();
    return ioError(S.Address, "writing to", Written.Failure);
  }
  return readResponse(S);
}

Result<HttpResponse> HttpConnection::readResponse(Impl &S) {
  for (uint32_t Count = 0; Count <= MaxInformationalResponses; ++Count) {
    http::response_parser<ReceivedBody> Parser;
    Parser.body_limit(MaxResponseBytes);
    // The head is read alone, see putBytes().
    IoOutcome Read = awaitIo([&](auto Handler) {
      http::async_read_header(S.Stream, S.Buffer, Parser, std::move(Handler));
    });
    if (!Read.Failure && !hasDefinedStatus(Parser.get()))
      Read.Failure = http::error::bad_status;
    if (!Read.Failure && !Parser.is_done())
      Read = awaitIo([&](auto Handler) {
        http::async_read(S.Stream, S.Buffer, Parser, std::move(Handler));
      });
    if (Read.Failure) {
      close();
      return ioError(S.Address, "reading from", Read.Failure);
    }
    auto Message = Parser.release();
    if (http::to_status_class(Message.result_int()) ==
        http::status_class::informational)
      continue;
    if (!Message.keep_alive())
      close();
    HttpResponse Response;
    Response.Status = static_cast<int>(Message.result_int());
    for (const auto &Field : Message.base())
      Response.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Response.Body = std::move(Message.body());
    return Response;
  }
  close();
  return Error{ResultCode::BackendLost,
               S.Address + " sent only informational responses"};
}

void HttpConnection::close() {
  State->Open = false;
  State->Stream.close();
}

bool HttpConnection::isOpen() const { return State->Open; }

} // namespace mimosa
