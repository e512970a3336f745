#include "picture/messages.h"

namespace mimosa {

PictureReply makeReply(const PictureChanges &Changes) {
  PictureReply Out;
  Out.Whole = Changes.Whole;
  Out.Upto = Changes.Upto;
  for (const StoreItem &Item : Changes.Items)
    Out.Items.push_back({Item.Key, Item.Value.has_value(),
                         Item.Value.value_or(std::string()), Item.Changed});
  return Out;
}

PictureChanges changesOf(PictureReply Reply) {
  PictureChanges Out;
  Out.Whole = Reply.Whole;
  Out.Upto = Reply.Upto;
  for (PictureItem &Item : Reply.Items) {
    StoreItem One{std::move(Item.Key), std::nullopt, Item.Changed};
    if (Item.Present)
      One.Value = std::move(Item.Value);
    Out.Items.push_back(std::move(One));
  }
  return Out;
}

} // namespace mimosa
