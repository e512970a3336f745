// One service on this host: the view of its backend servers that query sessions
// use (BackendDirectory), the ownership of partitions (OwnershipDriver), and
// the dispatch to the backend servers of the partitions that this host owns
// (Dispatcher).
//
//   ServiceNode Storm(Context, Store, ServiceId("storm"), OnResult);
//   Storm.configure(Document, HostPlacement);
//   Storm.submit(Backend, Request);   // as owner
//   Storm.directory();                // as root

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

  /// Applies the configuration of the service, which must be in \p Document,
  /// and its placement.
  void configure(const Config &Document, const Placement &HostPlacement);
  /// The service is no longer in the configuration: stops the dispatch and
  /// releases its partitions. The object must stay, because fibers of the
  /// connections may still run.
  void retire();
  void setAliveHosts(const std::vector<HostId> &Hosts);
  /// Sets the hosts that are leaving. They still serve callers that hold their
  /// addresses, so they continue to get owner reports.
  void setLeavingHosts(std::vector<HostId> Leaving) {
    LeavingHosts = std::move(Leaving);
  }
  /// Removes \p Host, which died or restarted, as owner of its partitions.
  void clearOwner(const HostId &Host);
  /// To be called after a pause of this process.
  void onPause();
  /// Releases all partitions; ownsNothing() becomes true when that is done.
  void leave();
  bool ownsNothing() const;

  /// Handles the frames of ownership (types 12 to 14) for this service; false
  /// for any other type.
  bool handleFrame(const PeerFrame &Frame);
  void onOwnerReport(const OwnerReport &Report);

  const Service &settings() const { return Settings; }
  BackendDirectory &directory() { return Directory; }
  /// The source from which query sessions choose replicas: the directory, or
  /// the baseline's random choice from it.
  ReplicaSource &replicaSource();
  const Dispatcher &dispatcher() const { return Dispatch; }
  /// The hosts that serve the service, in all regions.
  const std::vector<HostId> &hosts() const { return Hosts; }
  bool isServedHere() const { return ServedHere; }
  const Ownership *ownership() const {
    return LocalOwnership ? &LocalOwnership->state() : nullptr;
  }

  /// Dispatches \p Request to \p Backend. The result callback is called once
  /// for each request that is not a duplicate, possibly before this returns.
  void submit(const BackendServerId &Backend, SubRequest Request);
  void cancel(const BackendServerId &Backend, const SubRequestKey &Key);
  /// \p Host refused a sub-request to \p Backend because it does not own it.
  void onNotOwner(const BackendServerId &Backend, const HostId &Host);

private:
  bool mayDispatch(Partition P, MonotonicTime Now) const override;
  void startDispatch(Partition P) override;
  void stopDispatch(Partition P) override;

  void configureBackends(const Config &Document);
  void applyPlacement(const Config &Document, const Placement &HostPlacement);
  std::vector<PreferredOwner>
  preferredOwners(const Placement &HostPlacement) const;
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
  std::unique_ptr<OwnershipDriver> LocalOwnership;
  std::vector<HostId> Hosts;
  std::vector<HostId> AliveHosts;
  std::vector<HostId> LeavingHosts;
  bool ServedHere = false;
  /// Number of backend servers in each partition of this host's region.
  std::map<Partition, uint32_t> BackendCounts;
  std::unordered_map<BackendServerId, uint32_t> PartitionIndexes;
  /// Service times of the backend servers, whose 99th percentile is the base
  /// for the detection of silent connections.
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
