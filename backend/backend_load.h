// The load and latency that one host measures at one backend server:
// sub-requests in flight, a moving average of their latency, and whether the
// backend server is a straggler.
//
//   BackendLoad Load;
//   Load.onSubRequestSent(Now);
//   Load.onSubRequestEnded(Latency, Service, Now);
//   Duration Next = Load.expectedLatency(Service.Mean, Now);
//
// * The average gives each sample a weight of 1/8. Without samples it drifts to
//   the average of the service within 5 s: a backend server with a high average
//   is rarely chosen, so one slow reply could otherwise exclude it for good.
// * A sample is slow if it is at least 4 times the service's average, or if
//   the sub-request was cancelled after the hedge delay. A straggler is a
//   backend server with a moving share of slow samples above one half. Its
//   average does not drift; it is tried again only by probes, at most one in
//   5 s.
// * A sub-request that is cancelled because its hedge was faster has no
//   latency, although it was slow. Its end counts as a sample of the time since
//   the oldest sub-request in flight was sent, if that is above the average:
//   whichever sub-request has ended, this is a lower bound of a latency at this
//   backend server.

#ifndef MIMOSA_BACKEND_BACKEND_LOAD_H
#define MIMOSA_BACKEND_BACKEND_LOAD_H

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// Latencies of the whole service, for comparison with one backend server.
struct ServiceLatency {
  /// Zero if there are no samples yet.
  Duration Mean{0};
  Duration HedgeDelay{0};
};

/// Load and latency of one backend server as seen by one host.
class BackendLoad {
public:
  void onSubRequestSent(MonotonicTime Now);

  /// \p Latency is empty if the sub-request ended without a reply. Returns the
  /// sample that was recorded: \p Latency or a lower bound; empty if none was.
  std::optional<Duration> onSubRequestEnded(std::optional<Duration> Latency,
                                            const ServiceLatency &Service,
                                            MonotonicTime Now);

  /// Records the owner's queue length and its limit on concurrent sub-requests
  /// to the backend server. They are used for 1 s.
  void onOwnerReport(uint32_t QueueLength, uint32_t Limit, MonotonicTime Now);

  /// Expected latency of one more sub-request, queueing included.
  Duration expectedLatency(Duration ServiceMean, MonotonicTime Now) const;

  bool straggler() const { return SlowShare > 0.5; }

  /// Whether this is an idle straggler without a probe in the last 5 s.
  bool probeDue(MonotonicTime Now) const;
  void onProbeSent(MonotonicTime Now) { LastProbe = Now; }

  uint32_t inFlight() const { return InFlight; }

private:
  /// Removes the oldest send time and returns the time since then.
  std::optional<Duration> takeLatencyLowerBound(MonotonicTime Now);
  void removeSentTime(MonotonicTime SentAt);
  bool isSlow(Duration Sample, bool Cancelled,
              const ServiceLatency &Service) const;
  double meanUs(Duration ServiceMean, MonotonicTime Now) const;

  /// Average latency in microseconds; valid if \c Sampled is set.
  double MeanUs = 0;
  bool Sampled = false;
  /// Moving average of the share of slow samples.
  double SlowShare = 0;
  uint32_t InFlight = 0;
  uint32_t QueueLength = 0;
  uint32_t Limit = 1;
  MonotonicTime LastSample = MonotonicTime::min();
  MonotonicTime ReportedAt = MonotonicTime::min();
  MonotonicTime LastProbe = MonotonicTime::min();
  /// Send times of the sub-requests in flight, oldest first.
  std::vector<MonotonicTime> SentTimes;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_BACKEND_LOAD_H
