// Messages by which hosts pass on their pictures of the platform's store.

#ifndef MIMOSA_PICTURE_MESSAGES_H
#define MIMOSA_PICTURE_MESSAGES_H

#include "base/message_codec.h"
#include "picture/picture.h"

namespace mimosa {

/// Asks for changes after a revision, as soon as there are any.
struct PictureRequest {
  StoreRevision After;
  /// The longest wait; an empty reply follows.
  Duration Wait{0};
  MSGPACK_DEFINE_MAP(After, Wait);
};

struct PictureItem {
  std::string Key;
  bool Present = false;
  std::string Value;
  StoreRevision Changed;
  MSGPACK_DEFINE_MAP(Key, Present, Value, Changed);
};

struct PictureReply {
  /// The sender has a picture and its store answers.
  bool Fresh = false;
  /// The sender has a picture, which may be out of date.
  bool Listed = false;
  /// Time since the sender's picture was known to be up to date.
  Duration Age{0};
  bool Whole = false;
  StoreRevision Upto;
  /// Time since the sender's last failed call to the store; negative if none
  /// has failed.
  Duration SinceFailure{-1};
  std::vector<PictureItem> Items;
  MSGPACK_DEFINE_MAP(Fresh, Listed, Age, Whole, Upto, SinceFailure, Items);
};

/// Message 42: tells a host that may have just started whom it can ask for a
/// picture.
struct PictureOffer {
  HostId Sender;
  MSGPACK_DEFINE_MAP(Sender);
};

PictureReply makeReply(const PictureChanges &Changes);
PictureChanges changesOf(PictureReply Reply);

} // namespace mimosa

#endif // MIMOSA_PICTURE_MESSAGES_H
