// The schedulers of the backend servers of one service and region that this
// host owns.
//
//   Dispatcher D(Permission);
//   D.configure(AllBackendServersOfTheService, Now, Out);
//   D.own(Partition(3), Now, Out);       // the lease is won
//   D.submit(Backend, std::move(Request), Now, Out);
//   D.release(Partition(3), Now, Out);   // before the release of the lease
//   if (D.isReleased(Partition(3))) ...  // its sub-requests have ended
//
// Events about connections go to the scheduler named in them; an event for a
// scheduler that is gone is dropped.

#ifndef MIMOSA_DISPATCH_DISPATCHER_H
#define MIMOSA_DISPATCH_DISPATCHER_H

#include "dispatch/backend_scheduler.h"

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
  /// Opens the schedulers of \p P.
  void own(Partition P, MonotonicTime Now, DispatchActions &Out);
  /// Stops the schedulers of \p P, both before a planned release and after a
  /// loss.
  void release(Partition P, MonotonicTime Now, DispatchActions &Out);
  /// True if no sub-request of \p P runs and no connection is open.
  bool isReleased(Partition P) const;
  bool owns(Partition P) const { return Owned.count(P) > 0; }

  /// Refuses with NotOwner if this host does not own the backend server.
  void submit(const BackendServerId &Backend, SubRequest Request,
              MonotonicTime Now, DispatchActions &Out);
  void cancel(const BackendServerId &Backend, const SubRequestKey &Key,
              MonotonicTime Now, DispatchActions &Out);
  /// As BackendScheduler::setServiceP99(), for all schedulers.
  void setServiceP99(Duration P99);
  /// To be called every TickInterval.
  void tick(MonotonicTime Now, DispatchActions &Out);

  /// Null if the scheduler is gone. Events of connections go to the scheduler.
  BackendScheduler *scheduler(SchedulerId Id);
  const BackendScheduler *scheduler(const BackendServerId &Backend) const;
  /// The summaries of all schedulers in use, for the periodic BackendSummary.
  std::vector<SchedulerSummary> summaries() const;

private:
  void startScheduler(const BackendSettings &Settings, MonotonicTime Now,
                      DispatchActions &Out);
  void startOwned(MonotonicTime Now, DispatchActions &Out);
  void dropStopped(MonotonicTime Now, DispatchActions &Out);

  const DispatchPermission &Permission;
  std::vector<BackendSettings> Configured;
  std::set<Partition> Owned;
  std::unordered_map<SchedulerId, std::unique_ptr<BackendScheduler>> Schedulers;
  std::unordered_map<BackendServerId, BackendScheduler *> ByBackend;
  uint32_t LastScheduler = 0;
  Duration ServiceP99{};
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_DISPATCHER_H
