#include "entry/entry_node.h"

#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration LogFlushInterval = Milliseconds(200);
/// Parts of the stop limit: callers keep addresses for 2 s, some three times as
/// long; requests that are in flight when new ones are refused must end before
/// the process is killed.
constexpr double ServeShare = 0.62;
constexpr double FinishShare = 0.93;
constexpr Duration StopPoll = Milliseconds(20);
/// Descriptors that are not for callers' connections.
constexpr size_t OwnDescriptors = 600;
/// Processor time of one send with its part of the caller's request, measured
/// on the users' bench at 67 us.
constexpr Duration CostOfSend(70);
/// Shares of the capacity above which a host is busy, and below which it is so
/// no longer. Half is left for bursts until callers have learned other hosts.
constexpr double BusyShare = 0.5;
constexpr double IdleShare = 0.2;
/// Requests that a caller sends on kept connections right after a change of
/// the idle timeout must not meet a close.
constexpr Duration IdleSlack = Seconds(2);

struct CallGauge {
  const char *Name;
  uint64_t CallCounters::*Count;
};
constexpr CallGauge CallGauges[] = {
    {"mimosa_calls_total", &CallCounters::Calls},
    {"mimosa_sends_total", &CallCounters::Attempts},
    {"mimosa_hedges_total", &CallCounters::Hedges},
    {"mimosa_hedges_won_total", &CallCounters::HedgesWon},
    {"mimosa_retries_total", &CallCounters::Retries},
    {"mimosa_retry_budget_refused_total", &CallCounters::RetryBudgetDenials},
    {"mimosa_calls_waited_total", &CallCounters::QueuedCalls},
    {"mimosa_calls_lost_total", &CallCounters::LostAttempts},
    {"mimosa_calls_shed_total", &CallCounters::ShedAttempts},
    {"mimosa_calls_misdirected_total", &CallCounters::MisdirectedAttempts},
    {"mimosa_calls_expired_total", &CallCounters::ExpiredCalls},
    {"mimosa_calls_unavailable_total", &CallCounters::UnavailableCalls},
    {"mimosa_calls_overloaded_total", &CallCounters::OverloadedCalls},
};

} // namespace

HttpServerOptions EntryNode::serverOptions(const std::string &Address) const {
  HttpServerOptions Out;
  Out.Address = Address;
  Out.MaxConnections = Options.MaxDescriptors > 2 * OwnDescriptors
                           ? Options.MaxDescriptors - OwnDescriptors
                           : Options.MaxDescriptors / 2;
  return Out;
}

EntryNode::EntryNode(FiberLoop &Loop, EntryOptions NewOptions, uint64_t Seed)
    : Loop(Loop), Options(std::move(NewOptions)),
      Rng(Seed), Self{Options.HostName, Options.CallerAddress,
                      Options.PeerAddress, Options.Zone,
                      Options.CoreShare * Options.CoreSpeed},
      Registry(Options.Zone, Rng), Channels(Loop, Registry),
      Calls(Registry, Channels),
      Crashes(Options.PeerAddress, Incarnation(Seed)),
      Service(Loop, Registry, Calls, Crashes, Metrics, Rng),
      Directory(Self, Options.AddressLifetime, Rng),
      Store(Loop, Options.StoreAddress),
      Feed(Loop, Store, Self, Options.Seeds, *this), Pages(Directory),
      MetricsHandler(*this),
      Callers(Loop, serverOptions(Options.CallerAddress), Service),
      ReadyServer(Loop, serverOptions(Options.ReadyAddress), Pages),
      DirectoryServer(Loop, serverOptions(Options.DirectoryAddress), Pages),
      PeersIn(Loop, Options.PeerAddress.text(), *this, Traffic) {
  Channels.reportTo(Calls);
  Service.onStrike([this](const StrikeNotice &N) { tellStrike(N); });
  Calls.onEarlierWakeUp([this] { TimerChanged.set(); });
  if (!Options.MetricsAddress.empty())
    MetricsServer = std::make_unique<HttpServer>(
        Loop, serverOptions(Options.MetricsAddress), MetricsHandler);
  applySettings();
  registerGauges();
}

