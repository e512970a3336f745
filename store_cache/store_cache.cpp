#include "store_cache/store_cache.h"

#include <algorithm>
#include <set>

namespace mimosa {

namespace {
/// Room for five configurations: each has up to 100 KB, and at most one arrives
/// every 250 ms.
constexpr size_t MaxLogBytes = 512 * 1024;

size_t sizeOf(const StoreItem &Item) {
  return Item.Key.size() + (Item.Value ? Item.Value->size() : 0) +
         sizeof(StoreItem);
}
} // namespace

void StoreCache::appendToLog(const StoreItem &Item) {
  if (Item.Revision <= LogStart)
    return;
  LogBytes += sizeOf(Item);
  Log.push_back(Item);
  while (LogBytes > MaxLogBytes && Log.size() > 1) {
    LogBytes -= sizeOf(Log.front());
    LogStart = std::max(LogStart, Log.front().Revision);
    Log.pop_front();
  }
}

bool StoreCache::applyChange(const StoreItem &Item) {
  auto Found = Items.find(Item.Key);
  if (Found != Items.end() && Item.Revision <= Found->second.Revision)
    return false;
  if (Found == Items.end() && !Item.Value) {
    // A listing may have lacked the item already, but not so for followers.
    appendToLog(Item);
    return false;
  }
  if (Item.Value)
    Items[Item.Key] = Item;
  else
    Items.erase(Found);
  appendToLog(Item);
  return true;
}

std::vector<StoreItem>
StoreCache::applyListing(const std::vector<StoreItem> &Listing,
                         StoreRevision ListingRevision, StoreEra ListingEra) {
  if (ListingEra < Era)
    return {};
  if (Era < ListingEra) {
    Era = ListingEra;
    return replaceBy(Listing, ListingRevision);
  }
  // A listing does not tell when items were removed, so that the log can only
  // start after it.
  LogStart = std::max(LogStart, ListingRevision);
  HasListing = true;
  std::vector<StoreItem> ChangedItems;
  std::set<std::string> Keys;
  for (const StoreItem &Item : Listing) {
    Keys.insert(Item.Key);
    if (applyChange(Item))
      ChangedItems.push_back(Item);
  }
  // An item that the listing lacks was removed, at an unknown revision. An item
  // newer than the listing was added after it and stays.
  for (auto It = Items.begin(); It != Items.end();) {
    if (Keys.count(It->first) || It->second.Revision > ListingRevision) {
      ++It;
      continue;
    }
    StoreItem Removed{It->first, std::nullopt, ListingRevision};
    It = Items.erase(It);
    ChangedItems.push_back(std::move(Removed));
  }
  advanceTo(ListingRevision);
  return ChangedItems;
}

std::vector<StoreItem>
StoreCache::replaceBy(const std::vector<StoreItem> &Listing,
                      StoreRevision ListingRevision) {
  std::map<std::string, StoreItem> Former = std::move(Items);
  Items.clear();
  Log.clear();
  LogBytes = 0;
  // Revisions are reused, so they may be lower than before.
  LogStart = ListingRevision;
  Revision = ListingRevision;
  HasListing = true;
  std::vector<StoreItem> ChangedItems;
  for (const StoreItem &Item : Listing) {
    applyChange(Item);
    auto Found = Former.find(Item.Key);
    if (Found == Former.end() || Found->second.Value != Item.Value)
      ChangedItems.push_back(Item);
  }
  for (const auto &[Key, Item] : Former)
    if (!Items.count(Key))
      ChangedItems.push_back({Key, std::nullopt, ListingRevision});
  return ChangedItems;
}

StoreChanges StoreCache::changesSince(StoreRevision After) const {
  StoreChanges Out;
  Out.Revision = Revision;
  Out.Era = Era;
  if (After < LogStart || After == StoreRevision()) {
    Out.FullListing = true;
    for (const auto &[Key, Item] : Items)
      Out.Items.push_back(Item);
    return Out;
  }
  for (const StoreItem &Item : Log)
    if (After < Item.Revision)
      Out.Items.push_back(Item);
  return Out;
}

} // namespace mimosa
