#include "runtime/http_channel.h"

#include "runtime/asio_fiber.h"
#include "runtime/received_body.h"

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace mimosa {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t ReadBytes = 16 * 1024;
/// Longest part of a response that is only parsed as a whole, such as a head,
/// the header of a chunk or a trailer. The parser allows heads of 8 KiB.
constexpr size_t MaxUnparsedBytes = 16 * 1024;
/// Informational heads and responses to other requests that may precede the
/// response. Servers send an informational head or two, and one late copy.
constexpr uint32_t MaxUnexpectedResponses = 8;

class Channel final : public HttpChannel {
public:
  Channel(asio::io_context &Io, HttpChannelEvents &Events,
          ReceiveBudget &Budget)
      : Socket(Io), Events(Events), BodyShare(Budget) {}

  void connect(const tcp::endpoint &Endpoint);
  void exchange(RequestEncoder NewEncode, bool IsHead,
                size_t NewMaxBodyBytes) override;
  void close() override;
  void abort() override;
  bool connected() const override { return Connected; }
  size_t unacknowledgedBytes() override;

private:
  using ResponseParser = http::response_parser<ReceivedBody>;

  std::shared_ptr<Channel> self() {
    return std::static_pointer_cast<Channel>(shared_from_this());
  }
  /// Runs an event handler. An exception in it, such as std::bad_alloc, loses
  /// the connection.
  template <typename Function> void handleEvent(Function Handle) {
    if (Closed || callGuarded("channel", Handle))
      return;
    callGuarded("channel", [this] { closeWith(ChannelCloseReason::Lost); });
  }
  void setOptions();
  void onConnected(error_code Failure);
  /// Encodes the request; false if it must not be sent any more.
  bool encode();
  /// Closes the channel after the current function has returned.
  void closeSoon(ChannelCloseReason Reason);
  void resetParser();
  void write();
  std::array<asio::const_buffer, 2> unwritten() const;
  /// Frees the request once it is sent: its connection may stay open for long.
  void releaseRequest();
  void waitWritable();
  void waitReadable();
  void onReadable(error_code Failure);
  /// Parses buffered bytes and delivers a response that is complete. Returns
  /// whether parsing can go on.
  bool parseBuffered(error_code &Failure);
  /// Prepares for the next response after one that was not expected. Returns
  /// whether another one may follow.
  bool skipUnexpected(error_code &Failure);
  /// Passes the response on. Returns false if it belongs to another request.
  bool deliverResponse();
  void closeWith(ChannelCloseReason Reason);

  tcp::socket Socket;
  HttpChannelEvents &Events;
  beast::flat_buffer Buffer;
  std::optional<ResponseParser> Parser;
  RequestEncoder Encode;
  /// The encoded request; empty until the connection is established, and after
  /// all of it has been written.
  EncodedRequest Request;
  size_t Written = 0;
  size_t MaxBodyBytes = 0;
  /// For the body of the response that is being received.
  ReceiveBudget::Share BodyShare;
  uint32_t UnexpectedResponses = 0;
  bool Connected = false;
  bool Closed = false;
  bool Busy = false;
  bool IsHeadRequest = false;
};

void Channel::setOptions() {
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  setConnectionOptions(Socket);
}

void Channel::connect(const tcp::endpoint &Endpoint) {
  error_code Failure;
  Socket.open(Endpoint.protocol(), Failure);
  if (!Failure)
    setOptions();
  Socket.async_connect(Endpoint, [Self = self()](error_code Outcome) {
    Self->handleEvent([&] { Self->onConnected(Outcome); });
  });
}

void Channel::onConnected(error_code Failure) {
  if (Closed)
    return;
  if (Failure)
    return closeWith(ChannelCloseReason::NothingSent);
  Connected = true;
  if (Busy && !encode())
    return closeWith(ChannelCloseReason::NothingSent);
  if (Busy)
    write();
  if (!Closed)
    waitReadable();
}

bool Channel::encode() {
  std::optional<EncodedRequest> Encoded = Encode();
  if (Encoded)
    Request = std::move(*Encoded);
  return Encoded.has_value();
}

void Channel::closeSoon(ChannelCloseReason Reason) {
  asio::post(Socket.get_executor(),
             [Self = self(), Reason] { Self->closeWith(Reason); });
}

void Channel::resetParser() {
  Parser.emplace();
  BodyShare.reset();
  Parser->body_limit(MaxBodyBytes);
  Parser->skip(IsHeadRequest);
}

void Channel::exchange(RequestEncoder NewEncode, bool IsHead,
                       size_t NewMaxBodyBytes) {
  Encode = std::move(NewEncode);
  Request = {};
  Written = 0;
  MaxBodyBytes = NewMaxBodyBytes;
  UnexpectedResponses = 0;
  Busy = true;
  IsHeadRequest = IsHead;
  resetParser();
  if (!Connected)
    return;
  // Events must not be reported before exchange() has returned.
  if (!encode())
    return closeSoon(ChannelCloseReason::NothingSent);
  error_code Failure;
  Written = Socket.write_some(unwritten(), Failure);
  if (Failure && Failure != asio::error::would_block)
    closeSoon(ChannelCloseReason::Lost);
  else if (Written < Request.size())
    waitWritable();
  else
    releaseRequest();
}

void Channel::write() {
  error_code Failure;
  Written += Socket.write_some(unwritten(), Failure);
  if (Failure && Failure != asio::error::would_block)
    return closeWith(Written == 0 ? ChannelCloseReason::NothingSent
                                  : ChannelCloseReason::Lost);
  if (Written < Request.size())
    waitWritable();
  else
    releaseRequest();
}

std::array<asio::const_buffer, 2> Channel::unwritten() const {
  asio::const_buffer Head = asio::buffer(Request.Head);
  asio::const_buffer Body =
      Request.Body ? asio::buffer(*Request.Body) : asio::const_buffer();
  return {Head + Written,
          Body + (Written > Head.size() ? Written - Head.size() : 0)};
}

void Channel::releaseRequest() {
  Request = {};
  Written = 0;
}

void Channel::waitWritable() {
  Socket.async_wait(tcp::socket::wait_write,
                    [Self = self()](error_code Failure) {
                      if (!Failure)
                        Self->handleEvent([&] { Self->write(); });
                    });
}

void Channel::waitReadable() {
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = self()](error_code Failure) {
                      Self->handleEvent([&] { Self->onReadable(Failure); });
                    });
}

