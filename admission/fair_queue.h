// The waiting queries of one class: a queue per service, served by deficit
// round robin (Shreedhar and Varghese, "Efficient Fair Queueing using Deficit
// Round Robin", SIGCOMM 1995). Each query costs 1 and a service's quantum is
// its weight, so services with waiting queries share the starts in proportion
// to their weights.

#ifndef MIMOSA_ADMISSION_FAIR_QUEUE_H
#define MIMOSA_ADMISSION_FAIR_QUEUE_H

#include "base/ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace mimosa {

/// See the head of this file.
class FairQueue {
public:
  /// Sets the weight of \p Service, at least 1. The default is 1.
  void setWeight(const ServiceId &Service, uint32_t Weight);

  void push(const ServiceId &Service, RequestId Id);

  /// Takes the next query out of the queue, if one waits.
  std::optional<RequestId> pop();

  /// Removes \p Id; false if it is not in the queue.
  bool remove(const ServiceId &Service, RequestId Id);

  /// Number of waiting queries of all services or of one.
  size_t size() const { return Total; }
  size_t size(const ServiceId &Service) const;

  /// Number of queries that are served before one that \p Service adds now, if
  /// no other queries arrive.
  double queriesAhead(const ServiceId &Service) const;

private:
  struct Flow {
    std::deque<RequestId> Waiting;
    uint32_t Weight = 1;
    uint32_t Deficit = 0;
  };

  std::unordered_map<ServiceId, Flow> Flows;
  /// Services with waiting queries; the first one is being served.
  std::deque<ServiceId> ActiveServices;
  size_t Total = 0;
};

} // namespace mimosa

#endif // MIMOSA_ADMISSION_FAIR_QUEUE_H
