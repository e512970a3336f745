// The view that one host has of the backend servers of one service: which of
// them are usable, which shards of which snapshots they hold, which hosts own
// them, how fast they are, and how much extra load (hedges, retries, probes)
// the service may still cause.
//
// Its inputs are the configuration (setBackendServers), the owners of the
// partitions (setOwners), the reports of these owners (onSummary,
// onOwnerReport) and the sub-requests of this host (onSubRequestSent,
// onSubRequestEnded). Query sessions read it through ReplicaSource:
//
//   BackendDirectory Directory;
//   Directory.setBackendServers({{BackendServerId("storm-1"), Zone, 0}}, Now);
//   Directory.setOwners({HostId("10.0.0.1:7000")}, Now);
//   Directory.onSummary(Summary, Now);
//   Directory.replicas(SnapshotId("v1"), ShardId(0));
//
// A backend server is usable if
// * the configuration neither drains it nor takes its zone out,
// * its partition has a known owner, and
// * its last summary gives its state as serving or cold and a limit above 0.
//
// A summary of a former owner stays valid until the new owner sends one,
// because a backend server keeps its data when its owner changes.
//
// Probes: a straggler (see backend_load.h) is not chosen by its expected
// latency while there are faster replicas, so probes measure whether it has
// become faster. For each query the driver calls takeProbe() and sends one
// shard to the returned backend server in addition. It drops the reply and
// reports the latency with onSubRequestEnded().

#ifndef MIMOSA_BACKEND_BACKEND_DIRECTORY_H
#define MIMOSA_BACKEND_BACKEND_DIRECTORY_H

#include "backend/backend_load.h"
#include "backend/extra_budget.h"
#include "backend/latency_window.h"
#include "backend/messages.h"
#include "backend/replica_source.h"
#include "backend/snapshot_map.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosa {

/// A backend server in the configuration.
struct ConfiguredBackendServer {
  BackendServerId Backend;
  AvailabilityZoneId Zone;
  /// Index into the owners given to setOwners(). Partitions of different
  /// regions must have different indices.
  uint32_t Partition = 0;
  /// The configuration's state of the backend server is `draining`.
  bool Draining = false;
  /// The configuration's state of the zone is `out`.
  bool ZoneOut = false;
  /// In another region: used only for shards that no usable backend server of
  /// this host's region holds.
  bool OtherRegion = false;
};

/// Settings of a BackendDirectory.
struct BackendDirectoryOptions {
  LatencyWindowOptions Latency;
  ExtraBudgetOptions Extra;
};

/// Counters of summaries by how they were handled, and of extra load.
struct BackendDirectoryCounters {
  uint64_t SummariesAccepted = 0;
  /// Not newer than the last one of the same owner.
  uint64_t SummariesStale = 0;
  /// From a host that does not own the partition.
  uint64_t SummariesFromNonOwner = 0;
  uint64_t SummariesUnknownBackend = 0;
  /// With invalid shard ranges.
  uint64_t SummariesMalformed = 0;
  /// Reports of a snapshot with a number of shards that differs from what most
  /// backend servers report, counted at each rebuild of the map.
  uint64_t ShardCountMismatches = 0;
  uint64_t HedgesTaken = 0;
  uint64_t RetriesTaken = 0;
  uint64_t ProbesTaken = 0;
  /// Calls of tryTakeExtra() that the budget denied.
  uint64_t ExtraDenied = 0;
};

/// One backend server for /v1/status.
struct BackendServerStatus {
  BackendServerId Backend;
  BackendState State = BackendState::Unknown;
  bool Usable = false;
  bool Straggler = false;
  uint32_t InFlight = 0;
  uint32_t Limit = 0;
  std::optional<HostId> Owner;
};

/// See the head of this file. The times given to the methods must not decrease.
class BackendDirectory : public ReplicaSource {
public:
  explicit BackendDirectory(BackendDirectoryOptions Options = {});

  /// Replaces the list of backend servers. Those that are in both lists keep
  /// their state and measurements.
  void setBackendServers(const std::vector<ConfiguredBackendServer> &Listed,
                         MonotonicTime Now);

