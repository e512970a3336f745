// One host's view of a backend server: its entry from service discovery, and
// the load, latency and failures of this host's own requests to it.
//
//   BackendServer Server(Entry);
//   Server.recordSend(Now);                      // for each request
//   Server.recordEnd(SentAt);
//   Server.recordLatency(Relative, Now);         // or recordFailure()
//   Server.cost(TypicalLatency, Now);            // lower is better
//
// Relative latency is a moving average of the latency divided by the typical
// latency of the route, so that routes with different amounts of work share one
// average. Without samples it decays to 1, because a backend server that looks
// slow gets no requests that could correct the average.
//
// Consecutive requests without a valid answer (BackendFailure::NoAnswer and
// Malformed) eject a backend server for a time that doubles with each further
// one, up to a limit (compare outlier detection in Envoy). Meanwhile it is used
// only if there is no other one. Afterwards it gets one trial request at a time
// until one succeeds.

#ifndef MIMOSA_BALANCE_BACKEND_SERVER_H
#define MIMOSA_BALANCE_BACKEND_SERVER_H

#include "balance/server_pushback.h"
#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace mimosa {

/// What a backend server reports of itself to service discovery.
struct BackendServerEntry {
  BackendServerId Id;
  ServiceId Service;
  /// Empty if not reported.
  VersionId Version;
  /// "ip:port"
  std::string Address;
  AvailabilityZoneId Zone;
  /// Number of requests that it can run at once.
  uint32_t Slots = 1;
  bool Draining = false;
  /// Time until it is no longer cold.
  Duration ColdRemaining{0};
  /// Start of its process in Unix milliseconds; 0 if not reported.
  int64_t StartedAtMs = 0;
  /// Increases with each report of one process.
  uint64_t Sequence = 0;
};

/// How a request to a backend server failed.
enum class BackendFailure {
  /// No connection, a reset, or no answer in time.
  NoAnswer,
  /// It refused the request because it is overloaded.
  Shed,
  /// It answered with a failure.
  BadAnswer,
  /// It sent bytes that are not a valid answer.
  Malformed,
  /// Another backend server has taken over its address.
  Replaced,
};

/// See the head of this file. The times that are passed in must not decrease.
class BackendServer {
public:
  explicit BackendServer(BackendServerEntry Entry) : Entry(std::move(Entry)) {}

  const BackendServerEntry &entry() const { return Entry; }
  /// Replaces the entry by a newer one. If the process has restarted, the
  /// latency and the failures start anew.
  void update(BackendServerEntry NewEntry, MonotonicTime Now);

  /// Whether it is in discovery, is not shutting down and still has its
  /// address.
  bool inService() const {
    return !Removed && !Replaced && !Entry.Draining && !Pushback->leaving();
  }
  void remove() { Removed = true; }
  /// Whether its process started recently, so that requests take longer.
  bool cold(MonotonicTime Now) const { return Now < ColdUntil; }

  /// Records that a request is sent to it.
  void recordSend(MonotonicTime Now);
  /// Records the end of the request that was sent at \p SentAt, whatever its
  /// outcome.
  void recordEnd(MonotonicTime SentAt);
  /// Records a success after \p Relative times the typical latency.
  void recordLatency(double Relative, MonotonicTime Now);
  /// Records that a request is still unanswered after \p Relative times the
  /// typical latency.
  void recordStall(double Relative, MonotonicTime Now);
  void recordFailure(BackendFailure Failure, MonotonicTime Now);

  /// Records that it has declined the request that was sent at \p SentAt,
  /// while this host's limit on requests in flight was \p Limit. Lowers the
  /// limit by a factor, and below one request keeps a pause of some \p Latency.
  void recordDecline(MonotonicTime SentAt, uint32_t Limit, Duration Latency,
                     MonotonicTime Now);
  /// This host's own limit on requests in flight, which falls with each
  /// declined request and rises with each answer; may be less than one, and is
  /// the highest double if none was declined lately.
  double declineLimit() const { return DeclineLimit; }
  /// No request is sent until then because of declined ones.
  MonotonicTime declinePauseUntil() const { return DeclinePauseUntil; }

  ServerPushback &pushback() { return *Pushback; }
  const ServerPushback &pushback() const { return *Pushback; }
  /// Uses the pushback of \p Former, an earlier object for the same process.
  void sharePushback(const BackendServer &Former) {
    Pushback = Former.Pushback;
  }

  /// When this host has sent the last request to it.
  MonotonicTime lastSentAt() const { return LastSentAt; }
  uint32_t inFlight() const { return static_cast<uint32_t>(SentTimes.size()); }
  /// Expected latency of one more request, relative to the typical latency.
  /// \p TypicalLatency shows whether requests in flight are overdue.
  double cost(Duration TypicalLatency, MonotonicTime Now) const;
  double relativeLatency(MonotonicTime Now) const;
  /// Whether it is ejected after consecutive failures.
  bool ejected() const { return ConsecutiveFailures >= EjectAfterFailures; }
  /// Whether an ejected backend server may get a trial request.
  bool trialDue(MonotonicTime Now) const {
    return SentTimes.empty() && Now >= EjectedUntil;
  }
  MonotonicTime ejectedUntil() const { return EjectedUntil; }

  /// When one more request keeps to \p Limit requests in a second while it is
  /// cold; not after \p Now if it does so now.
  MonotonicTime nextColdSendAt(double Limit, MonotonicTime Now) const;

private:
  static constexpr uint32_t EjectAfterFailures = 2;

  /// Moving average of the share of requests that failed.
  double failureRate(MonotonicTime Now) const;

  BackendServerEntry Entry;
  bool Removed = false;
  /// Another backend server has its address: a request for this one would reach
  /// that one, and count there as an extra arrival. Reset by the next report of
  /// this one.
  bool Replaced = false;
  std::shared_ptr<ServerPushback> Pushback = std::make_shared<ServerPushback>();
  MonotonicTime ColdUntil;
  double RelativeLatency = 1;
  MonotonicTime LatencyAt;
  double FailureRate = 0;
  MonotonicTime FailureRateAt;
  uint32_t ConsecutiveFailures = 0;
  double DeclineLimit = std::numeric_limits<double>::max();
  MonotonicTime DeclineLimitLoweredAt;
  MonotonicTime DeclinePauseUntil;
  MonotonicTime EjectedUntil;
  /// When each request in flight was sent, oldest first.
  std::vector<MonotonicTime> SentTimes;
  MonotonicTime LastSentAt;
  /// When requests were sent in the last second while cold, oldest first.
  std::vector<MonotonicTime> ColdSends;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_BACKEND_SERVER_H
