// Runs queries as their root: one QuerySession each, whose sub-requests go to
// the owners of backend servers, here or on other hosts.
//
//   QueryRunner Runner(Context);
//   QueryAnswer Answer = Runner.run(Request, Service, Caller);  // suspends
//   Runner.onReply(RequestId, ...);                             // from owners

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

/// What the runner tells about one query while it runs; must not suspend.
class QueryHooks {
public:
  virtual ~QueryHooks() = default;
  /// \p Abort ends the query because its caller gave up; harmless later.
  virtual void onStarted(std::function<void()> Abort) = 0;
  /// The canary was answered: the fingerprint is good.
  virtual void onCanaryPassed() = 0;
  /// A backend server was lost with the canary. \p Acknowledge is to be called
  /// with the number of strikes once the host set knows of it.
  virtual void onStrike(std::function<void(uint32_t)> Acknowledge) = 0;
};

class QueryRunner {
public:
  explicit QueryRunner(NodeContext &Context);
  ~QueryRunner();

  /// Runs one query and returns its answer; suspends the fiber.
  QueryAnswer run(const QueryRequest &Request, ServiceNode &Service,
                  const QuerySessionOptions &Options, QueryHooks &Hooks);

  /// A sub-request that this host sent as root has ended.
  void onReply(DispatchReply Message);
  /// The same from the dispatcher of this host.
  void onLocalResult(SubRequestResult Message);
  /// The connection to \p Owner was lost.
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
    /// Set for a probe, which belongs to no session.
    ServiceNode *ProbedService = nullptr;
    MonotonicTime SentAt;
  };

  void processEvents(const std::shared_ptr<ActiveQuery> &Query);
  template <typename Event>
  void postEvent(const std::shared_ptr<ActiveQuery> &Query,
                 SubRequestNumber Number, Event Posted);
  void reportStrike(const std::shared_ptr<ActiveQuery> &Query);
  void carryOut(const std::shared_ptr<ActiveQuery> &Query,
                QueryActions &Actions);
  void send(const std::shared_ptr<ActiveQuery> &Query,
            std::vector<OutgoingSubRequest> &ToSend);
  void sendRemote(ActiveQuery &Query, const HostId &Owner,
                  std::vector<DispatchItem> Items, const SnapshotId &Snapshot);
  void sendLocal(ActiveQuery &Query, std::vector<DispatchItem> Items,
                 const SnapshotId &Snapshot);
  void cancel(ActiveQuery &Query, SubRequestNumber Number);
  void probeStraggler(const std::shared_ptr<ActiveQuery> &Query,
                      const OutgoingSubRequest &Like);
  void endProbe(const OutstandingSubRequest &Probe, bool Answered);

  NodeContext &Context;
  std::unordered_map<uint64_t, OutstandingSubRequest> OutstandingById;
  uint64_t LastSubRequestId = 0;
  size_t RunningQueries = 0;
  QueryCounters Totals;
};

/// \p Message as it travels to the root; the service is left empty.
DispatchReply toDispatchReply(SubRequestResult Message);

/// The outcome that \p Reason stands for in a session.
Refusal toRefusal(RefusalReason Reason);

} // namespace mimosa

#endif // MIMOSA_DAEMON_QUERY_RUNNER_H
