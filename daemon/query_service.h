// The way of a query through this host: admission, the quarantine of requests
// that crash backend servers, the claim of a non-idempotent request, the run,
// and the count of callers who gave up.
//
//   QueryService Queries(Context, Store);
//   QueryAnswer Answer = Queries.run(Request, Node, Caller);   // suspends
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

  /// Takes the queue limits and weights of the services in \p Document.
  void configure(const Config &Document);

  /// Runs one query from its arrival to its answer.
  QueryAnswer run(const QueryRequest &Request, ServiceNode &Service,
                  const std::shared_ptr<CallerConnection> &Caller);

  /// Ends the queries of \p Caller with \p Key; the number of them.
  size_t cancel(const CallerId &Caller, const RequestKey &Key);

  /// Frames 20 to 24; false for others.
  bool handleFrame(const PeerFrame &Frame, const PeerReplier &Reply);

  QueryRunner &runner() { return Runner; }
  ClaimDriver &claims() { return Claims; }
  /// Queries that have arrived and are not answered.
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
  void count(const QueryRequest &Request, const QueryAnswer &Answer);

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
