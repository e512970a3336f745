#include "admission/fair_queue.h"

#include <algorithm>

namespace mimosa {

void FairQueue::setWeight(const ServiceId &Service, uint32_t Weight) {
  Flows[Service].Weight = std::max<uint32_t>(1, Weight);
}

void FairQueue::push(const ServiceId &Service, RequestId Id) {
  Flow &Target = Flows[Service];
  if (Target.Waiting.empty()) {
    Target.Deficit = 0;
    ActiveServices.push_back(Service);
  }
  Target.Waiting.push_back(Id);
  ++Total;
}

std::optional<RequestId> FairQueue::pop() {
  if (ActiveServices.empty())
    return std::nullopt;
  Flow &Served = Flows[ActiveServices.front()];
  if (Served.Deficit == 0)
    Served.Deficit = Served.Weight;
  RequestId Id = Served.Waiting.front();
  Served.Waiting.pop_front();
  --Served.Deficit;
  --Total;
  if (Served.Waiting.empty()) {
    ActiveServices.pop_front();
  } else if (Served.Deficit == 0) {
    ActiveServices.push_back(ActiveServices.front());
    ActiveServices.pop_front();
  }
  return Id;
}

bool FairQueue::remove(const ServiceId &Service, RequestId Id) {
  auto Found = Flows.find(Service);
  if (Found == Flows.end())
    return false;
  auto &Waiting = Found->second.Waiting;
  auto At = std::find(Waiting.begin(), Waiting.end(), Id);
  if (At == Waiting.end())
    return false;
  Waiting.erase(At);
  --Total;
  if (Waiting.empty())
    ActiveServices.erase(
        std::find(ActiveServices.begin(), ActiveServices.end(), Service));
  return true;
}

size_t FairQueue::size(const ServiceId &Service) const {
  auto Found = Flows.find(Service);
  return Found == Flows.end() ? 0 : Found->second.Waiting.size();
}

// While n queries of this service start (the waiting ones and the new one),
// another service starts at most n times the ratio of its weight to this
// service's.
double FairQueue::queriesAhead(const ServiceId &Service) const {
  auto Own = Flows.find(Service);
  double OwnWeight = Own == Flows.end() ? 1 : Own->second.Weight;
  auto OwnCount = static_cast<double>(size(Service));
  double Ahead = OwnCount;
  for (const ServiceId &Other : ActiveServices) {
    if (Other == Service)
      continue;
    const Flow &Competitor = Flows.at(Other);
    Ahead += std::min(static_cast<double>(Competitor.Waiting.size()),
                      (OwnCount + 1) * Competitor.Weight / OwnWeight);
  }
  return Ahead;
}

} // namespace mimosa
