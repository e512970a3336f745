// The client of mimosactl, which sends requests to any of several daemons.
//
//   DaemonClient Client(Loop, {"10.0.0.1:7000", "10.0.0.2:7000"}, Deadline);
//   Result<HttpResponse> Response = Client.read("/v1/config");
//   DaemonClient::ChangeResult Change = Client.change(Body);
//
// If a daemon does not accept the connection or does not respond, the next one
// is tried. A change whose response was lost is sent again with the same body,
// so the body must contain a change id, by which daemons detect the repetition.

#ifndef MIMOSA_TOOLS_CTL_CLIENT_H
#define MIMOSA_TOOLS_CTL_CLIENT_H

#include "base/json_fields.h"
#include "runtime/http.h"

#include <string>
#include <vector>

namespace mimosa {

class DaemonClient {
public:
  struct ChangeResult {
    Result<HttpResponse> Response;
    /// Whether an attempt was sent whose outcome is not known.
    bool HasUnknownAttempt = false;
  };

  /// \p Addresses are caller addresses of daemons, "ip:port". All requests end
  /// by \p Deadline.
  DaemonClient(FiberLoop &Loop, std::vector<std::string> Addresses,
               MonotonicTime Deadline);

  /// Sends a GET request for \p Target to one daemon after the other until one
  /// responds. Fails with PeerUnreachable or Timeout; the message names each
  /// daemon and its failure.
  Result<HttpResponse> read(const std::string &Target);

  /// Like read(), but from the daemon at \p Address only.
  Result<HttpResponse> readFrom(const std::string &Address,
                                const std::string &Target);

  /// Sends a POST request with a configuration change. Fails with
  /// PeerUnreachable if it could not be sent to any daemon, and with
  /// OutcomeUnknown if it was sent but not confirmed before the deadline.
  ChangeResult change(const std::string &Body);

  /// Time until the deadline; 0 or less after it.
  Duration remaining() const { return Deadline - Loop.now(); }

private:
  Result<HttpResponse> tryDaemon(const std::string &Address,
                                 const HttpRequest &Request, Duration Limit,
                                 bool *Sent);

  FiberLoop &Loop;
  std::vector<std::string> Addresses;
  MonotonicTime Deadline;
};

/// The result in the body of a response, such as
/// {"result":{"code":400,"name":"conflict","message":"..."}}. A body without
/// one gives Ok if the HTTP status is 200, else Internal.
Error resultInResponse(const HttpResponse &Response);

} // namespace mimosa

#endif // MIMOSA_TOOLS_CTL_CLIENT_H
