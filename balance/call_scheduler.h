// Runs calls. For each call it chooses a backend server of the service, queues
// the call by priority while all backend servers are busy, retries it after a
// failure, and sends a hedge, a second attempt on another backend server, when
// the answer is overdue (Dean and Barroso, "The Tail at Scale", CACM 2013).
//
//   CallId Id = Scheduler.begin(Request, Observer, Now);
//   ...
//   Scheduler.onAnswered(Attempt, Answer, Now);   // called by the transport
//   Scheduler.onTimer(Now);                       // called at nextWakeUp()
//
// It performs no I/O and reads no clock. Its rules for common situations:
// * One of three backend servers pauses (for 200 to 250 ms every few seconds):
//   a hedge is sent after twice the typical latency, from the retry budget.
// * Shards differ in speed, or one becomes slower as a whole: what is typical
//   is measured for each shard, and a host may always use its share of a
//   backend server's slots. Only a backend server that is slower than the
//   others of its own shard is avoided.
// * Some backend servers refuse requests while the others are busy: a refused
//   call waits for a backend server that it has not tried, and its next attempt
//   is taken from the retry budget.
// * All backend servers of a service are busy: calls are queued here, by
//   priority, and not at the backend servers, whose queues have no priorities.
// * A team asks for much more than usual, or its callers retry at once: within
//   a priority the teams with queued calls are served in turn.
// * There are more calls than the service can run: if all were run in order,
//   every answer would be late. A queued call that can no longer be answered by
//   UsefulUntil ends as NotRun, and a new call does so at once if the queue is
//   too long. The others are answered in time.
// * Backend servers ask for a pause or limit the rate of requests: each host
//   keeps to it (server_pushback.h), whatever the purpose of an attempt. A call
//   waits until a request is allowed if it can still be useful then, and
//   otherwise ends at once as NotRun.
// * The host stops, and its callers still come for seconds: a call is sent only
//   if its answer can be expected before the host ends, and for a request that
//   is not idempotent even from a slow backend server, since its caller could
//   not repeat it. Other calls end as NotRun as soon as that is known.
// * All backend servers of a service have failed: each gets one trial request
//   at a time, and other calls end at once as Unavailable.
// * Backend servers crash, and others take over their addresses before service
//   discovery reports it: after the first answer that reports another backend
//   server, the address is no longer used.
//
// A request that is not idempotent is sent again only if the backend server or
// the transport reports that it has not run.

#ifndef MIMOSA_BALANCE_CALL_SCHEDULER_H
#define MIMOSA_BALANCE_CALL_SCHEDULER_H

#include "balance/call.h"
#include "balance/retry_budget.h"
#include "balance/server_registry.h"
#include "balance/typical_latency.h"
#include "base/fair_queue.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace mimosa {

/// One request sent to one backend server for a call.
using AttemptId = NumberId<struct AttemptIdTag, uint64_t>;

/// Sends requests to backend servers. For each attempt that is not cancelled it
/// calls exactly one of CallScheduler::onAnswered(), onNotSent() and onLost(),
/// after send() has returned.
class BackendTransport {
public:
  virtual ~BackendTransport() = default;
  /// The backend server is told the time that is left when the request is
  /// written. If \p FreshConnection is set, uses a connection that has not been
  /// idle for long and is therefore unlikely to break: the request could not be
  /// retried.
  virtual void send(AttemptId Id, const BackendServerPtr &Server,
                    const CallRequest &Request, bool FreshConnection) = 0;
  /// Ends the attempt and closes its connection.
  virtual void cancel(AttemptId Id) = 0;
};

/// How an attempt that may have run has ended.
enum class AttemptEnd { Succeeded, Failed, Unanswered };

/// The end of one attempt.
struct AttemptReport {
  const BackendServer &Server;
  const RouteId &Route;
  MonotonicTime SentAt;
  AttemptEnd End;
  MonotonicTime EndedAt;
};

