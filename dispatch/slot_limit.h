// Concurrency limit of one backend server (design page, 4.9).
//
// The limit is the cold limit until a status reply has arrived, and nothing is
// sent before; then it is the reported capacity, if any, unless another process
// has replaced the known one. It falls at once when the backend server reports
// that it is cold, has restarted or behaves as if cold. It rises by 1 after
// each interval in which it was fully used and latency was normal.

#ifndef MIMOSA_DISPATCH_SLOT_LIMIT_H
#define MIMOSA_DISPATCH_SLOT_LIMIT_H

#include "dispatch/sub_request.h"

#include <optional>

namespace mimosa {

/// See the head of this file.
class SlotLimit {
public:
  /// \p Slots and \p ColdLimit are at least 1.
  SlotLimit(uint32_t Slots, uint32_t ColdLimit, MonotonicTime Now);

  /// Applies new settings; lowers a limit above \p Slots to it.
  void configure(uint32_t Slots, uint32_t ColdLimit);

  /// The incarnation has become unknown: sets the cold limit, and nothing may
  /// be sent until applyStatus().
  void forgetIncarnation(MonotonicTime Now);
  /// As forgetIncarnation(), because another process has replaced the known
  /// one: it starts at the cold limit, whatever capacity it reports.
  void backendRestarted(MonotonicTime Now);
  /// Lowers the limit to the cold limit; the incarnation stays known.
  void fallToColdLimit(MonotonicTime Now);
  /// Applies a status reply; \p Capacity is 0 if none is reported.
  void applyStatus(ReportedState State, uint32_t Capacity, MonotonicTime Now);
  /// Applies the state in a reply to a search; ignored while the incarnation is
  /// unknown.
  void applySearchReply(ReportedState State, uint32_t Capacity,
                        MonotonicTime Now);

  /// Records the latency of an answered search, or the lower bound that a
  /// cancelled one gives.
  void recordLatency(Duration Latency, MonotonicTime Now);
  void recordShed(MonotonicTime Now);
  void setInFlight(uint32_t InFlight, MonotonicTime Now);
  /// Ends the ramp interval if it is over. To be called every few milliseconds.
  void tick(MonotonicTime Now);

  /// Sub-requests that may be in flight; 0 while the incarnation is unknown.
  uint32_t limit() const { return IncarnationKnown ? Limit : 0; }
  /// As limit(), but the cold limit while the incarnation is unknown; used for
  /// predictions.
  uint32_t expectedLimit() const { return Limit; }
  bool incarnationKnown() const { return IncarnationKnown; }
  /// Estimated median latency; 0 before the first answer.
  Duration median() const { return Duration(static_cast<int64_t>(MedianUs)); }
  /// Mean of about the last 64 latencies; 0 before the first answer.
  Duration mean() const { return Duration(static_cast<int64_t>(MeanUs)); }

private:
  /// The slots, or the capacity that a cold backend server reports.
  uint32_t ceiling() const;
  /// Sets the limit and starts a new ramp interval.
  void resetLimit(uint32_t NewLimit, MonotonicTime Now);
  void restartInterval(MonotonicTime Now);
  void applyAnnouncement(ReportedState State, uint32_t Capacity,
                         MonotonicTime Now);
  /// Lowers the limit if the backend server sheds and its recent latency is far
  /// above its median.
  void detectColdBehaviour(MonotonicTime Now);
  bool isFull() const { return InFlight >= Limit; }

  uint32_t Slots;
  uint32_t ColdLimit;
  uint32_t Limit;
  bool IncarnationKnown = false;
  /// Another process has replaced the known one and has sent no status yet.
  bool Restarted = false;
  ReportedState State = ReportedState::Serving;
  /// As last reported; 0 if not reported.
  uint32_t Capacity = 0;

  uint32_t InFlight = 0;
  MonotonicTime IntervalStart;
  /// End of the time that TimeAtLimit covers so far.
  MonotonicTime TimeCountedUntil;
  /// Time in this interval during which the limit was fully used.
  Duration TimeAtLimit{};
  bool ShedInInterval = false;
  uint32_t AnswersInInterval = 0;

  std::optional<MonotonicTime> LastShed;
  double MedianUs = 0;
  double RecentMeanUs = 0;
  double MeanUs = 0;
  uint32_t SampleCount = 0;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_SLOT_LIMIT_H
