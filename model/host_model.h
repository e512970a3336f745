// One entry host of a simulation: the scheduler and the registry of the entry
// daemon, and a transport to models of backend servers.

#ifndef MIMOSA_MODEL_HOST_MODEL_H
#define MIMOSA_MODEL_HOST_MODEL_H

#include "balance/call_scheduler.h"
#include "gather/query_admission.h"
#include "model/server_model.h"

#include <memory>
#include <unordered_map>

namespace mimosa {

using ServerModels =
    std::unordered_map<BackendServerId, std::unique_ptr<ServerModel>>;

/// The id of the \p Number-th backend server of \p Service, from 1.
BackendServerId serverIdOf(const ServiceId &Service, uint32_t Number);
/// The zone with this number.
AvailabilityZoneId zoneOf(uint32_t Number);

class HostModel : private BackendTransport {
public:
  /// \p Number counts the hosts, from 0.
  HostModel(const LoadPattern &Pattern, uint32_t Number, EventQueue &Queue,
            Random &Rng, ServerModels &Servers);

  /// Sets a function that is called when answers to this host have lifted the
  /// limits of \p Processes.
  void onLiftedLimits(
      std::function<void(const std::vector<BackendProcess> &Processes)>
          Callback) {
    LiftedLimitsCallback = std::move(Callback);
  }
  /// A message of another host has arrived.
  void limitsLifted(const std::vector<BackendProcess> &Processes);

  CallScheduler &scheduler() { return Scheduler; }
  QueryAdmission &admission() { return Admission; }
  const ServerRegistry &registry() const { return Registry; }

private:
  struct OpenAttempt {
    ServerModel *Server = nullptr;
    ServerModel::RequestKey Key = 0;
    Duration NetworkTime{0};
  };

  void send(AttemptId Id, const BackendServerPtr &Server,
            const CallRequest &Request, bool FreshConnection) override;
  void cancel(AttemptId Id) override;
  /// The reply to an attempt has reached the host.
  void receive(AttemptId Id, ServerReply Reply);
  Duration workOf(const RouteId &Id);
  /// Calls the scheduler when its next timer is due.
  void armTimer();

  const LoadPattern &Pattern;
  EventQueue &Queue;
  Random &Rng;
  ServerModels &Servers;
  AvailabilityZoneId Zone;
  ServerRegistry Registry;
  CallScheduler Scheduler;
  QueryAdmission Admission;
  std::unordered_map<AttemptId, OpenAttempt> Open;
  std::function<void(const std::vector<BackendProcess> &)> LiftedLimitsCallback;
  EventQueue::Key Timer{MonotonicTime::max(), 0};
};

} // namespace mimosa

#endif // MIMOSA_MODEL_HOST_MODEL_H
