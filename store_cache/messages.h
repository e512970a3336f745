// Messages by which hosts pass on their pictures of the platform's store.

#ifndef MIMOSA_STORE_CACHE_MESSAGES_H
#define MIMOSA_STORE_CACHE_MESSAGES_H

#include "base/message_codec.h"
#include "store_cache/store_cache.h"

namespace mimosa {

/// Asks for changes after a revision, as soon as there are any.
struct StoreCacheRequest {
  StoreRevision After;
  /// The longest wait; an empty reply follows.
  Duration Wait{0};
  MSGPACK_DEFINE_MAP(After, Wait);
};

struct StoreItemMessage {
  std::string Key;
  bool Present = false;
  std::string Value;
  StoreRevision Revision;
  MSGPACK_DEFINE_MAP(Key, Present, Value, MSGPACK_NVP("Changed", Revision));
};

struct StoreCacheReply {
  /// The sender has a picture and its store answers.
  bool Fresh = false;
  /// The sender has a picture, which may be out of date.
  bool HasListing = false;
  /// Time since the sender's picture was known to be up to date.
  Duration Age{0};
  bool FullListing = false;
  StoreRevision Revision;
  /// Time since the sender's last failed call to the store; negative if none
  /// has failed.
  Duration SinceFailure{-1};
  std::vector<StoreItemMessage> Items;
  MSGPACK_DEFINE_MAP(Fresh, MSGPACK_NVP("Listed", HasListing), Age,
                     MSGPACK_NVP("Whole", FullListing),
                     MSGPACK_NVP("Upto", Revision), SinceFailure, Items);
};

/// Message 42: tells a host that may have just started whom it can ask for a
/// picture.
struct StoreCacheOffer {
  HostId Sender;
  MSGPACK_DEFINE_MAP(Sender);
};

StoreCacheReply makeReply(const StoreChanges &Changes);
StoreChanges changesOf(StoreCacheReply Reply);

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_MESSAGES_H
