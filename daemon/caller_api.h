// The HTTP interface of mimosad for callers and operators; see docs/design.md,
// 5.1 and 5.2.

#ifndef MIMOSA_DAEMON_CALLER_API_H
#define MIMOSA_DAEMON_CALLER_API_H

#include "runtime/http.h"

namespace mimosa {

class Node;

class CallerApi : public HttpHandler {
public:
  explicit CallerApi(Node &Host) : Host(Host) {}

  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerSignals> &Caller) override;

private:
  HttpResponse query(const HttpRequest &Request,
                     const std::shared_ptr<CallerSignals> &Caller);

  Node &Host;
};

/// The HTTP status that goes with \p Code.
int httpStatusOf(ResultCode Code);

} // namespace mimosa

#endif // MIMOSA_DAEMON_CALLER_API_H
