#include "entry/entry_node.h"

#include "balance/messages.h"
#include "runtime/log.h"

#include <algorithm>
#include <utility>

namespace mimosa {

namespace {

constexpr Duration LogFlushInterval = Milliseconds(200);
/// Backend servers that lift their limits together are named in one message.
constexpr Duration LiftedLimitsInterval = Milliseconds(100);
constexpr Duration StopPollInterval = Milliseconds(20);
/// File descriptors that are not for callers' connections.
constexpr size_t ReservedDescriptors = 600;
/// Assumed processor time of one attempt, with its part of the caller's
/// request.
constexpr Duration ProcessorTimePerAttempt(70);
/// A host becomes busy above the first share of its capacity and stops being
/// busy below the second one. The other half is left for bursts until callers
/// have the addresses of further hosts.
constexpr double BusyAboveShare = 0.5;
constexpr double BusyUntilShare = 0.2;
/// Part of the memory for long answers that are being received. A string that
/// grows holds up to three times its length for a moment.
constexpr size_t AnswerMemoryDivisor = 16;
/// Part of the memory for all that clients of all addresses send. The other
/// parts are for answers, queries in progress, the copy of the store, the
/// program itself, and what the allocator cannot reuse.
constexpr double IngressMemoryShare = 0.375;
/// Parts of it that only one address uses. The rest is for all of them.
constexpr double CallerIngressShare = 0.4;
constexpr double PeerIngressShare = 0.15;
constexpr double OtherIngressShare = 0.05;
/// Connections stay open this much longer than the idle timeout in the
/// configuration, so that requests sent right after a change of that timeout do
/// not reach a closed connection.
constexpr Duration IdleTimeoutMargin = Seconds(2);

struct CallCounterGauge {
  const char *Name;
  uint64_t CallCounters::*Count;
};
constexpr CallCounterGauge CallCounterGauges[] = {
    {"mimosa_calls_total", &CallCounters::Calls},
    {"mimosa_sends_total", &CallCounters::Attempts},
    {"mimosa_sends_over_limit_total", &CallCounters::AttemptsOverLimit},
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
    {"mimosa_calls_held_back_total", &CallCounters::HeldBackCalls},
    {"mimosa_calls_overloaded_total", &CallCounters::OverloadedCalls},
    {"mimosa_calls_stopped_total", &CallCounters::StoppedCalls},
};

IngressAmounts ingressLimit(const EntryOptions &Options) {
  size_t Connections = Options.MaxDescriptors > 2 * ReservedDescriptors
                           ? Options.MaxDescriptors - ReservedDescriptors
                           : Options.MaxDescriptors / 2;
  return {static_cast<size_t>(static_cast<double>(Options.MemoryBytes) *
                              IngressMemoryShare),
          Connections};
}

} // namespace

HttpServerOptions EntryNode::serverOptions(const std::string &Address,
                                           IngressAddress &Ingress) const {
  HttpServerOptions Out;
  Out.Address = Address;
  Out.Ingress = &Ingress;
  // The budget limits both, over all addresses.
  Out.MaxConnections = Options.MaxDescriptors;
  Out.MaxBodyBytesTotal = Options.MemoryBytes;
  return Out;
}

EntryNode::EntryNode(FiberLoop &Loop, EntryOptions NewOptions, uint64_t Seed)
    : Loop(Loop), Options(std::move(NewOptions)),
      Rng(Seed), Self{Options.HostName, Options.CallerAddress,
                      Options.PeerAddress, Options.Zone,
                      Options.CoreShare * Options.CoreSpeed},
      Monitor(Loop, Metrics), Registry(Options.Zone, Rng),
      AnswerBudget(Options.MemoryBytes / AnswerMemoryDivisor),
      Ingress(ingressLimit(Options)),
      CallerIngress(Ingress, CallerIngressShare),
      ReadyIngress(Ingress, OtherIngressShare),
      DirectoryIngress(Ingress, OtherIngressShare),
      PeerIngress(Ingress, PeerIngressShare),
      MetricsIngress(Ingress, OtherIngressShare),
      ConnectionPool(Loop, Registry, AnswerBudget),
      Scheduler(Registry, ConnectionPool),
      Crashes(Options.PeerAddress, Incarnation(Seed)),
      Service(Loop, Scheduler, Crashes, Metrics, Rng),
      Directory(Self, Options.AddressLifetime, Rng),
      OwnRegistration(candidateOf(Self), Options.FirstStart, Rng),
      Store(Loop, Options.StoreAddress),
      Feed(Loop, Store, Self, Options.Seeds, Options.Relaying, *this),
      Sharing(Loop, Feed.peers(), Options.PeerAddress, Crashes, Rng, Metrics),
      Quota(Loop, Feed.peers(), Options.PeerAddress, Incarnation(Seed),
            Options.Quota, Metrics, [this] { return Feed.cacheAge(); }),
      Rollouts(Loop, Registry, Scheduler, Feed, Store, Metrics, Rng, Self,
               Incarnation(Seed), Options.Rollout),
      Pages(Directory), MetricsHandler(*this),
      CallerServer(Loop, serverOptions(Options.CallerAddress, CallerIngress),
                   Service),
      ReadyServer(Loop, serverOptions(Options.ReadyAddress, ReadyIngress),
                  Pages),
      DirectoryServer(Loop,
                      serverOptions(Options.DirectoryAddress, DirectoryIngress),
                      Pages),
      PeerFrameServer(Loop, Options.PeerAddress.text(), *this, Traffic,
                      &PeerIngress) {
  ConnectionPool.setScheduler(Scheduler);
  Service.setRevocationLimit(Options.StrictRevocation
                                 ? std::optional(Options.RevocationLimit)
                                 : std::nullopt,
                             [this] { return Feed.cacheAge(); });
  Service.setRefuseCongested(Options.RefuseCongested);
  Service.onStrike([this](const StrikeNotice &N) { Sharing.broadcast(N); });
  Service.onWithdrawal(
      [this](const StrikeWithdrawal &W) { Sharing.broadcast(W); });
  Service.setQuota(Quota);
  Scheduler.onEarlierWakeUp([this] { TimerChanged.set(); });
  if (!Options.MetricsAddress.empty())
    MetricsServer = std::make_unique<HttpServer>(
        Loop, serverOptions(Options.MetricsAddress, MetricsIngress),
        MetricsHandler);
  applySettings();
  registerGauges();
}

void EntryNode::applySettings() {
  Scheduler.setRetryBudget(Options.RetryBudget);
  Registry.setColdAllowance(Options.ColdOverage, Options.ColdSlack);
  Rollouts.setLimits(Options.Rollout);
}

void EntryNode::registerGauges() {
  auto Gauge = [this](const char *Name, auto Read) {
    Metrics.gauge(Name, {},
                  [this, Read] { return static_cast<double>(Read(*this)); });
  };
  using Node = EntryNode;
  for (const CallCounterGauge &Entry : CallCounterGauges)
    Gauge(Entry.Name, [Count = Entry.Count](Node &N) {
      return N.Scheduler.counters().*Count;
    });
  Gauge("mimosa_backend_connections_opened_total",
        [](Node &N) { return N.ConnectionPool.counters().Opened; });
  Gauge("mimosa_backend_stray_answers_total",
        [](Node &N) { return N.ConnectionPool.counters().StrayAnswers; });
  Gauge("mimosa_backend_answers_without_id_total",
        [](Node &N) { return N.ConnectionPool.counters().AnswersWithoutId; });
  Gauge("mimosa_backend_malformed_answers_total",
        [](Node &N) { return N.ConnectionPool.counters().MalformedAnswers; });
  Gauge("mimosa_backend_cancelled_undelivered_total", [](Node &N) {
    return N.ConnectionPool.counters().CancelledUndelivered;
  });
  Gauge("mimosa_backend_withheld_total",
        [](Node &N) { return N.ConnectionPool.counters().Withheld; });
  Gauge("mimosa_store_cache_replies_total",
        [](Node &N) { return N.Feed.relayCounters().Replies; });
  Gauge("mimosa_store_cache_reply_bytes_total",
        [](Node &N) { return N.Feed.relayCounters().Bytes; });
  Gauge("mimosa_store_era", [](Node &N) { return N.Feed.cacheEra().number(); });
  Gauge("mimosa_store_restores_total",
        [](Node &N) { return N.Feed.restores(); });
  Gauge("mimosa_store_corrected_items_total",
        [](Node &N) { return N.Feed.correctedItems(); });
  Gauge("mimosa_store_other_zone_calls_total",
        [](Node &N) { return N.Feed.otherZoneCalls(); });
  Gauge("mimosa_answer_memory_bytes",
        [](Node &N) { return N.AnswerBudget.usedBytes(); });
  Gauge("mimosa_exceptions_total", [](Node &) { return caughtExceptions(); });
  Gauge("mimosa_ingress_bytes", [](Node &N) { return N.Ingress.used().Bytes; });
  Gauge("mimosa_ingress_connections",
        [](Node &N) { return N.Ingress.used().Connections; });
  Gauge("mimosa_ingress_evicted_total",
        [](Node &N) { return N.Ingress.evictions(); });
  Gauge("mimosa_ingress_refused_total",
        [](Node &N) { return N.Ingress.refusals(); });
  Gauge("mimosa_backend_connections",
        [](Node &N) { return N.ConnectionPool.openConnections(); });
  Gauge("mimosa_backend_servers", [](Node &N) { return N.Registry.size(); });
  Gauge("mimosa_backend_servers_limited",
        [](Node &N) { return N.Registry.limitedServers(); });
  Gauge("mimosa_backend_servers_paused",
        [](Node &N) { return N.Registry.pausedServers(N.Loop.now()); });
  for (ServingObstacle Each :
       {ServingObstacle::Stopping, ServingObstacle::Unconfigured,
        ServingObstacle::KeysUnconfirmed, ServingObstacle::NoBackendServers,
        ServingObstacle::NoQuota})
    Metrics.gauge("mimosa_serving_obstacle", {{"cause", nameOf(Each)}},
                  [this, Each] { return Obstacle == Each ? 1.0 : 0.0; });
  Gauge("mimosa_sharing_hosts", [](Node &N) { return N.Registry.hostCount(); });
  Gauge("mimosa_calls_waiting",
        [](Node &N) { return N.Scheduler.waitingCalls(); });
  Gauge("mimosa_requests_in_flight",
        [](Node &N) { return N.Service.inFlight(); });
  Gauge("mimosa_store_failures_total",
        [](Node &N) { return N.Store.counters().Failures; });
  Gauge("mimosa_store_watches_total",
        [](Node &N) { return N.Store.counters().Watches; });
  Gauge("mimosa_store_ranges_total",
        [](Node &N) { return N.Store.counters().Ranges; });
  Gauge("mimosa_log_dropped_total",
        [](Node &) { return logCounters().Dropped; });
  Gauge("mimosa_log_suppressed_total",
        [](Node &) { return logCounters().Suppressed; });
}

Result<Done> EntryNode::start() {
  for (HttpServer *Server : {&CallerServer, &ReadyServer, &DirectoryServer}) {
    Result<Done> Started = Server->start();
    if (!ok(Started))
      return Started;
  }
  Result<Done> PeersStarted = PeerFrameServer.start();
  if (!ok(PeersStarted))
    return PeersStarted;
  startMetricsServer();
  Loop.spawnService([this] { runTimers(); });
  PeriodicTimer = Loop.every(Seconds(1), [this] { runPeriodicTasks(); });
  LiftedLimitsTimer =
      Loop.every(LiftedLimitsInterval, [this] { broadcastLiftedLimits(); });
  LogFlushTimer = Loop.every(LogFlushInterval, [] { flushLog(); });
  Quota.start(Options.Seeds);
  Sharing.start(Options.Seeds);
  Feed.start();
  Rollouts.start();
  logInfo("node", "event=started host=" + Options.HostName +
                      " zone=" + Options.Zone.text() + " callers=" +
                      Options.CallerAddress + " store=" + Options.StoreAddress);
  return Done{};
}

void EntryNode::startMetricsServer() {
  if (!MetricsServer || MetricsServed)
    return;
  Result<Done> Started = MetricsServer->start();
  MetricsServed = ok(Started);
  if (MetricsServed)
    logInfo("node", "event=metrics_served address=" + Options.MetricsAddress);
  else if (!MetricsFailureLogged)
    logError("node", "event=metrics_unavailable reason=\"" +
                         errorOf(Started).Message + "\"");
  MetricsFailureLogged = !MetricsServed;
}

void EntryNode::runTimers() {
  while (true) {
    MonotonicTime At = Scheduler.nextWakeUp();
    TimerChanged.clear();
    TimerChanged.waitUntil(At);
    Scheduler.onTimer(Loop.now());
  }
}

void EntryNode::runPeriodicTasks() {
  Registry.setHostCount(Directory.sharingHosts(Loop.now()));
  uint64_t RecentAttempts = Scheduler.counters().Attempts - LastAttemptCount;
  ConnectionPool.setKeepIdle(Directory.hasCallers(RecentAttempts, Loop.now()));
  Registry.expirePushback(Loop.now());
  // Roll-outs change what backend servers may be used for without notice.
  Scheduler.serversChanged(Loop.now());
  ConnectionPool.closeExpired();
  updateBusy();
  updateServingStatus();
  startMetricsServer();
}

void EntryNode::updateServingStatus() {
  ServingFacts Facts;
  Facts.Stopping = Directory.leaving();
  Facts.Configured = Directory.configured();
  Facts.KeysConfirmed =
      !Options.StrictRevocation || Feed.cacheAge() <= Options.RevocationLimit;
  Facts.BackendServers = Registry.size();
  Facts.Quota = Quota.obstacle();
  ServingObstacle Former = std::exchange(Obstacle, servingObstacle(Facts));
  if (Obstacle == Former)
    return;
  std::string Line =
      std::string("event=serving_status obstacle=") + nameOf(Obstacle) +
      " former=" + nameOf(Former) + " quota=" + nameOf(Facts.Quota) +
      " backend_servers=" + std::to_string(Facts.BackendServers) +
      " config_age_ms=" + std::to_string(inMilliseconds(Feed.cacheAge()));
  if (Obstacle == ServingObstacle::None)
    logInfo("node", Line);
  else
    logWarn("node", Line);
}

void EntryNode::updateBusy() {
  uint64_t Attempts = Scheduler.counters().Attempts;
  double UsedCores = static_cast<double>(Attempts - LastAttemptCount) *
                     inSeconds(ProcessorTimePerAttempt);
  LastAttemptCount = Attempts;
  double Threshold = (Busy ? BusyUntilShare : BusyAboveShare) * Self.Capacity;
  if (Busy == (UsedCores > Threshold))
    return;
  Busy = !Busy;
  logInfo("node", std::string("event=") + (Busy ? "busy" : "not_busy") +
                      " cores=" + std::to_string(UsedCores) +
                      " capacity=" + std::to_string(Self.Capacity));
  Feed.setBusy(Busy);
}

void EntryNode::routingChanged(RoutingConfig Config) {
  logInfo("node",
          "event=config_applied version=" + std::to_string(Config.Version) +
              " routes=" + std::to_string(Config.Routes.size()) +
              (Config.Teams
                   ? " teams=" + std::to_string(Config.Teams->Teams.size())
                   : std::string()));
  const CallerLimits &Limits = Config.Limits;
  CallerServer.setLimits(Limits.MaxHeaderBytes, Limits.MaxBodyBytes,
                         Limits.HeaderTimeout,
                         Limits.IdleTimeout + IdleTimeoutMargin);
  for (const auto &[Id, S] : Config.Services)
    Registry.setLimits(Id, S.MaxConnections, S.ColdRate);
  Scheduler.serversChanged(Loop.now());
  Quota.setTeams(Config.Teams ? &*Config.Teams : nullptr);
  Service.setRoutes(std::make_shared<const RouteTable>(std::move(Config)));
  Directory.setConfigured();
}

void EntryNode::serverChanged(BackendServerEntry Entry) {
  std::string Details =
      "server=" + Entry.Id.text() + " service=" + Entry.Service.text() +
      " draining=" + (Entry.Draining ? "1" : "0") +
      " cold_ms=" + std::to_string(inMilliseconds(Entry.ColdRemaining)) +
      " sequence=" + std::to_string(Entry.Sequence);
  bool Accepted = Registry.update(std::move(Entry), Loop.now());
  Scheduler.serversChanged(Loop.now());
  logInfo("node", (Accepted ? "event=server_listed " : "event=server_stale ") +
                      Details);
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
  Registry.setEvacuatedZones(std::move(Zones));
  Scheduler.serversChanged(Loop.now());
}

void EntryNode::hostsChanged(std::vector<EntryHost> Hosts) {
  logInfo("node", "event=hosts_listed hosts=" + std::to_string(Hosts.size()));
  std::vector<ServingCandidate> Listed;
  Listed.reserve(Hosts.size());
  for (const EntryHost &Host : Hosts)
    Listed.push_back(candidateOf(Host));
  OwnRegistration.setListed(Listed, Loop.now());
  Rollouts.setHosts(Hosts);
  OtherHosts.clear();
  for (const EntryHost &Host : Hosts)
    if (Host.PeerAddress != Self.PeerAddress)
      OtherHosts.push_back(Host.PeerAddress);
  Sharing.setHosts(OtherHosts);
  Directory.setHosts(std::move(Hosts), Loop.now());
  Registry.setHostCount(Directory.sharingHosts(Loop.now()));
  Scheduler.serversChanged(Loop.now());
  updateQuotaHosts();
}

void EntryNode::updateQuotaHosts() {
  std::vector<HostId> Serving;
  for (const EntryHost &Host : Directory.servingHosts())
    Serving.push_back(Host.PeerAddress);
  Quota.setHosts(Serving);
}

std::optional<MonotonicTime> EntryNode::registerAt() {
  return OwnRegistration.registerAt();
}

void EntryNode::storeReachabilityChanged(bool Reachable,
                                         const std::string &Reason) {
  if (Reachable)
    logInfo("node", "event=store_regained");
  else
    logWarn("node", "event=store_lost reason=\"" + Reason + "\"");
}

bool EntryNode::handleFrame(const PeerFrame &Frame, PeerReplier Reply) {
  if (Frame.Type == MessageType::LiftedLimits) {
    limitsLifted(Frame);
    return true;
  }
  if (Frame.Type == MessageType::SharedUsage) {
    Quota.handleReport(Frame);
    return true;
  }
  if (Frame.Type == MessageType::RolloutEvidence) {
    Rollouts.handleEvidence(Frame, Reply);
    return true;
  }
  if (Sharing.handleFrame(Frame, Reply))
    return true;
  return Feed.peerHandler().handleFrame(Frame, std::move(Reply));
}

void EntryNode::broadcastLiftedLimits() {
  LiftedLimits Out;
  for (BackendProcess &Process : Registry.takeLiftedLimits())
    Out.Processes.push_back({std::move(Process.Server), Process.StartedAtMs});
  if (Out.Processes.empty())
    return;
  std::string Body = packBody(Out);
  for (const HostId &Host : OtherHosts)
    Feed.peers().send(Host, MessageType::LiftedLimits, Body);
}

void EntryNode::limitsLifted(const PeerFrame &Frame) {
  Result<LiftedLimits> Received = unpackBody<LiftedLimits>(Frame.Body);
  if (!ok(Received))
    return logWarn("node", "event=bad_lifted_limits reason=\"" +
                               errorOf(Received).Message + "\"");
  for (const LiftedLimit &Each : valueOf(Received).Processes)
    if (Registry.liftLimit({Each.Server, Each.StartedAtMs}, Loop.now()))
      logInfo("node", "event=limit_lifted server=" + Each.Server.text());
  Scheduler.serversChanged(Loop.now());
}

void EntryNode::reload(const EntryOptions &NewOptions) {
  Options.RetryBudget = NewOptions.RetryBudget;
  Options.ColdOverage = NewOptions.ColdOverage;
  Options.ColdSlack = NewOptions.ColdSlack;
  Options.Rollout = NewOptions.Rollout;
  Options.StopLimit = NewOptions.StopLimit;
  applySettings();
  logInfo("node", "event=reloaded");
}

void EntryNode::stop() {
  // A settings file that changes during the stop does not move its end.
  ShutdownPlan Plan(Loop.now(), Options.StopLimit);
  auto WaitUntil = [&](MonotonicTime End, auto Done) {
    while (!Done() && Loop.now() < End)
      FiberLoop::sleepFor(StopPollInterval);
  };
  logInfo("node",
          "event=stopping in_flight=" + std::to_string(Service.inFlight()));
  Directory.setLeaving();
  Feed.withdraw();
  CallerServer.closeAfterResponses();
  Service.shutDown(Plan);
  WaitUntil(Plan.acceptUntil(), [] { return false; });
  Quota.leave();
  WaitUntil(Plan.finishBy(), [&] { return Service.inFlight() == 0; });
  size_t Unfinished = CallerServer.inFlight();
  CallerServer.refuseIncompleteRequests();
  WaitUntil(Plan.exitBy(),
            [&] { return CallerServer.counters().OpenConnections == 0; });
  logInfo("node", "event=stopped unfinished=" + std::to_string(Unfinished) +
                      " in_flight=" + std::to_string(CallerServer.inFlight()) +
                      " connections=" +
                      std::to_string(CallerServer.counters().OpenConnections));
  flushLog();
}

} // namespace mimosa
