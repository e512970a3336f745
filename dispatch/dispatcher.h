// The gates of the backend servers of one service and region that this host
// owns.
//
//   Dispatcher D(Permission);
//   D.configure(AllBackendServersOfTheService, Now, Out);
//   D.own(Partition(3), Now, Out);       // the lease is won
//   D.submit(Backend, std::move(Request), Now, Out);
//   D.release(Partition(3), Now, Out);   // before the release of the lease
//   if (D.isReleased(Partition(3))) ...  // its sub-requests have ended
//
// Events about connections go to the gate named in them; an event for a gate
// that is gone is dropped.

#ifndef MIMOSA_DISPATCH_DISPATCHER_H
#define MIMOSA_DISPATCH_DISPATCHER_H

#include "dispatch/backend_gate.h"

#include <set>

namespace mimosa {

class Dispatcher {
public:
  /// \p Permission must outlive the dispatcher.
  explicit Dispatcher(const DispatchPermission &Permission)
      : Permission(Permission) {}

  /// Takes all backend servers of the service. A backend server that is gone
  /// or has moved to a partition that is not owned is stopped.
  void configure(const std::vector<BackendSettings> &All, MonotonicTime Now,
                 DispatchActions &Out);
  /// Opens the gates of \p P.
  void own(Partition P, MonotonicTime Now, DispatchActions &Out);
  /// Stops the gates of \p P, both before a planned release and after a loss.
  void release(Partition P, MonotonicTime Now, DispatchActions &Out);
  /// True if no sub-request of \p P runs and no connection is open.
  bool isReleased(Partition P) const;
  bool owns(Partition P) const { return Owned.count(P) > 0; }

  /// Refuses with NotOwner if this host does not own the backend server.
  void submit(const BackendServerId &Backend, SubRequest Request,
              MonotonicTime Now, DispatchActions &Out);
  void cancel(const BackendServerId &Backend, const SubRequestKey &Key,
              MonotonicTime Now, DispatchActions &Out);
  /// As BackendGate::setServiceP99(), for all gates.
  void setServiceP99(Duration P99);
  /// To be called every TickInterval.
  void tick(MonotonicTime Now, DispatchActions &Out);

  /// Null if the gate is gone. Events of connections go to the gate.
  BackendGate *gate(GateId Id);
  const BackendGate *gate(const BackendServerId &Backend) const;
  /// The summaries of all gates in use, for the periodic BackendSummary.
  std::vector<GateSummary> summaries() const;

private:
  void openGate(const BackendSettings &Settings, MonotonicTime Now,
                DispatchActions &Out);
  void openOwned(MonotonicTime Now, DispatchActions &Out);
  void dropStopped(MonotonicTime Now, DispatchActions &Out);

  const DispatchPermission &Permission;
  std::vector<BackendSettings> Configured;
  std::set<Partition> Owned;
  std::unordered_map<GateId, std::unique_ptr<BackendGate>> Gates;
  std::unordered_map<BackendServerId, BackendGate *> ByBackend;
  uint32_t LastGate = 0;
  Duration ServiceP99{};
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_DISPATCHER_H
