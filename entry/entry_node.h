// The entry daemon: joins the platform's feed, the decisions and the sockets,
// and carries out start, reload and graceful stop.

#ifndef MIMOSA_ENTRY_ENTRY_NODE_H
#define MIMOSA_ENTRY_ENTRY_NODE_H

#include "entry/backend_channels.h"
#include "entry/entry_options.h"
#include "entry/entry_service.h"
#include "entry/host_directory.h"
#include "platform/platform_feed.h"

namespace mimosa {

class EntryNode : private PlatformListener, private PeerHandler {
public:
  EntryNode(FiberLoop &Loop, EntryOptions Options, uint64_t Seed);

  /// Opens the addresses and starts to follow the platform.
  Result<Done> start();
  /// Leaves the directory, serves until callers have gone elsewhere, lets what
  /// is in flight end, and returns.
  void stop();
  /// Takes over settings that can change while the daemon runs.
  void reload(const EntryOptions &NewOptions);

private:
  /// Hands the pages of one address to the directory.
  class DirectoryPages : public HttpHandler {
  public:
    explicit DirectoryPages(HostDirectory &Directory) : Directory(Directory) {}
    HttpResponse handle(const HttpRequest &Request,
                        const std::shared_ptr<CallerSignals> &) override {
      return Directory.answer(Request);
    }

  private:
    HostDirectory &Directory;
  };
  class MetricsPage : public HttpHandler {
  public:
    explicit MetricsPage(EntryNode &Node) : Node(Node) {}
    HttpResponse handle(const HttpRequest &,
                        const std::shared_ptr<CallerSignals> &) override {
      return {200, "text/plain", Node.Metrics.render()};
    }

  private:
    EntryNode &Node;
  };

  void routingChanged(RoutingConfig Config) override;
  void serverChanged(BackendServerEntry Entry) override;
  void serverRemoved(const BackendServerId &Id) override;
  void evacuatedZonesChanged(std::set<AvailabilityZoneId> Zones) override;
  void hostsChanged(std::vector<EntryHost> Hosts) override;
  void storeReachabilityChanged(bool Reachable,
                                const std::string &Reason) override;

  bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) override;
  void tellStrike(const StrikeNotice &Notice);
  void runTimers();
  void onSecond();
  void noteLoad();
  void applySettings();
  void registerGauges();
  HttpServerOptions serverOptions(const std::string &Address) const;

  FiberLoop &Loop;
  EntryOptions Options;
  SeededRandom Rng;
  EntryHost Self;
  MetricsRegistry Metrics;
  ServerRegistry Registry;
  BackendChannels Channels;
  CallScheduler Calls;
  CrashWatch Crashes;
  EntryService Service;
  HostDirectory Directory;
  MetadataStore Store;
  PlatformFeed Feed;
  DirectoryPages Pages;
  MetricsPage MetricsHandler;
  HttpServer Callers;
  HttpServer ReadyServer;
  HttpServer DirectoryServer;
  PeerTraffic Traffic;
  PeerServer PeersIn;
  std::unique_ptr<HttpServer> MetricsServer;
  /// The hosts that callers are sent to, and others.
  std::vector<HostId> OtherHosts;
  uint64_t SendsBefore = 0;
  bool Busy = false;
  FiberEvent TimerChanged;
  Subscription Second;
  Subscription LogFlush;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_ENTRY_NODE_H