  /// Replaces the owners, by partition; empty for a partition without a live
  /// owner. The loss of an owner counts as a fault.
  void setOwners(std::vector<std::optional<HostId>> ByPartition,
                 MonotonicTime Now);

  /// Applies a summary; false if it was ignored, which is counted. Summaries
  /// and changes of owner arrive in any order, so a summary from a host that is
  /// not the owner is stored and applied if setOwners() makes that host the
  /// owner within 10 s.
  bool onSummary(const BackendSummary &Summary, MonotonicTime Now);

  /// Records the queue length and the limit in a reply of the owner.
  void onOwnerReport(const BackendServerId &Backend, uint32_t QueueLength,
                     uint32_t Limit, MonotonicTime Now);

  /// A straggler among the replicas of \p Shard that is due for a probe. Takes
  /// one unit of the extra-load budget; empty if there is none to take.
  std::optional<BackendServerId> takeProbe(const SnapshotId &Snapshot,
                                           ShardId Shard, MonotonicTime Now);

  // ReplicaSource. The result of replicas() is valid until the next call of
  // setBackendServers(), setOwners() or onSummary().
  std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime Now) const override;
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const override;
  /// The mean latency of the service if \p Backend is unknown.
  Duration expectedLatency(const BackendServerId &Backend,
                           MonotonicTime Now) const override;
  std::optional<HostId> owner(const BackendServerId &Backend) const override;
  Duration hedgeDelay(MonotonicTime Now) const override;
  bool tryTakeExtra(ExtraLoad Kind, MonotonicTime Now) override;
  void onSubRequestSent(const BackendServerId &Backend,
                        MonotonicTime Now) override;
  void onSubRequestEnded(const BackendServerId &Backend,
                         std::optional<Duration> Latency,
                         MonotonicTime Now) override;

  const BackendDirectoryCounters &counters() const { return Counters; }
  std::vector<BackendServerStatus> status() const;
  bool hasRecentFault(MonotonicTime Now) const {
    return Budget.hasRecentFault(Now);
  }

private:
  /// The newest summary of an owner, by its sequence number.
  struct LastSequence {
    HostId Owner;
    Incarnation OwnerIncarnation;
    uint64_t Sequence = 0;
  };

  /// A summary from a host that was not the owner when it arrived.
  struct PendingSummary {
    BackendSummary Summary;
    MonotonicTime ArrivedAt;
  };

  struct Server {
    ConfiguredBackendServer Config;
    BackendState State = BackendState::Unknown;
    Incarnation BackendIncarnation;
    uint32_t Limit = 0;
    std::vector<BackendSnapshot> Snapshots;
    /// One entry for each of the last owners, so that a late summary is also
    /// detected if a former owner owns the partition again.
    std::vector<LastSequence> LastSequences;
    std::optional<PendingSummary> Pending;
    BackendLoad Load;
  };

  Server *find(const BackendServerId &Backend);
  const Server *find(const BackendServerId &Backend) const;
  const std::optional<HostId> &ownerOf(const Server &Target) const;
  bool isUsable(const Server &Target) const;
  bool accept(Server &Target, const BackendSummary &Summary, MonotonicTime Now);
  /// Records the sequence number of \p Summary; false if it is not newer than
  /// the last one of its owner.
  bool advanceSequence(Server &Target, const BackendSummary &Summary);
  void apply(Server &Target, const BackendSummary &Summary,
             std::vector<BackendSnapshot> Snapshots, MonotonicTime Now);
  void applyPendingSummaries(MonotonicTime Now);
  void recordSample(Duration Sample, MonotonicTime Now);
  void rebuildMap();
  Duration serviceMean() const {
    return Duration(static_cast<int64_t>(ServiceMeanUs));
  }

  BackendDirectoryCounters Counters;
  std::vector<Server> Servers;
  std::unordered_map<BackendServerId, uint32_t> IndexOf;
  std::vector<std::optional<HostId>> Owners;
  SnapshotMap Map;
  LatencyWindow Window;
  ExtraBudget Budget;
  /// Moving average of the latencies of the service in microseconds.
  double ServiceMeanUs = 0;
  uint64_t SampleCount = 0;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_BACKEND_DIRECTORY_H
