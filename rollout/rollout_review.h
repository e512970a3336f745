// A reviewer's view of one order: decides whether the target version is good,
// from the evidence of all hosts, and how many requests it may get until then.
//
//   RolloutReview Review(Order, Limits, Now);
//   Review.applyEvidence(Sender, SenderIncarnation, Evidence, Now);
//   ReviewDecision Next = Review.step(State, Now);   // every 200 ms
//   Review.grant(Now);                               // for the hosts
//
// Several hosts review the same order; one of them acts on its decisions. The
// rules are in docs/design/rollout.md. Designed for ramps of 3 to 120 s and
// services with 1 to 130,000 requests a second over up to 540 hosts.

#ifndef MIMOSA_ROLLOUT_ROLLOUT_REVIEW_H
#define MIMOSA_ROLLOUT_ROLLOUT_REVIEW_H

#include "rollout/evidence_table.h"
#include "rollout/rollout_order.h"

#include <deque>
#include <optional>
#include <set>

namespace mimosa {

/// What a reviewer knows besides the evidence.
struct ReviewState {
  RolloutPhase Phase = RolloutPhase::Testing;
  /// The status in the store is about this order.
  bool HasStatus = false;
  /// This host's copy of the store is up to date.
  bool StoreFresh = true;
  /// Usable backend servers of the target version, those that are not cold
  /// first, in an order that is the same at all hosts.
  std::vector<BackendServerId> TargetServers;
  /// Another version has a usable backend server.
  bool HasOtherServers = true;
  std::vector<HostId> ListedHosts;
};

enum class ReviewStep { None, Start, Move, Complete, RollBack };

struct ReviewDecision {
  ReviewStep Step = ReviewStep::None;
  std::string Reason;
};

/// See the head of this file. The times that are passed in must not decrease.
class RolloutReview {
public:
  RolloutReview(RolloutOrder Order, RolloutLimits Limits, MonotonicTime SeenAt);

  const RolloutOrder &order() const { return Order; }
  void applyEvidence(const HostId &Sender, Incarnation SenderIncarnation,
                     const ServiceEvidence &Evidence, MonotonicTime Now);
  /// The next step, and updates the share that is granted.
  ReviewDecision step(const ReviewState &State, MonotonicTime Now);
  RolloutGrant grant(MonotonicTime Now) const;
  /// Whether the version has been found to be bad.
  bool isBad() const { return Bad; }
  std::string evidenceText() const;

private:
  Duration age(MonotonicTime Now) const { return Now - OrderAt; }
  /// When traffic may be moved.
  Duration moveAfter() const;
  /// When the test ends, whatever is known by then.
  Duration testEnd() const;
  ReviewDecision reviewTest(const ReviewState &State, const Comparison &C,
                            MonotonicTime Now);
  ReviewDecision reviewMove(const ReviewState &State, MonotonicTime Now);
  ReviewDecision condemn(std::string Reason);
  /// Whether enough hosts have reported lately to decide in favour.
  bool evidenceIsFresh(MonotonicTime Now) const;
  /// Whether no host sends to or has requests at other versions.
  bool allMoved(const ReviewState &State, MonotonicTime Now) const;
  void updateShare(const ReviewState &State, MonotonicTime Now);
  /// Requests that the target version may get now.
  double allowance(MonotonicTime Now) const;
  double requestRate(MonotonicTime Now);

  RolloutOrder Order;
  RolloutLimits Limits;
  MonotonicTime OrderAt;
  MonotonicTime LastStepAt;
  /// Since when this host has run without standing still.
  MonotonicTime FreshSince;
  EvidenceTable Table;
  bool Bad = false;
  std::string BadReason;
  /// There are signs of a fault, which may be by chance.
  bool Suspicious = false;
  MonotonicTime SuspiciousSince;
  /// The version has answered few requests of some route.
  bool HasRareRoute = false;
  std::optional<MonotonicTime> ManyBadSince;
  std::optional<MonotonicTime> MovingSince;
  std::optional<MonotonicTime> NoServersSince;
  double Share = 0;
  /// How long the version has been granted requests.
  Duration TestedTime{0};
  BackendServerId Server;
  size_t NextServer = 0;
  std::optional<MonotonicTime> BurstUntil;
  size_t BurstsDone = 0;
  MonotonicTime LastBurstAt;
  /// Requests sent to the service by the time of a step.
  std::deque<std::pair<MonotonicTime, uint64_t>> SentHistory;
};

} // namespace mimosa

#endif // MIMOSA_ROLLOUT_ROLLOUT_REVIEW_H
