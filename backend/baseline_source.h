// A ReplicaSource without the policies of BackendDirectory, as a baseline for
// measurements: all replicas look equally fast, so that one is chosen at
// random, and nothing is hedged.

#ifndef MIMOSA_BACKEND_BASELINE_SOURCE_H
#define MIMOSA_BACKEND_BASELINE_SOURCE_H

#include "backend/replica_source.h"

namespace mimosa {

class BaselineSource : public ReplicaSource {
public:
  /// \p Known must outlive this object.
  explicit BaselineSource(ReplicaSource &Known) : Known(Known) {}

  std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime Now) const override {
    return Known.chooseSnapshot(Excluded, Now);
  }
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const override {
    return Known.replicas(Snapshot, Shard);
  }
  Duration expectedLatency(const BackendServerId &,
                           MonotonicTime) const override {
    return Milliseconds(1);
  }
  std::optional<HostId> owner(const BackendServerId &Backend) const override {
    return Known.owner(Backend);
  }
  Duration hedgeDelay(MonotonicTime) const override {
    // Longer than any deadline.
    return Seconds(3600);
  }
  bool takeExtra(ExtraLoad Kind, MonotonicTime Now) override {
    return Kind == ExtraLoad::Retry && Known.takeExtra(Kind, Now);
  }
  void onSubRequestSent(const BackendServerId &Backend,
                        MonotonicTime Now) override {
    Known.onSubRequestSent(Backend, Now);
  }
  void onSubRequestEnded(const BackendServerId &Backend,
                         std::optional<Duration> Latency,
                         MonotonicTime Now) override {
    Known.onSubRequestEnded(Backend, Latency, Now);
  }

private:
  ReplicaSource &Known;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_BASELINE_SOURCE_H
