#include "daemon/owner_table.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace mimosa {

Partition partitionOf(const BackendServerId &Backend) {
  return Partition(
      static_cast<uint32_t>(hash64(Backend.text()) % PartitionCount));
}

void OwnerTable::setRegions(const std::vector<RegionId> &Next) {
  if (Next == Regions)
    return;
  Regions = Next;
  Owners.assign(Regions.size() * PartitionCount, std::nullopt);
  LastReports.clear();
}

bool OwnerTable::applyReport(const OwnerReport &Report) {
  auto Found = std::find(Regions.begin(), Regions.end(), Report.Region);
  if (Found == Regions.end())
    return false;
  ReportVersion &Last = LastReports[{Report.Region, Report.Owner}];
  bool Newer = Report.OwnerIncarnation > Last.OwnerIncarnation ||
               (Report.OwnerIncarnation == Last.OwnerIncarnation &&
                Report.Sequence > Last.Sequence);
  if (!Newer)
    return false;
  Last = {Report.OwnerIncarnation, Report.Sequence};
  auto FirstIndex =
      static_cast<uint32_t>(Found - Regions.begin()) * PartitionCount;
  bool Changed = false;
  for (uint32_t I = 0; I < PartitionCount; ++I) {
    auto &Owner = Owners[FirstIndex + I];
    bool Owns = std::find(Report.Owned.begin(), Report.Owned.end(),
                          Partition(I)) != Report.Owned.end();
    if (Owns && Owner != Report.Owner) {
      Owner = Report.Owner;
      Changed = true;
    } else if (!Owns && Owner == Report.Owner) {
      Owner.reset();
      Changed = true;
    }
  }
  return Changed;
}

bool OwnerTable::clearOwner(const HostId &Host) {
  bool Changed = false;
  for (auto &Owner : Owners) {
    if (Owner != Host)
      continue;
    Owner.reset();
    Changed = true;
  }
  return Changed;
}

bool OwnerTable::clearOwner(uint32_t Index, const HostId &Host) {
  if (Index >= Owners.size() || Owners[Index] != Host)
    return false;
  Owners[Index].reset();
  return true;
}

} // namespace mimosa
