#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

// Weight of one query in the average that predicts waits.
constexpr double RecentWeight = 1.0 / 32;
// Below this gradient a window is strained.
constexpr double StrainedGradient = 0.6;
constexpr uint32_t MaxStrainedWindows = 5;
// Half the limit makes queries that only queue take half as long. Above this
// ratio of the times, most of the time is not queueing.
constexpr double NoQueueRatio = 0.75;

} // namespace

uint32_t ConcurrencyLimit::current() const {
  double Current = Measuring == Step::Normal ? Limit : ProbeLimit;
  return std::max(Options.Min, static_cast<uint32_t>(Current));
}

void ConcurrencyLimit::completed(Duration Time, MonotonicTime Now) {
  double Us = std::max(1.0, static_cast<double>(Time.count()));
  if (RecentUs <= 0) {
    RecentUs = Us;
    DeviationUs = Us / 2;
  }
  DeviationUs += (std::abs(Us - RecentUs) - DeviationUs) * RecentWeight;
  RecentUs += (Us - RecentUs) * RecentWeight;
  if (!WindowStart)
    WindowStart = Now;
  // Queries that were sent before the limit was lowered do not count.
  if (Measuring == Step::Measure && Now - Time < *WindowStart)
    return;
  WindowSumUs += Us;
  ++WindowCount;
  if (!windowEnds(Now))
    return;
  endWindow(WindowSumUs / WindowCount, Now);
  WindowStart = Now;
  WindowSumUs = 0;
  WindowCount = 0;
  WasReached = false;
}

bool ConcurrencyLimit::windowEnds(MonotonicTime Now) const {
  Duration Length = std::max(Options.WindowTime, *meanTime());
  return Now - *WindowStart >= Length && WindowCount >= Options.WindowSamples;
}

void ConcurrencyLimit::endWindow(double MeanUs, MonotonicTime Now) {
  switch (Measuring) {
  case Step::Normal:
    endNormalWindow(MeanUs, Now);
    return;
  case Step::Drain:
    Measuring = Step::Measure;
    return;
  case Step::Measure:
    endMeasureWindow(MeanUs, Now);
    return;
  }
}

void ConcurrencyLimit::endNormalWindow(double MeanUs, MonotonicTime Now) {
  bool IsFirst = BaseUs == 0;
  if (IsFirst || MeanUs < BaseUs)
    takeBase(MeanUs, Now);
  adjust(MeanUs);
  bool Strained = gradient(MeanUs) < StrainedGradient;
  StrainedWindows = Strained ? StrainedWindows + 1 : 0;
  bool IsOld = Now - BaseAt >= Options.BaseLifetime;
  if (!IsFirst && !IsOld && StrainedWindows < MaxStrainedWindows)
    return;
  // Without queueing a window's mean is itself a base.
  if (WasReached)
    lowerProbeLimit(MeanUs);
  else
    takeBase(MeanUs, Now);
}

void ConcurrencyLimit::lowerProbeLimit(double MeanUs) {
  ProbeLimit = std::max<double>(Options.Min, current() / 2.0);
  PreviousUs = MeanUs;
  Measuring = Step::Drain;
}

void ConcurrencyLimit::endMeasureWindow(double MeanUs, MonotonicTime Now) {
  bool NothingQueues = MeanUs > NoQueueRatio * PreviousUs;
  if (NothingQueues || ProbeLimit <= Options.Min) {
    Measuring = Step::Normal;
    takeBase(MeanUs, Now);
    return;
  }
  lowerProbeLimit(MeanUs);
}

void ConcurrencyLimit::takeBase(double MeanUs, MonotonicTime Now) {
  BaseUs = MeanUs;
  BaseAt = Now;
  StrainedWindows = 0;
}

double ConcurrencyLimit::gradient(double MeanUs) const {
  return std::clamp(Options.Tolerance * BaseUs / MeanUs, 0.5, 1.0);
}

void ConcurrencyLimit::adjust(double MeanUs) {
  double Target = gradient(MeanUs) * Limit + std::sqrt(Limit);
  if (Target > Limit && !WasReached)
    return;
  Limit += (Target - Limit) * Options.Smoothing;
  Limit = std::clamp(Limit, static_cast<double>(Options.Min),
                     static_cast<double>(Options.Max));
}

std::optional<Duration> ConcurrencyLimit::meanTime() const {
  if (RecentUs <= 0)
    return std::nullopt;
  return Duration(std::llround(RecentUs));
}

std::optional<Duration> ConcurrencyLimit::highTime() const {
  if (RecentUs <= 0)
    return std::nullopt;
  return Duration(std::llround(RecentUs + 2 * DeviationUs));
}

std::optional<double> ConcurrencyLimit::capacity() const {
  if (RecentUs <= 0)
    return std::nullopt;
  return current() * 1e6 / RecentUs;
}

} // namespace mimosa
