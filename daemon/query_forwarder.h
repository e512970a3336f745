// Forwards a query to a host that serves its service, from a host that does
// not; see docs/design.md, 4.1. A query is forwarded at most once.

#ifndef MIMOSA_DAEMON_QUERY_FORWARDER_H
#define MIMOSA_DAEMON_QUERY_FORWARDER_H

#include "runtime/http.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosa {

class QueryForwarder {
public:
  explicit QueryForwarder(FiberLoop &Loop) : Loop(Loop) {}

  /// Sends the query in \p Body to the first of \p Addresses that accepts a
  /// connection; suspends. Fails with PeerUnreachable if none does: the query
  /// did not run. Fails with OutcomeUnknown if no answer was received.
  Result<HttpResponse> forward(const std::string &Body,
                               const std::vector<std::string> &Addresses,
                               Duration Timeout,
                               const std::shared_ptr<CallerConnection> &Caller);
  uint64_t forwardedQueries() const { return ForwardedQueries; }

private:
  std::shared_ptr<HttpConnection> takeConnection(const std::string &Address);

  FiberLoop &Loop;
  std::unordered_map<std::string, std::vector<std::shared_ptr<HttpConnection>>>
      IdleConnections;
  uint64_t ForwardedQueries = 0;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_QUERY_FORWARDER_H
