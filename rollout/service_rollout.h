// One host's part in the roll-out of one service: which backend servers its
// requests may use, and the evidence from their answers.
//
//   ServiceRollout Rollout(Service, Rng);
//   Rollout.setOrder(Order, Now);          // from the store
//   Rollout.setStatus(Status, Now);
//   Rollout.applyGrants(Grant, Stop, Now); // from the reviewers
//   Rollout.record(Report, Now);           // for each attempt
//   Rollout.makeReport(Now, Since);        // for the reviewers
//
// Without a valid grant, a version that is being tested gets no request. A
// grant expires, so that a host that stood still or is cut off does not use an
// old one. A version that was found to be bad gets none until the next order.

#ifndef MIMOSA_ROLLOUT_SERVICE_ROLLOUT_H
#define MIMOSA_ROLLOUT_SERVICE_ROLLOUT_H

#include "balance/call_scheduler.h"
#include "balance/server_filter.h"
#include "base/random.h"
#include "rollout/evidence_table.h"
#include "rollout/rollout_order.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace mimosa {

/// See the head of this file. The times that are passed in must not decrease.
class ServiceRollout : public ServerFilter {
public:
  ServiceRollout(ServiceId Service, Random &Rng)
      : Service(std::move(Service)), Rng(Rng) {}

  /// The order in the store; empty if it was removed.
  void setOrder(std::optional<RolloutOrder> NewOrder, MonotonicTime Now);
  /// The status in the store; empty if there is none.
  void setStatus(std::optional<RolloutStatus> NewStatus, MonotonicTime Now);

  /// Whether the roles of backend servers differ from their usual ones.
  bool active(MonotonicTime Now) const;
  /// Whether there is an order without a decision.
  bool undecided() const { return Order && !isDecided(phase()); }
  /// Whether the order was withdrawn and the status does not say so yet.
  bool withdrawnUndecided() const {
    return !Order && Status && !isDecided(Status->Phase);
  }
  const std::optional<RolloutOrder> &order() const { return Order; }
  const std::optional<RolloutStatus> &status() const { return Status; }
  RolloutPhase phase() const;
  /// Whether the status in the store is about the current order.
  bool hasStatus() const {
    return Order && Status && Status->Order == Order->Revision;
  }
  /// Versions that get no requests because of earlier orders.
  const std::vector<VersionId> &excludedVersions() const { return Excluded; }
  const VersionId &targetVersion() const { return Target; }
  /// Time since the order was seen by the first host.
  Duration orderAge(MonotonicTime Now) const { return Now - OrderSeenAt; }

  /// Applies the grant of the reviewer that acts, if there is one. \p Stop says
  /// whether any reviewer has found the version to be bad.
  void applyGrants(const RolloutGrant *Grant, bool Stop, MonotonicTime Now);
  bool stopped() const { return Stopped; }

  /// Records the end of an attempt at a backend server of the service.
  void record(const AttemptReport &Report);
  /// The evidence from slots that end after \p Since. \p InFlightElsewhere is
  /// the number of requests in flight at other versions.
  ServiceEvidence makeReport(MonotonicTime Now, MonotonicTime Since,
                             uint64_t InFlightElsewhere) const;
  uint64_t sentToTarget() const { return SentToTarget; }

  ServerRole role(const BackendServer &Server) const override;
  bool trialDue(const RouteId &Route, MonotonicTime Now) override;
  void recordFirstAttempt(const RouteId &Route,
                          const BackendServer &Server) override;
  void recordSend(const BackendServer &Server) override;

private:
  struct CellKey {
    uint64_t Slot;
    RouteId Route;
    bool Target;
    friend bool operator<(const CellKey &A, const CellKey &B) {
      return std::tie(A.Slot, A.Route, A.Target) <
             std::tie(B.Slot, B.Route, B.Target);
    }
  };

  bool isTarget(const BackendServer &Server) const {
    return Server.entry().Version == Target;
  }
  /// Adds the target of a roll-out that ends without being completed.
  void exclude(const VersionId &Version);
  void reset(MonotonicTime Now);

  ServiceId Service;
  Random &Rng;
  std::optional<RolloutOrder> Order;
  std::optional<RolloutStatus> Status;
  /// Target of the order, or of the last one if it was removed.
  VersionId Target;
  std::vector<VersionId> Excluded;
  MonotonicTime OrderSeenAt;
  std::optional<MonotonicTime> RemovedAt;
  bool Stopped = false;
  RolloutGrant Grant;
  MonotonicTime GrantedAt;
  /// Share in force at the last trialDue().
  double Share = 0;
  struct RouteTrials {
    /// First attempts that are due at the trial server.
    double Credit = 0;
    uint64_t FirstAttempts = 0;
  };
  /// Share of the first attempts on a route that go to the trial server.
  double shareOf(const RouteTrials &Trials) const;
  std::unordered_map<RouteId, RouteTrials> Routes;
  uint64_t FirstAttempts = 0;
  uint64_t Sent = 0;
  uint64_t SentToTarget = 0;
  std::map<CellKey, AnswerCounts> Cells;
};

/// The roll-outs of all services.
class ServiceRollouts : public ServerFilters {
public:
  explicit ServiceRollouts(Random &Rng) : Rng(Rng) {}

  ServiceRollout &get(const ServiceId &Service);
  ServerFilter *find(const ServiceId &Service) const override;
  /// Updates which roll-outs are active, and removes those without an order
  /// and a status. Must be called about once a second and after each change.
  void update(MonotonicTime Now);
  std::map<ServiceId, ServiceRollout> &all() { return Rollouts; }
  const std::map<ServiceId, ServiceRollout> &all() const { return Rollouts; }

private:
  Random &Rng;
  std::map<ServiceId, ServiceRollout> Rollouts;
  std::unordered_map<ServiceId, ServiceRollout *> Active;
};

} // namespace mimosa

#endif // MIMOSA_ROLLOUT_SERVICE_ROLLOUT_H
