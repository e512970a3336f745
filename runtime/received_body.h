// Parsing of HTTP messages of a stranger, who announces their sizes and chooses
// their status.
//
//   http::request_parser<ReceivedBody> Parser;
//   Parser.body_limit(Limit);
//   size_t Consumed = putBytes(Parser, Buffer.data(), Failure);
//
// http::string_body reserves the length that a message announces, before its
// first byte has arrived. ReceivedBody allocates for the bytes that did arrive.

#ifndef MIMOSA_RUNTIME_RECEIVED_BODY_H
#define MIMOSA_RUNTIME_RECEIVED_BODY_H

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <new>
#include <string>

namespace mimosa {

/// A Beast body for parsers, see the head of this file. The parser's body
/// limit applies as usual.
struct ReceivedBody {
  using value_type = std::string;

  // Beast requires this name.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    /// Most bodies are shorter and are allocated once.
    static constexpr uint64_t MaxReservedBytes = 16 * 1024;

    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body)
        : Body(Body) {}

    void init(const boost::optional<uint64_t> &Announced,
              boost::beast::error_code &Failure) {
      Failure = {};
      if (Announced)
        guard(Failure, [&] {
          Body.reserve(static_cast<size_t>(
              std::min<uint64_t>(*Announced, MaxReservedBytes)));
        });
    }

    template <class Buffers>
    size_t put(const Buffers &Received, boost::beast::error_code &Failure) {
      Failure = {};
      size_t Begin = Body.size();
      guard(Failure, [&] {
        for (boost::asio::const_buffer Part :
             boost::beast::buffers_range_ref(Received))
          Body.append(static_cast<const char *>(Part.data()), Part.size());
      });
      return Body.size() - Begin;
    }

    void finish(boost::beast::error_code &Failure) { Failure = {}; }

  private:
    /// A parser is called from handlers that no exception may leave.
    template <class Function>
    static void guard(boost::beast::error_code &Failure, Function Allocate) {
      try {
        Allocate();
      } catch (const std::bad_alloc &) {
        Failure = boost::beast::http::error::bad_alloc;
      }
    }

    value_type &Body;
  };
};

/// Passes \p Received to \p Parser and returns the number of bytes that it has
/// consumed. In eager mode, the parser of Beast 1.74 goes on after it has found
/// that the announced length exceeds the body limit, and loses the error. So
/// the head is parsed alone.
template <class Parser>
size_t putBytes(Parser &P, boost::asio::const_buffer Received,
                boost::beast::error_code &Failure) {
  size_t Consumed = 0;
  if (!P.is_header_done()) {
    P.eager(false);
    Consumed = P.put(Received, Failure);
    if (Failure || !P.is_header_done() || P.is_done() ||
        Consumed == Received.size())
      return Consumed;
  }
  P.eager(true);
  return Consumed + P.put(Received + Consumed, Failure);
}

/// Whether a response has a status line that the protocol defines and that can
/// answer a request: HTTP/1, and a final status or an informational one that
/// precedes it (RFC 9110, 15). 101 would answer a request for another protocol,
/// which is never sent.
template <class Message> bool hasDefinedStatus(const Message &Response) {
  unsigned Status = Response.result_int();
  constexpr unsigned SwitchingProtocols = 101;
  return Response.version() / 10 == 1 && Status >= 100 && Status <= 599 &&
         Status != SwitchingProtocols;
}

} // namespace mimosa

#endif // MIMOSA_RUNTIME_RECEIVED_BODY_H
