// One HTTP/1.1 client connection that reports by callbacks, for programs that
// keep many requests in flight. Requests are given as bytes; one runs at a
// time.
//
//   auto Channel = HttpChannel::open(Loop, "10.0.0.1:9001", Events);
//   Channel->exchange(Bytes, false);
//
// Reading waits for the socket to become readable before each read, so that an
// exchange takes one write, one wait and one read.

#ifndef MIMOSA_RUNTIME_HTTP_CHANNEL_H
#define MIMOSA_RUNTIME_HTTP_CHANNEL_H

#include "runtime/http.h"

namespace mimosa {

/// A complete answer.
struct ReceivedHttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
};

/// How a connection came to its end.
enum class ChannelCloseReason {
  /// Closed or reset while no request ran, or before any byte of one was sent.
  NothingSent,
  /// Closed or reset after a request was sent and before its whole answer.
  Lost,
  /// Bytes that are no answer.
  Malformed,
};

class HttpChannel;

class HttpChannelEvents {
public:
  virtual ~HttpChannelEvents() = default;
  /// A whole answer. False if it does not belong to the request that runs: it
  /// is dropped and the next one is awaited. \p Reusable is set if the
  /// connection can take another request.
  virtual bool onResponse(HttpChannel &Channel, ReceivedHttpResponse Response,
                          bool Reusable) = 0;
  /// The connection has ended by itself; not called after close().
  virtual void onClosed(HttpChannel &Channel, ChannelCloseReason Reason) = 0;
};

class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
public:
  /// Starts to connect. \p Events must outlive the channel or its close().
  /// Fails with BadSetting if \p Address is malformed.
  static Result<std::shared_ptr<HttpChannel>>
  open(FiberLoop &Loop, const std::string &Address, HttpChannelEvents &Events);
  virtual ~HttpChannel();

  /// Sends \p Request as soon as the connection is up. No other request may be
  /// running. Events are reported after the call has returned.
  virtual void exchange(std::string Request, bool IsHeadRequest) = 0;
  /// Closes the connection without a report.
  virtual void close() = 0;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_HTTP_CHANNEL_H
