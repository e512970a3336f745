#include "balance/call_scheduler.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Until there are samples, the typical latency is taken to be this share of
/// the route's target.
constexpr double InitialTypicalShare = 0.15;
/// An answer is overdue after this many typical latencies; with the users'
/// spread of work 2 in 100 answers take longer without a fault.
constexpr double HedgeFactor = 2.0;
constexpr Duration HedgeMargin = Milliseconds(2);
/// A slow backend server is given more time, but not more than this factor.
constexpr double HedgeSpeedCap = 1.5;
/// The hedge must leave time for its own answer within the target.
constexpr double LatestHedgeShare = 0.5;
/// A hedge is worth while if its answer is expected before this share of the
/// target, or within so many typical latencies if that is later: with two slow
/// backend servers of three the third one is busy, but still the best.
constexpr double UsefulShare = 0.85;
constexpr double HedgeCost = 3;
/// Hedges leave this share of the extra sends to retries, since a missing retry
/// costs a part and a missing hedge only time.
constexpr double RetryReserve = 0.15;
/// A hedge that found no place or budget is tried again after this time.
constexpr Duration HedgeRetryDelay = Milliseconds(8);
/// Sends whose answer is not wanted any more may end within this time, which
/// keeps their connections; after a caller has left, nothing must run on for
/// half a second.
constexpr Duration OrphanGrace = Milliseconds(700);
constexpr Duration CallerGoneGrace = Milliseconds(150);
/// Calls that may wait for each request that a service's backend servers may
/// have in flight from this host, whatever their latencies.
constexpr size_t LeastQueue = 4;
/// One backend server that is ten times as slow as usual.
constexpr double LeastCapacity = 0.1;

} // namespace

CallScheduler::ServiceQueue &CallScheduler::queue(const ServiceId &Service) {
  ServiceQueue &Q = Queues[Service];
  Q.Budget.setOptions(BudgetOptions);
  Q.Budget.setHosts(Registry.hosts());
  return Q;
}

Duration CallScheduler::typicalLatency(const RouteId &Route, Duration Target) {
  Duration Initial(static_cast<int64_t>(static_cast<double>(Target.count()) *
                                        InitialTypicalShare));
  auto Found =
      Typical.try_emplace(Route, std::max<Duration>(Initial, Milliseconds(1)));
  return Found.first->second.median();
}

void CallScheduler::setWake(CallId Id, Call &Of, MonotonicTime At) {
  CallWakes.erase({Of.WakeAt, Id});
  Of.WakeAt = At;
  CallWakes.insert({At, Id});
  announce(At);
}

void CallScheduler::announce(MonotonicTime At) {
  if (At >= AnnouncedWake || !EarlierWake)
    return;
  AnnouncedWake = At;
  EarlierWake();
}

CallId CallScheduler::begin(CallRequest Request, CallObserver &Observer,
                            MonotonicTime Now) {
  ++Counters.Calls;
  LastCall = LastCall.next();
  CallId Id = LastCall;
  queue(Request.Service).Budget.request(Now);
  Call New;
  New.Request = std::move(Request);
  New.Observer = &Observer;
  New.BegunAt = Now;
  auto It = Calls.emplace(Id, std::move(New)).first;
  setWake(Id, It->second, It->second.Request.Deadline);
  sendFirst(It, Now);
  return Id;
}

BackendServerPtr CallScheduler::choose(const Call &Of, MonotonicTime Now) {
  ServerWanted Wanted;
  Wanted.Typical = typicalLatency(Of.Request.Route, Of.Request.Target);
  Wanted.Tried = &Of.Tried;
  return Registry.choose(Of.Request.Service, Wanted, Now);
}

