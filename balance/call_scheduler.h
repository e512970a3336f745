// Gets one answer from one service for each call: chooses the backend server,
// keeps calls waiting in order of priority while all are busy, sends again
// after a failure and sends a second copy (a hedge) when an answer is overdue
// (Dean and Barroso, "The Tail at Scale", CACM 2013).
//
//   CallId Id = Calls.begin(Request, Observer, Now);
//   ...
//   Calls.answered(Attempt, Answer, Now);     // from the transport
//   Calls.onTime(Now);                        // at nextWake()
//
// The load that each rule answers:
// * Pauses of one backend server of three (200 to 250 ms every few seconds):
//   hedge after twice the typical latency, at the expense of the retry budget.
// * Some backend servers decline requests while the others are busy: a declined
//   call waits for one that it has not tried, at the expense of the budget.
// * All backend servers of a service busy: calls wait here, urgent ones first,
//   and not in the queues of the backend servers, which know no priority.
// * More calls than the service can run: serving all of them in order would
//   make every answer late. A call that can no longer be answered while it is
//   useful ends as NotRun, and one that finds too long a queue does so at once;
//   the others are answered in time.
// * All backend servers of a service down: each is tried with one call at a
//   time, and other calls are refused at once as Unavailable.
// * Backend servers crash, and other processes take over their addresses before
//   discovery tells: the first answer that says so ends all use of the address.
//
// A request that is not idempotent is sent again only if the backend server or
// the transport says that it has not run.

#ifndef MIMOSA_BALANCE_CALL_SCHEDULER_H
#define MIMOSA_BALANCE_CALL_SCHEDULER_H

#include "balance/call.h"
#include "balance/retry_budget.h"
#include "balance/server_registry.h"
#include "balance/typical_latency.h"

#include <functional>
#include <map>
#include <optional>

namespace mimosa {

using AttemptId = NumberId<struct AttemptIdTag, uint64_t>;

/// Carries requests to backend servers. Each send ends with exactly one of
/// CallScheduler::answered(), notSent() and lost(), after send() has returned,
/// unless it is abandoned.
class BackendTransport {
public:
  virtual ~BackendTransport() = default;
  /// \p FreshConnection asks for one that has not been idle for long, because
  /// a loss on it could not be repaired.
  virtual void send(AttemptId Id, const BackendServerPtr &Server,
                    const CallRequest &Request, Duration TimeLeft,
                    bool FreshConnection) = 0;
  /// The answer is not wanted any more; its connection is closed.
  virtual void cancel(AttemptId Id) = 0;
};

struct CallCounters {
  uint64_t Calls = 0;
  uint64_t Attempts = 0;
  uint64_t Hedges = 0;
  uint64_t HedgesWon = 0;
  uint64_t Retries = 0;
  uint64_t RetryBudgetDenials = 0;
  uint64_t QueuedCalls = 0;
  uint64_t UnavailableCalls = 0;
  uint64_t OverloadedCalls = 0;
  uint64_t ExpiredCalls = 0;
  uint64_t LostAttempts = 0;
  uint64_t ShedAttempts = 0;
  uint64_t MisdirectedAttempts = 0;
  uint64_t CancelledAttempts = 0;
};

/// See the head of this file. All methods take a time that does not go back.
class CallScheduler {
public:
  CallScheduler(ServerRegistry &Registry, BackendTransport &Transport)
      : Registry(Registry), Transport(Transport) {}

  CallId begin(CallRequest Request, CallObserver &Observer, MonotonicTime Now);
  /// The result is not wanted any more. Sends in flight may end for a moment,
  /// which keeps their connections; \p CallerGone makes the moment short.
  /// True if the call was running and may have been run by a backend server.
  bool cancel(CallId Id, bool CallerDisconnected, MonotonicTime Now);

  /// Nothing if the call has ended.
  std::optional<CallStatus> status(CallId Id) const;

  // From the transport.
  void onAnswered(AttemptId Id, BackendAnswer Answer, MonotonicTime Now);
  /// Nothing of the request has reached the backend server.
  void onNotSent(AttemptId Id, MonotonicTime Now);
  /// The request may have run; \p Malformed if bytes came that are no answer.
  void onLost(AttemptId Id, bool Malformed, MonotonicTime Now);

  /// When onTime() is to be called next.
  MonotonicTime nextWakeUp();
  /// Calls \p Hook when onTime() is to be called earlier than nextWake() said.
  void onEarlierWakeUp(std::function<void()> Hook) {
    EarlierWakeUp = std::move(Hook);
  }
  void onTimer(MonotonicTime Now);

