#include "config/config.h"

#include <map>

namespace mimosa {

namespace {

using Fields = std::map<std::string, std::string>;

/// The fields of each item, by the item's kind and name. The key does not hold
/// the list that the item is in, so that an item moved to another list is
/// reported as changed, not as removed and added.
using Items = std::map<std::string, Fields>;

void addService(Items &All, const Service &Source) {
  All["service " + Source.Name.text()] = {
      {"default_deadline_ms",
       std::to_string(inMilliseconds(Source.DefaultDeadline))},
      {"sub_request_limit_ms",
       std::to_string(inMilliseconds(Source.SubRequestLimit))},
      {"queue_limit", std::to_string(Source.QueueLimit)},
      {"weight", std::to_string(Source.Weight)}};
  for (const BackendServer &Server : Source.BackendServers)
    All["backend server " + Server.Name.text()] = {
        {"service", Source.Name.text()},
        {"address", Server.Address},
        {"zone", Server.Zone.text()},
        {"slots", std::to_string(Server.Slots)},
        {"connections", std::to_string(Server.Connections)},
        {"cold_limit", std::to_string(Server.ColdLimit)},
        {"state", backendStateName(Server.State)}};
}

Items collectItems(const Config &Document) {
  Items All;
  for (const Region &Each : Document.Regions) {
    All["region " + Each.Name.text()] = {};
    for (const AvailabilityZone &Zone : Each.Zones)
      All["availability zone " + Zone.Name.text()] = {
          {"region", Each.Name.text()}, {"state", zoneStateName(Zone.State)}};
  }
  for (const Service &Each : Document.Services)
    addService(All, Each);
  return All;
}

void addChanges(std::vector<std::string> &Lines, const std::string &Item,
                const Fields &Old, const Fields &New) {
  for (const auto &[Name, Value] : New) {
    const std::string &Before = Old.at(Name);
    if (Before == Value)
      continue;
    std::string Line = Item;
    Line.append(": ").append(Name).append(" ");
    Line.append(Before).append(" -> ").append(Value);
    Lines.push_back(std::move(Line));
  }
}

} // namespace

std::vector<std::string> differences(const Config &Old, const Config &New) {
  Items Before = collectItems(Old);
  Items After = collectItems(New);
  std::vector<std::string> Lines;
  for (const auto &[Item, Values] : Before)
    if (After.count(Item) == 0)
      Lines.push_back(Item + ": removed");
  for (const auto &[Item, Values] : After) {
    auto It = Before.find(Item);
    if (It == Before.end())
      Lines.push_back(Item + ": added");
    else
      addChanges(Lines, Item, It->second, Values);
  }
  return Lines;
}

} // namespace mimosa
