// A sub-request as the owner of a backend server handles it, and its outcome.
//
// The root names a sub-request by SubRequestKey. The owner gives it a
// DispatchId when it sends it, which becomes the request id at the backend
// server: two sends never share one.

#ifndef MIMOSA_DISPATCH_SUB_REQUEST_H
#define MIMOSA_DISPATCH_SUB_REQUEST_H

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mimosa {

/// A partition of one service's backend servers within a region.
using Partition = NumberId<struct PartitionTag, uint32_t>;
/// A scheduler of a Dispatcher; never reused within a process.
using SchedulerId = NumberId<struct SchedulerIdTag, uint32_t>;
/// A connection of one scheduler; never reused by that scheduler.
using ConnectionId = NumberId<struct ConnectionIdTag, uint64_t>;
/// One send of a sub-request by one scheduler; never reused by that scheduler.
using DispatchId = NumberId<struct DispatchIdTag, uint64_t>;

enum class SubRequestClass : uint8_t { Interactive, Batch };

/// Names a sub-request at its root.
struct SubRequestKey {
  HostId Root;
  /// Tells a restarted root from its previous life.
  Incarnation RootIncarnation;
  RequestId Id;

  friend bool operator==(const SubRequestKey &A, const SubRequestKey &B) {
    return A.Id == B.Id && A.RootIncarnation == B.RootIncarnation &&
           A.Root == B.Root;
  }
};

struct SubRequestKeyHash {
  size_t operator()(const SubRequestKey &Key) const {
    // Ids count up, so a multiplication by 2^64 / golden ratio spreads them.
    return std::hash<HostId>()(Key.Root) ^
           (Key.Id.number() * 0x9E3779B97F4A7C15U) ^
           Key.RootIncarnation.number();
  }
};

struct SubRequest {
  SubRequestKey Key;
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
  SubRequestClass Class = SubRequestClass::Interactive;
  /// By the owner's clock.
  MonotonicTime Deadline;
  bool Idempotent = true;
  /// Opaque; shared by the sub-requests of one query.
  std::shared_ptr<const std::string> Query;
};

/// How a sub-request ended, as far as the owner can know.
enum class DispatchOutcome : uint8_t {
  /// The backend server replied; the body is its reply.
  Answered,
  /// It was not sent, or the backend server refused it in words.
  NotRun,
  /// It was sent, and no reply tells whether it ran.
  Lost,
  /// Cancelled while it ran; it may have run.
  Cancelled,
  /// As Lost, and the backend server's process ended or was reset meanwhile.
  BackendLost,
};

/// Why a sub-request did not run.
enum class RefusalReason : uint8_t {
  None,
  /// The backend server shed it.
  Shed,
  /// The backend server is leaving.
  Draining,
  /// The backend server refused it because it is cold.
  Cold,
  /// The backend server does not serve the snapshot.
  UnknownSnapshot,
  /// It could not have started before its deadline.
  Overloaded,
  /// The deadline passed in the queue.
  Deadline,
  /// No connection to the backend server can be opened.
  Unreachable,
  /// This host may not dispatch to the backend server.
  NotOwner,
  /// The availability zone is taken out.
  ZoneOut,
  /// Cancelled while it was queued.
  Cancelled,
};

/// What a backend server says about itself.
enum class ReportedState : uint8_t { Serving, Cold, Draining };

/// The result code that callers see for \p Reason.
ResultCode refusalCode(RefusalReason Reason);

} // namespace mimosa

#endif // MIMOSA_DISPATCH_SUB_REQUEST_H
