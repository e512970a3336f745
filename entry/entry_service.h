// Serves callers' requests: finds the route, runs the request on one backend
// server or on one of each shard, and answers or refuses.

#ifndef MIMOSA_ENTRY_ENTRY_SERVICE_H
#define MIMOSA_ENTRY_ENTRY_SERVICE_H

#include "balance/call_scheduler.h"
#include "gather/gather_query.h"
#include "platform/caller_wire.h"
#include "quarantine/crash_watch.h"
#include "routing/route_table.h"
#include "routing/weighted_round_robin.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace mimosa {

class EntryService : public HttpHandler {
public:
  EntryService(FiberLoop &Loop, ServerRegistry &Registry, CallScheduler &Calls,
               CrashWatch &Crashes, MetricsRegistry &Metrics, Random &Rng)
      : Loop(Loop), Registry(Registry), Calls(Calls), Crashes(Crashes),
        Metrics(Metrics), Rng(Rng) {}

  /// Calls \p Tell with each strike of this host, see
  /// quarantine/crash_watch.h.
  void onStrike(std::function<void(const StrikeNotice &)> Tell) {
    TellStrike = std::move(Tell);
  }

  void setRoutes(std::shared_ptr<const RouteTable> Table) {
    Routes = std::move(Table);
  }
  /// Requests are refused from now on; those in flight go on.
  void refuseNew() { Refusing = true; }

  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerSignals> &Caller) override;

  size_t inFlight() const { return InFlight; }

private:
  /// One request while it is served.
  struct Passage {
    const Route &Path;
    std::shared_ptr<const RouteTable> Table;
    std::shared_ptr<const CallerRequest> Request;
    std::shared_ptr<CallerSignals> Caller;
    MonotonicTime ArrivedAt;
    GatherTimes Times;
    Fingerprint Print;
  };

  HttpResponse refuseUnready(const DecodedCallerRequest &In) const;
  Passage passage(const DecodedCallerRequest &In, const HttpRequest &Request,
                  const Route &Path,
                  const std::shared_ptr<CallerSignals> &Caller) const;
  HttpResponse serveSingle(const Passage &P);
  HttpResponse serveGather(const Passage &P);
  /// Cancels the calls of a query that have not ended and names their shards.
  /// True if a backend server may have run one of them.
  bool cancelRest(const Passage &P, const std::vector<CallId> &Ids,
                  std::string *LeftOut);
  HttpResponse refuse(const Passage &P, ResultCode Code, const std::string &Why,
                      Duration RetryAfter);
  HttpResponse fail(const Passage &P, bool TimedOut, const std::string &Why);
  HttpResponse callerLeft(const Passage &P);
  void noteCrashes(const Passage &P, const ServiceId &Service, uint32_t Lost,
                   bool Succeeded);
  void note(const Passage &P, const char *Outcome, const std::string &Detail);
  CallRequest callRequest(const Passage &P, const ServiceId &Service) const;
  Duration retryAfter(CallReason Reason);
  bool hopeless(const Route &R, MonotonicTime Now) const;

  FiberLoop &Loop;
  ServerRegistry &Registry;
  CallScheduler &Calls;
  CrashWatch &Crashes;
  MetricsRegistry &Metrics;
  Random &Rng;
  std::shared_ptr<const RouteTable> Routes;
  std::unordered_map<RouteId, WeightedRoundRobin> Rotations;
  std::function<void(const StrikeNotice &)> TellStrike;
  bool Refusing = false;
  size_t InFlight = 0;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_ENTRY_SERVICE_H
