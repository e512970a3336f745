// The message with which hosts tell each other that backend servers have lifted
// their rate limits. A host that may rarely ask a limited backend server would
// otherwise find out late.

#ifndef MIMOSA_BALANCE_MESSAGES_H
#define MIMOSA_BALANCE_MESSAGES_H

#include "balance/server_registry.h"
#include "base/message_codec.h"

namespace mimosa {

/// One process of a backend server, see BackendProcess.
struct LiftedLimit {
  BackendServerId Server;
  int64_t StartedAtMs = 0;
  MSGPACK_DEFINE_MAP(Server, MSGPACK_NVP("Start", StartedAtMs));
};

/// Message 25: the answers of these processes state no limit any more.
struct LiftedLimits {
  std::vector<LiftedLimit> Processes;
  MSGPACK_DEFINE_MAP(Processes);
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_MESSAGES_H
