// The backend servers of one service as one host sees them: which of them can
// be used, which shards of which snapshot they hold, who owns them, how fast
// they are, and how much extra load the service may still cause.
//
// It learns from the configuration (setBackendServers), from the ownership of
// partitions (setOwners), from the owners (onSummary, onOwnerReport) and from
// the sub-requests of this host (sent, ended). The query session reads it
// through ReplicaSource:
//
//   BackendDirectory Storm;
//   Storm.setBackendServers({{BackendServerId("storm-1"), Zone, 0}}, Now);
//   Storm.setOwners({HostId("10.0.0.1:7000")}, Now);
//   Storm.onSummary(Summary, Now);
//   Storm.replicas(SnapshotId("v1"), ShardId(0));
//
// A backend server is usable if neither it nor its zone is taken out by the
// configuration, its partition has a known owner, and its last summary says
// that it is serving or cold and has a limit above 0. What a former owner
// reported stays valid until the new owner reports, because the data of a
// backend server does not change with its owner.
//
// Probes: a straggler (see backend_load.h) is not chosen by its expected
// latency while there are faster replicas. The session asks takeProbe() at each
// query, and sends the shard to the returned backend server in addition; the
// reply is dropped, but its latency is noted through onSubRequestEnded().

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
  /// Index into the owners given to setOwners(). Partitions of another region
  /// need other indices than those of the own region.
  uint32_t Partition = 0;
  /// The configuration's state of the backend server is `draining`.
  bool Draining = false;
  /// The configuration's state of the zone is `out`.
  bool ZoneOut = false;
  /// In another region: used only for shards that the own region lacks.
  bool OtherRegion = false;
};

/// Settings of a BackendDirectory.
struct BackendDirectoryOptions {
  LatencyWindowOptions Latency;
  ExtraBudgetOptions Extra;
};

/// Counters since the start; each names what happened to a message or a
/// request for extra load.
struct BackendDirectoryCounters {
  uint64_t SummariesAccepted = 0;
  /// Not newer than the last one of the same owner.
  uint64_t SummariesOld = 0;
  /// From a host that does not own the partition.
  uint64_t SummariesNotByOwner = 0;
  uint64_t SummariesUnknownBackend = 0;
  /// Impossible shard ranges.
  uint64_t SummariesMalformed = 0;
  /// Reports of a snapshot with another number of shards than most report,
  /// counted at each rebuild of the map.
  uint64_t SnapshotsOtherTotal = 0;
  uint64_t HedgesTaken = 0;
  uint64_t RetriesTaken = 0;
  uint64_t ProbesTaken = 0;
  uint64_t ExtraRefused = 0;
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

/// See the head of this file. All methods take a time that does not go back.
class BackendDirectory : public ReplicaSource {
public:
  explicit BackendDirectory(BackendDirectoryOptions Options = {});

  /// Replaces the list. What is known of backend servers that stay is kept.
  void setBackendServers(const std::vector<ConfiguredBackendServer> &Listed,
                         MonotonicTime Now);

  /// Replaces the owners, by partition; nothing for a partition without a live
  /// owner. The loss of an owner counts as a fault.
  void setOwners(std::vector<std::optional<HostId>> ByPartition,
                 MonotonicTime Now);

  /// Takes over a summary; false if it was ignored, which is counted. A summary
  /// by a host that is not the owner is kept aside and takes effect if that
  /// host is named as owner within 10 s, since both arrive in any order.
  bool onSummary(const BackendSummary &Summary, MonotonicTime Now);

  /// Notes the queue length and limit in an owner's reply.
  void onOwnerReport(const BackendServerId &Backend, uint32_t QueueLength,
                     uint32_t Limit, MonotonicTime Now);

  /// A straggler among the replicas that is due to be tried again; takes one
  /// unit of the extra-load budget.
  std::optional<BackendServerId> takeProbe(const SnapshotId &Snapshot,
                                           ShardId Shard, MonotonicTime Now);

  // ReplicaSource. The result of replicas() is valid until the next call of
  // setBackendServers(), setOwners() or onSummary().
  std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime Now) const override;
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const override;
  /// That of an average backend server if \p Backend is unknown.
  Duration expectedLatency(const BackendServerId &Backend,
                           MonotonicTime Now) const override;
  std::optional<HostId> owner(const BackendServerId &Backend) const override;
  Duration hedgeDelay(MonotonicTime Now) const override;
  bool takeExtra(ExtraLoad Kind, MonotonicTime Now) override;
  void onSubRequestSent(const BackendServerId &Backend,
                        MonotonicTime Now) override;
  void onSubRequestEnded(const BackendServerId &Backend,
                         std::optional<Duration> Latency,
                         MonotonicTime Now) override;

  const BackendDirectoryCounters &counters() const { return Counters; }
  std::vector<BackendServerStatus> status() const;
  bool faulty(MonotonicTime Now) const { return Budget.faulty(Now); }

private:
  /// Where an owner's sequence of summaries stands.
  struct SequenceMark {
    HostId Owner;
    Incarnation OwnerIncarnation;
    uint64_t Sequence = 0;
  };

  /// A summary by a host that is not known as the owner yet.
  struct KeptSummary {
    BackendSummary Summary;
    MonotonicTime ArrivedAt;
  };

  struct Server {
    ConfiguredBackendServer Listed;
    BackendState State = BackendState::Unknown;
    Incarnation BackendIncarnation;
    uint32_t Limit = 0;
    std::vector<HeldSnapshot> Snapshots;
    /// Of the last owners; a late summary of a former owner that owns the
    /// partition again is recognised by its mark.
    std::vector<SequenceMark> Marks;
    std::optional<KeptSummary> KeptAside;
    BackendLoad Load;
  };

  Server *find(const BackendServerId &Backend);
  const Server *find(const BackendServerId &Backend) const;
  const std::optional<HostId> &ownerOf(const Server &Of) const;
  bool usable(const Server &Of) const;
  bool accept(Server &Target, const BackendSummary &Summary, MonotonicTime Now);
  bool advanceMark(Server &Target, const BackendSummary &Summary);
  void apply(Server &Target, const BackendSummary &Summary,
             std::vector<HeldSnapshot> Snapshots, MonotonicTime Now);
  void applyKeptAside(MonotonicTime Now);
  void noteSample(Duration Sample, MonotonicTime Now);
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
