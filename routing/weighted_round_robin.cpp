#include "routing/weighted_round_robin.h"

namespace mimosa {

const ServiceId *
WeightedRoundRobin::next(const std::vector<WeightedService> &Targets) {
  if (Targets.size() == 1)
    return &Targets.front().Service;
  double Sum = 0;
  const WeightedService *Best = nullptr;
  for (const WeightedService &T : Targets) {
    if (T.Weight <= 0)
      continue;
    Sum += T.Weight;
    Credit[T.Service] += T.Weight;
    if (!Best || Credit[T.Service] > Credit[Best->Service])
      Best = &T;
  }
  if (!Best)
    return nullptr;
  Credit[Best->Service] -= Sum;
  return &Best->Service;
}

} // namespace mimosa
