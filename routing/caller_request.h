// A request of a caller as it is passed on, and the answer of a backend server.

#ifndef MIMOSA_ROUTING_CALLER_REQUEST_H
#define MIMOSA_ROUTING_CALLER_REQUEST_H

#include "base/http_header.h"
#include "base/ids.h"
#include "base/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// The caller's id of one try of a request.
using CallerRequestId = TextId<struct CallerRequestIdTag>;

/// A request to be run by backend servers, the same for all of them.
struct CallerRequest {
  CallerRequestId Id;
  bool IsHeadRequest = false;
  /// Request line and headers that are passed on, without the empty line; what
  /// differs between backend servers is added to it.
  std::string Head;
  std::string Body;
};

/// A complete answer of a backend server to one request.
struct BackendAnswer {
  int Status = 0;
  /// Proof of the backend server that it ran the request; empty if it gave
  /// none.
  std::string Signature;
  /// The backend server says that it has not run the request and will not.
  bool NotRun = false;
  /// Another backend server has taken over the address.
  bool Misdirected = false;
  /// The body has an encoding that nobody asked for.
  bool UnexpectedEncoding = false;
  /// Headers to pass on as they are.
  std::vector<HttpHeader> Headers;
  std::string Body;

  bool success() const {
    return Status >= 200 && Status < 300 && !Signature.empty() &&
           !UnexpectedEncoding;
  }
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_CALLER_REQUEST_H
