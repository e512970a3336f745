#include "model/simulation.h"

#include "balance/retry_after.h"
#include "gather/gather_query.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mimosa {

namespace {

/// A caller that was not told when to return retries after this time.
constexpr Duration RetryDelay = Milliseconds(5);
constexpr double HighPercentile = 0.99;
/// Longest time of a message between hosts, which are sent in batches.
constexpr Duration PeerMessageTime = Milliseconds(110);

Duration percentile(const std::vector<Duration> &Sorted, double Share) {
  if (Sorted.empty())
    return Duration(0);
  auto Index = static_cast<size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

} // namespace

/// One request at one host: a call to each shard, or to one of the targets.
class Simulation::Query : public CallObserver,
                          public std::enable_shared_from_this<Query> {
public:
  using EndFunction = std::function<void(const Query &, RequestOutcome)>;

  Query(EventQueue &Queue, Random &Rng, HostModel &Host,
        const RouteModel &Model, TeamId Team, EndFunction Ended)
      : Queue(Queue), Rng(Rng), Host(Host), Definition(Model.Definition),
        Team(std::move(Team)), AskedAt(Queue.now()), Ended(std::move(Ended)) {
    if (!Definition.isGather())
      Definition.Shards = {
          Definition.Targets[Rng.below(Definition.Targets.size())].Service};
    Times = gatherTimes(Definition, AskedAt, AskedAt + Definition.Timeout, {});
    State.emplace(Definition, Times);
  }

  void start() {
    Self = shared_from_this();
    CoverageForecast Forecast =
        forecastCoverage(Definition, makeCall(Definition.Shards.front()),
                         Host.scheduler(), Queue.now());
    if (Forecast.Obstacle != CallReason::None) {
      LastReason = Forecast.Obstacle;
      AvailableIn = Forecast.AvailableIn;
      return finish(RequestOutcome::Refused);
    }
    if (Definition.Targets.empty()) {
      if (auto ReturnAfter = Host.admission().refuse(offer(), Queue.now())) {
        LastReason = CallReason::Congested;
        AvailableIn = *ReturnAfter;
        return finish(RequestOutcome::Refused);
      }
    }
    for (const ServiceId &Shard : Definition.Shards)
      Ids.push_back(
          Host.scheduler().begin(makeCall(Shard), *this, Queue.now()));
    decideSoon();
  }

  void callEnded(CallId, CallResult Result) override {
    State->addResult(Result);
    decideSoon();
  }

  const Route &route() const { return Definition; }
  MonotonicTime askedAt() const { return AskedAt; }
  /// Share of the shards with a result.
  double coverage() const {
    return 1 - static_cast<double>(State->missingShards()) /
                   static_cast<double>(State->totalShards());
  }
  CallReason lastReason() const { return LastReason; }
  /// When a refused caller may return.
  Duration returnAfter() const {
    return retryAfter(LastReason, AvailableIn, Rng);
  }

private:
  CallRequest makeCall(const ServiceId &Service) const {
    CallRequest Out;
    Out.Service = Service;
    Out.Route = Definition.Id;
    Out.Idempotent = Definition.Idempotent;
    Out.MaxAttempts = Definition.MaxAttempts;
    Out.Team = Team;
    Out.Priority = Definition.Priority;
    Out.TargetLatency = Definition.TargetLatency;
    Out.Deadline = Times.Deadline;
    Out.UsefulUntil =
        Definition.Targets.empty() ? Times.PartialFrom : Times.Deadline;
    return Out;
  }

  QueryOffer offer() const {
    return {Definition.Id, Definition.Shards.front(), Team, Definition.Priority,
            Times.PartialFrom - AskedAt};
  }

  /// Decides after the current function has returned, since a call may end
  /// while others are still being started.
  void decideSoon() {
    Queue.add(Queue.now(), [Kept = shared_from_this()] { Kept->decide(); });
  }

  void decide() {
    if (!Self)
      return;
    MonotonicTime Now = Queue.now();
    GatherDecision Decision = State->decide(Now);
    if (Decision == GatherDecision::Wait) {
      MonotonicTime Next = State->nextWakeUp(Now);
      if (Next != WakeUpAt)
        Queue.add(Next, [Kept = shared_from_this()] { Kept->decide(); });
      WakeUpAt = Next;
      return;
    }
    if (Definition.Targets.empty())
      Host.admission().recordProgress(
          offer(), State->mostAnsweredAt().value_or(Now) - AskedAt,
          Decision == GatherDecision::Fail && State->overloaded(), Now);
    bool MayHaveRun = State->mayHaveRun();
    for (CallId Id : Ids)
      MayHaveRun = Host.scheduler().cancel(Id, false, Now) || MayHaveRun;
    LastReason = State->lastReason();
    if (Decision == GatherDecision::Answer)
      finish(State->missingShards() > 0 ? RequestOutcome::Partial
                                        : RequestOutcome::Complete);
    else
      finish(MayHaveRun ? RequestOutcome::Failed : RequestOutcome::Refused);
  }

  void finish(RequestOutcome Outcome) {
    auto Kept = std::move(Self);
    Ended(*this, Outcome);
  }

  EventQueue &Queue;
  Random &Rng;
  HostModel &Host;
  Route Definition;
  TeamId Team;
  MonotonicTime AskedAt;
  EndFunction Ended;
  GatherTimes Times;
  std::optional<GatherQuery> State;
  std::vector<CallId> Ids;
  MonotonicTime WakeUpAt;
  CallReason LastReason = CallReason::None;
  /// Time until its shards can take a query, if it was refused for that.
  Duration AvailableIn{0};
  /// Keeps this alive until its end.
  std::shared_ptr<Query> Self;
};

Simulation::Simulation(LoadPattern NewPattern)
    : Pattern(std::move(NewPattern)), Rng(Pattern.Seed) {
  for (const ServiceModel &Service : Pattern.Services)
    for (uint32_t I = 1; I <= Service.Servers; ++I)
      Servers.emplace(serverIdOf(Service.Id, I),
                      std::make_unique<ServerModel>(Queue, Rng, Service, I));
  for (uint32_t I = 0; I < Pattern.Hosts; ++I)
    Hosts.push_back(
        std::make_unique<HostModel>(Pattern, I, Queue, Rng, Servers));
  for (const auto &Host : Hosts)
    Host->onLiftedLimits([this, Sender = Host.get()](const auto &Processes) {
      for (const auto &Other : Hosts)
        if (Other.get() != Sender)
          Queue.add(Queue.now() + PeerMessageTime,
                    [Receiver = Other.get(), Processes] {
                      Receiver->limitsLifted(Processes);
                    });
    });
}

Simulation::~Simulation() = default;

const RouteModel &Simulation::route(const RouteId &Id) const {
  return *std::find_if(
      Pattern.Routes.begin(), Pattern.Routes.end(),
      [&](const RouteModel &R) { return R.Definition.Id == Id; });
}

std::vector<RequestRecord> Simulation::run() {
  scheduleEvents();
  startCallers();
  Queue.runUntil(MonotonicTime(Pattern.Length));
  return std::move(Records);
}

void Simulation::startCallers() {
  for (const CallerModel &Caller : Pattern.Callers) {
    for (uint32_t I = 0; I < Caller.ClosedLoop; ++I)
      startClosedLoop(Caller);
    if (Caller.ClosedLoop == 0)
      scheduleArrival(Caller);
  }
}

void Simulation::startClosedLoop(const CallerModel &Caller) {
  ask(Caller, Queue.now(), Caller.Retries, [this, &Caller] {
    Queue.add(Queue.now() + Caller.ThinkTime,
              [this, &Caller] { startClosedLoop(Caller); });
  });
}

void Simulation::scheduleArrival(const CallerModel &Caller) {
  double Rate = Caller.RatePerSecond;
  for (const std::string &Name : {Caller.Route.text(), Caller.Team.text()})
    if (auto Burst = BurstFactors.find(Name); Burst != BurstFactors.end())
      Rate *= Burst->second;
  double Wait = -std::log(1 - Rng.uniform01()) / Rate;
  auto Delay =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Wait));
  Queue.add(Queue.now() + Delay, [this, &Caller] {
    ask(Caller, Queue.now(), Caller.Retries, [] {});
    scheduleArrival(Caller);
  });
}

