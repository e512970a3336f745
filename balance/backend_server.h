// A backend server as one host sees it: what discovery says of it, and what
// this host's own requests show of its speed and health.
//
// Speed is a moving average of latency relative to the typical latency of the
// route, so that routes of unlike work share one figure. It drifts back to 1,
// because a backend server that looks slow gets no requests that would put the
// figure right. Failures in a row put a backend server aside for a while that
// doubles; afterwards it is tried with one request at a time.

#ifndef MIMOSA_BALANCE_BACKEND_SERVER_H
#define MIMOSA_BALANCE_BACKEND_SERVER_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosa {

/// A backend server's own description of itself.
struct BackendServerEntry {
  BackendServerId Id;
  ServiceId Service;
  /// "ip:port"
  std::string Address;
  AvailabilityZoneId Zone;
  /// Requests that it runs at once.
  uint32_t Slots = 1;
  bool Draining = false;
  /// How much longer it is cold.
  Duration ColdRemaining{0};
  /// Start of its process in Unix milliseconds; 0 if it did not say.
  int64_t StartedAtMs = 0;
  /// Grows with each report of one process.
  uint64_t Sequence = 0;
};

/// How a request to a backend server failed.
enum class BackendFailure {
  /// No connection, a reset, or no answer in time.
  NoAnswer,
  /// It declined the request because it is full.
  Shed,
  /// It answered with a failure or with bytes that are no answer.
  BadAnswer,
  /// Another process has its address.
  Replaced,
};

/// See the head of this file. All methods take a time that does not go back.
class BackendServer {
public:
  explicit BackendServer(BackendServerEntry Entry) : Entry(std::move(Entry)) {}

  const BackendServerEntry &entry() const { return Entry; }
  /// Takes over a newer description.
  void update(BackendServerEntry NewEntry, MonotonicTime Now);

  /// Neither draining nor removed, nor replaced by another process.
  bool inService() const { return !Removed && !Replaced && !Entry.Draining; }
  void remove() { Removed = true; }
  bool cold(MonotonicTime Now) const { return Now < ColdUntil; }

  void recordSend(MonotonicTime Now);
  /// Notes the end of a request sent at \p SentAt, whatever its outcome.
  void recordEnd(MonotonicTime SentAt);
  /// Notes a latency of \p Relative times what is typical.
  void recordLatency(double Relative, MonotonicTime Now);
  /// Notes that a request has taken \p Relative times what is typical and has
  /// not ended.
  void recordStall(double Relative, MonotonicTime Now);
  void recordFailure(BackendFailure Failure, MonotonicTime Now);

  uint32_t inFlight() const { return static_cast<uint32_t>(SentTimes.size()); }
  /// Expected latency relative to what is typical, for one more request.
  /// \p Typical is used to judge how long requests have been in flight.
  double cost(Duration Typical, MonotonicTime Now) const;
  double relativeLatency(MonotonicTime Now) const;
  /// Set aside after failures.
  bool ejected() const { return ConsecutiveFailures >= EjectAfterFailures; }
  /// A suspect that may be tried again with one request.
  bool trialDue(MonotonicTime Now) const {
    return SentTimes.empty() && Now >= EjectedUntil;
  }
  MonotonicTime ejectedUntil() const { return EjectedUntil; }

  /// Sends to a cold backend server in the running second; see CallScheduler.
  uint32_t coldSendsInLastSecond(MonotonicTime Now) const;

private:
  static constexpr uint32_t EjectAfterFailures = 2;

  double failureRate(MonotonicTime Now) const;

  BackendServerEntry Entry;
  bool Removed = false;
  /// Until it reports again. A request to its address would reach a backend
  /// server that it is not for, and counts there as an extra one.
  bool Replaced = false;
  MonotonicTime ColdUntil;
  double RelativeLatency = 1;
  MonotonicTime LatencyAt;
  double FailureRate = 0;
  MonotonicTime FailureRateAt;
  uint32_t ConsecutiveFailures = 0;
  MonotonicTime EjectedUntil;
  /// When the requests in flight were sent, oldest first.
  std::vector<MonotonicTime> SentTimes;
  /// Sends of the last second while cold, oldest first.
  std::vector<MonotonicTime> ColdSends;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_BACKEND_SERVER_H
