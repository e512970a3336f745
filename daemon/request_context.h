// One query on its way through QueryService; included only by its .cpp files.

#ifndef MIMOSA_DAEMON_REQUEST_CONTEXT_H
#define MIMOSA_DAEMON_REQUEST_CONTEXT_H

#include "daemon/query_service.h"

namespace mimosa {

class QueryService::RequestContext : private QueryHooks {
public:
  RequestContext(QueryService &Queries, RequestId Id,
                 const QueryRequest &Request, ServiceNode &Service);

  RequestId id() const { return Id; }
  const QueryRequest &request() const { return Request; }

  /// Runs the query; suspends.
  QueryAnswer run();

  void abandon();
  /// The admission queue lets the query run, or it has expired there.
  void onAdmissionDecision(bool MayStart);
  /// The quarantine has decided about a waiting query.
  void onQuarantineDecision(QuarantineDecision Next);

private:
  void onStarted(std::function<void()> Abort) override;
  void onCanaryPassed() override;
  void onStrike(std::function<void(uint32_t)> Acknowledge) override;

  QueryAnswer runAdmitted();
  QueryAnswer runClaimed();
  QueryAnswer runSession();
  std::optional<QueryAnswer> waitForAdmission();
  std::optional<QueryAnswer> passQuarantine();
  QuarantineDecision waitForDecision(QuarantineDecision First);
  void endCanary(CanaryEnd End);
  QueryAnswer refusal(ResultCode Code, std::string Message) const;
  QueryAnswer abandonedAnswer() const;
  MonotonicTime now() const { return Queries.Context.Loop.now(); }

  QueryService &Queries;
  RequestId Id;
  const QueryRequest &Request;
  ServiceNode &Service;
  MonotonicTime Received;
  MonotonicTime Deadline;
  Fingerprint RequestFingerprint;
  FiberEvent Changed;
  std::optional<bool> Admitted;
  std::optional<QuarantineDecision> QuarantineResult;
  bool IsCanary = false;
  bool Abandoned = false;
  std::function<void()> Abort;
  /// Outlives this object in callbacks that come late.
  std::shared_ptr<RequestContext *> Self;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_REQUEST_CONTEXT_H
