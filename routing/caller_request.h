// A caller's request as it is forwarded to backend servers, and a backend
// server's answer, in a form that is independent of the wire format.

#ifndef MIMOSA_ROUTING_CALLER_REQUEST_H
#define MIMOSA_ROUTING_CALLER_REQUEST_H

#include "base/http_header.h"
#include "base/ids.h"
#include "base/rate.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// Id that the caller gives to one attempt of a request.
using CallerRequestId = TextId<struct CallerRequestIdTag>;

/// A request to run on backend servers. It is the same for each of them.
struct CallerRequest {
  CallerRequestId Id;
  bool IsHeadRequest = false;
  /// Request line and forwarded headers, without the empty line at the end.
  /// Headers that differ between backend servers are added when it is sent.
  std::string Head;
  std::string Body;
};

/// What a backend server says of itself in the headers of an answer.
struct ServerNotice {
  /// Requests that it accepts from all hosts together; empty if it states no
  /// limit.
  std::optional<RequestRate> Limit;
  /// It refused the request and wants no further one from this host for so
  /// long; 0 if it does not say so.
  Duration Pause{0};
  /// It is shutting down and wants no further requests.
  bool Leaving = false;
  /// Something else that it says could not be read.
  bool Unreadable = false;
};

/// A backend server's complete answer to one request.
struct BackendAnswer {
  int Status = 0;
  /// The backend server's signature, which proves that it has run the request;
  /// empty if there is none.
  std::string Signature;
  /// The backend server reports that it has not run and will not run the
  /// request.
  bool NotRun = false;
  /// The answer came from another backend server, which has taken over the
  /// address.
  bool Misdirected = false;
  /// The body is encoded, although the request did not accept an encoding.
  bool UnexpectedEncoding = false;
  ServerNotice Notice;
  /// Stated length of the body, which the answer to a HEAD request does not
  /// have; empty if there is none.
  std::optional<uint64_t> ContentLength;
  /// Headers to forward unchanged.
  std::vector<HttpHeader> Headers;
  std::string Body;

  bool success() const {
    return Status >= 200 && Status < 300 && !Signature.empty() &&
           !UnexpectedEncoding;
  }
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_CALLER_REQUEST_H