void CallScheduler::sendFirst(CallMap::iterator It, MonotonicTime Now) {
  const CallRequest &R = It->second.Request;
  bool Overtakes = queue(R.Service).Waiting.empty() ||
                   R.Priority < queue(R.Service).Waiting.begin()->first.first;
  if (Overtakes)
    if (BackendServerPtr Server = choose(It->second, Now))
      return sendTo(It, Server, false, Now);
  if (Registry.state(R.Service, Now) == ServiceState::Unavailable) {
    ++Counters.Unavailable;
    return finish(It, CallOutcome::NotRun, CallReason::Unavailable, {}, Now);
  }
  wait(It, Now);
}

bool CallScheduler::hopeless(const Call &Of, MonotonicTime Now) {
  const CallRequest &R = Of.Request;
  // Only calls that are served before this one count.
  size_t Ahead = 0;
  for (const auto &[Key, Id] : queue(R.Service).Waiting)
    Ahead += Key.first <= R.Priority ? 1 : 0;
  if (Ahead < LeastQueue)
    return false;
  // Calls that the backend servers run in the time of a typical one.
  double Capacity = 0;
  for (const BackendServerPtr &Server : Registry.servers(R.Service))
    if (Registry.usable(*Server) && !Server->suspect())
      Capacity += Registry.inFlightLimit(*Server, Now) /
                  std::max(1.0, Server->speed(Now));
  auto Typical = inSeconds(typicalLatency(R.Route, R.Target));
  double Rounds =
      static_cast<double>(Ahead) / std::max(LeastCapacity, Capacity);
  return (Rounds + 1) * Typical > inSeconds(R.UsefulUntil - Now);
}

MonotonicTime CallScheduler::lastStart(const CallRequest &R) {
  return R.UsefulUntil - typicalLatency(R.Route, R.Target);
}

void CallScheduler::wait(CallMap::iterator It, MonotonicTime Now) {
  Call &Of = It->second;
  if (hopeless(Of, Now)) {
    ++Counters.Overloaded;
    return endUnserved(It, CallReason::Overloaded, Now);
  }
  ++Counters.Waited;
  Of.Waiting = true;
  setWake(It->first, Of, lastStart(Of.Request));
  queue(Of.Request.Service)
      .Waiting.emplace(WaitKey{Of.Request.Priority, It->first.number()},
                       It->first);
}

void CallScheduler::stopWaiting(Call &Of, CallId Id) {
  if (!Of.Waiting)
    return;
  Of.Waiting = false;
  queue(Of.Request.Service)
      .Waiting.erase(WaitKey{Of.Request.Priority, Id.number()});
}

void CallScheduler::sendTo(CallMap::iterator It, const BackendServerPtr &Server,
                           bool Hedge, MonotonicTime Now) {
  Call &Of = It->second;
  LastAttempt = LastAttempt.next();
  AttemptId Id = LastAttempt;
  const CallRequest &R = Of.Request;
  Attempt New;
  New.Call = It->first;
  New.Server = Server;
  New.Route = R.Route;
  New.Target = R.Target;
  New.SentAt = Now;
  New.GiveUpAt = R.Deadline;
  New.Hedge = Hedge;
  New.Idempotent = R.Idempotent;
  AttemptWakes.insert({New.GiveUpAt, Id});
  Attempts.emplace(Id, std::move(New));
  Server->sent(Now);
  ++Counters.Sends;
  ++Of.Sends;
  Of.Open.push_back(Id);
  ++Of.MayHaveRun;
  Of.Tried.push_back(Server);
  Of.LastServer = Server->entry().Id;
  if (R.Idempotent && Of.MayHaveRun < R.MaxAttempts && !Hedge) {
    Duration Median = typicalLatency(R.Route, R.Target);
    double Speed = std::clamp(Server->speed(Now), 1.0, HedgeSpeedCap);
    Duration Delay(static_cast<int64_t>(static_cast<double>(Median.count()) *
                                        HedgeFactor * Speed));
    Delay = std::min<Duration>(
        Delay + HedgeMargin,
        Duration(static_cast<int64_t>(static_cast<double>(R.Target.count()) *
                                      LatestHedgeShare)));
    setWake(It->first, Of, std::min(R.Deadline, Now + Delay));
  } else {
    setWake(It->first, Of, R.Deadline);
  }
  Transport.send(Id, Server, R, R.Deadline - Now, !R.Idempotent);
}

