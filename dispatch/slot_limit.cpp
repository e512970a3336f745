#include "dispatch/slot_limit.h"

#include <algorithm>

namespace mimosa {
namespace {

constexpr Duration RampInterval = Milliseconds(500);
/// A backend server behaves as if cold at this multiple of its own median.
constexpr double ColdLatencyFactor = 4;
/// Replies arrive in bursts, so full use is a share of the interval.
constexpr int FullUseDivisor = 2;
/// Weight of a new sample in the recent mean: about the last 8 answers.
constexpr double RecentWeight = 1.0 / 8;
/// Weight of a new sample in the long mean: a single straggler in 64 answers
/// must not refuse work that could start in time.
constexpr double MeanWeight = 1.0 / 64;
/// Step of the median estimate. It takes about 700 answers to follow a change
/// by 4 times, so that the median does not hide a backend server that slows
/// down within one interval.
constexpr double MedianStep = 0.002;
/// The median of fewer answers is no measure of normal latency.
constexpr uint32_t LeastSamples = 20;

} // namespace

SlotLimit::SlotLimit(uint32_t Slots, uint32_t ColdLimit, MonotonicTime Now)
    : Slots(std::max(1U, Slots)),
      ColdLimit(std::clamp(ColdLimit, 1U, std::max(1U, Slots))),
      Limit(this->ColdLimit), IntervalStart(Now), LastUse(Now) {}

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
  LastUse = Now;
  FullTime = Duration::zero();
  ShedInInterval = false;
  AnswersInInterval = 0;
}

void SlotLimit::fallTo(uint32_t NewLimit, MonotonicTime Now) {
  Limit = std::clamp(NewLimit, 1U, Slots);
  restartInterval(Now);
}

void SlotLimit::forget(MonotonicTime Now) {
  Known = false;
  State = ReportedState::Serving;
  Capacity = 0;
  fallTo(ColdLimit, Now);
}

void SlotLimit::restarted(MonotonicTime Now) {
  forget(Now);
  Restarted = true;
}

void SlotLimit::startCold(MonotonicTime Now) {
  fallTo(std::min({ColdLimit, Limit, ceiling()}), Now);
}

void SlotLimit::statusSaid(ReportedState NewState, uint32_t NewCapacity,
                           MonotonicTime Now) {
  if (!Known) {
    Known = true;
    State = NewState;
    Capacity = NewCapacity;
    // A process that has just started can say that it is warm and is not.
    bool Trusted = NewCapacity > 0 && !Restarted;
    Restarted = false;
    fallTo(Trusted ? NewCapacity : std::min(ColdLimit, ceiling()), Now);
    return;
  }
  takeAnnouncement(NewState, NewCapacity, Now);
}

void SlotLimit::replySaid(ReportedState NewState, uint32_t NewCapacity,
                          MonotonicTime Now) {
  if (Known)
    takeAnnouncement(NewState, NewCapacity, Now);
}

void SlotLimit::takeAnnouncement(ReportedState NewState, uint32_t NewCapacity,
                                 MonotonicTime Now) {
  bool TurnsCold =
      NewState == ReportedState::Cold && State != ReportedState::Cold;
  State = NewState;
  Capacity = NewCapacity;
  if (TurnsCold)
    fallTo(std::min(Limit, NewCapacity > 0 ? NewCapacity : ColdLimit), Now);
  else if (Limit > ceiling())
    fallTo(ceiling(), Now);
}

void SlotLimit::answered(Duration Latency, MonotonicTime Now) {
  double Sample = static_cast<double>(std::max<int64_t>(1, Latency.count()));
  ++Samples;
  ++AnswersInInterval;
  if (Samples == 1) {
    Median = Sample;
    Recent = Sample;
    Mean = Sample;
    return;
  }
  Recent += (Sample - Recent) * RecentWeight;
  Mean += (Sample - Mean) * std::max(MeanWeight, 1.0 / Samples);
  // The first steps are long, so that one odd first sample does not last.
  double Step = std::max(MedianStep, 1.0 / Samples);
  Median *= Sample > Median ? 1 + Step : 1 - Step;
  checkBehaviour(Now);
}

void SlotLimit::shed(MonotonicTime Now) {
  LastShed = Now;
  ShedInInterval = true;
  checkBehaviour(Now);
}

void SlotLimit::checkBehaviour(MonotonicTime Now) {
  if (Samples < LeastSamples || Recent < ColdLatencyFactor * Median)
    return;
  if (!LastShed || Now - *LastShed > RampInterval)
    return;
  // Its announcements are not believed here: they say nothing of being cold.
  startCold(Now);
}

void SlotLimit::used(uint32_t NewInHand, MonotonicTime Now) {
  if (isFull() && Now > LastUse)
    FullTime += Now - LastUse;
  LastUse = Now;
  InHand = NewInHand;
}

void SlotLimit::tick(MonotonicTime Now) {
  Duration Passed = Now - IntervalStart;
  if (Passed < RampInterval)
    return;
  used(InHand, Now);
  bool Full = FullTime * FullUseDivisor >= Passed;
  bool Normal = !ShedInInterval && AnswersInInterval > 0 &&
                (Samples < LeastSamples || Recent < ColdLatencyFactor * Median);
  if (Known && Full && Normal && Limit < ceiling())
    ++Limit;
  restartInterval(Now);
}

} // namespace mimosa
