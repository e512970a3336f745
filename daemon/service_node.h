// One service on this host: its backend servers as the root of a query sees
// them (BackendDirectory), the ownership of partitions, and the dispatch to the
// backend servers of those that this host owns.
//
//   ServiceNode Storm(Context, Store, ServiceId("storm"), OnReply);
//   Storm.configure(Document, Places);
//   Storm.submit(Backend, Request);          // as owner
//   Storm.directory();                    // as root

#ifndef MIMOSA_DAEMON_SERVICE_NODE_H
#define MIMOSA_DAEMON_SERVICE_NODE_H

#include "backend/backend_directory.h"
#include "backend/baseline_source.h"
#include "backend/latency_window.h"
#include "config/config.h"
#include "daemon/backend_connections.h"
#include "daemon/node_context.h"
#include "daemon/owner_table.h"
#include "daemon/ownership_driver.h"
#include "dispatch/dispatcher.h"
#include "placement/placement.h"

namespace mimosa {

class ServiceNode : private DispatchPermission, private DispatchControl {
public:
  ServiceNode(NodeContext &Context, KeyValueStore &Store, ServiceId Service,
              BackendConnections::ResultCallback OnResult);
  ~ServiceNode() override;

  /// Takes the configuration of the service, which must be in \p Document, and
  /// what follows from the members.
  void configure(const Config &Document, const Placement &Places);
  /// The service is no longer in the configuration. The object stays, because
  /// fibers of its connections may still run.
  void retire();
  void setAliveHosts(const std::vector<HostId> &Hosts);
  /// Hosts that are leaving; they still serve callers with old addresses and
  /// have to know the owners.
  void setLeavingHosts(std::vector<HostId> Leaving) {
    LeavingHosts = std::move(Leaving);
  }
  /// \p Host is dead.
  void clearOwner(const HostId &Host);
  void onPause();
  /// Releases all partitions; ownsNothing() tells when that is done.
  void leave();
  bool ownsNothing() const;

  /// Frames 12 to 15 of this service.
  bool handleFrame(const PeerFrame &Frame);
  void onOwnerReport(const OwnerReport &Report);

  const Service &settings() const { return Settings; }
  BackendDirectory &directory() { return Directory; }
  /// What query sessions plan with: the directory, or its baseline form.
  ReplicaSource &replicaSource();
  const Dispatcher &dispatcher() const { return Dispatch; }
  /// The hosts that serve the service, in all regions.
  const std::vector<HostId> &hosts() const { return Hosts; }
  bool isServedHere() const { return ServedHere; }
  const Ownership *ownership() const {
    return OwnershipRunner ? &OwnershipRunner->state() : nullptr;
  }

  /// Sends \p Request to \p Backend as its owner; every call is answered once
  /// through the reply callback, possibly before it returns.
  void submit(const BackendServerId &Backend, SubRequest Request);
  void cancel(const BackendServerId &Backend, const SubRequestKey &Key);
  /// \p Host has refused a sub-request to \p Backend as not being its owner.
  void onNotOwner(const BackendServerId &Backend, const HostId &Host);

private:
  bool mayDispatch(Partition P, MonotonicTime Now) const override;
  void startDispatch(Partition P) override;
  void stopDispatch(Partition P) override;

  void configureBackends(const Config &Document);
  void applyPlacement(const Config &Document, const Placement &Places);
  std::vector<PreferredOwner> preferredOwners(const Placement &Places) const;
  void recordServiceTime(const SubRequestResult &Result);
  void tick();
  void finishReleases();
  void publishIfDue();
  void publish(bool IncludeAll);
  OwnerReport makeReport(bool IncludeAll);
  void updateDirectoryOwners();

  NodeContext &Context;
  KeyValueStore &Store;
  ServiceId Name;
  Service Settings;
  BackendDirectory Directory;
  BaselineSource Baseline;
  Dispatcher Dispatch;
  BackendConnections Connections;
  OwnerTable Owners;
  std::unique_ptr<OwnershipDriver> OwnershipRunner;
  std::vector<HostId> Hosts;
  std::vector<HostId> AliveHosts;
  std::vector<HostId> LeavingHosts;
  bool ServedHere = false;
  /// Backend servers of the own region by partition.
  std::map<Partition, uint32_t> BackendCounts;
  std::unordered_map<BackendServerId, uint32_t> PartitionIndexes;
  /// Times of sub-requests at the backend servers, for silent connections.
  LatencyWindow ServiceTimes;
  std::set<Partition> ReleasingPartitions;
  std::set<SchedulerId> ChangedSchedulers;
  bool OwnershipChanged = false;
  uint64_t ReportSequence = 0;
  MonotonicTime NextOwnershipReport;
  MonotonicTime NextFullReport;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_SERVICE_NODE_H
