// What this host measures of one backend server: sub-requests in flight, a
// moving average of their latency, and whether the backend server is a
// straggler.
//
// * The average weighs each sample with 1/8. Without samples it drifts to the
//   average of the service within 5 s, because one slow reply makes a backend
//   server unattractive, and it would otherwise never get the samples that put
//   the average right.
// * A sample is slow if it took at least 4 times the service's average, or if
//   the sub-request was cancelled after the hedge delay. A straggler is a
//   backend server most of whose recent samples were slow. Its average does not
//   drift; it is tried again only by probes, at most one per 5 s.
// * A hedged sub-request that was cancelled reports no latency, yet exactly
//   these are the slow ones. Its end therefore counts with the time since the
//   oldest sub-request in flight was sent, if that is above the average: this
//   is a lower bound of a latency on this backend server, whichever of its
//   sub-requests has ended.

#ifndef MIMOSA_BACKEND_BACKEND_LOAD_H
#define MIMOSA_BACKEND_BACKEND_LOAD_H

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// What the latencies of one backend server are compared with.
struct ServiceLatency {
  /// Average over the service; zero if nothing is known yet.
  Duration Mean{0};
  Duration HedgeDelay{0};
};

/// Load and latency of one backend server as seen by one host.
class BackendLoad {
public:
  /// Notes a sub-request.
  void onSubRequestSent(MonotonicTime Now);

  /// Notes the end of a sub-request. Returns the latency that it stands for:
  /// \p Latency, or a lower bound of one, or nothing.
  std::optional<Duration> onSubRequestEnded(std::optional<Duration> Latency,
                                            const ServiceLatency &Service,
                                            MonotonicTime Now);

  /// Notes what the owner reports: sub-requests waiting, and sub-requests run
  /// at once. It is used for 1 s.
  void onOwnerReport(uint32_t QueueLength, uint32_t Limit, MonotonicTime Now);

  /// Expected time of one more sub-request.
  Duration expected(Duration ServiceMean, MonotonicTime Now) const;

  bool straggler() const { return SlowShare > 0.5; }

  /// Whether this is a straggler whose last probe is long enough ago.
  bool probeDue(MonotonicTime Now) const;
  void probed(MonotonicTime Now) { LastProbe = Now; }

  uint32_t inFlight() const { return InFlight; }

private:
  std::optional<Duration> censoredLatency(MonotonicTime Now);
  void forgetSentAt(MonotonicTime SentAt);
  bool isSlow(Duration Sample, bool Cancelled,
              const ServiceLatency &Service) const;
  double meanUs(Duration ServiceMean, MonotonicTime Now) const;

  /// Average latency in microseconds; meaningless until \c Sampled.
  double MeanUs = 0;
  bool Sampled = false;
  /// Moving share of samples that were slow.
  double SlowShare = 0;
  uint32_t InFlight = 0;
  uint32_t QueueLength = 0;
  uint32_t Limit = 1;
  MonotonicTime LastSample = MonotonicTime::min();
  MonotonicTime ReportedAt = MonotonicTime::min();
  MonotonicTime LastProbe = MonotonicTime::min();
  /// When the sub-requests in flight were sent, oldest first.
  std::vector<MonotonicTime> SentTimes;
};

} // namespace mimosa

#endif // MIMOSA_BACKEND_BACKEND_LOAD_H
