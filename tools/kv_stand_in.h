// Stand-in for the platform's key-value service and host list, for tests and
// experiments; see section 5.4 of docs/design.md. Values live in memory.
// Faults are set by POST /fault:
//
//   {"down": true}          requests are answered with 503
//   {"silent": true}        requests are never answered
//   {"delay_ms": 200}       every answer is late
//   {"lose_replies": 3}     the next three writes take effect, but their
//                           connections are closed without an answer
//   {"hosts": [...]}        replaces the host list

#ifndef MIMOSA_TOOLS_KV_STAND_IN_H
#define MIMOSA_TOOLS_KV_STAND_IN_H

#include "base/json_fields.h"
#include "runtime/http.h"

#include <map>
#include <string>

namespace mimosa {

class KeyValueStandIn : public HttpHandler {
public:
  explicit KeyValueStandIn(FiberLoop &Loop) : Loop(Loop) {}

  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &Caller) override;

private:
  struct Stored {
    std::string Value;
    uint64_t Version = 0;
  };
  struct Faults {
    bool Down = false;
    bool Silent = false;
    int64_t DelayMs = 0;
    int64_t LoseReplies = 0;
  };
  struct Calls {
    uint64_t Reads = 0;
    uint64_t Writes = 0;
    uint64_t Watches = 0;
    uint64_t Lists = 0;
    uint64_t Hosts = 0;
  };

  HttpResponse route(const HttpRequest &Request);
  HttpResponse read(const std::string &Key);
  HttpResponse write(const HttpRequest &Request);
  HttpResponse remove(const std::string &Key);
  HttpResponse list(const std::map<std::string, std::string> &Parameters);
  HttpResponse watch(const std::map<std::string, std::string> &Parameters);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse stats() const;
  bool loseReply();

  FiberLoop &Loop;
  std::map<std::string, Stored> Values;
  /// Versions continue after a removal, so that a key that is created again
  /// does not repeat one.
  uint64_t LastVersion = 0;
  FiberEvent Changed;
  Faults Fault;
  Calls Counted;
  Json HostList = Json::array();
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_KV_STAND_IN_H
