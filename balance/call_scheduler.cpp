#include "balance/call_scheduler.h"

#include <algorithm>

namespace mimosa {

namespace {

/// An answer counts as typical of its service if the relative latency of its
/// backend server is at most this many times that of the fastest one.
constexpr double MaxTypicalRatio = 2;
/// An answer is overdue after this many typical latencies. The users' requests
/// vary in their work, so that 2% of the answers take longer without a fault.
constexpr double HedgeFactor = 2.0;
constexpr Duration HedgeMargin = Milliseconds(2);
/// If the backend server of an attempt is slow, the hedge is sent later, by the
/// relative latency and at most by this factor.
constexpr double MaxHedgeLatencyFactor = 1.5;
/// Latest time of a hedge, as a share of the target latency: its own answer
/// must arrive within the target latency, too.
constexpr double LatestHedgeShare = 0.5;
/// Latest expected answer of a useful hedge, as a share of the target latency.
constexpr double UsefulShare = 0.85;
/// A hedge is also useful within this many typical latencies: if two of three
/// backend servers are slow, the third one is busy, but still the best choice.
constexpr double MinHedgeCostLimit = 3;
/// Share of the retry budget that hedges leave to retries: without a retry a
/// shard result is missing, without a hedge it is only late.
constexpr double RetryReserve = 0.15;
/// Delay before a hedge that found no backend server or budget is tried again.
constexpr Duration HedgeRetryDelay = Milliseconds(8);
/// Detached attempts may end within this time, which keeps their connections.
constexpr Duration DetachedGrace = Milliseconds(700);
/// After a caller has disconnected, no request may run on for half a second.
constexpr Duration DisconnectedGrace = Milliseconds(150);
} // namespace

Duration CallScheduler::typicalLatency(const CallRequest &Request) {
  return Latencies.typical(Request.Route, Request.Service,
                           Request.TargetLatency);
}

Duration CallScheduler::typicalLatency(const AttemptState &Attempt) {
  return Latencies.typical(Attempt.Route, Attempt.Server->entry().Service,
                           Attempt.TargetLatency);
}

void CallScheduler::setWakeUp(CallId Id, CallState &Call, MonotonicTime At) {
  CallWakeUps.erase({Call.WakeUpAt, Id});
  Call.WakeUpAt = At;
  CallWakeUps.insert({At, Id});
  notifyEarlierWakeUp(At);
}

void CallScheduler::notifyEarlierWakeUp(MonotonicTime At) {
  if (At >= AnnouncedWakeUp || !EarlierWakeUp)
    return;
  AnnouncedWakeUp = At;
  EarlierWakeUp();
}

CallId CallScheduler::begin(CallRequest Request, CallObserver &Observer,
                            MonotonicTime Now) {
  ++Counters.Calls;
  // A backend server may have become free without an event, for example because
  // a pause has ended and the timer has not run yet.
  if (!queue(Request.Service).Waiting.empty() &&
      Registry.state(Request.Service, Now) == ServiceState::Available)
    sendWaiting(Request.Service, Now);
  LastCall = LastCall.next();
  CallId Id = LastCall;
  queue(Request.Service).Budget.recordRequest(Now);
  CallState New;
  New.Request = std::move(Request);
  limitTimes(New.Request);
  New.Observer = &Observer;
  New.StartedAt = Now;
  auto It = Calls.emplace(Id, std::move(New)).first;
  setWakeUp(Id, It->second, It->second.Request.Deadline);
  sendFirst(It, Now);
  return Id;
}

BackendServerPtr CallScheduler::choose(const CallState &Call,
                                       MonotonicTime Now) {
  ServerCriteria Criteria;
  Criteria.TypicalLatency = typicalLatency(Call.Request);
  Criteria.TriedServers = &Call.TriedServers;
  Criteria.Route = Call.Request.Route;
  return Registry.choose(Call.Request.Service, Criteria, Now);
}

void CallScheduler::sendFirst(CallMap::iterator It, MonotonicTime Now) {
  const CallRequest &Request = It->second.Request;
  if (tooLateToSend(Request, Now)) {
    ++Counters.StoppedCalls;
    return finish(It, CallOutcome::NotRun, CallReason::Stopping, {}, Now);
  }
  bool IsFirst =
      queue(Request.Service).Waiting.empty() ||
      Request.Priority < queue(Request.Service).Waiting.begin()->first;
  if (IsFirst)
    if (BackendServerPtr Server = choose(It->second, Now))
      return sendTo(It, Server, false, Now);
  if (Registry.state(Request.Service, Now) == ServiceState::Unavailable) {
    ++Counters.UnavailableCalls;
    return finish(It, CallOutcome::NotRun, CallReason::Unavailable, {}, Now);
  }
  enqueue(It, Now);
}

void CallScheduler::sendTo(CallMap::iterator It, const BackendServerPtr &Server,
                           bool Hedge, MonotonicTime Now) {
  CallState &Call = It->second;
  LastAttempt = LastAttempt.next();
  AttemptId Id = LastAttempt;
  const CallRequest &Request = Call.Request;
  AttemptState New;
  New.Owner = It->first;
  New.Server = Server;
  New.Route = Request.Route;
  New.TargetLatency = Request.TargetLatency;
  New.SentAt = Now;
  New.ExpiresAt = Request.Deadline;
  New.Hedge = Hedge;
  New.Idempotent = Request.Idempotent;
  AttemptWakeUps.insert({New.ExpiresAt, Id});
  Attempts.emplace(Id, std::move(New));
  Counters.AttemptsOverLimit += Registry.heldBack(*Server, Now) ? 1 : 0;
  Registry.recordSend(*Server, Now);
  ++Counters.Attempts;
  ++Call.AttemptCount;
  Call.OpenAttempts.push_back(Id);
  ++Call.PossibleRuns;
  Call.TriedServers.push_back(Server);
  Call.LastServer = Server->entry().Id;
  if (Request.Idempotent && Call.PossibleRuns < Request.MaxAttempts && !Hedge) {
    Duration Median = typicalLatency(Request);
    double LatencyFactor =
        std::clamp(Server->relativeLatency(Now), 1.0, MaxHedgeLatencyFactor);
    Duration Delay =
        std::min(scaled(Median, HedgeFactor * LatencyFactor) + HedgeMargin,
                 scaled(Request.TargetLatency, LatestHedgeShare));
    setWakeUp(It->first, Call, std::min(Request.Deadline, Now + Delay));
  } else {
    setWakeUp(It->first, Call, Request.Deadline);
  }
  Transport.send(Id, Server, Request, !Request.Idempotent);
}

void CallScheduler::tryHedge(CallMap::iterator It, MonotonicTime Now) {
  CallState &Call = It->second;
  const CallRequest &Request = Call.Request;
  if (Call.OpenAttempts.size() != 1 || Call.PossibleRuns >= Request.MaxAttempts)
    return setWakeUp(It->first, Call, Request.Deadline);
  Duration Median = typicalLatency(Request);
  const AttemptState &Overdue = Attempts.at(Call.OpenAttempts.front());
  Overdue.Server->recordStall(
      inSeconds(Now - Overdue.SentAt) / inSeconds(Median), Now);
  ServerCriteria Criteria;
  Criteria.TypicalLatency = Median;
  Criteria.TriedServers = &Call.TriedServers;
  double Left = inSeconds(Request.TargetLatency) * UsefulShare -
                inSeconds(Now - Call.StartedAt);
  Criteria.MaxCost = std::max(MinHedgeCostLimit, Left / inSeconds(Median));
  BackendServerPtr Server = Registry.choose(Request.Service, Criteria, Now);
  if (!Server || !queue(Request.Service).Budget.tryTake(Now, RetryReserve)) {
    ++(Server ? Call.NoHedgeBudget : Call.NoHedgeServer);
    Counters.RetryBudgetDenials += Server ? 1 : 0;
    return setWakeUp(It->first, Call,
                     std::min(Request.Deadline, Now + HedgeRetryDelay));
  }
  ++Counters.Hedges;
  sendTo(It, Server, true, Now);
}

CallScheduler::CallMap::iterator
CallScheduler::closeAttempt(AttemptMap::iterator It, AttemptState &Out) {
  AttemptId Id = It->first;
  Out = std::move(It->second);
  AttemptWakeUps.erase({Out.ExpiresAt, Id});
  Attempts.erase(It);
  Out.Server->recordEnd(Out.SentAt);
  if (Out.Detached)
    return Calls.end();
  auto Found = Calls.find(Out.Owner);
  if (Found != Calls.end()) {
    auto &Open = Found->second.OpenAttempts;
    Open.erase(std::find(Open.begin(), Open.end(), Id));
  }
  return Found;
}

void CallScheduler::reportAttempt(const AttemptState &Attempt, AttemptEnd End,
                                  MonotonicTime Now) const {
  if (AttemptCallback)
    AttemptCallback({*Attempt.Server, Attempt.Route, Attempt.SentAt, End, Now});
}

void CallScheduler::recordLatency(const AttemptState &Attempt,
                                  MonotonicTime Now) {
  Duration Latency = Now - Attempt.SentAt;
  Duration Median = typicalLatency(Attempt);
  Attempt.Server->recordLatency(inSeconds(Latency) / inSeconds(Median), Now);
  // Slow backend servers do not change what is typical of their service, unless
  // all of them are slow.
  const ServiceId &Service = Attempt.Server->entry().Service;
  if (Attempt.Server->relativeLatency(Now) <=
      MaxTypicalRatio * Registry.leastRelativeLatency(Service, Now))
    Latencies.record(Attempt.Route, Service, Latency, Now);
}

void CallScheduler::onAnswered(AttemptId Id, BackendAnswer Answer,
                               MonotonicTime Now) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  AttemptState Attempt;
  auto It = closeAttempt(Found, Attempt);
  ServiceId Service = Attempt.Server->entry().Service;
  if (!Answer.NotRun && !Answer.Misdirected)
    reportAttempt(Attempt,
                  Answer.success() ? AttemptEnd::Succeeded : AttemptEnd::Failed,
                  Now);
  // A misdirected answer is that of another backend server.
  if (!Answer.Misdirected)
    Registry.recordNotice(*Attempt.Server, Answer.Notice, Attempt.SentAt, Now);
  if (Answer.success()) {
    recordLatency(Attempt, Now);
  } else if (Answer.Misdirected) {
    ++Counters.MisdirectedAttempts;
    Attempt.Server->recordFailure(BackendFailure::Replaced, Now);
  } else if (Answer.NotRun) {
    ++Counters.ShedAttempts;
    Attempt.Server->recordFailure(BackendFailure::Shed, Now);
    Registry.recordDecline(*Attempt.Server, Attempt.SentAt,
                           typicalLatency(Attempt), Now);
  } else {
    Attempt.Server->recordFailure(BackendFailure::BadAnswer, Now);
  }
  if (It != Calls.end()) {
    CallState &Call = It->second;
    if (Answer.NotRun || Answer.Misdirected) {
      --Call.PossibleRuns;
      Call.LastReason = CallReason::Shed;
      retryOrEnd(It, Now);
    } else if (Answer.success() || !Call.Request.Idempotent) {
      Counters.HedgesWon += Attempt.Hedge ? 1 : 0;
      Call.LastServer = Attempt.Server->entry().Id;
      finish(It, CallOutcome::Answered, CallReason::None, std::move(Answer),
             Now);
    } else {
      Call.FailureAnswer = std::move(Answer);
      Call.LastReason = CallReason::Lost;
      retryOrEnd(It, Now);
    }
  }
  sendWaiting(Service, Now);
}

