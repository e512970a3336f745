// Messages between daemons that carry the configuration document (frame types
// 7 and 8). A host that saw a peer announce a higher revision sends ConfigPull;
// the peer replies with ConfigDocument.

#ifndef MIMOSA_CONFIG_MESSAGES_H
#define MIMOSA_CONFIG_MESSAGES_H

#include "base/message_codec.h"

namespace mimosa {

/// Asks for the document if its revision is above ConfigRevision.
struct ConfigPull {
  HostId Sender;
  /// The revision in force at the sender.
  Revision ConfigRevision;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision);
};

/// The reply to ConfigPull.
struct ConfigDocument {
  HostId Sender;
  /// The revision in force at the sender.
  Revision ConfigRevision;
  /// The text of printConfig(); empty if it is not above the asked revision.
  std::string Document;
  MSGPACK_DEFINE_MAP(Sender, ConfigRevision, Document);
};

} // namespace mimosa

#endif // MIMOSA_CONFIG_MESSAGES_H