/// Counters since the start of the process, for metrics.
struct CallCounters {
  uint64_t Calls = 0;
  uint64_t Attempts = 0;
  /// Attempts beyond this host's share of a rate limit that the backend server
  /// has stated.
  uint64_t AttemptsOverLimit = 0;
  uint64_t Hedges = 0;
  /// Hedges whose answer was the result of the call.
  uint64_t HedgesWon = 0;
  uint64_t Retries = 0;
  /// Retries and hedges that the retry budget did not allow.
  uint64_t RetryBudgetDenials = 0;
  uint64_t QueuedCalls = 0;
  /// Calls that found no usable backend server at their start.
  uint64_t UnavailableCalls = 0;
  /// Calls that left or did not enter the queue because they would be late.
  uint64_t OverloadedCalls = 0;
  /// Calls that did not enter the queue because their backend servers have
  /// asked for a pause or limit the rate of requests.
  uint64_t HeldBackCalls = 0;
  /// Calls that were not sent, or not sent again, because the host stops.
  uint64_t StoppedCalls = 0;
  /// Calls that reached the deadline.
  uint64_t ExpiredCalls = 0;
  // Attempts by their end.
  uint64_t LostAttempts = 0;
  uint64_t ShedAttempts = 0;
  uint64_t MisdirectedAttempts = 0;
  uint64_t CancelledAttempts = 0;
};

/// See the head of this file. The times that are passed in must not decrease.
class CallScheduler {
public:
  CallScheduler(ServerRegistry &Registry, BackendTransport &Transport)
      : Registry(Registry), Transport(Transport) {}

  /// Starts a call. \p Observer receives the result, possibly before begin()
  /// returns.
  CallId begin(CallRequest Request, CallObserver &Observer, MonotonicTime Now);
  /// Ends a call without a result. Its open attempts may still end within a
  /// grace period, which keeps their connections; the period is shorter if the
  /// caller has disconnected. Returns whether the call had not ended and a
  /// backend server may have run its request.
  bool cancel(CallId Id, bool CallerDisconnected, MonotonicTime Now);

  /// From now on lets no call run beyond \p End, when the host stops. A call
  /// that has been sent by then ends as Unknown at \p End. Returns the number
  /// of queued calls that end at once.
  size_t endCallsBy(MonotonicTime End, MonotonicTime Now);

  /// Must be called when backend servers have been added, or when something
  /// that kept them from getting requests has been changed from outside: the
  /// queued calls that they can take now are sent.
  void serversChanged(MonotonicTime Now);

  /// When the pauses and rate limits of the backend servers of \p Service allow
  /// a new call to be sent, behind those that are queued; the latest of all
  /// times if no backend server is usable. Other limits are not considered.
  MonotonicTime expectedSendAt(const ServiceId &Service, uint32_t Priority,
                               const TeamId &Team, MonotonicTime Now) const;

  /// How long the queue of \p Request's service would have to shrink before
  /// \p Request, if it began now, could be answered by its UsefulUntil; 0 if it
  /// could be.
  Duration expectedLateness(const CallRequest &Request, MonotonicTime Now);

  /// The state of a call; empty if it has ended.
  std::optional<CallStatus> status(CallId Id) const;

  // Called by the transport.
  void onAnswered(AttemptId Id, BackendAnswer Answer, MonotonicTime Now);
  /// No part of the request has reached the backend server.
  void onNotSent(AttemptId Id, MonotonicTime Now);
  /// The connection broke, or, if \p Malformed, the received bytes are not a
  /// valid answer. The request may have run.
  void onLost(AttemptId Id, bool Malformed, MonotonicTime Now);

  /// The time at which onTimer() has to be called next.
  MonotonicTime nextWakeUp();
  /// Sets a function that is called when onTimer() has to be called earlier
  /// than nextWakeUp() returned last.
  void onEarlierWakeUp(std::function<void()> Callback) {
    EarlierWakeUp = std::move(Callback);
  }
  void onTimer(MonotonicTime Now);

  /// Sets a function that is called at the end of each attempt that may have
  /// run.
  void onAttemptEnded(std::function<void(const AttemptReport &)> Callback) {
    AttemptCallback = std::move(Callback);
  }

