// The queues of CallScheduler: which calls may wait, for how long, and when
// they are sent.

#include "balance/call_scheduler.h"

#include <algorithm>

namespace mimosa {

namespace {

/// A call behind others is expected to take this many typical latencies itself:
/// work varies, and a query waits for the slowest of its calls. With 1 in place
/// of 2, a fifth to a half more queries failed in the patterns of
/// model/overload_test.cpp.
constexpr double LatencyAllowance = 2;
/// Calls of a service that may always queue, whatever its servers' latencies.
constexpr double MinQueueLength = 1;
/// Lower bound of the capacity in expectedLateness(): one backend server that
/// is ten times slower than usual.
constexpr double MinCapacity = 0.1;
/// Target latencies within which nearly all requests are answered, even by a
/// slow backend server.
constexpr int SlowAnswerFactor = 4;

} // namespace

CallScheduler::ServiceQueue &CallScheduler::queue(const ServiceId &Service) {
  ServiceQueue &Queue = Queues[Service];
  Queue.Budget.setOptions(BudgetOptions);
  Queue.Budget.setHostCount(Registry.hostCount());
  return Queue;
}

double CallScheduler::callsAhead(const ServiceId &Service, uint32_t Priority,
                                 const TeamId &Team) const {
  auto Found = Queues.find(Service);
  if (Found == Queues.end())
    return 0;
  double Ahead = 0;
  for (const auto &[Each, Waiting] : Found->second.Waiting) {
    if (Each > Priority)
      break;
    Ahead += static_cast<double>(Each < Priority ? Waiting.size()
                                                 : Waiting.Retries.size());
    if (Each == Priority)
      Ahead += Waiting.First.itemsAhead(Team);
  }
  return Ahead;
}

MonotonicTime CallScheduler::expectedSendAt(const ServiceId &Service,
                                            uint32_t Priority,
                                            const TeamId &Team,
                                            MonotonicTime Now) const {
  return expectedSendAt(Service, Priority, Team, {}, Now);
}

MonotonicTime CallScheduler::expectedSendAt(
    const ServiceId &Service, uint32_t Priority, const TeamId &Team,
    const std::vector<BackendServerPtr> &Tried, MonotonicTime Now) const {
  MonotonicTime Earliest = Registry.earliestSendAt(Service, Tried, Now);
  if (Earliest == MonotonicTime::max())
    return Earliest;
  double PerSecond = 0;
  for (const BackendServerPtr &Server : Registry.servers(Service)) {
    if (!Registry.usable(*Server) || Server->ejected())
      continue;
    Duration Interval = Server->pushback().sendInterval(Registry.hostCount());
    if (Interval == Duration(0))
      return Earliest;
    PerSecond += 1 / inSeconds(Interval);
  }
  if (PerSecond == 0)
    return Earliest;
  double Ahead = callsAhead(Service, Priority, Team);
  return Earliest + scaled(Seconds(1), Ahead / PerSecond);
}

Duration CallScheduler::expectedLateness(const CallRequest &Request,
                                         MonotonicTime Now) {
  double Ahead = callsAhead(Request.Service, Request.Priority, Request.Team);
  if (Ahead < MinQueueLength)
    return Duration(0);
  Duration Typical = typicalLatency(Request);
  // Number of calls that the backend servers run within the typical latency.
  double Capacity = 0;
  for (const BackendServerPtr &Server : Registry.servers(Request.Service))
    Capacity += Registry.expectedRuns(*Server, Typical, Now);
  double Rounds = Ahead / std::max(MinCapacity, Capacity);
  MonotonicTime EndsAt = Now + scaled(Typical, Rounds + LatencyAllowance);
  return std::max(Duration(0), EndsAt - Request.UsefulUntil);
}

bool CallScheduler::heldBackTooLong(const CallState &Call, MonotonicTime Now) {
  const CallRequest &Request = Call.Request;
  MonotonicTime SendAt = expectedSendAt(Request.Service, Request.Priority,
                                        Request.Team, Call.TriedServers, Now);
  return SendAt > Now && SendAt > latestSendTime(Request);
}

void CallScheduler::limitTimes(CallRequest &Request) const {
  Request.Deadline = std::min(Request.Deadline, EndCallsBy);
  Request.UsefulUntil = std::min(Request.UsefulUntil, EndCallsBy);
}

MonotonicTime CallScheduler::latestSendTime(const CallRequest &Request) {
  MonotonicTime Latest = Request.UsefulUntil - typicalLatency(Request);
  // A request that ends by its own deadline before is not broken off.
  if (Request.Deadline < EndCallsBy)
    return Latest;
  int Factor = Request.Idempotent ? 1 : SlowAnswerFactor;
  return std::min<MonotonicTime>(Latest,
                                 EndCallsBy - Request.TargetLatency * Factor);
}

bool CallScheduler::tooLateToSend(const CallRequest &Request,
                                  MonotonicTime Now) {
  return Request.Deadline >= EndCallsBy && Now > latestSendTime(Request);
}

size_t CallScheduler::endCallsBy(MonotonicTime End, MonotonicTime Now) {
  EndCallsBy = End;
  std::vector<CallId> Hopeless;
  for (auto &[Id, Call] : Calls) {
    limitTimes(Call.Request);
    MonotonicTime Latest =
        Call.Waiting ? latestSendTime(Call.Request) : Call.Request.Deadline;
    setWakeUp(Id, Call, std::min(Call.WakeUpAt, Latest));
    if (Call.Waiting && (Latest <= Now || heldBackTooLong(Call, Now)))
      Hopeless.push_back(Id);
  }
  for (CallId Id : Hopeless) {
    ++Counters.StoppedCalls;
    endWithoutSuccess(Calls.find(Id), CallReason::Stopping, Now);
  }
  return Hopeless.size();
}

void CallScheduler::enqueue(CallMap::iterator It, MonotonicTime Now) {
  CallState &Call = It->second;
  const CallRequest &Request = Call.Request;
  if (heldBackTooLong(Call, Now)) {
    ++Counters.HeldBackCalls;
    return endWithoutSuccess(It, CallReason::HeldBack, Now);
  }
  if (expectedLateness(Request, Now) > Duration(0)) {
    ++Counters.OverloadedCalls;
    return endWithoutSuccess(It, CallReason::Overloaded, Now);
  }
  ++Counters.QueuedCalls;
  Call.Waiting = true;
  setWakeUp(It->first, Call, latestSendTime(Request));
  PriorityQueue &Waiting = queue(Request.Service).Waiting[Request.Priority];
  if (Call.AttemptCount > 0)
    Waiting.Retries.insert(It->first);
  else
    Waiting.First.push(Request.Team, It->first);
  setQueueWakeUp(Request.Service, Now);
}

void CallScheduler::setQueueWakeUp(const ServiceId &Service,
                                   MonotonicTime Now) {
  ServiceQueue &Queue = queue(Service);
  MonotonicTime At = Queue.Waiting.empty()
                         ? MonotonicTime::max()
                         : Registry.nextReleaseAt(Service, Now);
  if (At == Queue.WakeUpAt)
    return;
  QueueWakeUps.erase({Queue.WakeUpAt, Service});
  Queue.WakeUpAt = At;
  if (At == MonotonicTime::max())
    return;
  QueueWakeUps.insert({At, Service});
  notifyEarlierWakeUp(At);
}

void CallScheduler::dequeue(CallState &Call, CallId Id) {
  if (!Call.Waiting)
    return;
  Call.Waiting = false;
  auto &Classes = queue(Call.Request.Service).Waiting;
  auto Class = Classes.find(Call.Request.Priority);
  FairQueue<TeamId, CallId> &First = Class->second.First;
  // Only pop() moves on to the next team.
  if (const CallId *Next = First.front(); Next && *Next == Id)
    First.pop();
  else if (Class->second.Retries.erase(Id) == 0)
    First.remove(Call.Request.Team, Id);
  if (Class->second.size() == 0)
    Classes.erase(Class);
}

bool CallScheduler::sendWaitingCall(CallMap::iterator It, MonotonicTime Now) {
  BackendServerPtr Server = choose(It->second, Now);
  if (!Server)
    return false;
  bool IsRetry = It->second.AttemptCount > 0;
  dequeue(It->second, It->first);
  if (IsRetry)
    retry(It, Server, Now);
  else
    sendTo(It, Server, false, Now);
  return true;
}

void CallScheduler::sendWaiting(const ServiceId &Service, MonotonicTime Now) {
  std::vector<uint32_t> Priorities;
  for (const auto &[Priority, Waiting] : queue(Service).Waiting)
    Priorities.push_back(Priority);
  for (uint32_t Priority : Priorities)
    if (!sendWaiting(Service, Priority, Now))
      break;
  setQueueWakeUp(Service, Now);
}

bool CallScheduler::sendWaiting(const ServiceId &Service, uint32_t Priority,
                                MonotonicTime Now) {
  // A class ceases to exist when its last call is sent or ends.
  auto &Classes = queue(Service).Waiting;
  auto Class = Classes.find(Priority);
  if (Class == Classes.end())
    return true;
  // Other calls may still use the backend servers that refused one of these.
  std::vector<CallId> Retries(Class->second.Retries.begin(),
                              Class->second.Retries.end());
  for (CallId Id : Retries)
    if (auto It = Calls.find(Id); It != Calls.end() && It->second.Waiting)
      sendWaitingCall(It, Now);
  while (true) {
    Class = Classes.find(Priority);
    if (Class == Classes.end())
      return true;
    const CallId *Next = Class->second.First.front();
    if (!Next)
      return true;
    if (!sendWaitingCall(Calls.find(*Next), Now))
      return false;
  }
}

void CallScheduler::serversChanged(MonotonicTime Now) {
  std::vector<ServiceId> Services;
  for (const auto &[Service, Queue] : Queues)
    if (!Queue.Waiting.empty())
      Services.push_back(Service);
  for (const ServiceId &Service : Services)
    sendWaiting(Service, Now);
}

size_t CallScheduler::waitingCalls(const ServiceId &Service) const {
  auto Found = Queues.find(Service);
  return Found == Queues.end() ? 0 : Found->second.size();
}

size_t CallScheduler::waitingCalls() const {
  size_t Count = 0;
  for (const auto &[Service, Queue] : Queues)
    Count += Queue.size();
  return Count;
}

} // namespace mimosa
