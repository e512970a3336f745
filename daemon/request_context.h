// The state of one query while QueryService runs it: admission, quarantine,
// claim and session, one after the other, in the fiber of the caller's
// connection. Included only by the .cpp files of QueryService.

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

  /// The caller has disconnected or cancelled the query.
  void abandon();
  /// The query may start, or its deadline passed in the admission queue.
  void onAdmissionDecision(bool MayStart);
  /// The quarantine has decided what this query, which waited, may do.
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
  /// Null after run() has returned, for callbacks that are called later.
  std::shared_ptr<RequestContext *> Self;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_REQUEST_CONTEXT_H