  void setRetryBudget(RetryBudgetOptions Options) { BudgetOptions = Options; }
  const CallCounters &counters() const { return Counters; }
  size_t waitingCalls(const ServiceId &Service) const;
  size_t attemptsInFlight() const { return Attempts.size(); }
  Duration typicalLatency(const RouteId &Route, Duration Target);

private:
  struct AttemptState {
    CallId Owner;
    BackendServerPtr Server;
    RouteId Route;
    Duration TargetLatency;
    MonotonicTime SentAt;
    /// When it is given up.
    MonotonicTime ExpiresAt;
    bool Hedge = false;
    /// Its call has ended; the answer is only measured.
    bool Detached = false;
    bool Idempotent = false;
  };
  struct CallState {
    CallRequest Request;
    CallObserver *Observer = nullptr;
    MonotonicTime StartedAt;
    /// Next hedge, or the deadline.
    MonotonicTime WakeUpAt;
    bool Waiting = false;
    /// Sends that may have run.
    uint32_t PossibleRuns = 0;
    uint32_t AttemptCount = 0;
    uint32_t LostAttempts = 0;
    std::vector<AttemptId> OpenAttempts;
    std::vector<BackendServerPtr> TriedServers;
    std::optional<BackendAnswer> FailureAnswer;
    CallReason LastReason = CallReason::None;
    BackendServerId LastServer;
    uint32_t NoHedgeServer = 0;
    uint32_t NoHedgeBudget = 0;
  };
  /// Waiting calls of a service by priority and arrival.
  using WaitKey = std::pair<uint32_t, uint64_t>;
  struct ServiceQueue {
    std::map<WaitKey, CallId> Waiting;
    RetryBudget Budget;
  };
  using CallMap = std::unordered_map<CallId, CallState>;
  using AttemptMap = std::unordered_map<AttemptId, AttemptState>;

  ServiceQueue &queue(const ServiceId &Service);
  void sendFirst(CallMap::iterator It, MonotonicTime Now);
  void sendTo(CallMap::iterator It, const BackendServerPtr &Server, bool Hedge,
              MonotonicTime Now);
  void enqueue(CallMap::iterator It, MonotonicTime Now);
  void dequeue(CallState &Call, CallId Id);
  bool wouldFinishTooLate(const CallState &Call, MonotonicTime Now);
  /// The latest time at which a waiting call is worth sending.
  MonotonicTime latestSendTime(const CallRequest &R);
  void tryHedge(CallMap::iterator It, MonotonicTime Now);
  /// The backend server for the next send of \p Of; null if there is none now.
  BackendServerPtr choose(const CallState &Call, MonotonicTime Now);
  void retryOrEnd(CallMap::iterator It, MonotonicTime Now);
  /// Sends a call once more, or ends it if the retry budget is used up.
  void retry(CallMap::iterator It, const BackendServerPtr &Server,
             MonotonicTime Now);
  static CallOutcome outcomeWithoutAnswer(const CallState &Call) {
    return Call.PossibleRuns > 0 ? CallOutcome::Unknown : CallOutcome::NotRun;
  }
  /// Ends a call that no backend server has answered with success.
  void endWithoutSuccess(CallMap::iterator It, CallReason Reason,
                         MonotonicTime Now);
  void finish(CallMap::iterator It, CallOutcome Outcome, CallReason Reason,
              std::optional<BackendAnswer> Answer, MonotonicTime Now);
  void detach(const std::vector<AttemptId> &Open, Duration Grace,
              MonotonicTime Now);
  void sendWaiting(const ServiceId &Service, MonotonicTime Now);
  void setWakeUp(CallId Id, CallState &Call, MonotonicTime At);
  void notifyEarlierWakeUp(MonotonicTime At);
  /// Ends the attempt's bookkeeping; its call, or end() if it has ended.
  CallMap::iterator closeAttempt(AttemptMap::iterator It, AttemptState &Out);
  void expire(AttemptMap::iterator It, MonotonicTime Now);
  void recordLatency(const AttemptState &Attempt, MonotonicTime Now);

  ServerRegistry &Registry;
  BackendTransport &Transport;
  RetryBudgetOptions BudgetOptions;
  CallCounters Counters;
  CallMap Calls;
  AttemptMap Attempts;
  std::unordered_map<ServiceId, ServiceQueue> Queues;
  std::unordered_map<RouteId, TypicalLatency> Typical;
  std::set<std::pair<MonotonicTime, CallId>> CallWakeUps;
  std::set<std::pair<MonotonicTime, AttemptId>> AttemptWakeUps;
  MonotonicTime AnnouncedWakeUp = MonotonicTime::max();
  std::function<void()> EarlierWakeUp;
  CallId LastCall;
  AttemptId LastAttempt;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_CALL_SCHEDULER_H