void EntryNode::applySettings() {
  Calls.setRetryBudget(Options.RetryBudget);
  Registry.setColdAllowance(Options.ColdOverage, Options.ColdSlack);
}

void EntryNode::registerGauges() {
  auto Gauge = [this](const char *Name, auto Read) {
    Metrics.gauge(Name, {},
                  [this, Read] { return static_cast<double>(Read(*this)); });
  };
  using N = EntryNode;
  for (const CallGauge &G : CallGauges)
    Gauge(G.Name,
          [Count = G.Count](N &S) { return S.Calls.counters().*Count; });
  Gauge("mimosa_backend_connections_opened_total",
        [](N &S) { return S.Channels.counters().Opened; });
  Gauge("mimosa_backend_connections", [](N &S) { return S.Channels.open(); });
  Gauge("mimosa_backend_servers", [](N &S) { return S.Registry.size(); });
  Gauge("mimosa_sharing_hosts", [](N &S) { return S.Registry.hostCount(); });
  Gauge("mimosa_requests_in_flight", [](N &S) { return S.Service.inFlight(); });
  Gauge("mimosa_store_failures_total",
        [](N &S) { return S.Store.counters().Failures; });
  Gauge("mimosa_store_watches_total",
        [](N &S) { return S.Store.counters().Watches; });
  Gauge("mimosa_store_ranges_total",
        [](N &S) { return S.Store.counters().Ranges; });
  Gauge("mimosa_log_dropped_total", [](N &) { return logCounters().Dropped; });
  Gauge("mimosa_log_suppressed_total",
        [](N &) { return logCounters().Suppressed; });
}

Result<Done> EntryNode::start() {
  for (HttpServer *Server : {&Callers, &ReadyServer, &DirectoryServer}) {
    Result<Done> Started = Server->start();
    if (!ok(Started))
      return Started;
  }
  Result<Done> PeersStarted = PeersIn.start();
  if (!ok(PeersStarted))
    return PeersStarted;
  if (MetricsServer) {
    Result<Done> Started = MetricsServer->start();
    if (!ok(Started))
      return Started;
  }
  Loop.spawn([this] { runTimers(); });
  Second = Loop.every(Seconds(1), [this] { onSecond(); });
  LogFlush = Loop.every(LogFlushInterval, [] { flushLog(); });
  Feed.start();
  logInfo("node", "event=started host=" + Options.HostName +
                      " zone=" + Options.Zone.text() + " callers=" +
                      Options.CallerAddress + " store=" + Options.StoreAddress);
  return Done{};
}

void EntryNode::runTimers() {
  while (true) {
    MonotonicTime At = Calls.nextWakeUp();
    TimerChanged.clear();
    if (At == MonotonicTime::max())
      TimerChanged.wait();
    else
      TimerChanged.waitUntil(At);
    Calls.onTimer(Loop.now());
  }
}

void EntryNode::onSecond() {
  Registry.setHostCount(Directory.sharingHosts(Loop.now()));
  Channels.sweep();
  noteLoad();
}

void EntryNode::noteLoad() {
  uint64_t Sends = Calls.counters().Attempts;
  double Cores =
      static_cast<double>(Sends - SendsBefore) * inSeconds(CostOfSend);
  SendsBefore = Sends;
  double Limit = (Busy ? IdleShare : BusyShare) * Self.Capacity;
  if (Busy == (Cores > Limit))
    return;
  Busy = !Busy;
  logInfo("node", std::string("event=") + (Busy ? "busy" : "not_busy") +
                      " cores=" + std::to_string(Cores) +
                      " capacity=" + std::to_string(Self.Capacity));
  Feed.setBusy(Busy);
}

void EntryNode::routingChanged(RoutingConfig Config) {
  logInfo("node",
          "event=config_applied version=" + std::to_string(Config.Version) +
              " routes=" + std::to_string(Config.Routes.size()));
  const CallerLimits &Limits = Config.Limits;
  Callers.setLimits(Limits.MaxHeaderBytes, Limits.MaxBodyBytes,
                    Limits.HeaderTimeout, Limits.IdleTimeout + IdleSlack);
  for (const auto &[Id, S] : Config.Services)
    Registry.setLimits(Id, S.MaxConnections, S.ColdRate);
  Service.setRoutes(std::make_shared<const RouteTable>(std::move(Config)));
  Directory.setConfigured();
}

