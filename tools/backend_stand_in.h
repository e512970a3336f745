// Stand-in for one backend server, for tests and experiments; see section 5.3
// of docs/design.md. It searches lines of text that are spread over shards, or
// invents one hit per shard when it has no text.
//
// It runs at most `slots` searches at once and queues a few more; what it
// counts shows whether the daemons kept its limits. Faults are set by
// POST /fault:
//
//   {"state": "draining"}        refuses new searches
//   {"cold_ms": 2000}            cold for so long: bears `cold_limit` searches;
//                                one more makes it fall over (crash)
//   {"cold_announced": false}    does not say that it is cold
//   {"service_us": 2000, "slow_percent": 1, "slow_factor": 20}
//   {"crash_word": "poison"}     a query with this word crashes it
//   {"silence": true}            connections open now are never answered again
//   {"crash": true}              closes all connections, comes back cold
//   {"restart_ms": 500}          time a crash takes
//   {"snapshots": ["v1","v2"]}   versions that it serves, each with the shard
//                                count of "total_shards"

#ifndef MIMOSA_TOOLS_BACKEND_STAND_IN_H
#define MIMOSA_TOOLS_BACKEND_STAND_IN_H

#include "base/ids.h"
#include "base/json_fields.h"
#include "base/random.h"
#include "runtime/http.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosa {

/// Lines of text by shard.
class TextIndex {
public:
  struct Match {
    std::string Id;
    double Score = 0;
  };

  /// Spreads the lines of \p Text over \p TotalShards shards.
  TextIndex(const std::string &Text, uint32_t TotalShards);
  /// The best \p Limit lines of \p Shard that hold all \p Words.
  std::vector<Match> search(uint32_t Shard,
                            const std::vector<std::string> &Words,
                            size_t Limit) const;

private:
  std::vector<std::vector<std::string>> Lines;
};

struct BackendStandInOptions {
  std::string Address;
  int64_t Slots = 6;
  int64_t Connections = 45;
  int64_t ColdLimit = 1;
  int64_t QueueLimit = 32;
  /// Shards held of each snapshot: those with number % Rows == Row.
  uint32_t TotalShards = 64;
  std::vector<uint32_t> Shards;
  std::shared_ptr<const TextIndex> Text;
};

class BackendStandIn : public HttpHandler {
public:
  BackendStandIn(FiberLoop &Loop, BackendStandInOptions Options, uint64_t Seed);
  ~BackendStandIn() override;

  Result<Done> start();
  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &Caller) override;

private:
  struct Search;
  struct Faults {
    std::string State = "serving";
    bool ColdAnnounced = true;
    int64_t ServiceUs = 1000;
    double SlowPercent = 0;
    double SlowFactor = 20;
    std::string CrashWord;
    int64_t RestartMs = 200;
    int64_t ColdAfterCrashMs = 1000;
  };
  struct Counts {
    uint64_t Searches = 0;
    uint64_t Shards = 0;
    uint64_t Refused = 0;
    uint64_t Cancelled = 0;
    uint64_t OverLimit = 0;
    uint64_t OverConnections = 0;
    uint64_t Duplicates = 0;
    uint64_t Crashes = 0;
    uint64_t WhileDraining = 0;
    int64_t MostInHand = 0;
    int64_t MostConnections = 0;
  };

  HttpResponse status() const;
  HttpResponse search(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &Caller);
  HttpResponse run(Search &Job);
  HttpResponse refuse(const char *Reason);
  HttpResponse answer(const Search &Job) const;
  HttpResponse cancel(const HttpRequest &Request);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse stats() const;
  HttpResponse stayAway(const std::shared_ptr<CallerConnection> &Caller);
  bool awaitSlot(Search &Job);
  void countDuplicates(const Search &Job);
  Duration serviceTime();
  void crash();
  void setCold(Duration Time);
  bool cold() const;
  int64_t bears() const;
  void releaseSlot();

  FiberLoop &Loop;
  BackendStandInOptions Options;
  SeededRandom Rand;
  std::unique_ptr<HttpServer> Server;
  uint64_t Incarnation;
  Faults Fault;
  Counts Counted;
  std::vector<std::string> Snapshots{"v1"};
  uint32_t TotalShards;
  std::vector<uint32_t> Held;
  MonotonicTime ColdUntil;
  uint64_t SilentUpTo = 0;
  int64_t InHand = 0;
  int64_t Running = 0;
  std::deque<Search *> Waiting;
  std::map<std::string, Search *> ById;
  std::set<std::string> NonIdempotentRuns;
  /// Between a crash and the restart.
  bool Down = false;
  ScopedTimer CloseAll;
  ScopedTimer Restart;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_BACKEND_STAND_IN_H
