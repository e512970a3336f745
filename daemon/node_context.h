// What the parts of a daemon share: the event loop, randomness, peers, metrics
// and the identity of this host.

#ifndef MIMOSA_DAEMON_NODE_CONTEXT_H
#define MIMOSA_DAEMON_NODE_CONTEXT_H

#include "base/random.h"
#include "runtime/metrics.h"
#include "runtime/peer.h"

namespace mimosa {

/// Identity of this host in this life.
struct HostIdentity {
  /// Peer address, "ip:port".
  HostId Host;
  /// Where callers connect, "ip:port".
  std::string CallerAddress;
  AvailabilityZoneId Zone;
  RegionId Region;
  Incarnation HostIncarnation;
};

/// How sub-requests are placed.
enum class QueryPolicy {
  Adaptive,
  /// Random replicas, no hedges and no canaries; for comparisons.
  Baseline,
};

struct NodeContext {
  FiberLoop &Loop;
  Random &Rand;
  PeerClient &Peers;
  MetricsRegistry &Metrics;
  HostIdentity Self;
  QueryPolicy Policy = QueryPolicy::Adaptive;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_NODE_CONTEXT_H
