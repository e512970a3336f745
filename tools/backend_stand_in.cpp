#include "tools/backend_stand_in.h"

#include "runtime/log.h"

#include <algorithm>
#include <sstream>

namespace mimosa {

namespace {

constexpr size_t HitsPerShard = 10;
constexpr Duration RetryListenDelay = Milliseconds(20);
/// How often a crash checks whether the running handlers have ended, before it
/// closes the connections. Closing the connection of a running handler would
/// end the process, because HttpServer then cancels its watch on a closed
/// socket.
constexpr Duration CrashPoll = Milliseconds(2);
constexpr Duration SilencePoll = Milliseconds(20);

HttpResponse jsonResponse(int Status, const Json &Body) {
  return {Status, "application/json", Body.dump()};
}

std::vector<std::string> wordsOf(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Out;
  std::string Word;
  while (In >> Word)
    Out.push_back(Word);
  return Out;
}

} // namespace

struct BackendStandIn::Search {
  std::string Id;
  std::string Snapshot;
  std::vector<uint32_t> Shards;
  std::string Text;
  std::string Key;
  MonotonicTime Deadline;
  bool Idempotent = true;
  bool Cancelled = false;
  bool HasSlot = false;
  FiberEvent Wake;
};

BackendStandIn::BackendStandIn(FiberLoop &Loop, BackendStandInOptions Options,
                               uint64_t Seed)
    : Loop(Loop), Options(std::move(Options)), Rand(Seed),
      Incarnation(
          static_cast<uint64_t>(inMilliseconds(Loop.now().time_since_epoch()))),
      TotalShards(this->Options.TotalShards), HeldShards(this->Options.Shards) {
}

BackendStandIn::~BackendStandIn() = default;

Result<Done> BackendStandIn::start() {
  HttpServerOptions HttpOptions;
  HttpOptions.Address = Options.Address;
  HttpOptions.MaxConnections = 1024;
  HttpOptions.IdleTimeout = Seconds(600);
  Server = std::make_unique<HttpServer>(Loop, HttpOptions, *this);
  return Server->start();
}

HttpResponse
BackendStandIn::handle(const HttpRequest &Request,
                       const std::shared_ptr<CallerConnection> &Caller) {
  if (Request.path() == "/fault")
    return setFault(Request);
  if (Request.path() == "/stats")
    return stats();
  if (Down) {
    // The request was read while its connection was closed. The server's watch
    // on the connection has to end before the handler does.
    FiberLoop::sleepFor(CrashPoll);
    return {0, "", ""};
  }
  auto Open = static_cast<int64_t>(Server->counters().OpenConnections);
  Counts.MaxConnections = std::max(Counts.MaxConnections, Open);
  if (Open > Options.Connections)
    ++Counts.OverConnectionLimit;
  if (Request.ConnectionId <= SilentUpTo)
    return waitForDisconnect(Caller);
  if (Request.path() == "/status")
    return status();
  if (Request.path() == "/search")
    return search(Request, Caller);
  if (Request.path() == "/cancel")
    return cancel(Request);
  return jsonResponse(404, {{"error", "unknown path"}});
}

HttpResponse BackendStandIn::waitForDisconnect(
    const std::shared_ptr<CallerConnection> &Caller) {
  FiberEvent Disconnected;
  Caller->onDisconnect(
      [&Disconnected](DisconnectReason) { Disconnected.set(); });
  while (!Down && !Disconnected.waitUntil(Loop.now() + SilencePoll)) {
  }
  Caller->onDisconnect(nullptr);
  return {0, "", ""};
}

bool BackendStandIn::cold() const { return Loop.now() < ColdUntil; }

int64_t BackendStandIn::capacity() const {
  return cold() ? Options.ColdLimit : Options.Slots;
}

void BackendStandIn::setCold(Duration Time) { ColdUntil = Loop.now() + Time; }

HttpResponse BackendStandIn::status() const {
  bool ReportCold = cold() && Fault.ColdAnnounced;
  Json List = Json::array();
  for (const std::string &Name : Snapshots)
    List.push_back({{"snapshot", Name},
                    {"total_shards", TotalShards},
                    {"shards", HeldShards}});
  return jsonResponse(
      200, {{"incarnation", Incarnation},
            {"state", ReportCold ? "cold" : Fault.State},
            {"bears", ReportCold ? Options.ColdLimit : Options.Slots},
            {"slots", Options.Slots},
            {"connections", Options.Connections},
            {"snapshots", List}});
}

HttpResponse BackendStandIn::refuse(const char *Reason) {
  ++Counts.Refused;
  bool ReportCold = cold() && Fault.ColdAnnounced;
  return jsonResponse(
      503, {{"incarnation", Incarnation},
            {"state", ReportCold ? "cold" : Fault.State},
            {"bears", ReportCold ? Options.ColdLimit : Options.Slots},
            {"execution", "not_run"},
            {"reason", Reason}});
}

HttpResponse
BackendStandIn::search(const HttpRequest &Request,
                       const std::shared_ptr<CallerConnection> &Caller) {
  Result<Json> Body = parseJson(Request.Body);
  if (!ok(Body))
    return jsonResponse(400, {{"error", errorOf(Body).Message}});
  JsonFields Fields(valueOf(Body), "search");
  Search Job;
  Job.Id = Fields.text("request_id");
  Job.Snapshot = Fields.text("snapshot");
  Job.Idempotent = Fields.flagOr("idempotent", true);
  Job.Deadline =
      Loop.now() + Milliseconds(Fields.number("deadline_ms", 0, 1000000));
  for (const Json &Shard : Fields.array("shards"))
    Job.Shards.push_back(Shard.get<uint32_t>());
  JsonFields QueryFields(Fields.object("query"), "query");
  Job.Text = QueryFields.textOr("text", "");
  Job.Key = QueryFields.textOr("key", "");
  if (Fields.failed())
    return jsonResponse(400, {{"error", Fields.error().Message}});
  if (Fault.State == "draining") {
    ++Counts.WhileDraining;
    return refuse("draining");
  }
  if (std::find(Snapshots.begin(), Snapshots.end(), Job.Snapshot) ==
      Snapshots.end())
    return refuse("unknown_snapshot");
  if (InFlight >= Options.Slots + Options.QueueLimit)
    return refuse("shed");
  Caller->onDisconnect([&Job](DisconnectReason) {
    Job.Cancelled = true;
    Job.Wake.set();
  });
  ++InFlight;
  Counts.MaxInFlight = std::max(Counts.MaxInFlight, InFlight);
  SearchesById[Job.Id] = &Job;
  uint64_t StartedIn = Incarnation;
  HttpResponse Out = run(Job);
  Caller->onDisconnect(nullptr);
  SearchesById.erase(Job.Id);
  --InFlight;
  return StartedIn == Incarnation ? Out : HttpResponse{0, "", ""};
}

bool BackendStandIn::awaitSlot(Search &Job) {
  if (Running < Options.Slots) {
    ++Running;
    return true;
  }
  Waiting.push_back(&Job);
  Job.Wake.waitUntil(Job.Deadline);
  if (Job.HasSlot)
    return true;
  Waiting.erase(std::remove(Waiting.begin(), Waiting.end(), &Job),
                Waiting.end());
  return false;
}

void BackendStandIn::releaseSlot() {
  if (Waiting.empty()) {
    --Running;
    return;
  }
  Search *Next = Waiting.front();
  Waiting.pop_front();
  Next->HasSlot = true;
  Next->Wake.set();
}

HttpResponse BackendStandIn::run(Search &Job) {
  if (InFlight > capacity()) {
    ++Counts.OverLimit;
    if (cold()) {
      crash();
      return {0, "", ""};
    }
  }
  uint64_t StartedIn = Incarnation;
  if (!awaitSlot(Job)) {
    ++Counts.Cancelled;
    return refuse("shed");
  }
  if (StartedIn != Incarnation) {
    releaseSlot();
    return {0, "", ""};
  }
  if (!Fault.CrashWord.empty() &&
      Job.Text.find(Fault.CrashWord) != std::string::npos) {
    releaseSlot();
    crash();
    return {0, "", ""};
  }
  countDuplicates(Job);
  ++Counts.Searches;
  Counts.Shards += Job.Shards.size();
  if (!Job.Cancelled) {
    Job.Wake.clear();
    Job.Wake.waitUntil(Loop.now() + serviceTime());
  }
  releaseSlot();
  if (StartedIn != Incarnation)
    return {0, "", ""};
  if (Job.Cancelled) {
    ++Counts.Cancelled;
    return jsonResponse(503, {{"incarnation", Incarnation},
                              {"execution", "unknown"},
                              {"reason", "cancelled"}});
  }
  return searchResponse(Job);
}

void BackendStandIn::countDuplicates(const Search &Job) {
  if (Job.Idempotent)
    return;
  for (uint32_t Shard : Job.Shards)
    if (!NonIdempotentRuns.insert(Job.Key + "#" + std::to_string(Shard)).second)
      ++Counts.Duplicates;
}

Duration BackendStandIn::serviceTime() {
  double Time = static_cast<double>(Fault.ServiceUs) * (0.5 + Rand.uniform01());
  if (Rand.uniform01() * 100 < Fault.SlowPercent)
    Time *= Fault.SlowFactor;
  return Duration(static_cast<int64_t>(Time));
}

HttpResponse BackendStandIn::searchResponse(const Search &Job) const {
  bool ReportCold = cold() && Fault.ColdAnnounced;
  Json Hits = Json::array();
  std::vector<uint32_t> Searched;
  for (uint32_t Shard : Job.Shards) {
    if (std::find(HeldShards.begin(), HeldShards.end(), Shard) ==
        HeldShards.end())
      continue;
    Searched.push_back(Shard);
    if (!Options.Text) {
      Hits.push_back({{"shard", Shard},
                      {"id", "doc-" + std::to_string(Shard)},
                      {"score", 1.0 / (1.0 + Shard)}});
      continue;
    }
    for (const auto &Match :
         Options.Text->search(Shard, wordsOf(Job.Text), HitsPerShard))
      Hits.push_back(
          {{"shard", Shard}, {"id", Match.Id}, {"score", Match.Score}});
  }
  return {200, "application/json",
          Json({{"incarnation", Incarnation},
                {"state", ReportCold ? "cold" : Fault.State},
                {"bears", ReportCold ? Options.ColdLimit : Options.Slots},
                {"snapshot", Job.Snapshot},
                {"shards", Searched},
                {"hits", Hits}})
              .dump(-1, ' ', false, Json::error_handler_t::replace)};
}

HttpResponse BackendStandIn::cancel(const HttpRequest &Request) {
  Result<Json> Body = parseJson(Request.Body);
  if (ok(Body)) {
    auto It = SearchesById.find(valueOf(Body).value("request_id", ""));
    if (It != SearchesById.end()) {
      It->second->Cancelled = true;
      It->second->Wake.set();
    }
  }
  return jsonResponse(200, Json::object());
}

void BackendStandIn::crash() {
  if (Down)
    return;
  Down = true;
  ++Counts.Crashes;
  ++Incarnation;
  Server->drain();
  for (auto &[Id, Job] : SearchesById)
    Job->Wake.set();
  CloseAll = Loop.every(CrashPoll, [this] {
    if (Server->inFlight() == 0)
      Server->abort();
  });
  Restart = Loop.after(Milliseconds(Fault.RestartMs), [this] {
    Loop.spawn([this] {
      CloseAll.cancel();
      SilentUpTo = 0;
      setCold(Milliseconds(Fault.ColdAfterCrashMs));
      while (!ok(start()))
        FiberLoop::sleepFor(RetryListenDelay);
      Down = false;
    });
  });
}

HttpResponse BackendStandIn::setFault(const HttpRequest &Request) {
  Result<Json> Body = parseJson(Request.Body);
  if (!ok(Body))
    return jsonResponse(400, {{"error", errorOf(Body).Message}});
  const Json &Object = valueOf(Body);
  JsonFields Fields(Object, "fault");
  Fault.State = Fields.textOr("state", Fault.State);
  Fault.ColdAnnounced = Fields.flagOr("cold_announced", Fault.ColdAnnounced);
  Fault.ServiceUs = Fields.numberOr("service_us", 0, 60000000, Fault.ServiceUs);
  Fault.CrashWord = Fields.textOr("crash_word", Fault.CrashWord);
  Fault.RestartMs = Fields.numberOr("restart_ms", 1, 600000, Fault.RestartMs);
  Fault.ColdAfterCrashMs =
      Fields.numberOr("cold_after_crash_ms", 0, 600000, Fault.ColdAfterCrashMs);
  if (Fields.failed())
    return jsonResponse(400, {{"error", Fields.error().Message}});
  Fault.SlowPercent = Object.value("slow_percent", Fault.SlowPercent);
  Fault.SlowFactor = Object.value("slow_factor", Fault.SlowFactor);
  Snapshots = Object.value("snapshots", Snapshots);
  TotalShards = Object.value("total_shards", TotalShards);
  HeldShards = Object.value("shards", HeldShards);
  if (Object.contains("cold_ms"))
    setCold(Milliseconds(Object.value("cold_ms", 0)));
  if (Object.value("silence", false))
    SilentUpTo = Server->counters().AcceptedConnections;
  if (Object.value("crash", false))
    crash();
  return jsonResponse(200, Json::object());
}

HttpResponse BackendStandIn::stats() const {
  return jsonResponse(200, {{"searches", Counts.Searches},
                            {"shards", Counts.Shards},
                            {"refused", Counts.Refused},
                            {"cancelled", Counts.Cancelled},
                            {"over_limit", Counts.OverLimit},
                            {"over_connections", Counts.OverConnectionLimit},
                            {"duplicates", Counts.Duplicates},
                            {"crashes", Counts.Crashes},
                            {"while_draining", Counts.WhileDraining},
                            {"most_in_hand", Counts.MaxInFlight},
                            {"most_connections", Counts.MaxConnections},
                            {"in_hand", InFlight},
                            {"incarnation", Incarnation}});
}

} // namespace mimosa
