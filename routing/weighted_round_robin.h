// Chooses among weighted services in turn, so that each gets its share also
// over few requests: smooth weighted round robin, as in the nginx proxy since
// 2012. Each choice raises every service's credit by its weight and charges
// the chosen one the sum of the weights.

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
