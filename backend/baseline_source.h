// A ReplicaSource without the policies of BackendDirectory, as a baseline for
// measurements: all replicas have the same expected latency, so that the choice
// among them is random, and nothing is hedged. All else is passed on to the
// ReplicaSource that it wraps.

#ifndef MIMOSA_BACKEND_BASELINE_SOURCE_H
#define MIMOSA_BACKEND_BASELINE_SOURCE_H

#include "backend/replica_source.h"

namespace mimosa {

class BaselineSource : public ReplicaSource {
public:
  /// \p Wrapped must outlive this object.
  explicit BaselineSource(ReplicaSource &Wrapped) : Wrapped(Wrapped) {}

  std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime Now) const override {
    return Wrapped.chooseSnapshot(Excluded, Now);
  }
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const override {
    return Wrapped.replicas(Snapshot, Shard);
  }
  Duration expectedLatency(const BackendServerId &,
                           MonotonicTime) const override {
    return Milliseconds(1);
  }
  std::optional<HostId> owner(const BackendServerId &Backend) const override {
    return Wrapped.owner(Backend);
  }
  Duration hedgeDelay(MonotonicTime) const override {
    // Longer than any deadline, so that hedges are never due.
    return Seconds(3600);
  }
  bool tryTakeExtra(ExtraLoad Kind, MonotonicTime Now) override {
    return Kind == ExtraLoad::Retry && Wrapped.tryTakeExtra(Kind, Now);
  }
  void onSubRequestSent(const BackendServerId &Backend,
                        MonotonicTime Now) override {
    Wrapped.onSubRequestSent(Backend, Now);
  }
  void onSubRequestEnded(const BackendServerId &Backend,
                         std::optional<Duration> Latency,
                         MonotonicTime Now) override {
    Wrapped.onSubRequestEnded(Backend, Latency, Now);
  }

private:
  ReplicaSource &Wrapped;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_BASELINE_SOURCE_H
