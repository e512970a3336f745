#include "store_cache/messages.h"

#include <algorithm>
#include <zlib.h>

namespace mimosa {

namespace {
/// Shorter replies gain little.
constexpr size_t MinCompressedBytes = 1024;
/// Bounds the memory that a reply of another host can take up.
constexpr size_t MaxItemBytes = 32 << 20;
/// Deflate does not expand a byte to more; a longer announced length is wrong.
constexpr size_t MaxExpansion = 1032;
} // namespace

StoreCacheReply makeReply(const StoreChanges &Changes) {
  StoreCacheReply Out;
  Out.FullListing = Changes.FullListing;
  Out.Revision = Changes.Revision;
  Out.Era = Changes.Era;
  for (const StoreItem &Item : Changes.Items)
    Out.Items.push_back({Item.Key, Item.Value.has_value(),
                         Item.Value.value_or(std::string()), Item.Revision});
  return Out;
}

StoreChanges changesOf(StoreCacheReply Reply) {
  StoreChanges Out;
  Out.FullListing = Reply.FullListing;
  Out.Revision = Reply.Revision;
  Out.Era = Reply.Era;
  for (StoreItemMessage &Item : Reply.Items) {
    StoreItem One{std::move(Item.Key), std::nullopt, Item.Revision};
    if (Item.Present)
      One.Value = std::move(Item.Value);
    Out.Items.push_back(std::move(One));
  }
  return Out;
}

void compressItems(StoreCacheReply &Reply) {
  std::string Packed = packBody(Reply.Items);
  if (Packed.size() < MinCompressedBytes)
    return;
  uLongf Length = compressBound(Packed.size());
  std::string Compressed(Length, '\0');
  // The fastest level: the leader's processor time is scarce, too.
  if (compress2(reinterpret_cast<Bytef *>(Compressed.data()), &Length,
                reinterpret_cast<const Bytef *>(Packed.data()), Packed.size(),
                Z_BEST_SPEED) != Z_OK)
    return;
  Compressed.resize(Length);
  Reply.CompressedItems = std::move(Compressed);
  Reply.ItemBytes = Packed.size();
  Reply.Items.clear();
}

Result<Done> decompressItems(StoreCacheReply &Reply) {
  if (Reply.CompressedItems.empty())
    return Done{};
  size_t Allowed =
      std::min(MaxItemBytes, Reply.CompressedItems.size() * MaxExpansion);
  if (Reply.ItemBytes > Allowed)
    return Error{ResultCode::BadFrame,
                 "the items have " + std::to_string(Reply.ItemBytes) +
                     " bytes, allowed are " + std::to_string(Allowed)};
  std::string Packed(Reply.ItemBytes, '\0');
  uLongf Length = Packed.size();
  int Outcome =
      uncompress(reinterpret_cast<Bytef *>(Packed.data()), &Length,
                 reinterpret_cast<const Bytef *>(Reply.CompressedItems.data()),
                 Reply.CompressedItems.size());
  if (Outcome != Z_OK || Length != Packed.size())
    return Error{ResultCode::BadFrame, "the items cannot be decompressed"};
  auto Items = unpackBody<std::vector<StoreItemMessage>>(Packed);
  if (!ok(Items))
    return errorOf(Items);
  Reply.Items = std::move(valueOf(Items));
  Reply.CompressedItems.clear();
  return Done{};
}

} // namespace mimosa