void CallScheduler::tryHedge(CallMap::iterator It, MonotonicTime Now) {
  Call &Of = It->second;
  const CallRequest &R = Of.Request;
  if (Of.Open.size() != 1 || Of.MayHaveRun >= R.MaxAttempts)
    return setWake(It->first, Of, R.Deadline);
  Duration Median = typicalLatency(R.Route, R.Target);
  const Attempt &Overdue = Attempts.at(Of.Open.front());
  Overdue.Server->stalled(inSeconds(Now - Overdue.SentAt) / inSeconds(Median),
                          Now);
  ServerWanted Wanted;
  Wanted.Typical = Median;
  Wanted.Tried = &Of.Tried;
  double Left = inSeconds(R.Target) * UsefulShare - inSeconds(Now - Of.BegunAt);
  Wanted.MaxCost = std::max(HedgeCost, Left / inSeconds(Median));
  BackendServerPtr Server = Registry.choose(R.Service, Wanted, Now);
  if (!Server || !queue(R.Service).Budget.takeExtra(Now, RetryReserve)) {
    ++(Server ? Of.NoHedgeBudget : Of.NoHedgeServer);
    Counters.BudgetRefused += Server ? 1 : 0;
    return setWake(It->first, Of, std::min(R.Deadline, Now + HedgeRetryDelay));
  }
  ++Counters.Hedges;
  sendTo(It, Server, true, Now);
}

CallScheduler::CallMap::iterator CallScheduler::close(AttemptMap::iterator It,
                                                      Attempt &Out) {
  AttemptId Id = It->first;
  Out = std::move(It->second);
  AttemptWakes.erase({Out.GiveUpAt, Id});
  Attempts.erase(It);
  Out.Server->ended(Out.SentAt);
  if (Out.Orphan)
    return Calls.end();
  auto Found = Calls.find(Out.Call);
  if (Found != Calls.end()) {
    auto &Open = Found->second.Open;
    Open.erase(std::find(Open.begin(), Open.end(), Id));
  }
  return Found;
}

void CallScheduler::measure(const Attempt &Of, MonotonicTime Now) {
  Duration Latency = Now - Of.SentAt;
  Duration Median = typicalLatency(Of.Route, Of.Target);
  Of.Server->answered(inSeconds(Latency) / inSeconds(Median), Now);
  Typical.at(Of.Route).record(Latency);
}

void CallScheduler::answered(AttemptId Id, BackendAnswer Answer,
                             MonotonicTime Now) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  Attempt Of;
  auto It = close(Found, Of);
  ServiceId Service = Of.Server->entry().Service;
  if (Answer.success()) {
    measure(Of, Now);
  } else if (Answer.OtherServer) {
    ++Counters.OtherServer;
    Of.Server->failed(BackendFailure::Replaced, Now);
  } else if (Answer.NotRun) {
    ++Counters.Shed;
    Of.Server->failed(BackendFailure::Shed, Now);
  } else {
    Of.Server->failed(BackendFailure::BadAnswer, Now);
  }
  if (It != Calls.end()) {
    Call &C = It->second;
    if (Answer.NotRun || Answer.OtherServer) {
      --C.MayHaveRun;
      C.LastReason = CallReason::Shed;
      retryOrEnd(It, Now);
    } else if (Answer.success() || !C.Request.Idempotent) {
      Counters.HedgesWon += Of.Hedge ? 1 : 0;
      C.LastServer = Of.Server->entry().Id;
      finish(It, CallOutcome::Answered, CallReason::None, std::move(Answer),
             Now);
    } else {
      C.Failure = std::move(Answer);
      C.LastReason = CallReason::Lost;
      retryOrEnd(It, Now);
    }
  }
  pump(Service, Now);
}