void CallScheduler::onNotSent(AttemptId Id, MonotonicTime Now) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  AttemptState Attempt;
  auto It = closeAttempt(Found, Attempt);
  Attempt.Server->recordFailure(BackendFailure::NoAnswer, Now);
  ServiceId Service = Attempt.Server->entry().Service;
  if (It != Calls.end()) {
    --It->second.PossibleRuns;
    It->second.LastReason = CallReason::Unavailable;
    retryOrEnd(It, Now);
  }
  sendWaiting(Service, Now);
}

void CallScheduler::onLost(AttemptId Id, bool Malformed, MonotonicTime Now) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  ++Counters.LostAttempts;
  AttemptState Attempt;
  auto It = closeAttempt(Found, Attempt);
  Attempt.Server->recordFailure(
      Malformed ? BackendFailure::Malformed : BackendFailure::NoAnswer, Now);
  ServiceId Service = Attempt.Server->entry().Service;
  if (It != Calls.end()) {
    It->second.LostAttempts += Malformed ? 0 : 1;
    It->second.LastReason = CallReason::Lost;
    retryOrEnd(It, Now);
  }
  sendWaiting(Service, Now);
}

void CallScheduler::retryOrEnd(CallMap::iterator It, MonotonicTime Now) {
  CallState &Call = It->second;
  if (!Call.OpenAttempts.empty())
    return;
  const CallRequest &Request = Call.Request;
  bool MayRetry = Request.Idempotent ? Call.PossibleRuns < Request.MaxAttempts
                                     : Call.PossibleRuns == 0;
  if (MayRetry && tooLateToSend(Request, Now)) {
    ++Counters.StoppedCalls;
    return endWithoutSuccess(It, CallReason::Stopping, Now);
  }
  if (MayRetry && Now < Request.Deadline) {
    if (BackendServerPtr Server = choose(Call, Now))
      return retry(It, Server, Now);
    if (Registry.hasUntriedServer(Request.Service, Call.TriedServers, Now))
      return enqueue(It, Now);
    // A declined request has not run: it may be sent once more to each backend
    // server that declined it, as far as their limits and the budget allow.
    if (Call.LastReason == CallReason::Shed && !Call.TriedAgain) {
      Call.TriedAgain = true;
      Call.TriedServers.clear();
      // Not if they have asked for a pause: the caller can return later.
      if (Registry.earliestSendAt(Request.Service, {}, Now) <= Now &&
          Registry.hasUntriedServer(Request.Service, Call.TriedServers, Now))
        return enqueue(It, Now);
    }
  }
  endWithoutSuccess(It, Call.LastReason, Now);
}

