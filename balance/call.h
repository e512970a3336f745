// A call runs a caller's request on one service: one of a route's targets, or
// one shard. This header declares its parameters, its result and its status;
// see call_scheduler.h.

#ifndef MIMOSA_BALANCE_CALL_H
#define MIMOSA_BALANCE_CALL_H

#include "routing/caller_request.h"
#include "routing/route.h"

#include <memory>
#include <vector>

namespace mimosa {

using CallId = NumberId<struct CallIdTag, uint64_t>;

struct CallRequest {
  ServiceId Service;
  RouteId Route;
  /// Whether the request may run more than once.
  bool Idempotent = false;
  /// Maximum number of attempts that may run the request.
  uint32_t MaxAttempts = 1;
  /// The team of the caller; empty if it has none.
  TeamId Team;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  /// The caller's request should be answered within this time.
  Duration TargetLatency{0};
  MonotonicTime Deadline;
  /// An answer after this time is of little use. A queued call that cannot be
  /// answered by then ends, so that others are answered in time. At most
  /// Deadline.
  MonotonicTime UsefulUntil;
  /// An answer with a longer body is not valid.
  size_t MaxAnswerBytes = 16 << 20;
  std::shared_ptr<const CallerRequest> Message;
};

enum class CallOutcome {
  /// A backend server has answered, with success or failure.
  Answered,
  /// No backend server has run or will run the request.
  NotRun,
  /// A backend server may have run the request, but there is no answer.
  Unknown,
};

/// Why a call ended without an answer, for logs and refusals.
enum class CallReason {
  None,
  Unavailable,
  Overloaded,
  /// The backend servers have asked for a pause or limit the rate of requests.
  HeldBack,
  /// The shards of a query are congested, and this host limits how many
  /// queries it begins.
  Congested,
  Deadline,
  Lost,
  Shed,
  /// The host stops before an answer has arrived, or could be expected.
  Stopping
};
const char *callReasonName(CallReason Reason);

struct CallResult {
  CallOutcome Outcome = CallOutcome::NotRun;
  CallReason Reason = CallReason::None;
  /// Valid if Outcome is Answered.
  BackendAnswer Answer;
  /// The backend server that answered or was tried last; empty if none was
  /// tried.
  BackendServerId Server;
  uint32_t Attempts = 0;
  /// Attempts whose connection broke while the request may have been running.
  uint32_t LostAttempts = 0;
  ServiceId Service;
};

/// State of a call that has not ended, for logs.
struct CallStatus {
  /// Queued until a backend server can take it.
  bool Waiting = false;
  /// Backend servers of its attempts, in order.
  std::vector<BackendServerId> TriedServers;
  /// Hedges that were due and not sent because no backend server was expected
  /// to answer in time.
  uint32_t NoHedgeServer = 0;
  /// Hedges that were due and not sent because the retry budget was used up.
  uint32_t NoHedgeBudget = 0;
};

/// Receives the results of calls.
class CallObserver {
public:
  virtual ~CallObserver() = default;
  /// Called once for each call that is not cancelled; possibly from within
  /// CallScheduler::begin().
  virtual void callEnded(CallId Id, CallResult Result) = 0;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_CALL_H
