// Stand-in for the platform's key-value service and host list, for tests and
// experiments; see section 5.4 of docs/design.md. Values are kept in memory.
// POST /fault injects faults:
//
//   {"down": true}          responds with status 503
//   {"silent": true}        never responds
//   {"delay_ms": 200}       delays every response
//   {"lose_replies": 3}     the next three writes take effect, but their
//                           connections are closed without a response
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
  struct VersionedValue {
    std::string Value;
    uint64_t Version = 0;
  };
  struct Faults {
    bool Down = false;
    bool Silent = false;
    int64_t DelayMs = 0;
    int64_t LoseReplies = 0;
  };
  struct CallCounters {
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
  /// Whether to drop the response to a write; counts LoseReplies down.
  bool loseReply();

  FiberLoop &Loop;
  std::map<std::string, VersionedValue> Values;
  /// Shared by all keys, so that a key that is removed and created again does
  /// not reuse a version.
  uint64_t LastVersion = 0;
  FiberEvent Changed;
  Faults Fault;
  CallCounters Counts;
  Json HostList = Json::array();
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_KV_STAND_IN_H
