#include "dispatch/dispatcher.h"

#include <algorithm>

namespace mimosa {

void Dispatcher::configure(const std::vector<BackendSettings> &All,
                           MonotonicTime Now, DispatchActions &Out) {
  Configured = All;
  std::unordered_map<BackendServerId, const BackendSettings *> New;
  for (const BackendSettings &Settings : Configured)
    New.emplace(Settings.Backend, &Settings);
  for (auto &[Id, Scheduler] : Schedulers) {
    auto Found = New.find(Scheduler->settings().Backend);
    if (Found == New.end() ||
        Found->second->InPartition != Scheduler->settings().InPartition)
      Scheduler->stop(Out);
    else
      Scheduler->configure(*Found->second, Now, Out);
  }
  removeStopped(Now, Out);
  startOwned(Now, Out);
}

void Dispatcher::startScheduler(const BackendSettings &Settings,
                                MonotonicTime Now, DispatchActions &Out) {
  BackendScheduler *&Scheduler = ByBackend[Settings.Backend];
  if (Scheduler) {
    // If the backend server has changed its partition, the old scheduler has to
    // stop first, so that two schedulers never share a backend server.
    if (Scheduler->settings().InPartition == Settings.InPartition)
      Scheduler->start(Now, Out);
    return;
  }
  SchedulerId Id(++LastScheduler);
  auto Created =
      std::make_unique<BackendScheduler>(Id, Settings, Permission, Now);
  Scheduler = Created.get();
  Scheduler->setServiceP99(ServiceP99);
  Schedulers.emplace(Id, std::move(Created));
  Scheduler->start(Now, Out);
}

void Dispatcher::startOwned(MonotonicTime Now, DispatchActions &Out) {
  for (const BackendSettings &Settings : Configured)
    if (owns(Settings.InPartition))
      startScheduler(Settings, Now, Out);
}

void Dispatcher::own(Partition P, MonotonicTime Now, DispatchActions &Out) {
  Owned.insert(P);
  for (const BackendSettings &Settings : Configured)
    if (Settings.InPartition == P)
      startScheduler(Settings, Now, Out);
}

void Dispatcher::release(Partition P, MonotonicTime Now, DispatchActions &Out) {
  Owned.erase(P);
  for (auto &[Id, Scheduler] : Schedulers)
    if (Scheduler->settings().InPartition == P)
      Scheduler->stop(Out);
  removeStopped(Now, Out);
}

bool Dispatcher::isReleased(Partition P) const {
  return !owns(P) &&
         std::none_of(Schedulers.begin(), Schedulers.end(),
                      [P](const auto &Scheduler) {
                        return Scheduler.second->settings().InPartition == P;
                      });
}

void Dispatcher::removeStopped(MonotonicTime Now, DispatchActions &Out) {
  size_t Before = Schedulers.size();
  for (auto It = Schedulers.begin(); It != Schedulers.end();) {
    if (!It->second->isStopped()) {
      ++It;
      continue;
    }
    ByBackend.erase(It->second->settings().Backend);
    It = Schedulers.erase(It);
  }
  if (Schedulers.size() != Before)
    startOwned(Now, Out);
}

void Dispatcher::submit(const BackendServerId &Backend, SubRequest Request,
                        MonotonicTime Now, DispatchActions &Out) {
  auto Found = ByBackend.find(Backend);
  if (Found != ByBackend.end()) {
    Found->second->submit(std::move(Request), Now, Out);
    return;
  }
  SubRequestResult Refusal;
  Refusal.Key = std::move(Request.Key);
  Refusal.Outcome = DispatchOutcome::NotRun;
  Refusal.Reason = RefusalReason::NotOwner;
  Refusal.Code = refusalCode(Refusal.Reason);
  Out.emplace_back(std::move(Refusal));
}

void Dispatcher::cancel(const BackendServerId &Backend,
                        const SubRequestKey &Key, MonotonicTime Now,
                        DispatchActions &Out) {
  auto Found = ByBackend.find(Backend);
  if (Found != ByBackend.end())
    Found->second->cancel(Key, Now, Out);
}

void Dispatcher::setServiceP99(Duration P99) {
  ServiceP99 = P99;
  for (auto &[Id, Scheduler] : Schedulers)
    Scheduler->setServiceP99(P99);
}

void Dispatcher::tick(MonotonicTime Now, DispatchActions &Out) {
  for (auto &[Id, Scheduler] : Schedulers)
    Scheduler->tick(Now, Out);
  removeStopped(Now, Out);
}

BackendScheduler *Dispatcher::scheduler(SchedulerId Id) {
  auto Found = Schedulers.find(Id);
  return Found == Schedulers.end() ? nullptr : Found->second.get();
}

const BackendScheduler *
Dispatcher::scheduler(const BackendServerId &Backend) const {
  auto Found = ByBackend.find(Backend);
  return Found == ByBackend.end() ? nullptr : Found->second;
}

std::vector<SchedulerSummary> Dispatcher::summaries() const {
  std::vector<SchedulerSummary> All;
  for (const auto &[Id, Scheduler] : Schedulers)
    All.push_back(Scheduler->summary());
  return All;
}

} // namespace mimosa
