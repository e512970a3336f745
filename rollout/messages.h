// The message with which hosts report answers of both versions during a
// roll-out to the reviewers, and the reply with the share of requests that the
// new version may get.

#ifndef MIMOSA_ROLLOUT_MESSAGES_H
#define MIMOSA_ROLLOUT_MESSAGES_H

#include "base/ids.h"
#include "base/message_codec.h"
#include "store_cache/store_cache.h"

#include <cstdint>
#include <vector>

namespace mimosa {

/// Answers to requests of one route that a host sent to one version in one
/// slot of time. The counts are cumulative.
struct RolloutCell {
  /// Number of the slot on the sender's clock.
  uint64_t Slot = 0;
  /// Time since the start of the slot when the message is sent.
  Duration Age{0};
  std::string Route;
  bool Target = false;
  uint32_t Failures = 0;
  /// Number of successes by latency, see latencyBucket().
  std::vector<uint32_t> Latencies;
  MSGPACK_DEFINE_MAP(Slot, Age, Route, Target, Failures, Latencies);
};

/// A host's evidence for one order.
struct ServiceEvidence {
  ServiceId Service;
  StoreRevision Order;
  /// Time since the host saw the order.
  Duration OrderAge{0};
  /// Requests sent since then, and how many of them to the target version.
  uint64_t Sent = 0;
  uint64_t SentToTarget = 0;
  /// Requests in flight at other versions.
  uint64_t InFlightElsewhere = 0;
  /// The host sends all requests to the target version.
  bool Moved = false;
  std::vector<RolloutCell> Cells;
  MSGPACK_DEFINE_MAP(Service, Order, OrderAge, Sent, SentToTarget,
                     InFlightElsewhere, Moved, Cells);
};

/// A reviewer's permission to send requests to the target version while it is
/// tested. It is valid for RolloutGrantLifetime.
struct RolloutGrant {
  ServiceId Service;
  StoreRevision Order;
  Duration OrderAge{0};
  /// Share of the first attempts.
  double Share = 0;
  /// The backend server that gets them.
  BackendServerId Server;
  /// The version has been found to be bad, which is final for the order.
  bool Stop = false;
  MSGPACK_DEFINE_MAP(Service, Order, OrderAge, Share, Server, Stop);
};

/// Message 27: evidence, or as the reply to it, grants.
struct RolloutEvidence {
  HostId Sender;
  Incarnation SenderIncarnation;
  /// The sender's copy of the store is up to date.
  bool StoreFresh = false;
  std::vector<ServiceEvidence> Services;
  std::vector<RolloutGrant> Grants;
  MSGPACK_DEFINE_MAP(Sender, SenderIncarnation, StoreFresh, Services, Grants);
};

constexpr Duration RolloutGrantLifetime = Milliseconds(1200);

} // namespace mimosa

#endif // MIMOSA_ROLLOUT_MESSAGES_H
