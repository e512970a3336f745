#include "placement/address_answer.h"

#include "base/result.h"

#include <algorithm>
#include <map>

namespace mimosa {

namespace {

using ZoneCounts = std::map<AvailabilityZoneId, size_t>;

ZoneCounts countZones(const std::vector<CallerAddress> &Usable) {
  ZoneCounts Counts;
  for (const CallerAddress &Each : Usable)
    ++Counts[Each.Zone];
  return Counts;
}

void shuffleAddresses(std::vector<CallerAddress> &Usable, Random &Rand) {
  for (size_t I = 0; I + 1 < Usable.size(); ++I)
    std::swap(Usable[I], Usable[I + Rand.below(Usable.size() - I)]);
}

/// Chooses the zone of the first address. It assumes that all zones have
/// equally many callers. In units of 1 / (hosts x zones) of all callers, each
/// zone then has Hosts units, and the even share of its Count hosts is Count x
/// Zones.
AvailabilityZoneId firstZone(const ZoneCounts &Counts, size_t Hosts,
                             const AvailabilityZoneId &CallerZone,
                             Random &Rand) {
  size_t Zones = Counts.size();
  size_t OwnShare = Counts.at(CallerZone) * Zones;
  size_t Draw = Rand.below(Hosts);
  if (Draw < OwnShare)
    return CallerZone;
  size_t Surplus = 0;
  for (const auto &[Zone, Count] : Counts)
    Surplus += Count * Zones - std::min(Count * Zones, Hosts);
  size_t SurplusDraw = Rand.below(Surplus);
  for (const auto &[Zone, Count] : Counts) {
    size_t ZoneSurplus = Count * Zones - std::min(Count * Zones, Hosts);
    if (SurplusDraw < ZoneSurplus)
      return Zone;
    SurplusDraw -= ZoneSurplus;
  }
  return CallerZone;
}

/// Moves the addresses of \p Zone to the front of [\p From, end). Returns the
/// position after them.
size_t moveToFront(std::vector<CallerAddress> &Usable, size_t From,
                   const AvailabilityZoneId &Zone) {
  auto Begin = Usable.begin() + static_cast<std::ptrdiff_t>(From);
  auto End = std::stable_partition(
      Begin, Usable.end(),
      [&](const CallerAddress &Each) { return Each.Zone == Zone; });
  return static_cast<size_t>(End - Usable.begin());
}

} // namespace

std::vector<CallerAddress> orderForCaller(std::vector<CallerAddress> Usable,
                                          const AvailabilityZoneId &CallerZone,
                                          Random &Rand) {
  shuffleAddresses(Usable, Rand);
  ZoneCounts Counts = countZones(Usable);
  if (Counts.count(CallerZone) > 0) {
    AvailabilityZoneId First =
        firstZone(Counts, Usable.size(), CallerZone, Rand);
    moveToFront(Usable, 0, First);
    moveToFront(Usable, First == CallerZone ? 0 : 1, CallerZone);
  }
  if (Usable.size() > MaxAddresses)
    Usable.resize(MaxAddresses);
  return Usable;
}

Json addressAnswerJson(const AddressAnswer &Answer) {
  Json Addresses = Json::array();
  for (const CallerAddress &Each : Answer.Addresses)
    Addresses.push_back(
        {{"address", Each.Address}, {"zone", Each.Zone.text()}});
  return {{"result",
           {{"code", static_cast<int>(ResultCode::Ok)},
            {"name", resultCodeName(ResultCode::Ok)}}},
          {"addresses", std::move(Addresses)},
          {"lifetime_ms", inMilliseconds(Answer.Lifetime)},
          {"revision", Answer.ConfigRevision.number()}};
}

} // namespace mimosa
