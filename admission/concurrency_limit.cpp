#include "admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

/// Weight of one query in the averages of the run time and its deviation,
/// from which waits are predicted.
constexpr double SampleWeight = 1.0 / 32;
/// A window with a lower gradient counts as slow.
constexpr double SlowGradient = 0.6;
/// After this many slow windows in a row the base is measured again.
constexpr uint32_t MaxSlowWindows = 5;
/// Halving the limit halves run times that consist of queueing only. Above this
/// ratio of the run times, most of the run time is not queueing.
constexpr double NoQueueRatio = 0.75;

} // namespace

uint32_t ConcurrencyLimit::current() const {
  double Current = CurrentStep == Step::Normal ? Limit : ProbeLimit;
  return std::max(Options.Min, static_cast<uint32_t>(Current));
}

void ConcurrencyLimit::completed(Duration Time, MonotonicTime Now) {
  double Us = std::max(1.0, static_cast<double>(Time.count()));
  if (AverageUs <= 0) {
    AverageUs = Us;
    DeviationUs = Us / 2;
  }
  DeviationUs += (std::abs(Us - AverageUs) - DeviationUs) * SampleWeight;
  AverageUs += (Us - AverageUs) * SampleWeight;
  if (!WindowStart)
    WindowStart = Now;
  // Queries that started before this window may have queued at the higher
  // limit.
  if (CurrentStep == Step::Measure && Now - Time < *WindowStart)
    return;
  WindowSumUs += Us;
  ++WindowCount;
  if (!isWindowComplete(Now))
    return;
  endWindow(WindowSumUs / WindowCount, Now);
  WindowStart = Now;
  WindowSumUs = 0;
  WindowCount = 0;
  LimitReached = false;
}

bool ConcurrencyLimit::isWindowComplete(MonotonicTime Now) const {
  Duration Length = std::max(Options.WindowTime, *meanRunTime());
  return Now - *WindowStart >= Length && WindowCount >= Options.WindowSamples;
}

void ConcurrencyLimit::endWindow(double MeanUs, MonotonicTime Now) {
  switch (CurrentStep) {
  case Step::Normal:
    endNormalWindow(MeanUs, Now);
    return;
  case Step::Drain:
    CurrentStep = Step::Measure;
    return;
  case Step::Measure:
    endMeasureWindow(MeanUs, Now);
    return;
  }
}

void ConcurrencyLimit::endNormalWindow(double MeanUs, MonotonicTime Now) {
  bool IsFirst = BaseUs == 0;
  if (IsFirst || MeanUs < BaseUs)
    setBase(MeanUs, Now);
  adjustLimit(MeanUs);
  bool IsSlow = gradient(MeanUs) < SlowGradient;
  SlowWindows = IsSlow ? SlowWindows + 1 : 0;
  bool IsOld = Now - BaseMeasuredAt >= Options.BaseLifetime;
  if (!IsFirst && !IsOld && SlowWindows < MaxSlowWindows)
    return;
  // If the limit was not reached, nothing queued and the mean is a base.
  if (LimitReached)
    lowerProbeLimit(MeanUs);
  else
    setBase(MeanUs, Now);
}

void ConcurrencyLimit::lowerProbeLimit(double MeanUs) {
  ProbeLimit = std::max<double>(Options.Min, current() / 2.0);
  PreviousMeanUs = MeanUs;
  CurrentStep = Step::Drain;
}

void ConcurrencyLimit::endMeasureWindow(double MeanUs, MonotonicTime Now) {
  bool NoQueueing = MeanUs > NoQueueRatio * PreviousMeanUs;
  if (NoQueueing || ProbeLimit <= Options.Min) {
    CurrentStep = Step::Normal;
    setBase(MeanUs, Now);
    return;
  }
  lowerProbeLimit(MeanUs);
}

void ConcurrencyLimit::setBase(double MeanUs, MonotonicTime Now) {
  BaseUs = MeanUs;
  BaseMeasuredAt = Now;
  SlowWindows = 0;
}

double ConcurrencyLimit::gradient(double MeanUs) const {
  return std::clamp(Options.Tolerance * BaseUs / MeanUs, 0.5, 1.0);
}

void ConcurrencyLimit::adjustLimit(double MeanUs) {
  double Target = gradient(MeanUs) * Limit + std::sqrt(Limit);
  if (Target > Limit && !LimitReached)
    return;
  Limit += (Target - Limit) * Options.Smoothing;
  Limit = std::clamp(Limit, static_cast<double>(Options.Min),
                     static_cast<double>(Options.Max));
}

std::optional<Duration> ConcurrencyLimit::meanRunTime() const {
  if (AverageUs <= 0)
    return std::nullopt;
  return Duration(std::llround(AverageUs));
}

std::optional<Duration> ConcurrencyLimit::highRunTime() const {
  if (AverageUs <= 0)
    return std::nullopt;
  return Duration(std::llround(AverageUs + 2 * DeviationUs));
}

std::optional<double> ConcurrencyLimit::throughput() const {
  if (AverageUs <= 0)
    return std::nullopt;
  return current() * 1e6 / AverageUs;
}

} // namespace mimosa
