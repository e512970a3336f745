// Decides at the root which queries run, wait or are refused. A query that is
// refused here has not run. Performs no I/O.
//
//   Result<Done> Offered = Admission.offer(Request, Now);
//   if (!ok(Offered))
//     refuse(errorOf(Offered));                   // not_run
//   AdmissionActions Next = Admission.poll(Now);  // after each event
//   ...
//   Admission.finished(Id, QueryEnd::Answered, Now);
//
// * A query starts while fewer queries run than the concurrency limit allows
//   (see concurrency_limit.h).
// * Interactive queries start before batch queries, but while both wait every
//   20th start goes to batch. Within a class, services share the starts by
//   weight (see base/fair_queue.h).
// * The queue limit of a service bounds its waiting queries. Batch queries do
//   not take places from interactive ones: an interactive query is refused only
//   if the interactive queries reach the limit, a batch query if the waiting
//   queries of both classes reach it.
// * A query that has to wait is refused with deadline_too_short if less time is
//   left of its deadline than its predicted wait plus the run time that most
//   queries do not exceed. Without the run time, a full queue would start every
//   query just before its deadline, and all answers would be late. The
//   predicted wait is the number of queries ahead divided by the throughput at
//   the limit, which is the limit divided by the average run time. For batch,
//   interactive queries that keep arriving count as ahead too, except for the
//   share of starts that batch always has.

#ifndef MIMOSA_ADMISSION_ADMISSION_QUEUE_H
#define MIMOSA_ADMISSION_ADMISSION_QUEUE_H

#include "admission/concurrency_limit.h"
#include "admission/request_class.h"
#include "base/fair_queue.h"
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

/// Admission settings of a service.
struct AdmissionService {
  ServiceId Service;
  /// Maximum number of waiting queries.
  uint32_t QueueLimit = 200;
  /// Share of the starts within a class, relative to the other services.
  uint32_t Weight = 1;
};

/// A query that is offered for admission.
struct AdmissionRequest {
  RequestId Id;
  ServiceId Service;
  RequestClass Class = RequestClass::Interactive;
  MonotonicTime Deadline;
};

/// How a query that was started has ended.
enum class QueryEnd {
  /// Answered, completely or partially; its run time is a sample of the load.
  Answered,
  /// Cancelled or failed; its run time is not used.
  Aborted,
};

/// Actions for the caller of poll().
struct AdmissionActions {
  /// Queries to run.
  std::vector<RequestId> Start;
  /// Queries that left the queue because their deadline has passed, or because
  /// they have waited and less time than predictedRunTime() is left. They have
  /// not run; they are to be answered with deadline_too_short.
  std::vector<RequestId> Expired;
};

/// Totals since the queue was created.
struct AdmissionCounters {
  uint64_t Started = 0;
  uint64_t Expired = 0;
  uint64_t Cancelled = 0;
  uint64_t RefusedOverloaded = 0;
  uint64_t RefusedDeadline = 0;
};

/// See the head of this file. Times passed to the methods must not decrease.
class AdmissionQueue {
public:
  explicit AdmissionQueue(ConcurrencyLimitOptions Options = {})
      : Limit(Options) {}

  /// Replaces the services. Waiting queries of a removed service are still
  /// served, and new ones are refused.
  void setServices(const std::vector<AdmissionService> &NewServices);

  /// Puts a query into the queue, or refuses it at once with unknown_service,
  /// overloaded or deadline_too_short (internal, if its id is in use).
  Result<Done> offer(const AdmissionRequest &Request, MonotonicTime Now);

  /// Returns the queries to start and those that have expired. To be called
  /// after each offer(), cancel() and finished(), and at nextExpiry().
  AdmissionActions poll(MonotonicTime Now);

  /// Takes a query out of the queue; false if it is not waiting.
  bool cancel(RequestId Id);

  /// Records the end of a query that poll() started; ignores other queries.
  void finished(RequestId Id, QueryEnd End, MonotonicTime Now);

  /// Earliest deadline of the waiting queries, if there are any.
  std::optional<MonotonicTime> nextExpiry() const;

  /// Predicted wait of a query that arrives now; zero until a query has
  /// completed.
  Duration predictedWait(const ServiceId &Service, RequestClass Class,
                         MonotonicTime Now) const;

  /// Run time that most queries do not exceed; zero until a query has
  /// completed.
  Duration predictedRunTime() const {
    return Limit.highRunTime().value_or(Duration::zero());
  }

  size_t waiting(RequestClass Class) const;
  size_t waiting(const ServiceId &Service, RequestClass Class) const;
  size_t running() const { return Running.size(); }
  uint32_t concurrencyLimit() const { return Limit.current(); }
  const AdmissionCounters &counters() const { return Counters; }

private:
  struct WaitingQuery {
    ServiceId Service;
    RequestClass Class = RequestClass::Interactive;
    MonotonicTime Deadline;
    MonotonicTime ArrivedAt;
  };

  using ServiceQueue = FairQueue<ServiceId, RequestId>;

  ServiceQueue &queue(RequestClass Class) {
    return Queues[static_cast<size_t>(Class)];
  }
  const ServiceQueue &queue(RequestClass Class) const {
    return Queues[static_cast<size_t>(Class)];
  }
  /// Whether the waiting queries of the service reach its queue limit.
  bool isQueueFull(const AdmissionRequest &Request) const;
  /// True for a query that has waited and has less time left than
  /// predictedRunTime().
  bool cannotMeetDeadline(const WaitingQuery &Entry, MonotonicTime Now) const;
  std::optional<RequestId> popNext();
  void expire(MonotonicTime Now, AdmissionActions &Actions);
  void eraseEntry(std::unordered_map<RequestId, WaitingQuery>::iterator Entry);
  void recordInteractiveArrival(MonotonicTime Now);
  double interactiveRate(MonotonicTime Now) const;

  ConcurrencyLimit Limit;
  AdmissionCounters Counters;
  std::unordered_map<ServiceId, AdmissionService> Services;
  std::array<ServiceQueue, RequestClassCount> Queues;
  std::unordered_map<RequestId, WaitingQuery> Entries;
  std::set<std::pair<MonotonicTime, RequestId>> ByDeadline;
  /// Start times of the running queries.
  std::unordered_map<RequestId, MonotonicTime> Running;
  /// Fraction of a start that batch has accumulated; when it reaches 1, the
  /// next start goes to batch.
  double BatchCredit = 0;
  /// Interactive queries per second as of LastArrivalAt; decays exponentially.
  double InteractiveArrivalRate = 0;
  MonotonicTime LastArrivalAt;
};

} // namespace mimosa

#endif // MIMOSA_ADMISSION_ADMISSION_QUEUE_H
