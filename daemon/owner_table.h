// The last known owner of each partition of a service, in all regions, from the
// owners' reports. It may be outdated: a host that no longer owns a partition
// refuses sub-requests to its backend servers.

#ifndef MIMOSA_DAEMON_OWNER_TABLE_H
#define MIMOSA_DAEMON_OWNER_TABLE_H

#include "daemon/messages.h"

#include <map>
#include <optional>

namespace mimosa {

/// Number of partitions of a service in one region. It must be the same on all
/// hosts at all times, because votes are per partition, and not less than the
/// largest host set, so that every host of a set can own one.
constexpr uint32_t PartitionCount = 32;

Partition partitionOf(const BackendServerId &Backend);

class OwnerTable {
public:
  /// Sets the regions. The partitions of region I have the indices from
  /// I * PartitionCount on. A change of the regions clears the owners.
  void setRegions(const std::vector<RegionId> &Regions);

  /// Applies a report, unless it is outdated; true if an owner changed.
  bool applyReport(const OwnerReport &Report);
  /// Removes \p Host as owner of all its partitions; true if it had any.
  bool clearOwner(const HostId &Host);
  /// Removes \p Host as owner of partition \p Index; true if it was the owner.
  bool clearOwner(uint32_t Index, const HostId &Host);

  /// Owners by index.
  const std::vector<std::optional<HostId>> &owners() const { return Owners; }

private:
  struct ReportVersion {
    Incarnation OwnerIncarnation;
    uint64_t Sequence = 0;
  };
  using ReporterKey = std::pair<RegionId, HostId>;

  std::vector<RegionId> Regions;
  std::vector<std::optional<HostId>> Owners;
  std::map<ReporterKey, ReportVersion> LastReports;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_OWNER_TABLE_H
