#include "admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace mimosa {
namespace {

/// Share of the starts that go to batch while interactive queries wait.
constexpr double BatchShare = 0.05;
/// Time constant of the average of the interactive arrival rate.
constexpr double ArrivalWindowSeconds = 1;

Error overloaded(const AdmissionService &Service) {
  return {ResultCode::Overloaded, "service=" + Service.Service.text() +
                                      ": the queue is full, queue_limit=" +
                                      std::to_string(Service.QueueLimit) +
                                      "; the query did not run"};
}

Error deadlineTooShort(const AdmissionRequest &Request, Duration Wait,
                       Duration Left) {
  return {ResultCode::DeadlineTooShort,
          "service=" + Request.Service.text() +
              ": the predicted wait and run time of " +
              std::to_string(inMilliseconds(Wait)) + " ms exceeds the " +
              std::to_string(inMilliseconds(Left)) +
              " ms left of the deadline; the query did not run"};
}

} // namespace

void AdmissionQueue::setServices(
    const std::vector<AdmissionService> &NewServices) {
  Services.clear();
  for (const AdmissionService &Service : NewServices) {
    Services.emplace(Service.Service, Service);
    for (ServiceQueue &Queue : Queues)
      Queue.setWeight(Service.Service, Service.Weight);
  }
}

Result<Done> AdmissionQueue::offer(const AdmissionRequest &Request,
                                   MonotonicTime Now) {
  auto Service = Services.find(Request.Service);
  if (Service == Services.end())
    return Error{ResultCode::UnknownService,
                 "service=" + Request.Service.text() + " is not configured"};
  if (Entries.count(Request.Id) || Running.count(Request.Id))
    return Error{ResultCode::Internal, "request id " +
                                           std::to_string(Request.Id.number()) +
                                           " is already in use"};
  if (isQueueFull(Request)) {
    ++Counters.RefusedOverloaded;
    return overloaded(Service->second);
  }
  Duration Left = Request.Deadline - Now;
  Duration Wait = predictedWait(Request.Service, Request.Class, Now);
  if (Wait > Duration::zero())
    Wait += predictedRunTime();
  if (Left <= Duration::zero() || Wait > Left) {
    ++Counters.RefusedDeadline;
    return deadlineTooShort(Request, Wait, Left);
  }
  if (Request.Class == RequestClass::Interactive)
    recordInteractiveArrival(Now);
  Entries.emplace(Request.Id, WaitingQuery{Request.Service, Request.Class,
                                           Request.Deadline, Now});
  ByDeadline.emplace(Request.Deadline, Request.Id);
  queue(Request.Class).push(Request.Service, Request.Id);
  return Done{};
}

bool AdmissionQueue::isQueueFull(const AdmissionRequest &Request) const {
  size_t Count = waiting(Request.Service, RequestClass::Interactive);
  if (Request.Class == RequestClass::Batch)
    Count += waiting(Request.Service, RequestClass::Batch);
  return Count >= Services.at(Request.Service).QueueLimit;
}

AdmissionActions AdmissionQueue::poll(MonotonicTime Now) {
  AdmissionActions Actions;
  expire(Now, Actions);
  while (!Entries.empty() && Running.size() < Limit.current()) {
    RequestId Id = *popNext();
    auto Entry = Entries.find(Id);
    bool MissesDeadline = cannotMeetDeadline(Entry->second, Now);
    eraseEntry(Entry);
    if (MissesDeadline) {
      ++Counters.Expired;
      Actions.Expired.push_back(Id);
      continue;
    }
    Running.emplace(Id, Now);
    ++Counters.Started;
    Actions.Start.push_back(Id);
  }
  if (!Entries.empty())
    Limit.recordLimitReached();
  return Actions;
}

bool AdmissionQueue::cannotMeetDeadline(const WaitingQuery &Entry,
                                        MonotonicTime Now) const {
  if (Entry.ArrivedAt == Now)
    return false;
  return Entry.Deadline - Now < predictedRunTime();
}