void EntryNode::serverChanged(BackendServerEntry Entry) {
  std::string Line =
      "server=" + Entry.Id.text() + " service=" + Entry.Service.text() +
      " draining=" + (Entry.Draining ? "1" : "0") +
      " cold_ms=" + std::to_string(inMilliseconds(Entry.ColdRemaining)) +
      " sequence=" + std::to_string(Entry.Sequence);
  bool Taken = Registry.update(std::move(Entry), Loop.now());
  logInfo("node",
          (Taken ? "event=server_listed " : "event=server_stale ") + Line);
}

void EntryNode::serverRemoved(const BackendServerId &Id) {
  Registry.remove(Id);
  logInfo("node", "event=server_gone server=" + Id.text());
}

void EntryNode::evacuatedZonesChanged(std::set<AvailabilityZoneId> Zones) {
  std::string Names;
  for (const AvailabilityZoneId &Zone : Zones)
    Names += (Names.empty() ? "" : ",") + Zone.text();
  logInfo("node", "event=zones_out zones=" + Names);
  Registry.setZonesOut(std::move(Zones));
}

void EntryNode::hostsChanged(std::vector<EntryHost> Hosts) {
  logInfo("node", "event=hosts_listed hosts=" + std::to_string(Hosts.size()));
  OtherHosts.clear();
  for (const EntryHost &Host : Hosts)
    if (Host.PeerAddress != Self.PeerAddress)
      OtherHosts.push_back(Host.PeerAddress);
  Directory.setHosts(std::move(Hosts), Loop.now());
  Registry.setHostCount(Directory.sharingHosts(Loop.now()));
}

void EntryNode::storeReachabilityChanged(bool Reachable,
                                         const std::string &Reason) {
  if (Reachable)
    logInfo("node", "event=store_regained");
  else
    logWarn("node", "event=store_lost reason=\"" + Reason + "\"");
}

bool EntryNode::handleFrame(const PeerFrame &Frame, PeerReplier Reply) {
  if (Frame.Type != MessageType::StrikeNotice)
    return Feed.peerHandler().handleFrame(Frame, std::move(Reply));
  Result<StrikeNotice> Notice = unpackBody<StrikeNotice>(Frame.Body);
  if (ok(Notice))
    Crashes.strikeReceived(valueOf(Notice), Loop.now());
  else
    logWarn("node",
            "event=bad_strike reason=\"" + errorOf(Notice).Message + "\"");
  return true;
}

void EntryNode::tellStrike(const StrikeNotice &Notice) {
  for (const HostId &Host : OtherHosts)
    Feed.peers().send(Host, MessageType::StrikeNotice, packBody(Notice));
}

void EntryNode::reload(const EntryOptions &NewOptions) {
  Options.RetryBudget = NewOptions.RetryBudget;
  Options.ColdOverage = NewOptions.ColdOverage;
  Options.ColdSlack = NewOptions.ColdSlack;
  Options.StopLimit = NewOptions.StopLimit;
  applySettings();
  logInfo("node", "event=reloaded");
}

void EntryNode::stop() {
  MonotonicTime Begin = Loop.now();
  auto Share = [&](double Part) {
    return Begin + Duration(static_cast<int64_t>(
                       static_cast<double>(Options.StopLimit.count()) * Part));
  };
  logInfo("node",
          "event=stopping in_flight=" + std::to_string(Service.inFlight()));
  Directory.setLeaving();
  Feed.withdraw();
  Callers.closeAfterAnswers();
  while (Loop.now() < Share(ServeShare))
    FiberLoop::sleepFor(StopPoll);
  Service.refuseNew();
  while (Callers.inFlight() > 0 && Loop.now() < Share(FinishShare))
    FiberLoop::sleepFor(StopPoll);
  logInfo("node",
          "event=stopped in_flight=" + std::to_string(Callers.inFlight()));
  flushLog();
}

} // namespace mimosa
