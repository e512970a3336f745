// Decides at the root which queries run, wait or are refused. A query that is
// refused here has not run.
//
//   Result<Done> Taken = Admission.offer({Id, Service, Class, Deadline}, Now);
//   if (!ok(Taken))
//     refuse(errorOf(Taken));           // not_run
//   AdmissionActions Next = Admission.poll(Now);  // after each event
//   ...
//   Admission.finished(Id, QueryEnd::Answered, Now);
//
// * A query starts while fewer queries run than the concurrency limit allows
//   (see concurrency_limit.h).
// * Interactive queries start before batch queries, but while both wait every
//   20th start is one of batch. Within a class services share by weight (see
//   fair_queue.h).
// * The queue limit of a service bounds its waiting queries. Batch queries do
//   not take places from interactive ones: an interactive query is refused if
//   as many interactive queries wait, a batch query if as many of both wait.
// * A query that has to wait is refused with deadline_too_short if its
// predicted
//   wait and the time that most queries take exceed what is left of its
//   deadline. Without the latter a full queue would make every query start just
//   before its deadline, and all answers would be late. The wait is the number
//   of queries ahead divided by the completion rate at the limit, which is the
//   limit divided by the average time of a query. For batch, the interactive
//   queries that keep arriving are ahead too, as far as they leave batch its
//   share.

#ifndef MIMOSA_ADMISSION_ADMISSION_QUEUE_H
#define MIMOSA_ADMISSION_ADMISSION_QUEUE_H

#include "admission/concurrency_limit.h"
#include "admission/fair_queue.h"
#include "admission/request_class.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosa {

/// A service's share of this host.
struct AdmissionService {
  ServiceId Service;
  /// Waiting queries.
  uint32_t QueueLimit = 200;
  /// Share among the services of one class.
  uint32_t Weight = 1;
};

/// A query that asks to run.
struct AdmissionRequest {
  RequestId Id;
  ServiceId Service;
  RequestClass Class = RequestClass::Interactive;
  MonotonicTime Deadline;
};

/// How a query that ran has ended.
enum class QueryEnd {
  /// Answered, in whole or in part; its time says how loaded the system is.
  Answered,
  /// Cancelled or failed; its time says nothing.
  Aborted,
};

/// What to do now.
struct AdmissionActions {
  /// Queries to run.
  std::vector<RequestId> Start;
  /// Queries that left the queue because their deadline has passed, or because
  /// they have waited and less is left than predictedRun(). They are answered
  /// with deadline_too_short and have not run.
  std::vector<RequestId> Expired;
};

/// Counters since the start.
struct AdmissionCounters {
  uint64_t Started = 0;
  uint64_t Expired = 0;
  uint64_t Cancelled = 0;
  uint64_t RefusedOverloaded = 0;
  uint64_t RefusedDeadline = 0;
};

/// See the head of this file. All methods take a time that does not go back.
class AdmissionQueue {
public:
  explicit AdmissionQueue(ConcurrencyLimitOptions Options = {})
      : Limit(Options) {}

  /// Replaces the services. Queries of a service that is gone stay in the queue
  /// and are served; no more are taken.
  void setServices(const std::vector<AdmissionService> &Listed);

  /// Puts a query into the queue, or refuses it at once with unknown_service,
  /// overloaded or deadline_too_short (internal, if its id is in use).
  Result<Done> offer(const AdmissionRequest &Request, MonotonicTime Now);

  /// The queries to start and those that have expired. To be called after each
  /// offer(), cancel() and finished(), and at nextExpiry().
  AdmissionActions poll(MonotonicTime Now);

  /// Takes a query out of the queue; false if it is not waiting.
  bool cancel(RequestId Id);

  /// Notes the end of a query that poll() started. Others are ignored.
  void finished(RequestId Id, QueryEnd End, MonotonicTime Now);

  /// When the first waiting query expires; nothing if none waits.
  std::optional<MonotonicTime> nextExpiry() const;

  /// Predicted wait of a query that arrives now; zero until a query has ended.
  Duration predictedWait(const ServiceId &Service, RequestClass Class,
                         MonotonicTime Now) const;

  /// Time that most queries take once they run; zero until a query has ended.
  Duration predictedRun() const {
    return Limit.highTime().value_or(Duration::zero());
  }

  size_t waiting(RequestClass Class) const;
  size_t waiting(const ServiceId &Service, RequestClass Class) const;
  size_t running() const { return Running.size(); }
  uint32_t concurrencyLimit() const { return Limit.current(); }
  const AdmissionCounters &counters() const { return Counters; }

private:
  struct Waiting {
    ServiceId Service;
    RequestClass Class = RequestClass::Interactive;
    MonotonicTime Deadline;
    MonotonicTime ArrivedAt;
  };

  FairQueue &queue(RequestClass Class) {
    return Queues[static_cast<size_t>(Class)];
  }
  const FairQueue &queue(RequestClass Class) const {
    return Queues[static_cast<size_t>(Class)];
  }
  bool overLimit(const AdmissionRequest &Request) const;
  bool isHopeless(const Waiting &Entry, MonotonicTime Now) const;
  std::optional<RequestId> popNext();
  void expire(MonotonicTime Now, AdmissionActions &Actions);
  void forget(std::unordered_map<RequestId, Waiting>::iterator Entry);
  void noteInteractiveArrival(MonotonicTime Now);
  double interactiveRate(MonotonicTime Now) const;

  ConcurrencyLimit Limit;
  AdmissionCounters Counters;
  std::unordered_map<ServiceId, AdmissionService> Services;
  std::array<FairQueue, RequestClassCount> Queues;
  std::unordered_map<RequestId, Waiting> Entries;
  std::set<std::pair<MonotonicTime, RequestId>> ByDeadline;
  /// Start times.
  std::unordered_map<RequestId, MonotonicTime> Running;
  /// Starts that batch has coming; one is due when it reaches 1.
  double BatchCredit = 0;
  /// Interactive queries per second, decaying since ArrivalAt.
  double ArrivalRate = 0;
  MonotonicTime ArrivalAt;
};

} // namespace mimosa

#endif // MIMOSA_ADMISSION_ADMISSION_QUEUE_H