std::optional<RequestId> AdmissionQueue::popNext() {
  ServiceQueue &Interactive = queue(RequestClass::Interactive);
  ServiceQueue &Batch = queue(RequestClass::Batch);
  if (Batch.size() == 0)
    return Interactive.pop();
  if (Interactive.size() == 0)
    return Batch.pop();
  BatchCredit += BatchShare;
  // The tolerance covers the rounding errors of twenty additions.
  if (BatchCredit < 1 - 1e-9)
    return Interactive.pop();
  BatchCredit -= 1;
  return Batch.pop();
}

void AdmissionQueue::expire(MonotonicTime Now, AdmissionActions &Actions) {
  while (!ByDeadline.empty() && ByDeadline.begin()->first <= Now) {
    RequestId Id = ByDeadline.begin()->second;
    auto Entry = Entries.find(Id);
    queue(Entry->second.Class).remove(Entry->second.Service, Id);
    eraseEntry(Entry);
    ++Counters.Expired;
    Actions.Expired.push_back(Id);
  }
}

void AdmissionQueue::eraseEntry(
    std::unordered_map<RequestId, WaitingQuery>::iterator Entry) {
  ByDeadline.erase({Entry->second.Deadline, Entry->first});
  Entries.erase(Entry);
}

bool AdmissionQueue::cancel(RequestId Id) {
  auto Entry = Entries.find(Id);
  if (Entry == Entries.end())
    return false;
  queue(Entry->second.Class).remove(Entry->second.Service, Id);
  eraseEntry(Entry);
  ++Counters.Cancelled;
  return true;
}

void AdmissionQueue::finished(RequestId Id, QueryEnd End, MonotonicTime Now) {
  auto Started = Running.find(Id);
  if (Started == Running.end())
    return;
  Duration Time = Now - Started->second;
  Running.erase(Started);
  if (End == QueryEnd::Answered)
    Limit.completed(Time, Now);
}

std::optional<MonotonicTime> AdmissionQueue::nextExpiry() const {
  if (ByDeadline.empty())
    return std::nullopt;
  return ByDeadline.begin()->first;
}

Duration AdmissionQueue::predictedWait(const ServiceId &Service,
                                       RequestClass Class,
                                       MonotonicTime Now) const {
  auto Throughput = Limit.throughput();
  bool StartsAtOnce = Entries.empty() && Running.size() < Limit.current();
  if (!Throughput || StartsAtOnce)
    return Duration::zero();
  double Ahead = queue(Class).itemsAhead(Service);
  double WaitSeconds = 0;
  if (Class == RequestClass::Interactive) {
    double Rate = *Throughput;
    if (waiting(RequestClass::Batch))
      Rate *= 1 - BatchShare;
    WaitSeconds = Ahead / Rate;
  } else {
    double BatchRate = BatchShare * *Throughput;
    double AvailableRate =
        std::max(BatchRate, *Throughput - interactiveRate(Now));
    auto InteractiveAhead =
        static_cast<double>(waiting(RequestClass::Interactive));
    WaitSeconds =
        std::min((InteractiveAhead + Ahead) / AvailableRate, Ahead / BatchRate);
  }
  return Duration(std::llround(WaitSeconds * 1e6));
}

void AdmissionQueue::recordInteractiveArrival(MonotonicTime Now) {
  InteractiveArrivalRate = interactiveRate(Now) + 1 / ArrivalWindowSeconds;
  LastArrivalAt = Now;
}

double AdmissionQueue::interactiveRate(MonotonicTime Now) const {
  return InteractiveArrivalRate *
         std::exp(-inSeconds(Now - LastArrivalAt) / ArrivalWindowSeconds);
}

size_t AdmissionQueue::waiting(RequestClass Class) const {
  return queue(Class).size();
}

size_t AdmissionQueue::waiting(const ServiceId &Service,
                               RequestClass Class) const {
  return queue(Class).size(Service);
}

} // namespace mimosa