HostModel &Simulation::chooseHost(const CallerModel &Caller) {
  if (Caller.Zone == 0)
    return *Hosts[Rng.below(Hosts.size())];
  // The hosts are assigned to the zones in turn.
  size_t First = Caller.Zone - 1;
  size_t Count = (Hosts.size() - First + Pattern.Zones - 1) / Pattern.Zones;
  return *Hosts[First + Rng.below(Count) * Pattern.Zones];
}

void Simulation::ask(const CallerModel &Caller, MonotonicTime FirstAskedAt,
                     uint32_t RetriesLeft, const std::function<void()> &Ended) {
  HostModel &Host = chooseHost(Caller);
  auto OnEnd = [this, &Caller, FirstAskedAt, RetriesLeft,
                Ended](const Query &Done, RequestOutcome Outcome) {
    bool Served = Outcome == RequestOutcome::Complete ||
                  Outcome == RequestOutcome::Partial;
    RequestRecord Record;
    Record.Team = Caller.Team;
    Record.FirstAskedAt = FirstAskedAt;
    Record.Final = Served || RetriesLeft == 0;
    record(std::move(Record), Done, Outcome);
    if (Served || RetriesLeft == 0)
      return Ended();
    Duration Delay =
        Outcome == RequestOutcome::Refused ? Done.returnAfter() : RetryDelay;
    Queue.add(Queue.now() + Delay,
              [this, &Caller, FirstAskedAt, RetriesLeft, Ended] {
                ask(Caller, FirstAskedAt, RetriesLeft - 1, Ended);
              });
  };
  std::make_shared<Query>(Queue, Rng, Host, route(Caller.Route), Caller.Team,
                          OnEnd)
      ->start();
}

