// Concurrency limit of one backend server (design page, 4.9).
//
// The limit is the cold limit until a status reply has arrived. A backend
// server that says that it is cold, has restarted or behaves as if cold falls
// back at once; from there the limit rises by 1 after each interval with full
// use and normal latency.

#ifndef MIMOSA_DISPATCH_SLOT_LIMIT_H
#define MIMOSA_DISPATCH_SLOT_LIMIT_H

#include "dispatch/sub_request.h"

#include <optional>

namespace mimosa {

class SlotLimit {
public:
  /// \p Slots and \p ColdLimit are at least 1.
  SlotLimit(uint32_t Slots, uint32_t ColdLimit, MonotonicTime Now);

  /// Takes new settings; a limit above \p Slots falls to it.
  void configure(uint32_t Slots, uint32_t ColdLimit);

  /// The incarnation is unknown: falls to the cold limit, and nothing may be
  /// sent until statusSaid().
  void forget(MonotonicTime Now);
  /// As forget(), because another process has taken the place of the one that
  /// was known: it starts at the cold limit, whatever it announces.
  void restarted(MonotonicTime Now);
  /// Falls to the cold limit; the incarnation stays known.
  void startCold(MonotonicTime Now);
  /// Takes a status reply; \p Capacity is 0 if none is announced.
  void statusSaid(ReportedState State, uint32_t Capacity, MonotonicTime Now);
  /// Takes what a reply to a search says; does not end forget().
  void replySaid(ReportedState State, uint32_t Capacity, MonotonicTime Now);

  /// A search was answered after \p Latency.
  void answered(Duration Latency, MonotonicTime Now);
  /// The backend server shed a search.
  void shed(MonotonicTime Now);
  /// The number of sub-requests in hand is now \p InHand.
  void used(uint32_t InHand, MonotonicTime Now);
  /// Ends the ramp interval if it is over. Call every few milliseconds.
  void tick(MonotonicTime Now);

  /// Sub-requests that may be in hand; 0 while the incarnation is unknown.
  uint32_t limit() const { return Known ? Limit : 0; }
  /// As limit(), but the cold limit while the incarnation is unknown.
  uint32_t expectedLimit() const { return Limit; }
  bool known() const { return Known; }
  /// Estimated median latency; 0 before the first answer.
  Duration median() const { return Duration(static_cast<int64_t>(Median)); }
  /// Mean of about the last 64 latencies; 0 before the first answer.
  Duration mean() const { return Duration(static_cast<int64_t>(Mean)); }

private:
  uint32_t ceiling() const;
  void fallTo(uint32_t NewLimit, MonotonicTime Now);
  void restartInterval(MonotonicTime Now);
  void takeAnnouncement(ReportedState State, uint32_t Capacity,
                        MonotonicTime Now);
  void checkBehaviour(MonotonicTime Now);
  bool isFull() const { return InHand >= Limit; }

  uint32_t Slots;
  uint32_t ColdLimit;
  uint32_t Limit;
  bool Known = false;
  bool Restarted = false;
  ReportedState State = ReportedState::Serving;
  uint32_t Capacity = 0;

  uint32_t InHand = 0;
  MonotonicTime IntervalStart;
  MonotonicTime LastUse;
  Duration FullTime{};
  bool ShedInInterval = false;
  uint32_t AnswersInInterval = 0;

  std::optional<MonotonicTime> LastShed;
  /// Microseconds.
  double Median = 0;
  double Recent = 0;
  double Mean = 0;
  uint32_t Samples = 0;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_SLOT_LIMIT_H
