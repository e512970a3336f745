// Serves callers' requests: finds the route, runs the request on one backend
// server or on one of each shard, and answers or refuses.
//
//   EntryService Service(Loop, Scheduler, Crashes, Metrics, Rng);
//   Service.setRoutes(Table);      // requests are refused until then
//   HttpServer Server(Loop, Options, Service);

#ifndef MIMOSA_ENTRY_ENTRY_SERVICE_H
#define MIMOSA_ENTRY_ENTRY_SERVICE_H

#include "balance/call_scheduler.h"
#include "entry/answer_validator.h"
#include "entry/shutdown_plan.h"
#include "entry/team_quota.h"
#include "gather/gather_query.h"
#include "gather/query_admission.h"
#include "platform/caller_wire.h"
#include "quarantine/crash_watch.h"
#include "routing/route_table.h"
#include "routing/weighted_round_robin.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

#include <optional>
#include <variant>

namespace mimosa {

class EntryService : public HttpHandler {
public:
  EntryService(FiberLoop &Loop, CallScheduler &Scheduler, CrashWatch &Crashes,
               MetricsRegistry &Metrics, Random &Rng)
      : Loop(Loop), Scheduler(Scheduler), Crashes(Crashes), Metrics(Metrics),
        Rng(Rng), Validator(Metrics) {}

  /// Calls \p Callback with each strike that this host records, see
  /// quarantine/crash_watch.h.
  void onStrike(std::function<void(const StrikeNotice &)> Callback) {
    StrikeCallback = std::move(Callback);
  }

  /// Calls \p Callback when an answer withdraws strikes of its request.
  void onWithdrawal(std::function<void(const StrikeWithdrawal &)> Callback) {
    WithdrawalCallback = std::move(Callback);
  }

  /// Requests of teams are subject to \p NewQuota, which must outlive this.
  void setQuota(TeamQuota &NewQuota) { Quota = &NewQuota; }

  void setRoutes(std::shared_ptr<const RouteTable> Table) {
    Routes = std::move(Table);
  }
  /// Serves requests until ShutdownPlan::acceptUntil() as far as they can end
  /// in time, and then refuses them. All requests end by
  /// ShutdownPlan::finishBy().
  void shutDown(const ShutdownPlan &Plan);

  /// How long a withdrawn key may still be accepted if this host cannot find
  /// out whether it was withdrawn; empty if there is no bound. \p ConfigAge
  /// returns the time since the configuration was last known to be the newest.
  void setRevocationLimit(std::optional<Duration> Limit,
                          std::function<Duration()> ConfigAge) {
    RevocationLimit = Limit;
    this->ConfigAge = std::move(ConfigAge);
  }

  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &Caller) override;

  /// Whether queries are refused while their shards are congested, see
  /// gather/query_admission.h.
  void setRefuseCongested(bool Refuse) { RefuseCongested = Refuse; }

  size_t inFlight() const { return InFlight; }

private:
  /// A request that is being served.
  struct RequestContext {
    const Route &MatchedRoute;
    /// Null if the caller has no team.
    const Team *CallerTeam;
    /// That of the team goes before that of the route.
    uint32_t Priority;
    /// Keeps MatchedRoute alive.
    std::shared_ptr<const RouteTable> Table;
    std::shared_ptr<const CallerRequest> Request;
    std::shared_ptr<CallerConnection> Caller;
    MonotonicTime ArrivedAt;
    GatherTimes Times;
    Fingerprint RequestFingerprint;
  };

  /// Serves a request. Sets \p Id as soon as it is known.
  CallerAnswer serve(const HttpRequest &Request,
                     const std::shared_ptr<CallerConnection> &Caller,
                     CallerRequestId &Id);
  /// The caller's team, null if the request needs none, or the response to a
  /// request without a valid key.
  std::variant<const Team *, HttpResponse>
  identifyTeam(const DecodedCallerRequest &Decoded,
               const Route &MatchedRoute) const;
  /// Refuses a request while this host has no configuration.
  CallerAnswer refuseUnconfigured(const DecodedCallerRequest &Decoded) const;
  RequestContext
  makeContext(const DecodedCallerRequest &Decoded, const HttpRequest &Request,
              const Route &MatchedRoute, const Team *CallerTeam,
              const std::shared_ptr<CallerConnection> &Caller) const;
  /// How long the pauses and rate limits of the backend servers of \p Service
  /// delay one more call; 0 if no backend server is usable.
  Duration availableIn(const RequestContext &Context,
                       const ServiceId &Service) const;
  /// Refuses a request because the quota of its team is used up.
  CallerAnswer refuseOverQuota(const RequestContext &Context);
  CallerAnswer serveSingle(const RequestContext &Context);
  CallerAnswer serveGather(const RequestContext &Context);
  /// The refusal of a query that cannot be answered in time, before any of its
  /// calls; empty if it may begin.
  std::optional<CallerAnswer> refuseGather(const RequestContext &Context);
  static QueryOffer offerOf(const RequestContext &Context);
  /// Cancels the calls of a query that have not ended, and describes them in
  /// \p Unfinished for the log. Returns true if a backend server may have run
  /// one of them.
  bool cancelUnfinished(const RequestContext &Context,
                        const std::vector<CallId> &Ids,
                        std::string *Unfinished);
  /// Refuses a request that has not run, as \p State says. \p Detail is added
  /// to the line of the log.
  CallerAnswer refuse(const RequestContext &Context, RunState State,
                      ResultCode Code, const std::string &Reason,
                      Duration RetryAfter, const std::string &Detail = "");
  /// The shards to which a call could only be sent too late, because of what
  /// their backend servers have asked for.
  std::vector<ServiceId> heldBackShards(const RequestContext &Context,
                                        MonotonicTime Now) const;
  /// Which backend servers of \p Services are held back and why, for the log.
  std::string describeHeldBack(const std::vector<ServiceId> &Services) const;
  CallerAnswer fail(const RequestContext &Context, bool TimedOut,
                    const std::string &Reason);
  /// Returns a response that closes the connection without an answer.
  CallerAnswer closeWithoutAnswer(const RequestContext &Context,
                                  bool MayHaveRun);
  void recordCrashes(const RequestContext &Context, const ServiceId &Service,
                     uint32_t Lost, bool Succeeded);
  void recordOutcome(const RequestContext &Context, const char *Outcome,
                     const std::string &Detail);
  CallRequest makeCallRequest(const RequestContext &Context,
                              const ServiceId &Service) const;

  FiberLoop &Loop;
  CallScheduler &Scheduler;
  CrashWatch &Crashes;
  MetricsRegistry &Metrics;
  Random &Rng;
  AnswerValidator Validator;
  TeamQuota *Quota = nullptr;
  std::shared_ptr<const RouteTable> Routes;
  std::optional<Duration> RevocationLimit;
  std::function<Duration()> ConfigAge = [] { return Duration(0); };
  std::unordered_map<RouteId, WeightedRoundRobin> RoundRobins;
  QueryAdmission Admission;
  bool RefuseCongested = false;
  std::function<void(const StrikeNotice &)> StrikeCallback;
  std::function<void(const StrikeWithdrawal &)> WithdrawalCallback;
  /// Set while the host is stopping.
  std::optional<ShutdownPlan> Shutdown;
  size_t InFlight = 0;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_ENTRY_SERVICE_H