void Simulation::record(RequestRecord Record, const Query &Ended,
                        RequestOutcome Outcome) {
  Record.Route = Ended.route().Id;
  Record.AskedAt = Ended.askedAt();
  Record.EndedAt = Queue.now();
  Record.Outcome = Outcome;
  Record.Reason = Ended.lastReason();
  Record.Coverage = Ended.coverage();
  Record.Late = Record.latency() > Ended.route().TargetLatency;
  Records.push_back(std::move(Record));
}

void Simulation::scheduleEvents() {
  for (const ModelEvent &Event : Pattern.Events) {
    Queue.add(Event.At, [this, &Event] { setFault(Event, true); });
    Queue.add(Event.At + Event.For, [this, &Event] { setFault(Event, false); });
  }
}

void Simulation::setFault(const ModelEvent &Event, bool Active) {
  if (Event.Kind == ModelEventKind::Burst) {
    BurstFactors[Event.Subject] = Active ? Event.Factor : 1;
    return;
  }
  for (const ServiceModel &Service : Pattern.Services) {
    if (Service.Group != Event.Subject)
      continue;
    uint32_t Last =
        Event.Servers == 0
            ? Service.Servers
            : std::min(Event.FirstServer + Event.Servers - 1, Service.Servers);
    for (uint32_t I = Event.FirstServer; I <= Last; ++I)
      Servers.at(serverIdOf(Service.Id, I))->setFault(Event, Active);
  }
}

double RequestRecord::worth(Duration TargetLatency) const {
  constexpr double LateShare = 0.1;
  if (!served())
    return 0;
  bool InTime = EndedAt - FirstAskedAt <= TargetLatency;
  return Coverage * Coverage * (InTime ? 1 : LateShare);
}

CallerSummary summarizeCallers(const std::vector<RequestRecord> &Records,
                               MonotonicTime From, MonotonicTime To,
                               Duration TargetLatency) {
  CallerSummary Out;
  for (const RequestRecord &R : Records) {
    if (!R.Final || R.FirstAskedAt < From || R.FirstAskedAt >= To)
      continue;
    ++Out.Callers;
    bool InTime = R.EndedAt - R.FirstAskedAt <= TargetLatency;
    Out.InTime += R.served() && InTime ? 1 : 0;
    Out.Late += R.served() && !InTime ? 1 : 0;
    Out.Refused += R.Outcome == RequestOutcome::Refused ? 1 : 0;
    Out.Failed += R.Outcome == RequestOutcome::Failed ? 1 : 0;
    Out.Worth += R.worth(TargetLatency);
  }
  Out.Worth /= std::max<double>(1, static_cast<double>(Out.Callers));
  return Out;
}

std::vector<WindowSummary> summarize(const std::vector<RequestRecord> &Records,
                                     Duration Window) {
  std::map<std::pair<int64_t, RouteId>, WindowSummary> Windows;
  std::map<std::pair<int64_t, RouteId>, std::vector<Duration>> Latencies;
  for (const RequestRecord &Record : Records) {
    int64_t Index = Record.AskedAt.time_since_epoch() / Window;
    auto Key = std::make_pair(Index, Record.Route);
    WindowSummary &Out = Windows[Key];
    Out.Begin = MonotonicTime(Window * Index);
    Out.Route = Record.Route;
    ++Out.Asked;
    bool Served = Record.Outcome == RequestOutcome::Complete ||
                  Record.Outcome == RequestOutcome::Partial;
    Out.Complete += Record.Outcome == RequestOutcome::Complete ? 1 : 0;
    Out.Partial += Record.Outcome == RequestOutcome::Partial ? 1 : 0;
    Out.Refused += Record.Outcome == RequestOutcome::Refused ? 1 : 0;
    Out.Failed += Record.Outcome == RequestOutcome::Failed ? 1 : 0;
    Out.Late += Served && Record.Late ? 1 : 0;
    if (Served)
      Latencies[Key].push_back(Record.latency());
  }
  std::vector<WindowSummary> Out;
  for (auto &[Key, Summary] : Windows) {
    std::vector<Duration> &Sorted = Latencies[Key];
    std::sort(Sorted.begin(), Sorted.end());
    Summary.MedianLatency = percentile(Sorted, 0.5);
    Summary.HighLatency = percentile(Sorted, HighPercentile);
    Out.push_back(Summary);
  }
  return Out;
}

} // namespace mimosa
