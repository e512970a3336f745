// Counts abandoned requests, whose callers disconnected, cancelled or did not
// receive their answer in time. Each request is counted at most once, by
// service, class and the first event that shows it, with the time waited.
//
//   Counter.arrived(Id, Service, Class, Deadline, Now);
//   Counter.started(Id);            // has left the admission queue
//   Counter.connectionClosed(Id, Now);
//   Counter.cancelled(Id, Now);
//   Counter.answered(Id, Now);      // the full answer was written
//   Counter.unreachable(Id, Now);   // reset or time-out of the connection
//   Counter.answerDelivered(Id);    // the answer has arrived
//
// The kinds of abandonment are:
//
// * closed, cancelled: the connection was closed, or a cancel arrived, before
//   the answer was written.
// * queued: the same while the request was in the admission queue, or its
//   deadline passed there (expiredInQueue).
// * answered_late: the answer was written more than 10 ms after the deadline.
//   A partial answer that is sent at the deadline is not late.
// * unreachable: the connection was reset or timed out, before or after the
//   answer was written.
//
// A request is removed when it is counted, so that a second event of the same
// request (a close after a cancel, a reset after a late answer) has no effect.
// An answer that was written in time may still fail to arrive, which
// unreachable() then reports. Such a request is therefore kept until
// answerDelivered(), to be called at the next request on the connection or at
// its orderly close, or for 5 s, the TCP user time-out of the connections.
//
// A refused request is not abandoned; end it with refused().

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

/// How a request was abandoned.
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

/// The abandoned requests of one service, class and kind.
struct AbandonmentRow {
  ServiceId Service;
  RequestClass Class = RequestClass::Interactive;
  AbandonmentKind Kind = AbandonmentKind::Closed;
  uint64_t Count = 0;
  std::vector<WaitTimeBucket> WaitTimes;
};

/// See the head of this file. Times passed to the methods must not decrease.
/// Ids that are unknown or already counted are ignored.
class AbandonmentCounter {
public:
  /// Adds a request of a configured service.
  void arrived(RequestId Id, const ServiceId &Service, RequestClass Class,
               MonotonicTime Deadline, MonotonicTime Now);

  /// The request has left the admission queue to run.
  void started(RequestId Id);

  /// The request was refused, so it is not abandoned.
  void refused(RequestId Id) { Requests.erase(Id); }

  void expiredInQueue(RequestId Id, MonotonicTime Now);
  void connectionClosed(RequestId Id, MonotonicTime Now);
  void cancelled(RequestId Id, MonotonicTime Now);
  void answered(RequestId Id, MonotonicTime Now);
  void unreachable(RequestId Id, MonotonicTime Now);
  void answerDelivered(RequestId Id) { Requests.erase(Id); }

  /// Removes requests that were answered more than 5 s ago. To be called about
  /// once a second.
  void expire(MonotonicTime Now);

  uint64_t count(const ServiceId &Service, RequestClass Class,
                 AbandonmentKind Kind) const;

  /// All counts above 0, by service, class and kind.
  std::vector<AbandonmentRow> rows() const;

  /// Number of requests that can still be counted.
  size_t tracked() const { return Requests.size(); }

private:
  enum class Stage : uint8_t { Queued, Running, Answered };

  struct Request {
    ServiceId Service;
    RequestClass Class = RequestClass::Interactive;
    MonotonicTime ArrivedAt;
    MonotonicTime Deadline;
    Stage CurrentStage = Stage::Queued;
  };
  using RequestMap = std::unordered_map<RequestId, Request>;

  struct Tally {
    uint64_t Count = 0;
    WaitTimeHistogram WaitTimes;
  };
  using Tallies = std::array<Tally, RequestClassCount * AbandonmentKindCount>;

  static size_t indexOf(RequestClass Class, AbandonmentKind Kind);
  /// Counts the request unless its answer was written.
  void recordAbandonment(RequestId Id, AbandonmentKind Kind, MonotonicTime Now);
  void record(RequestMap::iterator Entry, AbandonmentKind Kind,
              MonotonicTime Now);

  RequestMap Requests;
  /// Answered requests, oldest first.
  std::deque<std::pair<MonotonicTime, RequestId>> AnsweredAt;
  std::map<ServiceId, Tallies> ByService;
};

} // namespace mimosa

#endif // MIMOSA_ABANDONMENT_ABANDONMENT_COUNTER_H