void CallScheduler::notSent(AttemptId Id, MonotonicTime Now) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  Attempt Of;
  auto It = close(Found, Of);
  Of.Server->failed(BackendFailure::Down, Now);
  ServiceId Service = Of.Server->entry().Service;
  if (It != Calls.end()) {
    --It->second.MayHaveRun;
    It->second.LastReason = CallReason::Unavailable;
    retryOrEnd(It, Now);
  }
  pump(Service, Now);
}

void CallScheduler::lost(AttemptId Id, bool Malformed, MonotonicTime Now) {
  auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return;
  ++Counters.Lost;
  Attempt Of;
  auto It = close(Found, Of);
  Of.Server->failed(
      Malformed ? BackendFailure::BadAnswer : BackendFailure::Down, Now);
  ServiceId Service = Of.Server->entry().Service;
  if (It != Calls.end()) {
    It->second.Lost += Malformed ? 0 : 1;
    It->second.LastReason = CallReason::Lost;
    retryOrEnd(It, Now);
  }
  pump(Service, Now);
}

void CallScheduler::retryOrEnd(CallMap::iterator It, MonotonicTime Now) {
  Call &Of = It->second;
  if (!Of.Open.empty())
    return;
  const CallRequest &R = Of.Request;
  bool MayRepeat =
      R.Idempotent ? Of.MayHaveRun < R.MaxAttempts : Of.MayHaveRun == 0;
  if (MayRepeat && Now < R.Deadline) {
    if (BackendServerPtr Server = choose(Of, Now))
      return sendAgain(It, Server, Now);
    if (Registry.hasUntried(R.Service, Of.Tried, Now))
      return wait(It, Now);
  }
  endUnserved(It, Of.LastReason, Now);
}

void CallScheduler::sendAgain(CallMap::iterator It,
                              const BackendServerPtr &Server,
                              MonotonicTime Now) {
  Call &Of = It->second;
  if (!queue(Of.Request.Service).Budget.takeExtra(Now)) {
    ++Counters.BudgetRefused;
    return endUnserved(It, Of.LastReason, Now);
  }
  ++Counters.Retries;
  sendTo(It, Server, false, Now);
}

void CallScheduler::endUnserved(CallMap::iterator It, CallReason Reason,
                                MonotonicTime Now) {
  Call &Of = It->second;
  if (Of.Failure)
    return finish(It, CallOutcome::Answered, CallReason::None,
                  std::move(Of.Failure), Now);
  finish(It, outcomeUnanswered(Of), Reason, {}, Now);
}

void CallScheduler::finish(CallMap::iterator It, CallOutcome Outcome,
                           CallReason Reason,
                           std::optional<BackendAnswer> Answer,
                           MonotonicTime Now) {
  CallId Id = It->first;
  Call Of = std::move(It->second);
  stopWaiting(Of, Id);
  CallWakes.erase({Of.WakeAt, Id});
  Calls.erase(It);
  orphan(Of.Open, OrphanGrace, Now);
  CallResult Result;
  Result.Outcome = Outcome;
  Result.Reason = Reason;
  if (Answer)
    Result.Answer = std::move(*Answer);
  Result.Server = Of.LastServer;
  Result.Sends = Of.Sends;
  Result.Lost = Of.Lost;
  Of.Observer->callEnded(Id, std::move(Result));
}

void CallScheduler::orphan(const std::vector<AttemptId> &Open, Duration Grace,
                           MonotonicTime Now) {
  for (AttemptId Id : Open) {
    Attempt &A = Attempts.at(Id);
    A.Orphan = true;
    AttemptWakes.erase({A.GiveUpAt, Id});
    A.GiveUpAt = std::min(A.GiveUpAt, Now + Grace);
    AttemptWakes.insert({A.GiveUpAt, Id});
    announce(A.GiveUpAt);
  }
}

