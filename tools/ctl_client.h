// The client side of mimosactl: requests to any of several daemons.
//
//   DaemonClient Client(Loop, {"10.0.0.1:7000", "10.0.0.2:7000"}, Deadline);
//   Result<HttpResponse> Answer = Client.read("/v1/config");
//   DaemonClient::ChangeAnswer Changed = Client.change(Body);
//
// A daemon that does not accept or does not answer is passed over for the next
// one. A change whose reply was lost is sent again with the same body, so the
// body must carry a change id by which the daemons recognise it.

#ifndef MIMOSA_TOOLS_CTL_CLIENT_H
#define MIMOSA_TOOLS_CTL_CLIENT_H

#include "base/json_fields.h"
#include "runtime/http.h"

#include <string>
#include <vector>

namespace mimosa {

class DaemonClient {
public:
  /// The answer to a change.
  struct ChangeAnswer {
    Result<HttpResponse> Answer;
    /// True if an earlier attempt was sent and its outcome is not known.
    bool Unsettled = false;
  };

  /// \p Addresses are caller addresses, "ip:port"; no request runs beyond
  /// \p Deadline.
  DaemonClient(FiberLoop &Loop, std::vector<std::string> Addresses,
               MonotonicTime Deadline);

  /// GETs \p Target from the first daemon that answers. Fails with
  /// PeerUnreachable, which names each daemon and its failure, or Timeout.
  Result<HttpResponse> read(const std::string &Target);

  /// As read() from the daemon at \p Address alone.
  Result<HttpResponse> readFrom(const std::string &Address,
                                const std::string &Target);

  /// POSTs a configuration change. Fails with PeerUnreachable if no daemon
  /// accepts it and with OutcomeUnknown if it was sent and not confirmed before
  /// the deadline.
  ChangeAnswer change(const std::string &Body);

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

/// The error in the body of a refused request, such as
/// {"result":{"code":400,"name":"conflict","message":"..."}}.
Error errorInAnswer(const HttpResponse &Answer);

} // namespace mimosa

#endif // MIMOSA_TOOLS_CTL_CLIENT_H
