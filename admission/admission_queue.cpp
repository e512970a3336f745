#include "admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace mimosa {
namespace {

/// Share of the starts that batch has while interactive queries wait.
constexpr double BatchShare = 0.05;
// Interactive arrivals are averaged over about this time.
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
          "service=" + Request.Service.text() + ": the predicted time of " +
              std::to_string(inMilliseconds(Wait)) + " ms exceeds the " +
              std::to_string(inMilliseconds(Left)) +
              " ms left of the deadline; the query did not run"};
}

} // namespace

void AdmissionQueue::setServices(const std::vector<AdmissionService> &Listed) {
  Services.clear();
  for (const AdmissionService &Service : Listed) {
    Services.emplace(Service.Service, Service);
    for (FairQueue &Queue : Queues)
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
  if (overLimit(Request)) {
    ++Counters.RefusedOverloaded;
    return overloaded(Service->second);
  }
  Duration Left = Request.Deadline - Now;
  Duration Wait = predictedWait(Request.Service, Request.Class, Now);
  if (Wait > Duration::zero())
    Wait += predictedRun();
  if (Left <= Duration::zero() || Wait > Left) {
    ++Counters.RefusedDeadline;
    return deadlineTooShort(Request, Wait, Left);
  }
  if (Request.Class == RequestClass::Interactive)
    noteInteractiveArrival(Now);
  Entries.emplace(Request.Id, Waiting{Request.Service, Request.Class,
                                      Request.Deadline, Now});
  ByDeadline.emplace(Request.Deadline, Request.Id);
  queue(Request.Class).push(Request.Service, Request.Id);
  return Done{};
}

bool AdmissionQueue::overLimit(const AdmissionRequest &Request) const {
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
    bool Hopeless = isHopeless(Entry->second, Now);
    forget(Entry);
    if (Hopeless) {
      ++Counters.Expired;
      Actions.Expired.push_back(Id);
      continue;
    }
    Running.emplace(Id, Now);
    ++Counters.Started;
    Actions.Start.push_back(Id);
  }
  if (!Entries.empty())
    Limit.reached();
  return Actions;
}

bool AdmissionQueue::isHopeless(const Waiting &Entry, MonotonicTime Now) const {
  if (Entry.ArrivedAt == Now)
    return false;
  return Entry.Deadline - Now < predictedRun();
}

std::optional<RequestId> AdmissionQueue::popNext() {
  FairQueue &Interactive = queue(RequestClass::Interactive);
  FairQueue &Batch = queue(RequestClass::Batch);
  if (Batch.size() == 0)
    return Interactive.pop();
  if (Interactive.size() == 0)
    return Batch.pop();
  BatchCredit += BatchShare;
  // The tolerance covers the rounding of twenty additions.
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
    forget(Entry);
    ++Counters.Expired;
    Actions.Expired.push_back(Id);
  }
}

void AdmissionQueue::forget(
    std::unordered_map<RequestId, Waiting>::iterator Entry) {
  ByDeadline.erase({Entry->second.Deadline, Entry->first});
  Entries.erase(Entry);
}

bool AdmissionQueue::cancel(RequestId Id) {
  auto Entry = Entries.find(Id);
  if (Entry == Entries.end())
    return false;
  queue(Entry->second.Class).remove(Entry->second.Service, Id);
  forget(Entry);
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
  auto Capacity = Limit.capacity();
  bool StartsAtOnce = Entries.empty() && Running.size() < Limit.current();
  if (!Capacity || StartsAtOnce)
    return Duration::zero();
  double Ahead = queue(Class).ahead(Service);
  double WaitSeconds = 0;
  if (Class == RequestClass::Interactive) {
    double Rate = *Capacity;
    if (waiting(RequestClass::Batch))
      Rate *= 1 - BatchShare;
    WaitSeconds = Ahead / Rate;
  } else {
    double Kept = BatchShare * *Capacity;
    double Rest = std::max(Kept, *Capacity - interactiveRate(Now));
    auto Before = static_cast<double>(waiting(RequestClass::Interactive));
    WaitSeconds = std::min((Before + Ahead) / Rest, Ahead / Kept);
  }
  return Duration(std::llround(WaitSeconds * 1e6));
}

void AdmissionQueue::noteInteractiveArrival(MonotonicTime Now) {
  ArrivalRate = interactiveRate(Now) + 1 / ArrivalWindowSeconds;
  ArrivalAt = Now;
}

double AdmissionQueue::interactiveRate(MonotonicTime Now) const {
  return ArrivalRate *
         std::exp(-inSeconds(Now - ArrivalAt) / ArrivalWindowSeconds);
}

size_t AdmissionQueue::waiting(RequestClass Class) const {
  return queue(Class).size();
}

size_t AdmissionQueue::waiting(const ServiceId &Service,
                               RequestClass Class) const {
  return queue(Class).size(Service);
}

} // namespace mimosa
