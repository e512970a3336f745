// One entry host: its services, its configuration and its part among the other
// hosts. Joins the drivers; decisions are taken in the modules they drive.

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

  /// Listens for other daemons and joins them; fails with BadSetting.
  Result<Done> start();
  /// Tells the others that this host is leaving, serves until no caller can
  /// still hold its address, and releases what it owns; suspends.
  void shutDown();
  bool leaving() const { return Leaving; }

  /// The service, null if it is not in the configuration.
  ServiceNode *service(const ServiceId &Name);

  NodeContext &context() { return Context; }
  const DaemonOptions &options() const { return Options; }
  ConfigDriver &configs() { return Configs; }
  Membership &members() { return Members.members(); }
  const Placement &placement() const { return CurrentPlacement; }
  QueryService &queries() { return Queries; }
  QueryForwarder &forwarder() { return Forwarder; }
  /// Values for /v1/status.
  Json status();
  /// The metrics page in Prometheus text.
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
  Placement CurrentPlacement;
  QueryService Queries;
  QueryForwarder Forwarder;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceNode>> Services;
  bool PlacementDirty = false;
  bool Leaving = false;
  /// Nothing is to be owned any more.
  bool ReleasingAll = false;
  ScopedTimer PlacementTicks;
  ScopedTimer SeedRefresh;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_NODE_H
