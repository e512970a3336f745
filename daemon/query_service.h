// Runs the queries that this host serves: admission, the quarantine of queries
// that crash backend servers, the claim of a non-idempotent query, the run by
// QueryRunner, metrics and the count of abandoned queries.
//
//   QueryService Queries(Context, Store);
//   QueryAnswer Answer = Queries.run(Request, Service, Caller);   // suspends
//   Queries.cancel(Caller, Key);

#ifndef MIMOSA_DAEMON_QUERY_SERVICE_H
#define MIMOSA_DAEMON_QUERY_SERVICE_H

#include "abandonment/abandonment_counter.h"
#include "admission/admission_queue.h"
#include "daemon/claim_driver.h"
#include "daemon/query_runner.h"
#include "daemon/strike_driver.h"
#include "quarantine/quarantine.h"

#include <map>
#include <memory>

namespace mimosa {

class QueryService {
public:
  QueryService(NodeContext &Context, KeyValueStore &Store);
  ~QueryService();

  /// Sets the queue limits and weights of the services from \p Document.
  void configure(const Config &Document);

  /// Runs one query and returns its answer; suspends the calling fiber.
  QueryAnswer run(const QueryRequest &Request, ServiceNode &Service,
                  const std::shared_ptr<CallerConnection> &Caller);

  /// Aborts the queries of \p Caller with \p Key; returns their number.
  size_t cancel(const CallerId &Caller, const RequestKey &Key);

  /// Handles the frames of claims and strikes (types 20 to 24); false for any
  /// other type.
  bool handleFrame(const PeerFrame &Frame, const PeerReplier &Reply);

  QueryRunner &runner() { return Runner; }
  ClaimDriver &claims() { return Claims; }
  /// Number of queries that have arrived and are not answered yet.
  size_t inProgress() const { return InProgress.size(); }
  const AdmissionQueue &admission() const { return Admission; }
  const Quarantine &quarantine() const { return CrashQuarantine; }
  const AbandonmentCounter &abandonments() const { return Abandonments; }

private:
  class RequestContext;
  friend class RequestContext;

  void pollAdmission();
  void releaseWaiting(const std::vector<QuarantineRelease> &Released);
  void expirePeriodically();
  void recordMetrics(const QueryRequest &Request, const QueryAnswer &Answer);

  NodeContext &Context;
  QueryRunner Runner;
  ClaimDriver Claims;
  AdmissionQueue Admission;
  Quarantine CrashQuarantine;
  StrikeDriver Strikes;
  AbandonmentCounter Abandonments;
  RequestId LastId;
  std::map<RequestId, RequestContext *> InProgress;
  ScopedTimer AdmissionTicks;
  ScopedTimer AbandonmentTicks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_QUERY_SERVICE_H
