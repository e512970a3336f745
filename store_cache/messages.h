// Messages between hosts that keep the followers' store caches up to date.

#ifndef MIMOSA_STORE_CACHE_MESSAGES_H
#define MIMOSA_STORE_CACHE_MESSAGES_H

#include "base/message_codec.h"
#include "store_cache/store_cache.h"

namespace mimosa {

/// Requests the changes after a revision. The reply is sent as soon as there is
/// a change.
struct StoreCacheRequest {
  StoreRevision After;
  /// Longest wait for a change; after it the reply is empty.
  Duration Wait{0};
  /// Whether the reply may have its items in StoreCacheReply::CompressedItems.
  bool AcceptsCompressed = false;
  /// The era of After; 0 from hosts of earlier versions.
  StoreEra Era;
  MSGPACK_DEFINE_MAP(After, Wait, AcceptsCompressed, Era);
};

/// Time for the reply to arrive after the wait has ended. Then the follower has
/// turned to another host. A silent leader thus delays changes by less than the
/// 3 s within which they must be active.
constexpr Duration StoreCacheReplyMargin = Milliseconds(400);

/// A StoreItem as it is sent.
struct StoreItemMessage {
  std::string Key;
  /// False if the item was removed; Value is then empty.
  bool Present = false;
  std::string Value;
  StoreRevision Revision;
  MSGPACK_DEFINE_MAP(Key, Present, Value, MSGPACK_NVP("Changed", Revision));
};

struct StoreCacheReply {
  /// The sender's cache holds a full listing and is up to date, see
  /// SourceHealth::fresh().
  bool Fresh = false;
  /// The sender's cache holds a full listing, which may be out of date.
  bool HasListing = false;
  /// Time since the sender's cache was last known to be up to date.
  Duration Age{0};
  /// Items is a full listing of the store, see StoreChanges.
  bool FullListing = false;
  StoreRevision Revision;
  /// The era of all revisions; 0 from hosts of earlier versions.
  StoreEra Era;
  /// Time since the sender's source recovered from its last failure, 0 while it
  /// fails; negative if it has never failed.
  Duration SinceRecovery{-1};
  std::vector<StoreItemMessage> Items;
  /// Items in MessagePack, compressed by zlib; empty if they are in Items.
  std::string CompressedItems;
  /// Length of CompressedItems once it is decompressed.
  uint64_t ItemBytes = 0;
  MSGPACK_DEFINE_MAP(Fresh, MSGPACK_NVP("Listed", HasListing), Age,
                     MSGPACK_NVP("Whole", FullListing),
                     MSGPACK_NVP("Upto", Revision), Era, SinceRecovery, Items,
                     CompressedItems, ItemBytes);
};

/// Message 42: offers the sender's cache to a host that may have just started
/// and cannot reach the store.
struct StoreCacheOffer {
  HostId Sender;
  MSGPACK_DEFINE_MAP(Sender);
};

/// A reply with \p Changes. The caller sets the fields on the sender's state.
StoreCacheReply makeReply(const StoreChanges &Changes);
StoreChanges changesOf(StoreCacheReply Reply);

/// Moves Items to CompressedItems if they are long enough to gain from it.
void compressItems(StoreCacheReply &Reply);
/// Undoes compressItems(); fails with BadFrame.
Result<Done> decompressItems(StoreCacheReply &Reply);

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_MESSAGES_H
