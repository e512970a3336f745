// A sub-request at the owner of a backend server, and its outcome.
//
// The root identifies a sub-request by its SubRequestKey. When the owner sends
// it to the backend server it assigns a DispatchId, from which the request id
// at the backend server is built. Each dispatch has an id of its own, so a
// cancel never ends a later dispatch of the same sub-request.

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
/// Identifies a BackendScheduler; never reused within a process.
using SchedulerId = NumberId<struct SchedulerIdTag, uint32_t>;
/// Identifies a connection of one scheduler; never reused by that scheduler.
using ConnectionId = NumberId<struct ConnectionIdTag, uint64_t>;
/// Identifies one dispatch of a sub-request to the backend server; never reused
/// by that scheduler.
using DispatchId = NumberId<struct DispatchIdTag, uint64_t>;

enum class SubRequestClass : uint8_t { Interactive, Batch };

/// Identifies a sub-request at its root.
struct SubRequestKey {
  HostId Root;
  /// Distinguishes the root from its earlier incarnations, which may have used
  /// the same Id.
  Incarnation RootIncarnation;
  RequestId Id;

  friend bool operator==(const SubRequestKey &A, const SubRequestKey &B) {
    return A.Id == B.Id && A.RootIncarnation == B.RootIncarnation &&
           A.Root == B.Root;
  }
};

struct SubRequestKeyHash {
  size_t operator()(const SubRequestKey &Key) const {
    // Ids are consecutive; multiplying by 2^64 / golden ratio spreads them.
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
  /// On the owner's clock.
  MonotonicTime Deadline;
  bool Idempotent = true;
  /// Query text, not parsed here; shared by the sub-requests of one query.
  std::shared_ptr<const std::string> Query;
};

/// How a sub-request ended, as far as the owner can determine.
enum class DispatchOutcome : uint8_t {
  /// The backend server replied; the body is its reply.
  Answered,
  /// It was not sent, or the backend server refused it explicitly.
  NotRun,
  /// It was sent but no usable reply arrived; it may have run.
  Lost,
  /// Cancelled while it ran; it may have run.
  Cancelled,
  /// As Lost, because the backend server's process ended or its connection was
  /// closed or reset.
  BackendLost,
};

/// Why a sub-request was refused or ended without an answer.
enum class RefusalReason : uint8_t {
  None,
  /// The backend server shed it as overload.
  Shed,
  /// The backend server is draining.
  Draining,
  /// The backend server refused it because it is cold.
  Cold,
  /// The backend server does not serve the snapshot.
  UnknownSnapshot,
  /// The predicted wait and run time exceed what is left of its deadline.
  Overloaded,
  /// The deadline passed before the sub-request was sent, or before a reply
  /// arrived.
  Deadline,
  /// No connection to the backend server can be opened.
  Unreachable,
  /// This host does not own the backend server, or is stopping its use.
  NotOwner,
  /// The availability zone is taken out of use.
  ZoneOut,
  /// Cancelled while it was queued.
  Cancelled,
};

/// The state that a backend server reports of itself.
enum class ReportedState : uint8_t { Serving, Cold, Draining };

/// The result code that callers receive for \p Reason.
ResultCode refusalCode(RefusalReason Reason);

} // namespace mimosa

#endif // MIMOSA_DISPATCH_SUB_REQUEST_H