void Channel::onReadable(error_code Failure) {
  bool EndOfStream = false;
  if (!Failure) {
    size_t Bytes = Socket.read_some(Buffer.prepare(ReadBytes), Failure);
    Buffer.commit(Bytes);
    if (Failure == asio::error::would_block)
      return waitReadable();
    EndOfStream = Failure == asio::error::eof;
  }
  if (!Busy)
    // No bytes are expected between requests, only the end of the connection.
    return closeWith(ChannelCloseReason::NothingSent);
  if (Failure && !EndOfStream)
    return closeWith(ChannelCloseReason::Lost);
  error_code ParseFailure;
  while (Busy && parseBuffered(ParseFailure) && !Closed) {
  }
  if (Closed)
    return;
  if (ParseFailure || (Busy && Buffer.size() > MaxUnparsedBytes))
    return closeWith(ChannelCloseReason::Malformed);
  if (Busy && EndOfStream && Parser->got_some() && !Parser->is_done()) {
    Parser->put_eof(ParseFailure);
    // A response without a length ends with its connection. If it is not that
    // of the request, no other one can follow, but the request may have run.
    if (!ParseFailure && Parser->is_done() && !deliverResponse() && !Closed)
      return closeWith(ChannelCloseReason::Malformed);
    if (Closed)
      return;
  }
  if (EndOfStream)
    return closeWith(Busy ? ChannelCloseReason::Lost
                          : ChannelCloseReason::NothingSent);
  waitReadable();
}

bool Channel::parseBuffered(error_code &Failure) {
  if (Buffer.size() == 0)
    return false;
  size_t Consumed = putBytes(*Parser, Buffer.data(), Failure);
  Buffer.consume(Consumed);
  if (Failure == http::error::need_more) {
    Failure = {};
    return false;
  }
  if (!Failure && Parser->is_header_done() && !hasDefinedStatus(Parser->get()))
    Failure = http::error::bad_status;
  if (!Failure && !BodyShare.resize(Parser->get().body().size()))
    Failure = http::error::body_limit;
  if (Failure || !Parser->is_done())
    return false;
  if (http::to_status_class(Parser->get().result_int()) ==
      http::status_class::informational)
    return skipUnexpected(Failure);
  bool Reusable = Parser->keep_alive();
  if (deliverResponse())
    return false;
  if (!Reusable)
    Failure = http::error::end_of_stream;
  return Reusable && skipUnexpected(Failure);
}

bool Channel::skipUnexpected(error_code &Failure) {
  if (++UnexpectedResponses > MaxUnexpectedResponses) {
    Failure = http::error::bad_status;
    return false;
  }
  resetParser();
  return true;
}

bool Channel::deliverResponse() {
  bool Reusable = Parser->keep_alive() && Written == Request.size();
  auto Message = Parser->release();
  ReceivedHttpResponse Response;
  Response.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Response.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Response.Body = std::move(Message.body());
  // Bytes after a complete response belong to no request.
  bool InputEmpty = Buffer.size() == 0;
  Busy = false;
  auto Self = self();
  BodyShare.reset();
  if (Events.onResponse(*this, std::move(Response), Reusable && InputEmpty) ||
      Closed)
    return true;
  Busy = true;
  return false;
}

size_t Channel::unacknowledgedBytes() {
  size_t Unwritten = Request.size() - Written;
  int Queued = 0;
  if (!Connected || ioctl(Socket.native_handle(), TIOCOUTQ, &Queued) != 0)
    return Unwritten;
  return Unwritten + static_cast<size_t>(Queued);
}

void Channel::closeWith(ChannelCloseReason Reason) {
  if (Closed)
    return;
  auto Self = self();
  close();
  Events.onClosed(*this, Reason);
}

void Channel::close() {
  if (Closed)
    return;
  Closed = true;
  error_code Ignored;
  Socket.close(Ignored);
}

void Channel::abort() {
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

} // namespace

HttpChannel::~HttpChannel() = default;

Result<std::shared_ptr<HttpChannel>>
HttpChannel::open(FiberLoop &Loop, const std::string &Address,
                  HttpChannelEvents &Events, ReceiveBudget &Budget) {
  Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!ok(Endpoint))
    return errorOf(Endpoint);
  auto New = std::make_shared<Channel>(Loop.impl().Io, Events, Budget);
  New->connect(valueOf(Endpoint));
  return std::static_pointer_cast<HttpChannel>(New);
}

} // namespace mimosa
