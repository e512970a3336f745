// Carries out roll-outs on this host: sends its evidence to the reviewers,
// applies their grants, and, if this host is a reviewer, decides and writes the
// decisions to the store. See docs/design/rollout.md.

#ifndef MIMOSA_ENTRY_ROLLOUT_DRIVER_H
#define MIMOSA_ENTRY_ROLLOUT_DRIVER_H

#include "platform/platform_feed.h"
#include "rollout/rollout_review.h"
#include "rollout/service_rollout.h"
#include "runtime/metrics.h"

#include <map>
#include <set>

namespace mimosa {

/// The hosts that review roll-outs, the first one first: those with the
/// greatest hash, of different zones if possible. \p Self if none is listed.
std::vector<HostId> rolloutReviewers(const std::vector<EntryHost> &Listed,
                                     const HostId &Self);

/// See the head of this file.
class RolloutDriver {
public:
  RolloutDriver(FiberLoop &Loop, ServerRegistry &Registry,
                CallScheduler &Scheduler, PlatformFeed &Feed,
                MetadataStore &Store, MetricsRegistry &Metrics, Random &Rng,
                const EntryHost &Self, Incarnation OwnIncarnation,
                RolloutLimits Limits);

  void start();
  void setLimits(RolloutLimits NewLimits) { Limits = NewLimits; }
  void setHosts(const std::vector<EntryHost> &Listed);
  void orderChanged(const ServiceId &Service,
                    std::optional<RolloutOrder> Order);
  void statusChanged(const ServiceId &Service,
                     std::optional<RolloutStatus> Status);
  /// Handles evidence of another host and replies with the grants.
  void handleEvidence(const PeerFrame &Frame, const PeerReplier &Reply);

private:
  /// What is known of a reviewer from its replies.
  struct Reviewer {
    MonotonicTime RepliedAt;
    bool StoreFresh = false;
    Incarnation ReviewerIncarnation;
    /// Orders of which it has this host's whole evidence.
    std::map<ServiceId, StoreRevision> Known;
  };
  struct ServiceState {
    std::optional<RolloutReview> Review;
    /// A write is under way or has just succeeded.
    MonotonicTime WriteAgainAt;
    /// Requests sent when evidence was last sent, and when that was.
    uint64_t ReportedSent = 0;
    MonotonicTime ReportedAt;
    bool ReportedMoved = false;
  };

  void tick();
  /// The services whose evidence is to be sent now.
  std::vector<ServiceId> dueReports(MonotonicTime Now);
  RolloutEvidence makeEvidence(const std::vector<ServiceId> &Services,
                               const HostId &To, MonotonicTime Now) const;
  void sendEvidence(const std::vector<ServiceId> &Services, MonotonicTime Now);
  void applyEvidence(const RolloutEvidence &Evidence, MonotonicTime Now);
  RolloutEvidence makeReply(const RolloutEvidence &Evidence,
                            MonotonicTime Now) const;
  void applyReply(const HostId &From, const RolloutEvidence &Reply,
                  MonotonicTime Now);
  /// The first reviewer that has replied lately, if possible one whose copy of
  /// the store is up to date; empty if there is none.
  HostId actingReviewer(MonotonicTime Now) const;
  bool storeFresh() const;
  /// The review of the current order; null if this host does not review it.
  RolloutReview *reviewOf(const ServiceRollout &Rollout,
                          const ServiceId &Service, MonotonicTime Now);
  void review(const ServiceId &Service, ServiceRollout &Rollout,
              MonotonicTime Now);
  ReviewState reviewState(const ServiceId &Service,
                          const ServiceRollout &Rollout) const;
  uint64_t inFlightElsewhere(const ServiceId &Service,
                             const VersionId &Target) const;
  void rollBackWithdrawn(const ServiceId &Service,
                         const ServiceRollout &Rollout, MonotonicTime Now);
  /// Writes the status in a fiber of its own. \p OrderRevision is the revision
  /// that the order must have, 0 if it must have been removed.
  void write(RolloutStatus Status, StoreRevision OrderRevision,
             MonotonicTime Now);

  FiberLoop &Loop;
  ServerRegistry &Registry;
  PlatformFeed &Feed;
  MetadataStore &Store;
  MetricsRegistry &Metrics;
  HostId Self;
  std::string HostName;
  Incarnation OwnIncarnation;
  RolloutLimits Limits;
  ServiceRollouts Rollouts;
  std::map<ServiceId, ServiceState> States;
  std::vector<HostId> Listed;
  std::vector<HostId> Reviewers;
  std::map<HostId, Reviewer> ReviewerStates;
  ScopedTimer Timer;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_ROLLOUT_DRIVER_H
