// One query on its way through QueryService; included only by its .cpp files.

#ifndef MIMOSA_DAEMON_QUERY_PASSAGE_H
#define MIMOSA_DAEMON_QUERY_PASSAGE_H

#include "daemon/query_service.h"

namespace mimosa {

class QueryService::Passage : private QueryHooks {
public:
  Passage(QueryService &Service, RequestId Id, const QueryRequest &Request,
          ServiceNode &Node);

  RequestId id() const { return Id; }
  const QueryRequest &request() const { return Request; }

  /// Runs the query; suspends.
  QueryAnswer run();

  void callerGone();
  /// The admission queue lets the query run, or it has expired there.
  void admitted(bool Starts);
  /// The quarantine has decided about a waiting query.
  void decided(QuarantineDecision What);

private:
  void started(std::function<void()> Abort) override;
  void canaryPassed() override;
  void strike(std::function<void(uint32_t)> Acknowledge) override;

  QueryAnswer runAdmitted();
  QueryAnswer runClaimed();
  QueryAnswer runSession();
  std::optional<QueryAnswer> waitForAdmission();
  std::optional<QueryAnswer> passQuarantine();
  QuarantineDecision waitForDecision(QuarantineDecision First);
  void endCanary(CanaryEnd End);
  QueryAnswer refusal(ResultCode Code, std::string Message) const;
  QueryAnswer gone() const;
  MonotonicTime now() const { return Service.Context.Loop.now(); }

  QueryService &Service;
  RequestId Id;
  const QueryRequest &Request;
  ServiceNode &Node;
  MonotonicTime Received;
  MonotonicTime Deadline;
  Fingerprint Print;
  FiberEvent Changed;
  std::optional<bool> Admission;
  std::optional<QuarantineDecision> Decision;
  bool IsCanary = false;
  bool CallerIsGone = false;
  std::function<void()> Abort;
  /// Outlives this object in callbacks that come late.
  std::shared_ptr<Passage *> Alive;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_QUERY_PASSAGE_H
