// Messages between daemons that distribute the configuration document (frame
// types 7 and 8). A host sends ConfigPull to a peer that announced a higher
// revision; the peer replies with ConfigDocument.

#ifndef MIMOSA_CONFIG_MESSAGES_H
#define MIMOSA_CONFIG_MESSAGES_H

#include "base/message_codec.h"

namespace mimosa {

/// Requests the receiver's document if its revision is above ConfigRevision.
struct ConfigPull {
  HostId Sender;
  /// The active revision of the sender.
  Revision ConfigRevision;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision);
};

/// The reply to ConfigPull.
struct ConfigDocument {
  HostId Sender;
  /// The active revision of the sender.
  Revision ConfigRevision;
  /// The output of printConfig(); empty if the sender's revision is not above
  /// that of the ConfigPull.
  std::string Document;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Document);
};

} // namespace mimosa

#endif // MIMOSA_CONFIG_MESSAGES_H