void CallScheduler::retry(CallMap::iterator It, const BackendServerPtr &Server,
                          MonotonicTime Now) {
  CallState &Call = It->second;
  if (!queue(Call.Request.Service).Budget.tryTake(Now)) {
    ++Counters.RetryBudgetDenials;
    return endWithoutSuccess(It, Call.LastReason, Now);
  }
  ++Counters.Retries;
  sendTo(It, Server, false, Now);
}

void CallScheduler::endWithoutSuccess(CallMap::iterator It, CallReason Reason,
                                      MonotonicTime Now) {
  CallState &Call = It->second;
  if (Call.FailureAnswer)
    return finish(It, CallOutcome::Answered, CallReason::None,
                  std::move(Call.FailureAnswer), Now);
  finish(It, outcomeWithoutAnswer(Call), Reason, {}, Now);
}

void CallScheduler::finish(CallMap::iterator It, CallOutcome Outcome,
                           CallReason Reason,
                           std::optional<BackendAnswer> Answer,
                           MonotonicTime Now) {
  CallId Id = It->first;
  CallState Call = std::move(It->second);
  dequeue(Call, Id);
  CallWakeUps.erase({Call.WakeUpAt, Id});
  Calls.erase(It);
  detach(Call.OpenAttempts, DetachedGrace, Now);
  CallResult Result;
  Result.Service = Call.Request.Service;
  Result.Outcome = Outcome;
  Result.Reason = Reason;
  if (Answer)
    Result.Answer = std::move(*Answer);
  Result.Server = Call.LastServer;
  Result.Attempts = Call.AttemptCount;
  Result.LostAttempts = Call.LostAttempts;
  Call.Observer->callEnded(Id, std::move(Result));
}

