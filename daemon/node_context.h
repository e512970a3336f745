// The objects that all parts of a daemon share: event loop, random numbers,
// connections to peers, metrics and the identity of this host.

#ifndef MIMOSA_DAEMON_NODE_CONTEXT_H
#define MIMOSA_DAEMON_NODE_CONTEXT_H

#include "base/random.h"
#include "runtime/metrics.h"
#include "runtime/peer.h"

namespace mimosa {

/// The identity of this host and of this incarnation of its daemon.
struct HostIdentity {
  /// Peer address, "ip:port".
  HostId Host;
  /// Address for callers, "ip:port".
  std::string CallerAddress;
  AvailabilityZoneId Zone;
  RegionId Region;
  Incarnation HostIncarnation;
};

/// How the replicas for sub-requests are chosen.
enum class QueryPolicy {
  Adaptive,
  /// Random replicas, no hedges and no canaries; for comparisons in
  /// experiments.
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
