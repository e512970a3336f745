// Stand-in for one backend server, for tests and experiments; see section 5.3
// of docs/design.md. It searches lines of text that are distributed over shards
// or, without a text, returns one invented hit per shard.
//
// It runs at most `slots` searches at once and queues a few more. The counters
// of GET /stats show whether the daemons respected its limits. POST /fault
// injects faults:
//
//   {"state": "draining"}        refuses new searches
//   {"cold_ms": 2000}            is cold for this time: can run `cold_limit`
//                                searches at once and crashes on one more
//   {"cold_announced": false}    does not report that it is cold
//   {"service_us": 2000, "slow_percent": 1, "slow_factor": 20}
//                                mean service time; slow_percent of the
//                                searches take slow_factor times as long
//   {"crash_word": "poison"}     crashes on a query that contains this word
//   {"silence": true}            never responds on the connections open now
//   {"crash": true}              closes all connections and restarts cold
//   {"restart_ms": 500}          time from a crash to the restart
//   {"snapshots": ["v1","v2"]}   snapshots that it serves, each with the shard
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

/// A text whose lines are distributed over shards.
class TextIndex {
public:
  struct Match {
    std::string Id;
    double Score = 0;
  };

  /// Assigns each line of \p Text to one of \p TotalShards shards.
  TextIndex(const std::string &Text, uint32_t TotalShards);
  /// Returns the best \p Limit lines of \p Shard that contain all \p Words.
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
  uint32_t TotalShards = 64;
  /// The shards that it holds of each snapshot.
  std::vector<uint32_t> Shards;
  /// May be null.
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
  struct Counters {
    uint64_t Searches = 0;
    uint64_t Shards = 0;
    uint64_t Refused = 0;
    uint64_t Cancelled = 0;
    uint64_t OverLimit = 0;
    uint64_t OverConnectionLimit = 0;
    uint64_t Duplicates = 0;
    uint64_t Crashes = 0;
    uint64_t WhileDraining = 0;
    int64_t MaxInFlight = 0;
    int64_t MaxConnections = 0;
  };

  HttpResponse status() const;
  HttpResponse search(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &Caller);
  HttpResponse run(Search &Job);
  HttpResponse refuse(const char *Reason);
  HttpResponse searchResponse(const Search &Job) const;
  HttpResponse cancel(const HttpRequest &Request);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse stats() const;
  HttpResponse
  waitForDisconnect(const std::shared_ptr<CallerConnection> &Caller);
  /// Suspends until \p Job has a slot; false if it is cancelled, the server
  /// crashes or its deadline passes first.
  bool awaitSlot(Search &Job);
  void countDuplicates(const Search &Job);
  Duration serviceTime();
  void crash();
  void setCold(Duration Time);
  bool cold() const;
  int64_t capacity() const;
  void releaseSlot();

  FiberLoop &Loop;
  BackendStandInOptions Options;
  SeededRandom Rand;
  std::unique_ptr<HttpServer> Server;
  uint64_t Incarnation;
  Faults Fault;
  Counters Counts;
  std::vector<std::string> Snapshots{"v1"};
  uint32_t TotalShards;
  std::vector<uint32_t> HeldShards;
  MonotonicTime ColdUntil;
  /// Connections up to this id get no response.
  uint64_t SilentUpTo = 0;
  /// Searches accepted and not ended: running or waiting.
  int64_t InFlight = 0;
  int64_t Running = 0;
  /// Searches that wait for a slot, longest first.
  std::deque<Search *> Waiting;
  std::map<std::string, Search *> SearchesById;
  /// Request key and shard of each non-idempotent search run.
  std::set<std::string> NonIdempotentRuns;
  /// Between a crash and the restart.
  bool Down = false;
  ScopedTimer CloseAll;
  ScopedTimer Restart;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_BACKEND_STAND_IN_H
