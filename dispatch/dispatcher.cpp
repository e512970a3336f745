#include "dispatch/dispatcher.h"

#include <algorithm>

namespace mimosa {

void Dispatcher::configure(const std::vector<BackendSettings> &All,
                           MonotonicTime Now, DispatchActions &Out) {
  Configured = All;
  std::unordered_map<BackendServerId, const BackendSettings *> New;
  for (const BackendSettings &Settings : Configured)
    New.emplace(Settings.Backend, &Settings);
  for (auto &[Id, Gate] : Gates) {
    auto Found = New.find(Gate->settings().Backend);
    if (Found == New.end() || Found->second->Owned != Gate->settings().Owned)
      Gate->stop(Out);
    else
      Gate->configure(*Found->second, Now, Out);
  }
  dropStopped(Now, Out);
  openOwned(Now, Out);
}

void Dispatcher::openGate(const BackendSettings &Settings, MonotonicTime Now,
                          DispatchActions &Out) {
  BackendGate *&Gate = ByBackend[Settings.Backend];
  if (Gate) {
    // A gate of another partition has to end first, so that two gates never
    // share a backend server.
    if (Gate->settings().Owned == Settings.Owned)
      Gate->start(Now, Out);
    return;
  }
  GateId Id(++LastGate);
  auto Made = std::make_unique<BackendGate>(Id, Settings, Permission, Now);
  Gate = Made.get();
  Gate->setServiceP99(ServiceP99);
  Gates.emplace(Id, std::move(Made));
  Gate->start(Now, Out);
}

void Dispatcher::openOwned(MonotonicTime Now, DispatchActions &Out) {
  for (const BackendSettings &Settings : Configured)
    if (owns(Settings.Owned))
      openGate(Settings, Now, Out);
}

void Dispatcher::own(Partition P, MonotonicTime Now, DispatchActions &Out) {
  Owned.insert(P);
  for (const BackendSettings &Settings : Configured)
    if (Settings.Owned == P)
      openGate(Settings, Now, Out);
}

void Dispatcher::release(Partition P, MonotonicTime Now, DispatchActions &Out) {
  Owned.erase(P);
  for (auto &[Id, Gate] : Gates)
    if (Gate->settings().Owned == P)
      Gate->stop(Out);
  dropStopped(Now, Out);
}

bool Dispatcher::isReleased(Partition P) const {
  return !owns(P) &&
         std::none_of(Gates.begin(), Gates.end(), [P](const auto &Gate) {
           return Gate.second->settings().Owned == P;
         });
}

void Dispatcher::dropStopped(MonotonicTime Now, DispatchActions &Out) {
  size_t Before = Gates.size();
  for (auto It = Gates.begin(); It != Gates.end();) {
    if (!It->second->isStopped()) {
      ++It;
      continue;
    }
    ByBackend.erase(It->second->settings().Backend);
    It = Gates.erase(It);
  }
  if (Gates.size() != Before)
    openOwned(Now, Out);
}

void Dispatcher::submit(const BackendServerId &Backend, SubRequest Request,
                        MonotonicTime Now, DispatchActions &Out) {
  auto Found = ByBackend.find(Backend);
  if (Found != ByBackend.end()) {
    Found->second->submit(std::move(Request), Now, Out);
    return;
  }
  Reply Refusal;
  Refusal.To = std::move(Request.Key);
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
  for (auto &[Id, Gate] : Gates)
    Gate->setServiceP99(P99);
}

void Dispatcher::tick(MonotonicTime Now, DispatchActions &Out) {
  for (auto &[Id, Gate] : Gates)
    Gate->tick(Now, Out);
  dropStopped(Now, Out);
}

BackendGate *Dispatcher::gate(GateId Id) {
  auto Found = Gates.find(Id);
  return Found == Gates.end() ? nullptr : Found->second.get();
}

const BackendGate *Dispatcher::gate(const BackendServerId &Backend) const {
  auto Found = ByBackend.find(Backend);
  return Found == ByBackend.end() ? nullptr : Found->second;
}

std::vector<GateSummary> Dispatcher::summaries() const {
  std::vector<GateSummary> All;
  for (const auto &[Id, Gate] : Gates)
    All.push_back(Gate->summary());
  return All;
}

} // namespace mimosa
