#include "runtime/http_channel.h"

#include "runtime/asio_fiber.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace mimosa {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr size_t ReadBytes = 16 * 1024;

class Channel final : public HttpChannel {
public:
  Channel(asio::io_context &Io, HttpChannelEvents &Events)
      : Socket(Io), Events(Events) {}

  void connect(const tcp::endpoint &To);
  void exchange(std::string Request, bool HeadMethod) override;
  void close() override;

private:
  using Parser = http::response_parser<http::string_body>;

  std::shared_ptr<Channel> self() {
    return std::static_pointer_cast<Channel>(shared_from_this());
  }
  void setOptions();
  void connected(error_code Failure);
  void startParser();
  void write();
  void waitWritable();
  void waitReadable();
  void readable(error_code Failure);
  bool feed(error_code &Failure);
  bool deliver();
  void end(ChannelCloseReason How);

  tcp::socket Socket;
  HttpChannelEvents &Events;
  beast::flat_buffer Buffer;
  std::optional<Parser> In;
  std::string Out;
  size_t Written = 0;
  bool Connected = false;
  bool Closed = false;
  bool Busy = false;
  bool Head = false;
};

void Channel::setOptions() {
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  setConnectionOptions(Socket);
}

void Channel::connect(const tcp::endpoint &To) {
  error_code Failure;
  Socket.open(To.protocol(), Failure);
  if (!Failure)
    setOptions();
  Socket.async_connect(
      To, [Self = self()](error_code Outcome) { Self->connected(Outcome); });
}

void Channel::connected(error_code Failure) {
  if (Closed)
    return;
  if (Failure)
    return end(ChannelCloseReason::NothingSent);
  Connected = true;
  if (Busy)
    write();
  if (!Closed)
    waitReadable();
}

void Channel::startParser() {
  In.emplace();
  In->body_limit(MaxAnswerBytes);
  In->eager(true);
  In->skip(Head);
}

void Channel::exchange(std::string Request, bool HeadMethod) {
  Out = std::move(Request);
  Written = 0;
  Busy = true;
  Head = HeadMethod;
  startParser();
  if (!Connected)
    return;
  // Reports must not come before the caller has noted the exchange.
  error_code Failure;
  Written = Socket.write_some(asio::buffer(Out), Failure);
  if (Failure && Failure != asio::error::would_block)
    asio::post(Socket.get_executor(), [Self = self()] {
      if (!Self->Closed)
        Self->end(ChannelCloseReason::Lost);
    });
  else if (Written < Out.size())
    waitWritable();
}

void Channel::write() {
  error_code Failure;
  Written += Socket.write_some(asio::buffer(Out) + Written, Failure);
  if (Failure && Failure != asio::error::would_block)
    return end(Written == 0 ? ChannelCloseReason::NothingSent
                            : ChannelCloseReason::Lost);
  if (Written < Out.size())
    waitWritable();
}

void Channel::waitWritable() {
  Socket.async_wait(tcp::socket::wait_write,
                    [Self = self()](error_code Failure) {
                      if (!Self->Closed && !Failure)
                        Self->write();
                    });
}

void Channel::waitReadable() {
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = self()](error_code Failure) {
                      if (!Self->Closed)
                        Self->readable(Failure);
                    });
}

void Channel::readable(error_code Failure) {
  bool Ended = false;
  if (!Failure) {
    size_t Bytes = Socket.read_some(Buffer.prepare(ReadBytes), Failure);
    Buffer.commit(Bytes);
    if (Failure == asio::error::would_block)
      return waitReadable();
    Ended = Failure == asio::error::eof;
  }
  if (!Busy)
    // Between requests only the end can come; bytes belong to no request.
    return end(ChannelCloseReason::NothingSent);
  if (Failure && !Ended)
    return end(ChannelCloseReason::Lost);
  error_code ParseFailure;
  while (Busy && feed(ParseFailure) && !Closed) {
  }
  if (Closed)
    return;
  if (ParseFailure)
    return end(ChannelCloseReason::Malformed);
  if (Busy && Ended && In->got_some() && !In->is_done()) {
    In->put_eof(ParseFailure);
    // An answer without a length ends with its connection.
    if (!ParseFailure && In->is_done()) {
      deliver();
      return Closed ? void() : end(ChannelCloseReason::NothingSent);
    }
  }
  if (Ended)
    return end(Busy ? ChannelCloseReason::Lost
                    : ChannelCloseReason::NothingSent);
  waitReadable();
}

bool Channel::feed(error_code &Failure) {
  if (Buffer.size() == 0)
    return false;
  size_t Used = In->put(Buffer.data(), Failure);
  Buffer.consume(Used);
  if (Failure == http::error::need_more) {
    Failure = {};
    return false;
  }
  if (Failure || !In->is_done())
    return false;
  if (http::to_status_class(In->get().result_int()) ==
      http::status_class::informational) {
    startParser();
    return true;
  }
  return deliver();
}

bool Channel::deliver() {
  bool Reusable = In->keep_alive() && Written == Out.size();
  auto Message = In->release();
  ReceivedHttpResponse Response;
  Response.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Response.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Response.Body = std::move(Message.body());
  // Bytes after a complete answer belong to no request.
  bool Clean = Buffer.size() == 0;
  Busy = false;
  auto Self = self();
  if (Events.onResponse(*this, std::move(Response), Reusable && Clean))
    return false;
  if (Closed)
    return false;
  Busy = true;
  startParser();
  return Reusable;
}

void Channel::end(ChannelCloseReason How) {
  if (Closed)
    return;
  auto Self = self();
  close();
  Events.onClosed(*this, How);
}

void Channel::close() {
  if (Closed)
    return;
  Closed = true;
  error_code Ignored;
  Socket.close(Ignored);
}

} // namespace

HttpChannel::~HttpChannel() = default;

Result<std::shared_ptr<HttpChannel>>
HttpChannel::open(FiberLoop &Loop, const std::string &Address,
                  HttpChannelEvents &Events) {
  Result<tcp::endpoint> To = parseEndpoint(Address);
  if (!ok(To))
    return errorOf(To);
  auto New = std::make_shared<Channel>(Loop.impl().Io, Events);
  New->connect(valueOf(To));
  return std::static_pointer_cast<HttpChannel>(New);
}

} // namespace mimosa
