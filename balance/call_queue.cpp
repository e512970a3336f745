// The queues of CallScheduler: which calls may wait, for how long, and when
// they are sent.

#include "balance/call_scheduler.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Calls of a service that may always queue, whatever its servers' latencies.
constexpr size_t MinQueueLength = 1;
/// Lower bound of the capacity in wouldFinishTooLate(): one backend server that
/// is ten times slower than usual.
constexpr double MinCapacity = 0.1;

} // namespace

CallScheduler::ServiceQueue &CallScheduler::queue(const ServiceId &Service) {
  ServiceQueue &Queue = Queues[Service];
  Queue.Budget.setOptions(BudgetOptions);
  Queue.Budget.setHostCount(Registry.hostCount());
  return Queue;
}

bool CallScheduler::wouldFinishTooLate(const CallState &Call,
                                       MonotonicTime Now) {
  const CallRequest &Request = Call.Request;
  // Queued calls that are sent before this one.
  size_t Ahead = 0;
  for (const auto &[Key, Id] : queue(Request.Service).Waiting)
    Ahead += Key.first <= Request.Priority ? 1 : 0;
  if (Ahead < MinQueueLength)
    return false;
  // Number of calls that the backend servers run within the typical latency.
  double Capacity = 0;
  for (const BackendServerPtr &Server : Registry.servers(Request.Service))
    if (Registry.usable(*Server) && !Server->ejected())
      Capacity += Registry.inFlightLimit(*Server, Now) /
                  std::max(1.0, Server->relativeLatency(Now));
  auto Median = inSeconds(typicalLatency(Request));
  double Rounds = static_cast<double>(Ahead) / std::max(MinCapacity, Capacity);
  return (Rounds + 1) * Median > inSeconds(Request.UsefulUntil - Now);
}

MonotonicTime CallScheduler::latestSendTime(const CallRequest &Request) {
  return Request.UsefulUntil - typicalLatency(Request);
}

void CallScheduler::enqueue(CallMap::iterator It, MonotonicTime Now) {
  CallState &Call = It->second;
  if (wouldFinishTooLate(Call, Now)) {
    ++Counters.OverloadedCalls;
    return endWithoutSuccess(It, CallReason::Overloaded, Now);
  }
  ++Counters.QueuedCalls;
  Call.Waiting = true;
  setWakeUp(It->first, Call, latestSendTime(Call.Request));
  queue(Call.Request.Service)
      .Waiting.emplace(WaitKey{Call.Request.Priority, It->first.number()},
                       It->first);
}

void CallScheduler::dequeue(CallState &Call, CallId Id) {
  if (!Call.Waiting)
    return;
  Call.Waiting = false;
  queue(Call.Request.Service)
      .Waiting.erase(WaitKey{Call.Request.Priority, Id.number()});
}

void CallScheduler::sendWaiting(const ServiceId &Service, MonotonicTime Now) {
  ServiceQueue &Queue = queue(Service);
  for (auto Next = Queue.Waiting.begin(); Next != Queue.Waiting.end();) {
    auto It = Calls.find(Next->second);
    // The entry is removed when its call is sent or ends.
    ++Next;
    CallState &Call = It->second;
    bool IsRetry = !Call.TriedServers.empty();
    BackendServerPtr Server = choose(Call, Now);
    if (!Server && !IsRetry)
      return;
    // Other calls may still use the backend servers that refused this one.
    if (!Server)
      continue;
    dequeue(Call, It->first);
    if (IsRetry)
      retry(It, Server, Now);
    else
      sendTo(It, Server, false, Now);
  }
}

size_t CallScheduler::waitingCalls(const ServiceId &Service) const {
  auto Found = Queues.find(Service);
  return Found == Queues.end() ? 0 : Found->second.Waiting.size();
}

} // namespace mimosa
