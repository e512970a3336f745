// Smooth weighted round robin, as in nginx since 2012: each service gets its
// share of the requests, even over few requests.
//
//   WeightedRoundRobin RoundRobin;
//   const ServiceId *Service = RoundRobin.next(Targets);
//
// For each choice, every service's credit rises by its weight. The service with
// the highest credit is chosen, and its credit falls by the sum of the weights.

#ifndef MIMOSA_ROUTING_WEIGHTED_ROUND_ROBIN_H
#define MIMOSA_ROUTING_WEIGHTED_ROUND_ROBIN_H

#include "routing/route.h"

namespace mimosa {

class WeightedRoundRobin {
public:
  /// The next service of \p Targets; null if all weights are 0.
  const ServiceId *next(const std::vector<WeightedService> &Targets);

private:
  std::unordered_map<ServiceId, double> Credit;
};

} // namespace mimosa

#endif // MIMOSA_ROUTING_WEIGHTED_ROUND_ROBIN_H