  const ServerRegistry &registry() const { return Registry; }
  void setRetryBudget(RetryBudgetOptions Options) { BudgetOptions = Options; }
  const CallCounters &counters() const { return Counters; }
  /// Number of queued calls of one service and of all.
  size_t waitingCalls(const ServiceId &Service) const;
  size_t waitingCalls() const;
  size_t attemptsInFlight() const { return Attempts.size(); }

private:
  struct AttemptState {
    CallId Owner;
    BackendServerPtr Server;
    RouteId Route;
    Duration TargetLatency;
    MonotonicTime SentAt;
    /// When it is cancelled.
    MonotonicTime ExpiresAt;
    bool Hedge = false;
    /// Its call has ended: the answer only updates the statistics of the
    /// backend server and the route.
    bool Detached = false;
    bool Idempotent = false;
  };
  struct CallState {
    CallRequest Request;
    CallObserver *Observer = nullptr;
    MonotonicTime StartedAt;
    /// Time of the next hedge, latest time to leave the queue, or the deadline.
    MonotonicTime WakeUpAt;
    bool Waiting = false;
    /// Attempts that may have run the request.
    uint32_t PossibleRuns = 0;
    uint32_t AttemptCount = 0;
    uint32_t LostAttempts = 0;
    std::vector<AttemptId> OpenAttempts;
    std::vector<BackendServerPtr> TriedServers;
    /// All backend servers have been tried, and TriedServers was cleared.
    bool TriedAgain = false;
    /// The last answer that reports a failure.
    std::optional<BackendAnswer> FailureAnswer;
    CallReason LastReason = CallReason::None;
    BackendServerId LastServer;
    uint32_t NoHedgeServer = 0;
    uint32_t NoHedgeBudget = 0;
  };
  /// The queued calls of one priority.
  struct PriorityQueue {
    /// Calls with a declined or failed attempt, in the order of arrival. They
    /// are sent before the others.
    std::set<CallId> Retries;
    FairQueue<TeamId, CallId> First;
    size_t size() const { return Retries.size() + First.size(); }
  };
  struct ServiceQueue {
    /// By priority; none is empty.
    std::map<uint32_t, PriorityQueue> Waiting;
    RetryBudget Budget;
    /// When a backend server ceases to be held back, if calls wait for it.
    MonotonicTime WakeUpAt = MonotonicTime::max();
    size_t size() const {
      size_t Count = 0;
      for (const auto &[Priority, Calls] : Waiting)
        Count += Calls.size();
      return Count;
    }
  };
  using CallMap = std::unordered_map<CallId, CallState>;
  using AttemptMap = std::unordered_map<AttemptId, AttemptState>;

