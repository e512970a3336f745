// Who is believed to own each partition of a service, in all regions, learned
// from the owners' reports. The belief can be wrong: the host that is asked
// refuses a sub-request that it may not dispatch.

#ifndef MIMOSA_DAEMON_OWNER_TABLE_H
#define MIMOSA_DAEMON_OWNER_TABLE_H

#include "daemon/messages.h"

#include <map>
#include <optional>

namespace mimosa {

/// Number of partitions of a service in one region. It is the same on all hosts
/// at all times, because votes are per partition, and at least the largest
/// host set, so that every host of a set can own one.
constexpr uint32_t PartitionCount = 32;

/// The partition of a backend server.
Partition partitionOf(const BackendServerId &Backend);

class OwnerTable {
public:
  /// The regions by index; partitions of region I have the indices from
  /// I * PartitionCount.
  void setRegions(const std::vector<RegionId> &Regions);

  /// Takes over a report; true if an owner changed.
  bool applyReport(const OwnerReport &Report);
  /// Forgets all that \p Host owns; true if there was anything.
  bool clearOwner(const HostId &Host);
  /// \p Host has refused a sub-request to partition \p Index; true if it was
  /// believed to own it.
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
