// Dispatches sub-requests to the backend servers of one service and region that
// this host owns. There is one BackendScheduler per backend server. Like it,
// the dispatcher performs no I/O.
//
//   Dispatcher D(Permission);
//   D.configure(AllBackendServersOfTheService, Now, Out);
//   D.own(Partition(3), Now, Out);       // lease acquired
//   D.submit(Backend, std::move(Request), Now, Out);
//   D.release(Partition(3), Now, Out);   // before releasing the lease
//   if (D.isReleased(Partition(3))) ...  // all its sub-requests have ended
//
// The driver passes events on connections to the scheduler that opened them,
// see scheduler(), and drops those of a scheduler that no longer exists.

#ifndef MIMOSA_DISPATCH_DISPATCHER_H
#define MIMOSA_DISPATCH_DISPATCHER_H

#include "dispatch/backend_scheduler.h"

#include <set>

namespace mimosa {

/// See the head of this file.
class Dispatcher {
public:
  /// \p Permission must outlive the dispatcher.
  explicit Dispatcher(const DispatchPermission &Permission)
      : Permission(Permission) {}

  /// Sets the backend servers of the service and region. Stops the scheduler of
  /// a backend server that is no longer configured or has changed its
  /// partition; in an owned partition a new one starts when the old one has
  /// stopped.
  void configure(const std::vector<BackendSettings> &All, MonotonicTime Now,
                 DispatchActions &Out);
  /// Starts the schedulers of \p P.
  void own(Partition P, MonotonicTime Now, DispatchActions &Out);
  /// Stops the schedulers of \p P, before a planned release of the lease or
  /// after its loss.
  void release(Partition P, MonotonicTime Now, DispatchActions &Out);
  /// True if \p P is not owned, none of its sub-requests runs and none of its
  /// connections is open.
  bool isReleased(Partition P) const;
  bool owns(Partition P) const { return Owned.count(P) > 0; }

  /// Refuses with NotOwner if this host does not own the backend server.
  void submit(const BackendServerId &Backend, SubRequest Request,
              MonotonicTime Now, DispatchActions &Out);
  void cancel(const BackendServerId &Backend, const SubRequestKey &Key,
              MonotonicTime Now, DispatchActions &Out);
  /// As BackendScheduler::setServiceP99(), for all schedulers.
  void setServiceP99(Duration P99);
  /// The driver calls this every TickInterval.
  void tick(MonotonicTime Now, DispatchActions &Out);

  /// The scheduler that receives the events of its connections; null if it no
  /// longer exists.
  BackendScheduler *scheduler(SchedulerId Id);
  const BackendScheduler *scheduler(const BackendServerId &Backend) const;
  /// The summaries of all schedulers, which the owner announces periodically as
  /// BackendSummary.
  std::vector<SchedulerSummary> summaries() const;

private:
  void startScheduler(const BackendSettings &Settings, MonotonicTime Now,
                      DispatchActions &Out);
  void startOwned(MonotonicTime Now, DispatchActions &Out);
  /// Removes stopped schedulers and starts those that waited for them.
  void removeStopped(MonotonicTime Now, DispatchActions &Out);

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
