#include "placement/registration.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Entries for each host of the zone that serves.
constexpr size_t EntriesPerServingHost = 2;
} // namespace

Duration Registration::randomWait() {
  double Weakness = std::max(0.0, 1 - Self.Capacity);
  return scaled(MaxWait, Weakness * (1 + Rng.uniform01()) / 2);
}

void Registration::setListed(const std::vector<ServingCandidate> &Listed,
                             MonotonicTime Now) {
  size_t Serving = 0;
  for (size_t I : servingSet(Listed))
    Serving += Listed[I].Zone == Self.Zone ? 1 : 0;
  size_t Strong = 0;
  bool SelfListed = false;
  for (const ServingCandidate &Host : Listed) {
    SelfListed = SelfListed || Host.Name == Self.Name;
    if (Host.Zone == Self.Zone && Host.Name != Self.Name &&
        Host.Capacity >= Self.Capacity)
      ++Strong;
  }
  size_t Needed = std::max(MinEntriesPerZone, EntriesPerServingHost * Serving);
  FirstStart = FirstStart && Strong < Needed / 2;
  if (SelfListed || (!FirstStart && Strong < Needed / 2))
    DueAt = std::min(DueAt.value_or(Now), Now);
  else if (Strong >= Needed)
    DueAt.reset();
  else if (!DueAt)
    DueAt = Now + randomWait();
}

} // namespace mimosa
