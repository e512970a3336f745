#include "placement/serving_set.h"

#include <algorithm>
#include <map>

namespace mimosa {

namespace {

/// Indexes of candidates by zone, the host with the highest capacity first.
using ZoneLists = std::map<AvailabilityZoneId, std::vector<size_t>>;

ZoneLists byZone(const std::vector<ServingCandidate> &Candidates) {
  ZoneLists Zones;
  for (size_t I = 0; I < Candidates.size(); ++I)
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

} // namespace

std::vector<size_t> servingSet(const std::vector<ServingCandidate> &Candidates,
                               const ServingSetOptions &Options) {
  auto BusyHosts = static_cast<size_t>(std::count_if(
      Candidates.begin(), Candidates.end(),
      [](const ServingCandidate &Candidate) { return Candidate.Busy; }));
  size_t TargetSize =
      std::min(Candidates.size(),
               Options.MinHosts + Options.ExtraHostsPerBusyHost * BusyHosts);
  ZoneLists Zones = byZone(Candidates);
  std::vector<size_t> Serving;
  for (size_t Round = 0; Serving.size() < TargetSize; ++Round)
    for (const auto &[Zone, List] : Zones)
      if (Round < List.size() && Serving.size() < TargetSize)
        Serving.push_back(List[Round]);
  return Serving;
}

} // namespace mimosa