void CallScheduler::detach(const std::vector<AttemptId> &Open, Duration Grace,
                           MonotonicTime Now) {
  for (AttemptId Id : Open) {
    AttemptState &Attempt = Attempts.at(Id);
    Attempt.Detached = true;
    AttemptWakeUps.erase({Attempt.ExpiresAt, Id});
    Attempt.ExpiresAt = std::min(Attempt.ExpiresAt, Now + Grace);
    AttemptWakeUps.insert({Attempt.ExpiresAt, Id});
    notifyEarlierWakeUp(Attempt.ExpiresAt);
  }
}

bool CallScheduler::cancel(CallId Id, bool CallerDisconnected,
                           MonotonicTime Now) {
  auto It = Calls.find(Id);
  if (It == Calls.end())
    return false;
  dequeue(It->second, Id);
  CallWakeUps.erase({It->second.WakeUpAt, Id});
  std::vector<AttemptId> Open = std::move(It->second.OpenAttempts);
  bool MayHaveRun = It->second.PossibleRuns > 0;
  Calls.erase(It);
  detach(Open, CallerDisconnected ? DisconnectedGrace : DetachedGrace, Now);
  return MayHaveRun;
}

std::optional<CallStatus> CallScheduler::status(CallId Id) const {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return std::nullopt;
  CallStatus Out;
  Out.Waiting = Found->second.Waiting;
  for (const BackendServerPtr &Server : Found->second.TriedServers)
    Out.TriedServers.push_back(Server->entry().Id);
  Out.NoHedgeServer = Found->second.NoHedgeServer;
  Out.NoHedgeBudget = Found->second.NoHedgeBudget;
  return Out;
}

