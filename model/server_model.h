// A model of one backend server: slots, a queue in front of them, pauses, and
// the faults of a load pattern.

#ifndef MIMOSA_MODEL_SERVER_MODEL_H
#define MIMOSA_MODEL_SERVER_MODEL_H

#include "base/random.h"
#include "model/event_queue.h"
#include "model/load_pattern.h"
#include "routing/caller_request.h"

#include <deque>
#include <set>

namespace mimosa {

enum class ServerOutcome { Success, NotRun, ConnectionRefused };

struct ServerReply {
  ServerOutcome Outcome = ServerOutcome::Success;
  ServerNotice Notice;
};

class ServerModel {
public:
  using ReplyFunction = std::function<void(ServerReply)>;
  /// Identifies a request at one server.
  using RequestKey = uint64_t;

  /// The \p Number-th backend server of \p Service, from 1.
  ServerModel(EventQueue &Queue, Random &Rng, const ServiceModel &Service,
              uint32_t Number)
      : Queue(Queue), Rng(Rng), Service(Service),
        Slots(slotsOf(Service, Number)),
        WorkFactor(workFactorOf(Service, Number)),
        PausePhase(Service.PauseInterval > Duration(0)
                       ? static_cast<int64_t>(Rng.below(static_cast<uint64_t>(
                             Service.PauseInterval.count())))
                       : 0) {}

  static uint32_t slotsOf(const ServiceModel &Service, uint32_t Number) {
    const std::vector<uint32_t> &Counts = Service.SlotCounts;
    return Counts.empty() ? Service.Slots
                          : Counts[(Number - 1) % Counts.size()];
  }
  static double workFactorOf(const ServiceModel &Service, uint32_t Number) {
    const std::vector<double> &Factors = Service.WorkFactors;
    return Service.WorkFactor *
           (Factors.empty() ? 1 : Factors[(Number - 1) % Factors.size()]);
  }

  /// A request arrives that takes \p Work at a server without faults. Calls
  /// \p Reply once, unless the server is silent or the request is cancelled.
  RequestKey arrive(Duration Work, ReplyFunction Reply);
  /// The connection of a request was closed: it frees its place.
  void cancel(RequestKey Key);

  /// When each request has arrived.
  const std::vector<MonotonicTime> &arrivals() const { return Arrivals; }
  /// Number of requests that it has refused.
  uint64_t refusals() const { return Refusals; }

  /// Begins or ends a fault.
  void setFault(const ModelEvent &Event, bool Active);

private:
  struct Request {
    RequestKey Key = 0;
    Duration Work{0};
    ReplyFunction Reply;
  };

  void startNext();
  /// When work that starts at \p From and takes \p Work ends, with pauses.
  MonotonicTime endOfWork(MonotonicTime From, Duration Work) const;

  EventQueue &Queue;
  Random &Rng;
  const ServiceModel &Service;
  uint32_t Slots;
  double WorkFactor;
  Duration PausePhase;
  double SlowFactor = 1;
  double ShedShare = 0;
  bool Silent = false;
  bool Crashed = false;
  /// What it states in its answers.
  ServerNotice Notice;
  std::vector<MonotonicTime> Arrivals;
  uint64_t Refusals = 0;
  RequestKey LastKey = 0;
  std::set<RequestKey> Running;
  std::deque<Request> Waiting;
};

} // namespace mimosa

#endif // MIMOSA_MODEL_SERVER_MODEL_H
