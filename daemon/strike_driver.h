// Sends a strike to the hosts of a service and waits for their
// acknowledgements; see quarantine/strike_broadcast.h.
//
//   Strikes.broadcast(Notice, Hosts);   // suspends

#ifndef MIMOSA_DAEMON_STRIKE_DRIVER_H
#define MIMOSA_DAEMON_STRIKE_DRIVER_H

#include "daemon/node_context.h"
#include "quarantine/messages.h"

#include <vector>

namespace mimosa {

class StrikeDriver {
public:
  explicit StrikeDriver(NodeContext &Context) : Context(Context) {}

  /// Sends \p Notice to \p Hosts and suspends until all have acknowledged it or
  /// cannot be reached, or StrikeBroadcastTimeout has passed.
  void broadcast(const StrikeNotice &Notice, const std::vector<HostId> &Hosts);

private:
  NodeContext &Context;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_STRIKE_DRIVER_H