void CallScheduler::expire(AttemptMap::iterator It, MonotonicTime Now) {
  AttemptId Id = It->first;
  ++Counters.CancelledAttempts;
  AttemptState Attempt;
  auto CallIt = closeAttempt(It, Attempt);
  Duration Median = typicalLatency(Attempt);
  // An attempt that was cancelled early says nothing about its server.
  if (Now - Attempt.SentAt > 2 * Median)
    reportAttempt(Attempt, AttemptEnd::Unanswered, Now);
  Attempt.Server->recordStall(
      inSeconds(Now - Attempt.SentAt) / inSeconds(Median), Now);
  if (Now - Attempt.SentAt > DetachedGrace)
    Attempt.Server->recordFailure(BackendFailure::NoAnswer, Now);
  Transport.cancel(Id);
  ServiceId Service = Attempt.Server->entry().Service;
  if (CallIt != Calls.end() && CallIt->second.OpenAttempts.empty()) {
    ++Counters.ExpiredCalls;
    finish(CallIt, CallOutcome::Unknown, deadlineReason(CallIt->second.Request),
           {}, Now);
  }
  sendWaiting(Service, Now);
}

MonotonicTime CallScheduler::nextWakeUp() {
  MonotonicTime Next = MonotonicTime::max();
  if (!CallWakeUps.empty())
    Next = CallWakeUps.begin()->first;
  if (!AttemptWakeUps.empty())
    Next = std::min(Next, AttemptWakeUps.begin()->first);
  if (!QueueWakeUps.empty())
    Next = std::min(Next, QueueWakeUps.begin()->first);
  AnnouncedWakeUp = Next;
  return Next;
}

void CallScheduler::onTimer(MonotonicTime Now) {
  while (!AttemptWakeUps.empty() && AttemptWakeUps.begin()->first <= Now)
    expire(Attempts.find(AttemptWakeUps.begin()->second), Now);
  while (!QueueWakeUps.empty() && QueueWakeUps.begin()->first <= Now)
    sendWaiting(ServiceId(QueueWakeUps.begin()->second), Now);
  while (!CallWakeUps.empty() && CallWakeUps.begin()->first <= Now) {
    auto It = Calls.find(CallWakeUps.begin()->second);
    if (It->second.Waiting) {
      ++Counters.OverloadedCalls;
      endWithoutSuccess(It, CallReason::Overloaded, Now);
      continue;
    }
    if (Now < It->second.Request.Deadline) {
      tryHedge(It, Now);
      continue;
    }
    ++Counters.ExpiredCalls;
    finish(It, outcomeWithoutAnswer(It->second),
           deadlineReason(It->second.Request), {}, Now);
  }
}

} // namespace mimosa
