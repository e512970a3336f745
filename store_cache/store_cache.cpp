#include "store_cache/store_cache.h"

#include <algorithm>
#include <set>

namespace mimosa {

namespace {
/// A configuration has up to 100 KB, and one comes each 250 ms at most.
constexpr size_t MaxLogBytes = 512 * 1024;

size_t sizeOf(const StoreItem &Item) {
  return Item.Key.size() + (Item.Value ? Item.Value->size() : 0) +
         sizeof(StoreItem);
}
} // namespace

void StoreCache::log(const StoreItem &Item) {
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
  if (Found == Items.end() && !Item.Value)
    return false;
  if (Item.Value)
    Items[Item.Key] = Item;
  else
    Items.erase(Found);
  log(Item);
  advanceTo(Item.Revision);
  return true;
}

std::vector<StoreItem>
StoreCache::applyListing(const std::vector<StoreItem> &Listing,
                         StoreRevision At) {
  // Nobody can have seen this picture before its first listing.
  if (!HasListing)
    LogStart = At;
  HasListing = true;
  std::vector<StoreItem> Changed;
  std::set<std::string> Keys;
  for (const StoreItem &Item : Listing) {
    Keys.insert(Item.Key);
    if (applyChange(Item))
      Changed.push_back(Item);
  }
  // An item that is newer than the listing came after it. When a missing one
  // was removed is not known; it was before the listing.
  for (auto It = Items.begin(); It != Items.end();) {
    if (Keys.count(It->first) || It->second.Revision > At) {
      ++It;
      continue;
    }
    StoreItem Removed{It->first, std::nullopt, At};
    It = Items.erase(It);
    log(Removed);
    Changed.push_back(std::move(Removed));
  }
  advanceTo(At);
  return Changed;
}

StoreChanges StoreCache::changesSince(StoreRevision After) const {
  StoreChanges Out;
  Out.Revision = Revision;
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
