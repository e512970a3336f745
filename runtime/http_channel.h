// An HTTP/1.1 client connection that reports events to callbacks, for programs
// with many requests in flight. A channel runs one request at a time. It
// encodes the request only once the connection is established, since a request
// may state how much time is left.
//
//   auto Channel = HttpChannel::open(Loop, Address, Events, Budget);
//   Channel->exchange([=] { return encode(Deadline - now()); }, false, Limit);
//
// A channel waits for its socket to become readable before each read, so that
// an exchange usually takes one write, one wait and one read.
//
// A server in trouble may send bytes without end. A channel is closed as
// malformed after a bounded number of heads that do not begin the response,
// when a head, chunk header or trailer has no end, and when a body exceeds the
// limit of its exchange or the receive budget.

#ifndef MIMOSA_RUNTIME_HTTP_CHANNEL_H
#define MIMOSA_RUNTIME_HTTP_CHANNEL_H

#include "runtime/http.h"
#include "runtime/receive_budget.h"

#include <functional>
#include <optional>

namespace mimosa {

/// A complete response as received from the server.
struct ReceivedHttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// Why a channel was closed by the server or by an error.
enum class ChannelCloseReason {
  /// The connection failed while no request ran, or before any byte of the
  /// request was sent, or the request was not to be sent any more.
  NothingSent,
  /// The connection failed before the response was complete. The request may
  /// have been sent.
  Lost,
  /// The bytes received are not a valid response.
  Malformed,
};

class HttpChannel;

/// A request as it is sent.
struct EncodedRequest {
  std::string Head;
  /// May be empty. It is not copied, since a query sends one body to each
  /// shard.
  std::shared_ptr<const std::string> Body;

  size_t size() const { return Head.size() + (Body ? Body->size() : 0); }
};

/// Returns a request that is sent now; empty if it must not be sent any more.
using RequestEncoder = std::function<std::optional<EncodedRequest>()>;

/// Event handlers of channels.
class HttpChannelEvents {
public:
  virtual ~HttpChannelEvents() = default;
  /// Called with each complete response. \p Reusable says whether the
  /// connection can be used for another request. Returns false if the response
  /// does not belong to the current request; it is then dropped, and the
  /// channel waits for the next one, a few times.
  virtual bool onResponse(HttpChannel &Channel, ReceivedHttpResponse Response,
                          bool Reusable) = 0;
  /// Called when the server or an error has closed the connection, but not
  /// after close().
  virtual void onClosed(HttpChannel &Channel, ChannelCloseReason Reason) = 0;
};

class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
public:
  /// Starts to connect. \p Events must live until the channel is closed, and
  /// \p Budget until it is destroyed. Fails with BadSetting if \p Address is
  /// malformed.
  static Result<std::shared_ptr<HttpChannel>> open(FiberLoop &Loop,
                                                   const std::string &Address,
                                                   HttpChannelEvents &Events,
                                                   ReceiveBudget &Budget);
  virtual ~HttpChannel();

  /// Sends what \p Encode returns as soon as the connection is established, or
  /// closes it if that is empty. No other request may be running. A response
  /// with a body of more than \p MaxBodyBytes is malformed. Events are reported
  /// only after exchange() has returned.
  virtual void exchange(RequestEncoder Encode, bool IsHeadRequest,
                        size_t MaxBodyBytes) = 0;
  /// Closes the connection; no event is reported. Bytes that are still waiting
  /// to be sent are sent.
  virtual void close() = 0;
  /// Closes the connection and drops bytes that are still waiting to be sent;
  /// no event is reported.
  virtual void abort() = 0;

  /// Whether the connection is established.
  virtual bool connected() const = 0;
  /// Bytes of the current request that the server has not acknowledged; 0 while
  /// the connection is not established.
  virtual size_t unacknowledgedBytes() = 0;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_HTTP_CHANNEL_H
