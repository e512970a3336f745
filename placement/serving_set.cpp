#include "placement/serving_set.h"

#include <algorithm>
#include <map>
#include <set>

namespace mimosa {

namespace {

/// Indexes of candidates by zone, the host with the highest capacity first.
using ZoneLists = std::map<AvailabilityZoneId, std::vector<size_t>>;

ZoneLists byZone(const std::vector<ServingCandidate> &Candidates,
                 const std::vector<size_t> &Indexes) {
  ZoneLists Zones;
  for (size_t I : Indexes)
    Zones[Candidates[I].Zone].push_back(I);
  for (auto &[Zone, List] : Zones)
    std::sort(List.begin(), List.end(), [&](size_t A, size_t B) {
      const ServingCandidate &X = Candidates[A];
      const ServingCandidate &Y = Candidates[B];
      if (X.Capacity != Y.Capacity)
        return X.Capacity > Y.Capacity;
      return X.Name < Y.Name;
    });
  return Zones;
}

/// Adds hosts to \p Serving, one of each zone in turn, until it has
/// \p TargetSize or there are no more.
void takeInTurn(const ZoneLists &Zones, size_t TargetSize,
                std::vector<size_t> &Serving) {
  bool Added = true;
  for (size_t Round = 0; Added; ++Round) {
    Added = false;
    for (const auto &[Zone, List] : Zones)
      if (Round < List.size() && Serving.size() < TargetSize) {
        Serving.push_back(List[Round]);
        Added = true;
      }
  }
}

/// Whether the hosts \p Strong suffice without the weak ones.
bool strongHostsSuffice(const std::vector<ServingCandidate> &Candidates,
                        const std::vector<size_t> &Strong,
                        const ServingSetOptions &Options) {
  double Capacity = 0;
  std::set<AvailabilityZoneId> Zones;
  std::set<AvailabilityZoneId> StrongZones;
  for (const ServingCandidate &Host : Candidates)
    Zones.insert(Host.Zone);
  for (size_t I : Strong) {
    Capacity += Candidates[I].Capacity;
    StrongZones.insert(Candidates[I].Zone);
  }
  return StrongZones == Zones && Strong.size() >= Options.MinStrongHosts &&
         Capacity >= Options.MinStrongCapacity;
}

} // namespace

std::vector<size_t> servingSet(const std::vector<ServingCandidate> &Candidates,
                               const ServingSetOptions &Options) {
  double Strongest = 0;
  size_t BusyHosts = 0;
  for (const ServingCandidate &Host : Candidates) {
    Strongest = std::max(Strongest, Host.Capacity);
    BusyHosts += Host.Busy ? 1 : 0;
  }
  double WeakBelow = Strongest * Options.WeakShare;
  std::vector<size_t> All;
  std::vector<size_t> Strong;
  std::vector<size_t> Weak;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    All.push_back(I);
    (Candidates[I].Capacity < WeakBelow ? Weak : Strong).push_back(I);
  }
  bool StrongSuffice = strongHostsSuffice(Candidates, Strong, Options);
  size_t MinHosts = StrongSuffice ? std::min(Options.MinHosts, Strong.size())
                                  : Options.MinHosts;
  size_t TargetSize = std::min(
      Candidates.size(), MinHosts + Options.ExtraHostsPerBusyHost * BusyHosts);
  std::vector<size_t> Serving;
  if (StrongSuffice) {
    takeInTurn(byZone(Candidates, Strong), TargetSize, Serving);
    takeInTurn(byZone(Candidates, Weak), TargetSize, Serving);
  } else {
    takeInTurn(byZone(Candidates, All), TargetSize, Serving);
  }
  return Serving;
}

} // namespace mimosa
