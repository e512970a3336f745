// The daemon of one host: owns the drivers, connects them with each other and
// routes the frames of other daemons to them. Decisions are made by the classes
// that they drive, such as Membership and Ownership.
//
//   Node Daemon(Loop, Options);
//   Result<Done> Started = Daemon.start();
//   ...
//   Daemon.shutDown();                     // suspends

#ifndef MIMOSA_DAEMON_NODE_H
#define MIMOSA_DAEMON_NODE_H

#include "daemon/config_driver.h"
#include "daemon/membership_driver.h"
#include "daemon/options.h"
#include "daemon/query_forwarder.h"
#include "daemon/query_service.h"
#include "placement/placement.h"
#include "platform/http_key_value_store.h"

namespace mimosa {

class Node : private MembershipEvents, private PeerHandler {
public:
  Node(FiberLoop &Loop, const DaemonOptions &Options);
  ~Node() override;

  /// Accepts connections of other daemons and joins them; fails with
  /// BadSetting.
  Result<Done> start();
  /// Announces that this host is leaving, releases its partitions and serves
  /// until the addresses that callers hold have expired and, for at most
  /// DrainLimit longer, until no query runs and no partition is owned;
  /// suspends.
  void shutDown();
  bool leaving() const { return Leaving; }

  /// The service \p Name; null if it is not in the configuration.
  ServiceNode *service(const ServiceId &Name);

  NodeContext &context() { return Context; }
  const DaemonOptions &options() const { return Options; }
  ConfigDriver &configs() { return Configs; }
  Membership &members() { return Members.members(); }
  const Placement &placement() const { return HostPlacement; }
  QueryService &queries() { return Queries; }
  QueryForwarder &forwarder() { return Forwarder; }
  /// The body of /v1/status.
  Json status();
  /// The body of /metrics, in Prometheus' text format.
  std::string renderMetrics();

private:
  void onMemberChanged(const MemberChanged &Change) override;
  void onPauseDetected(Duration Gap) override;
  void onRevisionAnnounced(const HostId &Peer, Revision Announced) override;
  bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) override;

  bool handleServiceFrame(const PeerFrame &Frame);
  void onDispatch(Dispatch Message);
  void onDispatchCancel(const DispatchCancel &Message);
  void refuseDispatch(const Dispatch &Message);
  void onSubRequestEnded(const ServiceId &Service, SubRequestResult Message);
  void onConfigChanged();
  void updatePlacement();
  void configureService(const Service &Settings, const Config &Document);
  std::vector<HostId> aliveHosts();
  void refreshSeeds();
  void updateClaimOwners(const std::vector<HostId> &Alive);
  void registerGauges();
  void registerQueryGauges();

  DaemonOptions Options;
  SeededRandom Rand;
  MetricsRegistry Metrics;
  PeerTraffic Traffic;
  PeerClient Peers;
  NodeContext Context;
  HttpKeyValueStore Store;
  PeerServer Listener;
  MembershipDriver Members;
  ConfigDriver Configs;
  Placement HostPlacement;
  QueryService Queries;
  QueryForwarder Forwarder;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceNode>> Services;
  bool PlacementDirty = false;
  bool Leaving = false;
  /// Set during shutdown: services that are configured later own nothing
  /// either.
  bool ReleasingAll = false;
  ScopedTimer PlacementTicks;
  ScopedTimer SeedRefresh;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_NODE_H
