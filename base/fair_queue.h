// Items that wait in flows, such as the queries of services or the calls of
// teams, served by deficit round robin (Shreedhar and Varghese, "Efficient Fair
// Queueing using Deficit Round Robin", SIGCOMM 1995). Each item costs 1 and a
// flow's quantum is its weight, so flows with waiting items share the starts in
// proportion to their weights.

#ifndef MIMOSA_BASE_FAIR_QUEUE_H
#define MIMOSA_BASE_FAIR_QUEUE_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace mimosa {

/// See the head of this file.
template <typename FlowId, typename Item> class FairQueue {
public:
  /// Sets the weight of \p Id, at least 1. The default is 1.
  void setWeight(const FlowId &Id, uint32_t Weight) {
    Flows[Id].Weight = std::max<uint32_t>(1, Weight);
  }

  void push(const FlowId &Id, Item Added) {
    Flow &Target = Flows[Id];
    if (Target.Waiting.empty()) {
      Target.Deficit = 0;
      ActiveFlows.push_back(Id);
    }
    Target.Waiting.push_back(std::move(Added));
    ++Total;
  }

  /// The item that pop() would take; null if none waits.
  const Item *front() const {
    return ActiveFlows.empty() ? nullptr
                               : &Flows.at(ActiveFlows.front()).Waiting.front();
  }

  /// Takes the next item out of the queue, if one waits.
  std::optional<Item> pop() {
    if (ActiveFlows.empty())
      return std::nullopt;
    Flow &Served = Flows[ActiveFlows.front()];
    if (Served.Deficit == 0)
      Served.Deficit = Served.Weight;
    Item Out = std::move(Served.Waiting.front());
    Served.Waiting.pop_front();
    --Served.Deficit;
    --Total;
    if (Served.Waiting.empty()) {
      ActiveFlows.pop_front();
    } else if (Served.Deficit == 0) {
      ActiveFlows.push_back(ActiveFlows.front());
      ActiveFlows.pop_front();
    }
    return Out;
  }

  /// Removes \p Removed; false if it is not in the queue.
  bool remove(const FlowId &Id, const Item &Removed) {
    auto Found = Flows.find(Id);
    if (Found == Flows.end())
      return false;
    auto &Waiting = Found->second.Waiting;
    auto At = std::find(Waiting.begin(), Waiting.end(), Removed);
    if (At == Waiting.end())
      return false;
    Waiting.erase(At);
    --Total;
    if (Waiting.empty())
      ActiveFlows.erase(std::find(ActiveFlows.begin(), ActiveFlows.end(), Id));
    return true;
  }

  /// Number of waiting items of all flows or of one.
  size_t size() const { return Total; }
  size_t size(const FlowId &Id) const {
    auto Found = Flows.find(Id);
    return Found == Flows.end() ? 0 : Found->second.Waiting.size();
  }

  /// Number of items that are served before one that \p Id adds now, if no
  /// other items arrive. While n items of this flow start (the waiting ones and
  /// the new one), another flow starts at most n times the ratio of its weight
  /// to this flow's.
  double itemsAhead(const FlowId &Id) const {
    auto Own = Flows.find(Id);
    double OwnWeight = Own == Flows.end() ? 1 : Own->second.Weight;
    auto OwnCount = static_cast<double>(size(Id));
    double Ahead = OwnCount;
    for (const FlowId &Other : ActiveFlows) {
      if (Other == Id)
        continue;
      const Flow &Competitor = Flows.at(Other);
      Ahead += std::min(static_cast<double>(Competitor.Waiting.size()),
                        (OwnCount + 1) * Competitor.Weight / OwnWeight);
    }
    return Ahead;
  }

private:
  struct Flow {
    std::deque<Item> Waiting;
    uint32_t Weight = 1;
    uint32_t Deficit = 0;
  };

  std::unordered_map<FlowId, Flow> Flows;
  /// Flows with waiting items; the first one is being served.
  std::deque<FlowId> ActiveFlows;
  size_t Total = 0;
};

} // namespace mimosa

#endif // MIMOSA_BASE_FAIR_QUEUE_H
