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
  virtual void abandon(AttemptId Id) = 0;
};

struct CallCounters {
  uint64_t Calls = 0;
  uint64_t Sends = 0;
  uint64_t Hedges = 0;
  uint64_t HedgesWon = 0;
  uint64_t Retries = 0;
  uint64_t BudgetRefused = 0;
  uint64_t Waited = 0;
  uint64_t Unavailable = 0;
  uint64_t Overloaded = 0;
  uint64_t Expired = 0;
  uint64_t Lost = 0;
  uint64_t Shed = 0;
  uint64_t OtherServer = 0;
  uint64_t Abandoned = 0;
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
  bool cancel(CallId Id, bool CallerGone, MonotonicTime Now);

  /// Nothing if the call has ended.
  std::optional<CallStatus> status(CallId Id) const;

  // From the transport.
  void answered(AttemptId Id, BackendAnswer Answer, MonotonicTime Now);
  /// Nothing of the request has reached the backend server.
  void notSent(AttemptId Id, MonotonicTime Now);
  /// The request may have run; \p Malformed if bytes came that are no answer.
  void lost(AttemptId Id, bool Malformed, MonotonicTime Now);

  /// When onTime() is to be called next.
  MonotonicTime nextWake();
  /// Calls \p Hook when onTime() is to be called earlier than nextWake() said.
  void onEarlierWake(std::function<void()> Hook) {
    EarlierWake = std::move(Hook);
  }
  void onTime(MonotonicTime Now);

  void setRetryBudget(RetryBudgetOptions Options) { BudgetOptions = Options; }
  const CallCounters &counters() const { return Counters; }
  size_t waiting(const ServiceId &Service) const;
  size_t inFlight() const { return Attempts.size(); }
  Duration typicalLatency(const RouteId &Route, Duration Target);

private:
  struct Attempt {
    CallId Call;
    BackendServerPtr Server;
    RouteId Route;
    Duration Target;
    MonotonicTime SentAt;
    /// When it is given up.
    MonotonicTime GiveUpAt;
    bool Hedge = false;
    /// Its call has ended; the answer is only measured.
    bool Orphan = false;
    bool Idempotent = false;
  };
  struct Call {
    CallRequest Request;
    CallObserver *Observer = nullptr;
    MonotonicTime BegunAt;
    /// Next hedge, or the deadline.
    MonotonicTime WakeAt;
    bool Waiting = false;
    /// Sends that may have run.
    uint32_t MayHaveRun = 0;
    uint32_t Sends = 0;
    uint32_t Lost = 0;
    std::vector<AttemptId> Open;
    std::vector<BackendServerPtr> Tried;
    std::optional<BackendAnswer> Failure;
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
  using CallMap = std::unordered_map<CallId, Call>;
  using AttemptMap = std::unordered_map<AttemptId, Attempt>;

  ServiceQueue &queue(const ServiceId &Service);
  void sendFirst(CallMap::iterator It, MonotonicTime Now);
  void sendTo(CallMap::iterator It, const BackendServerPtr &Server, bool Hedge,
              MonotonicTime Now);
  void wait(CallMap::iterator It, MonotonicTime Now);
  void stopWaiting(Call &Of, CallId Id);
  bool hopeless(const Call &Of, MonotonicTime Now);
  /// The latest time at which a waiting call is worth sending.
  MonotonicTime lastStart(const CallRequest &R);
  void tryHedge(CallMap::iterator It, MonotonicTime Now);
  /// The backend server for the next send of \p Of; null if there is none now.
  BackendServerPtr choose(const Call &Of, MonotonicTime Now);
  void retryOrEnd(CallMap::iterator It, MonotonicTime Now);
  /// Sends a call once more, or ends it if the retry budget is used up.
  void sendAgain(CallMap::iterator It, const BackendServerPtr &Server,
                 MonotonicTime Now);
  static CallOutcome outcomeUnanswered(const Call &Of) {
    return Of.MayHaveRun > 0 ? CallOutcome::Unknown : CallOutcome::NotRun;
  }
  /// Ends a call that no backend server has answered with success.
  void endUnserved(CallMap::iterator It, CallReason Reason, MonotonicTime Now);
  void finish(CallMap::iterator It, CallOutcome Outcome, CallReason Reason,
              std::optional<BackendAnswer> Answer, MonotonicTime Now);
  void orphan(const std::vector<AttemptId> &Open, Duration Grace,
              MonotonicTime Now);
  void pump(const ServiceId &Service, MonotonicTime Now);
  void setWake(CallId Id, Call &Of, MonotonicTime At);
  void announce(MonotonicTime At);
  /// Ends the attempt's bookkeeping; its call, or end() if it has ended.
  CallMap::iterator close(AttemptMap::iterator It, Attempt &Out);
  void giveUp(AttemptMap::iterator It, MonotonicTime Now);
  void measure(const Attempt &Of, MonotonicTime Now);

  ServerRegistry &Registry;
  BackendTransport &Transport;
  RetryBudgetOptions BudgetOptions;
  CallCounters Counters;
  CallMap Calls;
  AttemptMap Attempts;
  std::unordered_map<ServiceId, ServiceQueue> Queues;
  std::unordered_map<RouteId, TypicalLatency> Typical;
  std::set<std::pair<MonotonicTime, CallId>> CallWakes;
  std::set<std::pair<MonotonicTime, AttemptId>> AttemptWakes;
  MonotonicTime AnnouncedWake = MonotonicTime::max();
  std::function<void()> EarlierWake;
  CallId LastCall;
  AttemptId LastAttempt;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_CALL_SCHEDULER_H