  ServiceQueue &queue(const ServiceId &Service);
  /// Applies EndCallsBy to the times of \p Request.
  void limitTimes(CallRequest &Request) const;
  /// Why a call on \p Request ends at its deadline.
  CallReason deadlineReason(const CallRequest &Request) const {
    return Request.Deadline == EndCallsBy ? CallReason::Stopping
                                          : CallReason::Deadline;
  }
  /// Whether the host stops too soon for \p Request to be sent at \p Now.
  bool tooLateToSend(const CallRequest &Request, MonotonicTime Now);
  /// Whether \p Call, which is queued or about to be, can only be sent too late
  /// because of what backend servers have asked for.
  bool heldBackTooLong(const CallState &Call, MonotonicTime Now);
  Duration typicalLatency(const CallRequest &Request);
  Duration typicalLatency(const AttemptState &Attempt);
  void sendFirst(CallMap::iterator It, MonotonicTime Now);
  void sendTo(CallMap::iterator It, const BackendServerPtr &Server, bool Hedge,
              MonotonicTime Now);
  void enqueue(CallMap::iterator It, MonotonicTime Now);
  /// Sets when queued calls of \p Service are to be sent if no call ends
  /// before.
  void setQueueWakeUp(const ServiceId &Service, MonotonicTime Now);
  /// Number of queued calls that are sent before a new one.
  double callsAhead(const ServiceId &Service, uint32_t Priority,
                    const TeamId &Team) const;
  /// See expectedSendAt().
  MonotonicTime expectedSendAt(const ServiceId &Service, uint32_t Priority,
                               const TeamId &Team,
                               const std::vector<BackendServerPtr> &Tried,
                               MonotonicTime Now) const;
  void dequeue(CallState &Call, CallId Id);
  /// The latest time at which a queued call can be sent and still be useful.
  MonotonicTime latestSendTime(const CallRequest &Request);
  void tryHedge(CallMap::iterator It, MonotonicTime Now);
  /// The backend server for the next attempt; null if none can take it now.
  BackendServerPtr choose(const CallState &Call, MonotonicTime Now);
  void retryOrEnd(CallMap::iterator It, MonotonicTime Now);
  /// Sends another attempt, or ends the call if the retry budget is used up.
  void retry(CallMap::iterator It, const BackendServerPtr &Server,
             MonotonicTime Now);
  static CallOutcome outcomeWithoutAnswer(const CallState &Call) {
    return Call.PossibleRuns > 0 ? CallOutcome::Unknown : CallOutcome::NotRun;
  }
  /// Ends a call that no backend server has answered successfully.
  void endWithoutSuccess(CallMap::iterator It, CallReason Reason,
                         MonotonicTime Now);
  void finish(CallMap::iterator It, CallOutcome Outcome, CallReason Reason,
              std::optional<BackendAnswer> Answer, MonotonicTime Now);
  /// Lets attempts of an ended call run for at most \p Grace.
  void detach(const std::vector<AttemptId> &Open, Duration Grace,
              MonotonicTime Now);
  /// Sends queued calls of \p Service as far as backend servers can take them.
  void sendWaiting(const ServiceId &Service, MonotonicTime Now);
  /// The same for one priority; false if calls without an attempt are left,
  /// since no backend server can take one.
  bool sendWaiting(const ServiceId &Service, uint32_t Priority,
                   MonotonicTime Now);
  /// Sends a queued call if a backend server can take it.
  bool sendWaitingCall(CallMap::iterator It, MonotonicTime Now);
  void setWakeUp(CallId Id, CallState &Call, MonotonicTime At);
  void notifyEarlierWakeUp(MonotonicTime At);
  /// Removes an attempt and moves its state to \p Out. Returns its call, or
  /// end() if the call has ended.
  CallMap::iterator closeAttempt(AttemptMap::iterator It, AttemptState &Out);
  /// Cancels an attempt that has not been answered by ExpiresAt.
  void expire(AttemptMap::iterator It, MonotonicTime Now);
  void recordLatency(const AttemptState &Attempt, MonotonicTime Now);
  void reportAttempt(const AttemptState &Attempt, AttemptEnd End,
                     MonotonicTime Now) const;

  ServerRegistry &Registry;
  BackendTransport &Transport;
  RetryBudgetOptions BudgetOptions;
  /// See endCallsBy().
  MonotonicTime EndCallsBy = MonotonicTime::max();
  CallCounters Counters;
  CallMap Calls;
  AttemptMap Attempts;
  std::unordered_map<ServiceId, ServiceQueue> Queues;
  LatencyBook Latencies;
  std::set<std::pair<MonotonicTime, CallId>> CallWakeUps;
  std::set<std::pair<MonotonicTime, AttemptId>> AttemptWakeUps;
  /// ServiceQueue::WakeUpAt, unless it is the latest of all times.
  std::set<std::pair<MonotonicTime, ServiceId>> QueueWakeUps;
  /// The wake-up time that was last returned or notified.
  MonotonicTime AnnouncedWakeUp = MonotonicTime::max();
  std::function<void()> EarlierWakeUp;
  std::function<void(const AttemptReport &)> AttemptCallback;
  CallId LastCall;
  AttemptId LastAttempt;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_CALL_SCHEDULER_H
