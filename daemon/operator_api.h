// The HTTP interface of mimosad for operators: configuration, hosts, status and
// metrics; see docs/design.md, 5.2.

#ifndef MIMOSA_DAEMON_OPERATOR_API_H
#define MIMOSA_DAEMON_OPERATOR_API_H

#include "runtime/http.h"

#include <optional>

namespace mimosa {

class Node;

class OperatorApi {
public:
  explicit OperatorApi(Node &Daemon) : Daemon(Daemon) {}

  /// The answer, or nothing if the path is not part of this interface.
  std::optional<HttpResponse> handle(const HttpRequest &Request);

private:
  HttpResponse changeConfig(const HttpRequest &Request);
  HttpResponse hosts();

  Node &Daemon;
};

/// The HTTP status for \p Code.
int httpStatusOf(ResultCode Code);

/// The HTTP response that reports \p E.
HttpResponse errorResponse(const Error &E);

} // namespace mimosa

#endif // MIMOSA_DAEMON_OPERATOR_API_H
