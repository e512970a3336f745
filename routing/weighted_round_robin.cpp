#include "routing/weighted_round_robin.h"

namespace mimosa {

const ServiceId *
WeightedRoundRobin::next(const std::vector<WeightedService> &Targets) {
  if (Targets.size() == 1)
    return &Targets.front().Service;
  double Sum = 0;
  const WeightedService *Best = nullptr;
  for (const WeightedService &Target : Targets) {
    if (Target.Weight <= 0)
      continue;
    Sum += Target.Weight;
    Credit[Target.Service] += Target.Weight;
    if (!Best || Credit[Target.Service] > Credit[Best->Service])
      Best = &Target;
  }
  if (!Best)
    return nullptr;
  Credit[Best->Service] -= Sum;
  return &Best->Service;
}

} // namespace mimosa
