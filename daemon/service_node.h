// One service on this host: its backend servers as the root of a query sees
// them (BackendDirectory) and, for the partitions that this host owns, the
// dispatch to them.
//
//   ServiceNode Storm(Context, ServiceId("storm"), OnReply);
//   Storm.configure(Document, HostSet, Preferred);
//   Storm.submit(Backend, Work);          // as owner
//   Storm.directory();                    // as root

#ifndef MIMOSA_DAEMON_SERVICE_NODE_H
#define MIMOSA_DAEMON_SERVICE_NODE_H

#include "backend/backend_directory.h"
#include "config/config.h"
#include "daemon/backend_links.h"
#include "daemon/node_context.h"
#include "dispatch/dispatcher.h"

namespace mimosa {

/// The partition of a backend server; the same on all hosts at all times.
Partition partitionOf(const BackendServerId &Backend);

class ServiceNode : private DispatchPermission {
public:
  ServiceNode(NodeContext &Context, ServiceId Service,
              BackendLinks::ReplyCallback OnReply);
  ~ServiceNode() override;

  /// Takes the configuration of the service, which must be in \p Document.
  void configure(const Config &Document);

  const Service &settings() const { return Settings; }
  BackendDirectory &directory() { return Directory; }

  /// Sends \p Work to \p Backend as its owner; every call is answered once
  /// through the reply callback, possibly before it returns.
  void submit(const BackendServerId &Backend, SubRequest Work);
  void cancel(const BackendServerId &Backend, const SubRequestKey &Key);

private:
  bool mayDispatch(Partition P, MonotonicTime Now) const override;
  void publish(GateId Gate);
  void tick();
  void ownAll();

  NodeContext &Context;
  ServiceId Name;
  Service Settings;
  BackendDirectory Directory;
  Dispatcher Gates;
  BackendLinks Links;
  uint64_t SummarySequence = 0;
  Subscription Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_SERVICE_NODE_H
