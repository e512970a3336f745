// Runs a load pattern (load_pattern.h) in virtual time against the decision
// classes of the entry daemon: each host has its own ServerRegistry and
// CallScheduler, and each query its own GatherQuery. The backend servers, the
// network and the callers are models. Equal patterns give equal results.
//
//   Simulation Run(Pattern);
//   for (const RequestRecord &R : Run.run())
//     ...

#ifndef MIMOSA_MODEL_SIMULATION_H
#define MIMOSA_MODEL_SIMULATION_H

#include "model/host_model.h"
#include "model/load_pattern.h"

#include <memory>

namespace mimosa {

enum class RequestOutcome { Complete, Partial, Refused, Failed };

/// The end of one request of a caller; a retry is a request of its own.
struct RequestRecord {
  RouteId Route;
  TeamId Team;
  /// When the caller asked first, before any retry.
  MonotonicTime FirstAskedAt;
  MonotonicTime AskedAt;
  MonotonicTime EndedAt;
  RequestOutcome Outcome = RequestOutcome::Failed;
  /// Why it ended without an answer.
  CallReason Reason = CallReason::None;
  /// Share of the shards in the answer.
  double Coverage = 0;
  /// The caller does not retry.
  bool Final = false;
  /// Ended after the target latency of its route.
  bool Late = false;

  Duration latency() const { return EndedAt - AskedAt; }
  bool served() const {
    return Outcome == RequestOutcome::Complete ||
           Outcome == RequestOutcome::Partial;
  }
  /// The worth of the answer to the caller: the square of the coverage, and a
  /// tenth of it if the answer came later than \p TargetLatency after the
  /// caller asked first; 0 without an answer.
  double worth(Duration TargetLatency) const;
};

/// What callers got whose first requests were sent within a time.
struct CallerSummary {
  uint64_t Callers = 0;
  /// Callers that were answered within the target latency or later, or that
  /// got a refusal or a failure as the last answer.
  uint64_t InTime = 0;
  uint64_t Late = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;
  /// Mean of RequestRecord::worth().
  double Worth = 0;
};

CallerSummary summarizeCallers(const std::vector<RequestRecord> &Records,
                               MonotonicTime From, MonotonicTime To,
                               Duration TargetLatency);

/// Counts over the requests of one route that began within one window.
struct WindowSummary {
  MonotonicTime Begin;
  RouteId Route;
  uint64_t Asked = 0;
  uint64_t Complete = 0;
  uint64_t Partial = 0;
  /// Of the complete and partial ones.
  uint64_t Late = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;
  /// Of the complete and partial ones; 0 if there are none.
  Duration MedianLatency{0};
  Duration HighLatency{0};
};

/// Summaries in order of time, then route. \p HighLatency is the 99th
/// percentile.
std::vector<WindowSummary> summarize(const std::vector<RequestRecord> &Records,
                                     Duration Window);

class Simulation {
public:
  explicit Simulation(LoadPattern Pattern);
  ~Simulation();

  /// Runs the pattern to its end; must be called once.
  std::vector<RequestRecord> run();

  const ServerModel &server(const BackendServerId &Id) const {
    return *Servers.at(Id);
  }
  template <typename Function> void eachServer(Function Visit) const {
    for (const auto &[Id, Server] : Servers)
      Visit(*Server);
  }

private:
  class Query;

  void startCallers();
  void startClosedLoop(const CallerModel &Caller);
  void scheduleArrival(const CallerModel &Caller);
  void scheduleEvents();
  void setFault(const ModelEvent &Event, bool Active);
  /// Sends a request to a random host; calls \p Ended at its end.
  void ask(const CallerModel &Caller, MonotonicTime FirstAskedAt,
           uint32_t RetriesLeft, const std::function<void()> &Ended);
  HostModel &chooseHost(const CallerModel &Caller);
  void record(RequestRecord Record, const Query &Ended, RequestOutcome Outcome);
  const RouteModel &route(const RouteId &Id) const;

  LoadPattern Pattern;
  SeededRandom Rng;
  EventQueue Queue;
  ServerModels Servers;
  std::vector<std::unique_ptr<HostModel>> Hosts;
  /// By the name of a route or a team.
  std::unordered_map<std::string, double> BurstFactors;
  std::vector<RequestRecord> Records;
};

} // namespace mimosa

#endif // MIMOSA_MODEL_SIMULATION_H