bool CallScheduler::cancel(CallId Id, bool CallerGone, MonotonicTime Now) {
  auto It = Calls.find(Id);
  if (It == Calls.end())
    return false;
  stopWaiting(It->second, Id);
  CallWakes.erase({It->second.WakeAt, Id});
  std::vector<AttemptId> Open = std::move(It->second.Open);
  bool MayHaveRun = It->second.MayHaveRun > 0;
  Calls.erase(It);
  orphan(Open, CallerGone ? CallerGoneGrace : OrphanGrace, Now);
  return MayHaveRun;
}

std::optional<CallStatus> CallScheduler::status(CallId Id) const {
  auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return std::nullopt;
  CallStatus Out;
  Out.Waiting = Found->second.Waiting;
  for (const BackendServerPtr &Server : Found->second.Tried)
    Out.SentTo.push_back(Server->entry().Id);
  Out.NoHedgeServer = Found->second.NoHedgeServer;
  Out.NoHedgeBudget = Found->second.NoHedgeBudget;
  return Out;
}

void CallScheduler::pump(const ServiceId &Service, MonotonicTime Now) {
  ServiceQueue &Q = queue(Service);
  for (auto Next = Q.Waiting.begin(); Next != Q.Waiting.end();) {
    auto It = Calls.find(Next->second);
    // The entry goes away when its call is sent or ends.
    ++Next;
    Call &Of = It->second;
    bool Repeats = !Of.Tried.empty();
    BackendServerPtr Server = choose(Of, Now);
    if (!Server && !Repeats)
      return;
    if (!Server)
      continue; // Others may be sent where this one was declined.
    stopWaiting(Of, It->first);
    if (Repeats)
      sendAgain(It, Server, Now);
    else
      sendTo(It, Server, false, Now);
  }
}

void CallScheduler::giveUp(AttemptMap::iterator It, MonotonicTime Now) {
  AttemptId Id = It->first;
  ++Counters.Abandoned;
  Attempt Of;
  auto Owner = close(It, Of);
  Duration Median = typicalLatency(Of.Route, Of.Target);
  Of.Server->stalled(inSeconds(Now - Of.SentAt) / inSeconds(Median), Now);
  if (Now - Of.SentAt > OrphanGrace)
    Of.Server->failed(BackendFailure::Down, Now);
  Transport.abandon(Id);
  ServiceId Service = Of.Server->entry().Service;
  if (Owner != Calls.end() && Owner->second.Open.empty()) {
    ++Counters.Expired;
    finish(Owner, CallOutcome::Unknown, CallReason::Deadline, {}, Now);
  }
  pump(Service, Now);
}

MonotonicTime CallScheduler::nextWake() {
  MonotonicTime Next = MonotonicTime::max();
  if (!CallWakes.empty())
    Next = CallWakes.begin()->first;
  if (!AttemptWakes.empty())
    Next = std::min(Next, AttemptWakes.begin()->first);
  AnnouncedWake = Next;
  return Next;
}

void CallScheduler::onTime(MonotonicTime Now) {
  while (!AttemptWakes.empty() && AttemptWakes.begin()->first <= Now)
    giveUp(Attempts.find(AttemptWakes.begin()->second), Now);
  while (!CallWakes.empty() && CallWakes.begin()->first <= Now) {
    auto It = Calls.find(CallWakes.begin()->second);
    if (It->second.Waiting) {
      ++Counters.Overloaded;
      endUnserved(It, CallReason::Overloaded, Now);
      continue;
    }
    if (Now < It->second.Request.Deadline) {
      tryHedge(It, Now);
      continue;
    }
    ++Counters.Expired;
    finish(It, outcomeUnanswered(It->second), CallReason::Deadline, {}, Now);
  }
}

size_t CallScheduler::waiting(const ServiceId &Service) const {
  auto Found = Queues.find(Service);
  return Found == Queues.end() ? 0 : Found->second.Waiting.size();
}

} // namespace mimosa
