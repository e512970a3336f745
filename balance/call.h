// A call: one service's share of a caller's request, and how it ends.

#ifndef MIMOSA_BALANCE_CALL_H
#define MIMOSA_BALANCE_CALL_H

#include "routing/caller_request.h"
#include "routing/route.h"

#include <memory>
#include <vector>

namespace mimosa {

using CallId = NumberId<struct CallIdTag, uint64_t>;

/// One service's share of a caller's request.
struct CallRequest {
  ServiceId Service;
  RouteId Route;
  bool Idempotent = false;
  uint32_t MaxAttempts = 1;
  uint32_t Priority = 0;
  /// The time within which the whole request is of full use.
  Duration TargetLatency{0};
  MonotonicTime Deadline;
  /// An answer after this time is of little use: a call that still waits and
  /// cannot be answered by then makes room for others. At most Deadline.
  MonotonicTime UsefulUntil;
  std::shared_ptr<const CallerRequest> Message;
};

enum class CallOutcome {
  /// A backend server has answered, with success or failure.
  Answered,
  /// No backend server ran the request or will.
  NotRun,
  /// The request may have run, and there is no answer.
  Unknown,
};

/// Why a call ended without an answer, for logs and refusals.
enum class CallReason { None, Unavailable, Overloaded, Deadline, Lost, Shed };
const char *callReasonName(CallReason Reason);

struct CallResult {
  CallOutcome Outcome = CallOutcome::NotRun;
  CallReason Reason = CallReason::None;
  /// Set if answered.
  BackendAnswer Answer;
  /// The backend server that answered or was tried last; empty if none was.
  BackendServerId Server;
  uint32_t Attempts = 0;
  /// Sends whose connection was lost while the request may have been running.
  uint32_t LostAttempts = 0;
};

/// A call that has not ended, for logs.
struct CallStatus {
  bool Waiting = false;
  /// Backend servers that it was sent to, in order.
  std::vector<BackendServerId> TriedServers;
  /// Hedges that were due and not sent: no backend server was worth one, or
  /// the retry budget was used up.
  uint32_t NoHedgeServer = 0;
  uint32_t NoHedgeBudget = 0;
};

class CallObserver {
public:
  virtual ~CallObserver() = default;
  /// Called once for each call that was not cancelled; possibly from begin().
  virtual void callEnded(CallId Id, CallResult Result) = 0;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_CALL_H
