// The entry daemon: connects the platform feed, the scheduling of requests and
// the servers, and carries out start, reload and graceful stop.
//
//   EntryNode Node(Loop, Options, Seed);
//   if (ok(Node.start()))
//     ...                   // serves until a termination signal
//   Node.stop();

#ifndef MIMOSA_ENTRY_ENTRY_NODE_H
#define MIMOSA_ENTRY_ENTRY_NODE_H

#include "entry/backend_connection_pool.h"
#include "entry/entry_options.h"
#include "entry/entry_service.h"
#include "entry/host_directory.h"
#include "entry/rollout_driver.h"
#include "entry/serving_status.h"
#include "entry/team_quota.h"
#include "placement/registration.h"
#include "platform/platform_feed.h"
#include "quarantine/strike_sharing.h"
#include "runtime/loop_monitor.h"

namespace mimosa {

class EntryNode : private PlatformListener, private PeerHandler {
public:
  EntryNode(FiberLoop &Loop, EntryOptions Options, uint64_t Seed);

  /// Opens the addresses and starts to follow the platform's store.
  Result<Done> start();
  /// Removes this host from the directory, serves until callers use other
  /// hosts, waits for the requests in flight and returns.
  void stop();
  /// Applies those settings that can change while the daemon runs.
  void reload(const EntryOptions &NewOptions);

private:
  class DirectoryPages : public HttpHandler {
  public:
    explicit DirectoryPages(HostDirectory &Directory) : Directory(Directory) {}
    HttpResponse handle(const HttpRequest &Request,
                        const std::shared_ptr<CallerConnection> &) override {
      return Directory.answer(Request);
    }

  private:
    HostDirectory &Directory;
  };
  class MetricsPage : public HttpHandler {
  public:
    explicit MetricsPage(EntryNode &Node) : Node(Node) {}
    HttpResponse handle(const HttpRequest &,
                        const std::shared_ptr<CallerConnection> &) override {
      MonotonicTime Now = Node.Loop.now();
      if (Text.empty() || Now - RenderedAt >= MinRenderInterval) {
        Text = Node.Metrics.render();
        RenderedAt = Now;
      }
      return {200, "text/plain", Text};
    }

  private:
    /// Bounds the processor time for clients that ask again and again.
    static constexpr Duration MinRenderInterval = Milliseconds(20);
    EntryNode &Node;
    std::string Text;
    MonotonicTime RenderedAt;
  };

  void routingChanged(RoutingConfig Config) override;
  void serverChanged(BackendServerEntry Entry) override;
  void serverRemoved(const BackendServerId &Id) override;
  void evacuatedZonesChanged(std::set<AvailabilityZoneId> Zones) override;
  void hostsChanged(std::vector<EntryHost> Hosts) override;
  std::optional<MonotonicTime> registerAt() override;
  void rolloutOrderChanged(const ServiceId &ServiceName,
                           const std::optional<RolloutOrder> &Order) override {
    Rollouts.orderChanged(ServiceName, Order);
  }
  void
  rolloutStatusChanged(const ServiceId &ServiceName,
                       const std::optional<RolloutStatus> &Status) override {
    Rollouts.statusChanged(ServiceName, Status);
  }
  void storeReachabilityChanged(bool Reachable,
                                const std::string &Reason) override;

  bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) override;
  void broadcastLiftedLimits();
  void limitsLifted(const PeerFrame &Frame);
  /// Names the hosts that share the quotas of teams.
  void updateQuotaHosts();
  void runTimers();
  void runPeriodicTasks();
  void updateBusy();
  /// Logs each change of what keeps this host from serving.
  void updateServingStatus();
  /// Serves the metrics, or tries again later: a host must not be kept from
  /// serving callers by a metrics address that is taken.
  void startMetricsServer();
  void applySettings();
  void registerGauges();
  HttpServerOptions serverOptions(const std::string &Address,
                                  IngressAddress &Ingress) const;

  FiberLoop &Loop;
  EntryOptions Options;
  SeededRandom Rng;
  EntryHost Self;
  MetricsRegistry Metrics;
  LoopMonitor Monitor;
  ServerRegistry Registry;
  ReceiveBudget AnswerBudget;
  IngressBudget Ingress;
  IngressAddress CallerIngress;
  IngressAddress ReadyIngress;
  IngressAddress DirectoryIngress;
  IngressAddress PeerIngress;
  IngressAddress MetricsIngress;
  BackendConnectionPool ConnectionPool;
  CallScheduler Scheduler;
  CrashWatch Crashes;
  EntryService Service;
  HostDirectory Directory;
  Registration OwnRegistration;
  MetadataStore Store;
  PlatformFeed Feed;
  StrikeSharing Sharing;
  TeamQuota Quota;
  RolloutDriver Rollouts;
  DirectoryPages Pages;
  MetricsPage MetricsHandler;
  HttpServer CallerServer;
  HttpServer ReadyServer;
  HttpServer DirectoryServer;
  PeerTraffic Traffic;
  PeerServer PeerFrameServer;
  std::unique_ptr<HttpServer> MetricsServer;
  bool MetricsServed = false;
  bool MetricsFailureLogged = false;
  /// Peer addresses of all other entry hosts.
  std::vector<HostId> OtherHosts;
  uint64_t LastAttemptCount = 0;
  bool Busy = false;
  ServingObstacle Obstacle = ServingObstacle::None;
  FiberEvent TimerChanged;
  ScopedTimer PeriodicTimer;
  ScopedTimer LogFlushTimer;
  ScopedTimer LiftedLimitsTimer;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_ENTRY_NODE_H
