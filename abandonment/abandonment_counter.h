// Counts the callers who gave up: each request at most once, by service, class
// and the first sign of it, with the time waited.
//
//   Counter.arrived(Id, Service, Class, Deadline, Now);
//   Counter.started(Id);            // it left the admission queue
//   Counter.connectionClosed(Id, Now);
//   Counter.cancelled(Id, Now);
//   Counter.answered(Id, Now);      // the whole answer was written
//   Counter.unreachable(Id, Now);   // reset or time-out of the connection
//   Counter.settled(Id);            // the answer has surely arrived
//
// * closed, cancelled: the connection was closed, or a cancel came, before the
//   answer was written.
// * queued: the same, but the request had not left the queue; or its deadline
//   passed there (expiredInQueue).
// * answered_late: the answer was written more than 10 ms after the deadline.
//   A partial answer that is sent at the deadline is not late.
// * unreachable: the connection was reset or timed out, before or after the
//   answer was written.
//
// A request is forgotten when it is counted, so that a second sign of the same
// caller (a close after a cancel, a reset after a late answer) finds nothing.
// An answer that was written in time can still turn out not to have arrived.
// Such a request is kept until settled(), which is called at the next request
// on the connection or at its orderly close, or for 5 s, the user time-out of
// the connections.
//
// Requests that are refused at once are not abandoned; end them with refused().

#ifndef MIMOSA_ABANDONMENT_ABANDONMENT_COUNTER_H
#define MIMOSA_ABANDONMENT_ABANDONMENT_COUNTER_H

#include "abandonment/wait_time_histogram.h"
#include "admission/request_class.h"
#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosa {

/// How a caller gave up.
enum class AbandonmentKind : uint8_t {
  Closed = 0,
  Cancelled = 1,
  AnsweredLate = 2,
  Queued = 3,
  Unreachable = 4,
};

constexpr size_t AbandonmentKindCount = 5;

/// The kind's name in metrics, such as "answered_late".
const char *abandonmentKindName(AbandonmentKind Kind);

/// The callers of one service and class who gave up in one way.
struct AbandonmentRow {
  ServiceId Service;
  RequestClass Class = RequestClass::Interactive;
  AbandonmentKind Kind = AbandonmentKind::Closed;
  uint64_t Count = 0;
  std::vector<WaitTimeBucket> WaitTimes;
};

/// See the head of this file. All methods take a time that does not go back,
/// and ignore ids that are unknown or already counted.
class AbandonmentCounter {
public:
  /// Notes a request of a configured service.
  void arrived(RequestId Id, const ServiceId &Service, RequestClass Class,
               MonotonicTime Deadline, MonotonicTime Now);

  /// Notes that the request left the admission queue to run.
  void started(RequestId Id);

  /// Notes that the request was refused; its caller did not give up.
  void refused(RequestId Id) { Requests.erase(Id); }

  void expiredInQueue(RequestId Id, MonotonicTime Now);
  void connectionClosed(RequestId Id, MonotonicTime Now);
  void cancelled(RequestId Id, MonotonicTime Now);
  void answered(RequestId Id, MonotonicTime Now);
  void unreachable(RequestId Id, MonotonicTime Now);
  void settled(RequestId Id) { Requests.erase(Id); }

  /// Forgets the answered requests of more than 5 s ago; to be called about
  /// once a second.
  void expire(MonotonicTime Now);

  uint64_t count(const ServiceId &Service, RequestClass Class,
                 AbandonmentKind Kind) const;

  /// All counts above 0, by service, class and kind.
  std::vector<AbandonmentRow> rows() const;

  /// Requests that can still be counted.
  size_t open() const { return Requests.size(); }

private:
  enum class Stage : uint8_t { Queued, Running, Answered };

  struct Request {
    ServiceId Service;
    RequestClass Class = RequestClass::Interactive;
    MonotonicTime ArrivedAt;
    MonotonicTime Deadline;
    Stage At = Stage::Queued;
  };
  using RequestMap = std::unordered_map<RequestId, Request>;

  struct Tally {
    uint64_t Count = 0;
    WaitTimeHistogram Waited;
  };
  using Tallies = std::array<Tally, RequestClassCount * AbandonmentKindCount>;

  static size_t indexOf(RequestClass Class, AbandonmentKind Kind);
  void gaveUp(RequestId Id, AbandonmentKind Kind, MonotonicTime Now);
  void record(RequestMap::iterator Entry, AbandonmentKind Kind,
              MonotonicTime Now);

  RequestMap Requests;
  /// Answered requests, oldest first.
  std::deque<std::pair<MonotonicTime, RequestId>> AnsweredAt;
  std::map<ServiceId, Tallies> ByService;
};

} // namespace mimosa

#endif // MIMOSA_ABANDONMENT_ABANDONMENT_COUNTER_H
