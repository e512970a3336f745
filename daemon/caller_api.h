// The HTTP interface of mimosad for callers; see docs/design.md, 5.1. Passes
// the requests of operators to OperatorApi, which shares its address.
//
//   CallerApi Api(Daemon);
//   HttpServer Server(Loop, Options, Api);

#ifndef MIMOSA_DAEMON_CALLER_API_H
#define MIMOSA_DAEMON_CALLER_API_H

#include "daemon/operator_api.h"
#include "query/request.h"
#include "runtime/http.h"

namespace mimosa {

class Node;
class ServiceNode;

class CallerApi : public HttpHandler {
public:
  explicit CallerApi(Node &Daemon) : Daemon(Daemon), Operators(Daemon) {}

  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &Caller) override;

private:
  HttpResponse query(const HttpRequest &Request,
                     const std::shared_ptr<CallerConnection> &Caller);
  HttpResponse forwardQuery(const HttpRequest &Request,
                            const QueryRequest &Query, ServiceNode &Service,
                            const std::shared_ptr<CallerConnection> &Caller);
  HttpResponse cancel(const HttpRequest &Request);
  HttpResponse addresses(const HttpRequest &Request);
  /// The caller addresses of the live hosts of this region that serve
  /// \p Service, with a random one first.
  std::vector<std::string> callerAddresses(const ServiceNode &Service);

  Node &Daemon;
  OperatorApi Operators;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_CALLER_API_H
