// Runs queries as their root. Each query has a QuerySession, whose sub-requests
// the runner sends to the owners of the backend servers: the dispatcher of this
// host or other hosts.
//
//   QueryRunner Runner(Context);
//   QueryAnswer Answer =
//       Runner.run(Request, Service, Options, Hooks);   // suspends
//   Runner.onReply(Message);                            // from another host
//   Runner.onLocalResult(Result);                       // from this host

#ifndef MIMOSA_DAEMON_QUERY_RUNNER_H
#define MIMOSA_DAEMON_QUERY_RUNNER_H

#include "daemon/node_context.h"
#include "daemon/service_node.h"
#include "dispatch/messages.h"
#include "query/session.h"
#include "runtime/http.h"

#include <memory>
#include <unordered_map>

namespace mimosa {

/// Handlers of the events of one running query. They must not suspend.
class QueryHooks {
public:
  virtual ~QueryHooks() = default;
  /// The query has started. \p Abort ends it because its caller has abandoned
  /// it, and has no effect after its end.
  virtual void onStarted(std::function<void()> Abort) = 0;
  /// The canary was answered, so the fingerprint is known to be good.
  virtual void onCanaryPassed() = 0;
  /// The canary's backend server was lost. \p Acknowledge has to be called with
  /// the fingerprint's number of strikes once the host set has received this
  /// one.
  virtual void onStrike(std::function<void(uint32_t)> Acknowledge) = 0;
};

class QueryRunner {
public:
  explicit QueryRunner(NodeContext &Context);
  ~QueryRunner();

  /// Runs one query and returns its answer; suspends the calling fiber.
  QueryAnswer run(const QueryRequest &Request, ServiceNode &Service,
                  const QuerySessionOptions &Options, QueryHooks &Hooks);

  /// Another host has reported the end of a sub-request of this root.
  void onReply(DispatchReply Message);
  /// The dispatcher of this host has ended a sub-request of this root.
  void onLocalResult(SubRequestResult Message);
  /// The connection to \p Owner failed; ends the sub-requests sent to it.
  void onOwnerConnectionLost(const HostId &Owner,
                             PeerClient::ConnectionFailure Failure);

  size_t runningQueries() const { return RunningQueries; }
  const QueryCounters &counters() const { return Totals; }

private:
  struct ActiveQuery;
  struct OutstandingSubRequest {
    std::shared_ptr<ActiveQuery> Query;
    SubRequestNumber Number;
    BackendServerId Backend;
    HostId Owner;
    /// Set for a probe of a straggler, whose reply no session receives.
    ServiceNode *ProbedService = nullptr;
    MonotonicTime SentAt;
  };

  void processEvents(const std::shared_ptr<ActiveQuery> &Query);
  template <typename Event>
  void postEvent(const std::shared_ptr<ActiveQuery> &Query,
                 SubRequestNumber Number, Event Posted);
  void reportStrike(const std::shared_ptr<ActiveQuery> &Query);
  void perform(const std::shared_ptr<ActiveQuery> &Query,
               QueryActions &Actions);
  void send(const std::shared_ptr<ActiveQuery> &Query,
            std::vector<OutgoingSubRequest> &ToSend);
  void sendRemote(ActiveQuery &Query, const HostId &Owner,
                  std::vector<DispatchItem> Items, const SnapshotId &Snapshot);
  void sendLocal(ActiveQuery &Query, std::vector<DispatchItem> Items,
                 const SnapshotId &Snapshot);
  void cancel(ActiveQuery &Query, SubRequestNumber Number);
  void probeStraggler(const std::shared_ptr<ActiveQuery> &Query,
                      const OutgoingSubRequest &Outgoing);
  void endProbe(const OutstandingSubRequest &Probe, bool Answered);

  NodeContext &Context;
  std::unordered_map<uint64_t, OutstandingSubRequest> OutstandingById;
  uint64_t LastSubRequestId = 0;
  size_t RunningQueries = 0;
  QueryCounters Totals;
};

/// \p Message for the root, without the service, which the caller sets.
DispatchReply toDispatchReply(SubRequestResult Message);

/// Maps \p Reason to the session's kind of refusal.
Refusal toRefusal(RefusalReason Reason);

} // namespace mimosa

#endif // MIMOSA_DAEMON_QUERY_RUNNER_H
