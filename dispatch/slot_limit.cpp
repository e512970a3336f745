#include "dispatch/slot_limit.h"

#include <algorithm>

namespace mimosa {
namespace {

constexpr Duration RampInterval = Milliseconds(500);
/// A backend server behaves as if cold if its recent latency is this multiple
/// of its median.
constexpr double ColdLatencyFactor = 4;
/// The limit counts as fully used if it was reached during 1/FullUseDivisor of
/// the interval. Replies arrive in bursts, so full use does not last
/// throughout.
constexpr int FullUseDivisor = 2;
/// Weight of a new sample in the recent mean, which covers about 8 answers.
constexpr double RecentWeight = 1.0 / 8;
/// Weight of a new sample in the long mean, which covers about 64 answers, so
/// that a single straggler does not cause refusals of sub-requests that could
/// start in time.
constexpr double MeanWeight = 1.0 / 64;
/// Relative step of the median estimate. It needs about 700 answers to follow a
/// fourfold change, so that a backend server that slows down within one
/// interval still stands out against its median.
constexpr double MedianStep = 0.002;
/// With fewer samples the median does not represent normal latency.
constexpr uint32_t MinSamples = 20;

} // namespace

SlotLimit::SlotLimit(uint32_t Slots, uint32_t ColdLimit, MonotonicTime Now)
    : Slots(std::max(1U, Slots)),
      ColdLimit(std::clamp(ColdLimit, 1U, std::max(1U, Slots))),
      Limit(this->ColdLimit), IntervalStart(Now), TimeCountedUntil(Now) {}

void SlotLimit::configure(uint32_t NewSlots, uint32_t NewColdLimit) {
  Slots = std::max(1U, NewSlots);
  ColdLimit = std::clamp(NewColdLimit, 1U, Slots);
  Limit = std::min(Limit, ceiling());
}

uint32_t SlotLimit::ceiling() const {
  if (State != ReportedState::Cold || Capacity == 0)
    return Slots;
  return std::clamp(Capacity, 1U, Slots);
}

void SlotLimit::restartInterval(MonotonicTime Now) {
  IntervalStart = Now;
  TimeCountedUntil = Now;
  TimeAtLimit = Duration::zero();
  ShedInInterval = false;
  AnswersInInterval = 0;
}

void SlotLimit::resetLimit(uint32_t NewLimit, MonotonicTime Now) {
  Limit = std::clamp(NewLimit, 1U, Slots);
  restartInterval(Now);
}

void SlotLimit::forgetIncarnation(MonotonicTime Now) {
  IncarnationKnown = false;
  State = ReportedState::Serving;
  Capacity = 0;
  resetLimit(ColdLimit, Now);
}

void SlotLimit::backendRestarted(MonotonicTime Now) {
  forgetIncarnation(Now);
  Restarted = true;
}

void SlotLimit::fallToColdLimit(MonotonicTime Now) {
  resetLimit(std::min({ColdLimit, Limit, ceiling()}), Now);
}

void SlotLimit::applyStatus(ReportedState NewState, uint32_t NewCapacity,
                            MonotonicTime Now) {
  if (!IncarnationKnown) {
    IncarnationKnown = true;
    State = NewState;
    Capacity = NewCapacity;
    // A process that has just started may report full capacity while it is
    // still cold.
    bool Trusted = NewCapacity > 0 && !Restarted;
    Restarted = false;
    resetLimit(Trusted ? NewCapacity : std::min(ColdLimit, ceiling()), Now);
    return;
  }
  applyAnnouncement(NewState, NewCapacity, Now);
}

void SlotLimit::applySearchReply(ReportedState NewState, uint32_t NewCapacity,
                                 MonotonicTime Now) {
  if (IncarnationKnown)
    applyAnnouncement(NewState, NewCapacity, Now);
}

void SlotLimit::applyAnnouncement(ReportedState NewState, uint32_t NewCapacity,
                                  MonotonicTime Now) {
  bool TurnsCold =
      NewState == ReportedState::Cold && State != ReportedState::Cold;
  State = NewState;
  Capacity = NewCapacity;
  if (TurnsCold)
    resetLimit(std::min(Limit, NewCapacity > 0 ? NewCapacity : ColdLimit), Now);
  else if (Limit > ceiling())
    resetLimit(ceiling(), Now);
}

void SlotLimit::recordLatency(Duration Latency, MonotonicTime Now) {
  double Sample = static_cast<double>(std::max<int64_t>(1, Latency.count()));
  ++SampleCount;
  ++AnswersInInterval;
  if (SampleCount == 1) {
    MedianUs = Sample;
    RecentMeanUs = Sample;
    MeanUs = Sample;
    return;
  }
  RecentMeanUs += (Sample - RecentMeanUs) * RecentWeight;
  MeanUs += (Sample - MeanUs) * std::max(MeanWeight, 1.0 / SampleCount);
  // The first steps are larger, so that an unusual first sample loses its
  // effect quickly.
  double Step = std::max(MedianStep, 1.0 / SampleCount);
  MedianUs *= Sample > MedianUs ? 1 + Step : 1 - Step;
  detectColdBehaviour(Now);
}

void SlotLimit::recordShed(MonotonicTime Now) {
  LastShed = Now;
  ShedInInterval = true;
  detectColdBehaviour(Now);
}

void SlotLimit::detectColdBehaviour(MonotonicTime Now) {
  if (SampleCount < MinSamples || RecentMeanUs < ColdLatencyFactor * MedianUs)
    return;
  if (!LastShed || Now - *LastShed > RampInterval)
    return;
  // Lowers the limit whatever state is reported: a backend server may be cold
  // without reporting it.
  fallToColdLimit(Now);
}

void SlotLimit::setInFlight(uint32_t NewInFlight, MonotonicTime Now) {
  if (isFull() && Now > TimeCountedUntil)
    TimeAtLimit += Now - TimeCountedUntil;
  TimeCountedUntil = Now;
  InFlight = NewInFlight;
}

void SlotLimit::tick(MonotonicTime Now) {
  Duration Elapsed = Now - IntervalStart;
  if (Elapsed < RampInterval)
    return;
  setInFlight(InFlight, Now);
  bool Full = TimeAtLimit * FullUseDivisor >= Elapsed;
  bool Normal =
      !ShedInInterval && AnswersInInterval > 0 &&
      (SampleCount < MinSamples || RecentMeanUs < ColdLatencyFactor * MedianUs);
  if (IncarnationKnown && Full && Normal && Limit < ceiling())
    ++Limit;
  restartInterval(Now);
}

} // namespace mimosa
