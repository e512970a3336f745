#include "store_cache/messages.h"

namespace mimosa {

StoreCacheReply makeReply(const StoreChanges &Changes) {
  StoreCacheReply Out;
  Out.FullListing = Changes.FullListing;
  Out.Revision = Changes.Revision;
  for (const StoreItem &Item : Changes.Items)
    Out.Items.push_back({Item.Key, Item.Value.has_value(),
                         Item.Value.value_or(std::string()), Item.Revision});
  return Out;
}

StoreChanges changesOf(StoreCacheReply Reply) {
  StoreChanges Out;
  Out.FullListing = Reply.FullListing;
  Out.Revision = Reply.Revision;
  for (StoreItemMessage &Item : Reply.Items) {
    StoreItem One{std::move(Item.Key), std::nullopt, Item.Revision};
    if (Item.Present)
      One.Value = std::move(Item.Value);
    Out.Items.push_back(std::move(One));
  }
  return Out;
}

} // namespace mimosa
