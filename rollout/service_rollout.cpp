#include "rollout/service_rollout.h"

#include <algorithm>

namespace mimosa {

namespace {

/// After an order was removed, its target is used only if there is no other
/// version for this long. Its backend servers drain meanwhile.
constexpr Duration RemovedOrderMemory = Seconds(30);
/// Targets of earlier orders that are remembered; operators do not keep more
/// versions running.
constexpr size_t MaxExcludedVersions = 8;
/// Trials that a route without requests may save up.
constexpr double MaxCredit = 2;
/// Routes with few requests get a share that is greater by up to this factor,
/// since a version may be bad on one of them only.
constexpr double MaxRouteBoost = 6;
constexpr double MaxBoostedShare = 0.5;

bool contains(const std::vector<VersionId> &List, const VersionId &Version) {
  return std::find(List.begin(), List.end(), Version) != List.end();
}

} // namespace

const char *rolloutPhaseName(RolloutPhase Phase) {
  switch (Phase) {
  case RolloutPhase::Testing:
    return "testing";
  case RolloutPhase::Moving:
    return "moving";
  case RolloutPhase::Completed:
    return "completed";
  case RolloutPhase::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

RolloutPhase ServiceRollout::phase() const {
  bool Applies = Status && (Order ? Status->Order == Order->Revision
                                  : Status->TargetVersion == Target);
  return Applies ? Status->Phase : RolloutPhase::Testing;
}

void ServiceRollout::exclude(const VersionId &Version) {
  if (Version.empty() || contains(Excluded, Version))
    return;
  Excluded.push_back(Version);
  if (Excluded.size() > MaxExcludedVersions)
    Excluded.erase(Excluded.begin());
}

void ServiceRollout::reset(MonotonicTime Now) {
  OrderSeenAt = Now;
  Stopped = false;
  Grant = {};
  Share = 0;
  Routes.clear();
  FirstAttempts = 0;
  Sent = 0;
  SentToTarget = 0;
  Cells.clear();
}

void ServiceRollout::setOrder(std::optional<RolloutOrder> NewOrder,
                              MonotonicTime Now) {
  if (!NewOrder) {
    if (Order)
      RemovedAt = Now;
    Order.reset();
    Grant = {};
    return;
  }
  if (Order && NewOrder->Revision == Order->Revision)
    return;
  bool WasCompleted = phase() == RolloutPhase::Completed;
  if (!WasCompleted)
    exclude(Target);
  Order = std::move(NewOrder);
  RemovedAt.reset();
  Target = Order->TargetVersion;
  reset(Now);
  setStatus(Status, Now);
}

void ServiceRollout::setStatus(std::optional<RolloutStatus> NewStatus,
                               MonotonicTime Now) {
  Status = std::move(NewStatus);
  if (Status) {
    for (const VersionId &Version : Status->Excluded)
      exclude(Version);
    bool IsOther = Order ? Status->Order != Order->Revision : !Target.empty();
    if (IsOther && Status->TargetVersion != Target &&
        Status->Phase != RolloutPhase::Completed)
      exclude(Status->TargetVersion);
    if (!Order && Target.empty()) {
      // The order was removed before this host saw it.
      Target = Status->TargetVersion;
      RemovedAt = Now;
    }
  }
  Excluded.erase(std::remove(Excluded.begin(), Excluded.end(), Target),
                 Excluded.end());
}

bool ServiceRollout::active(MonotonicTime Now) const {
  return Order || (RemovedAt && Now - *RemovedAt < RemovedOrderMemory);
}

void ServiceRollout::applyGrants(const RolloutGrant *NewGrant, bool Stop,
                                 MonotonicTime Now) {
  Stopped = Stopped || Stop;
  if (!NewGrant)
    return;
  Grant = *NewGrant;
  GrantedAt = Now;
  OrderSeenAt = std::min(OrderSeenAt, Now - NewGrant->OrderAge);
}

ServerRole ServiceRollout::role(const BackendServer &Server) const {
  ServerRole Rejected = Order ? ServerRole::Excluded : ServerRole::Fallback;
  if (!isTarget(Server)) {
    if (contains(Excluded, Server.entry().Version))
      return Rejected;
    bool Moved = phase() == RolloutPhase::Completed ||
                 (phase() == RolloutPhase::Moving && !Stopped);
    return Moved && Order ? ServerRole::Fallback : ServerRole::Regular;
  }
  switch (phase()) {
  case RolloutPhase::Testing:
    break;
  case RolloutPhase::Moving:
    if (!Stopped && Order)
      return ServerRole::Regular;
    break;
  case RolloutPhase::Completed:
    return ServerRole::Regular;
  case RolloutPhase::RolledBack:
    return Rejected;
  }
  return Server.entry().Id == Grant.Server && !Stopped && Order
             ? ServerRole::Trial
             : ServerRole::Fallback;
}

bool ServiceRollout::trialDue(const RouteId &Route, MonotonicTime Now) {
  bool Granted = Order && phase() == RolloutPhase::Testing && !Stopped &&
                 Now - GrantedAt < RolloutGrantLifetime;
  Share = Granted ? Grant.Share : 0;
  if (Share <= 0)
    return false;
  // A random start, so that not all hosts send their first trial at once.
  auto [It, IsNew] = Routes.try_emplace(Route);
  if (IsNew)
    It->second.Credit = Rng.uniform01();
  return It->second.Credit >= 1;
}

double ServiceRollout::shareOf(const RouteTrials &Trials) const {
  double Mean = static_cast<double>(FirstAttempts) /
                static_cast<double>(std::max<size_t>(1, Routes.size()));
  double Boost = std::clamp(
      Mean / static_cast<double>(std::max<uint64_t>(1, Trials.FirstAttempts)),
      1.0, MaxRouteBoost);
  return std::max(Share, std::min(Share * Boost, MaxBoostedShare));
}

void ServiceRollout::recordFirstAttempt(const RouteId &Route,
                                        const BackendServer &Server) {
  auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return;
  RouteTrials &Trials = Found->second;
  ++Trials.FirstAttempts;
  ++FirstAttempts;
  Trials.Credit = std::min(MaxCredit, Trials.Credit + shareOf(Trials));
  if (isTarget(Server))
    Trials.Credit = std::max(0.0, Trials.Credit - 1);
}

void ServiceRollout::recordSend(const BackendServer &Server) {
  ++Sent;
  SentToTarget += isTarget(Server) ? 1 : 0;
}

void ServiceRollout::record(const AttemptReport &Report) {
  bool IsCold = Report.Server.cold(Report.EndedAt);
  if (!undecided() || Report.SentAt < OrderSeenAt ||
      (IsCold && Report.End != AttemptEnd::Failed))
    return;
  const VersionId &Version = Report.Server.entry().Version;
  if (Version != Target && contains(Excluded, Version))
    return;
  AnswerCounts &Counts =
      Cells[{evidenceSlot(Report.SentAt), Report.Route, Version == Target}];
  if (Report.End == AttemptEnd::Failed)
    ++Counts.Failures;
  else
    ++Counts.Latencies[latencyBucket(Report.EndedAt - Report.SentAt)];
  while (!Cells.empty() && Cells.begin()->first.Slot + MaxEvidenceSlots <
                               evidenceSlot(Report.EndedAt))
    Cells.erase(Cells.begin());
}

ServiceEvidence ServiceRollout::makeReport(MonotonicTime Now,
                                           MonotonicTime Since,
                                           uint64_t InFlightElsewhere) const {
  ServiceEvidence Out;
  Out.Service = Service;
  Out.Order = Order ? Order->Revision : StoreRevision();
  Out.OrderAge = orderAge(Now);
  Out.Sent = Sent;
  Out.SentToTarget = SentToTarget;
  Out.InFlightElsewhere = InFlightElsewhere;
  Out.Moved = hasStatus() && phase() == RolloutPhase::Moving;
  for (auto It = Cells.lower_bound({evidenceSlot(Since), RouteId(), false});
       It != Cells.end(); ++It) {
    const auto &[Key, Counts] = *It;
    RolloutCell Cell;
    Cell.Slot = Key.Slot;
    Cell.Age =
        Now.time_since_epoch() - EvidenceSlot * static_cast<int64_t>(Key.Slot);
    Cell.Route = Key.Route.text();
    Cell.Target = Key.Target;
    Cell.Failures = Counts.Failures;
    Cell.Latencies.assign(Counts.Latencies.begin(), Counts.Latencies.end());
    while (!Cell.Latencies.empty() && Cell.Latencies.back() == 0)
      Cell.Latencies.pop_back();
    Out.Cells.push_back(std::move(Cell));
  }
  return Out;
}

ServiceRollout &ServiceRollouts::get(const ServiceId &Service) {
  return Rollouts.try_emplace(Service, Service, Rng).first->second;
}

ServerFilter *ServiceRollouts::find(const ServiceId &Service) const {
  auto Found = Active.find(Service);
  return Found == Active.end() ? nullptr : Found->second;
}

void ServiceRollouts::update(MonotonicTime Now) {
  Active.clear();
  for (auto It = Rollouts.begin(); It != Rollouts.end();) {
    ServiceRollout &Rollout = It->second;
    if (Rollout.active(Now)) {
      Active.emplace(It->first, &Rollout);
    } else if (!Rollout.order() && !Rollout.status()) {
      It = Rollouts.erase(It);
      continue;
    }
    ++It;
  }
}

} // namespace mimosa
