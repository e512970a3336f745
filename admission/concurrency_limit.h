// Adaptive limit on the number of queries that a host runs at once. The limit
// grows as long as running more queries at once does not make them slower, and
// shrinks when it does.
//
//   Limit.recordLimitReached();      // a query has to wait
//   Limit.completed(RunTime, Now);   // after each query
//   uint32_t Allowed = Limit.current();
//
// The algorithm is the gradient limit of Netflix's concurrency-limits (Landau,
// Thurston and Bozarth, "Performance Under Load", Netflix TechBlog 2018): after
// each window of completions
//
//   gradient = clamp(tolerance x base / mean, 0.5, 1)
//   limit    = gradient x limit + sqrt(limit), smoothed
//
// where mean is the average run time in the window and base the run time of a
// query that does not queue behind others. The limit grows only if it was
// reached in the window. With tolerance 2 it settles where queries take a
// little over twice their base time, which keeps the backend servers busy.
//
// The base is the lowest mean that was measured. It has to be able to rise, but
// under sustained load every mean includes queueing. Therefore, as in BBR
// (Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue
// 2016), the load is lowered briefly to measure the base again: at the start,
// when the base is 10 s old, and when queries have been much slower than the
// base for 5 windows, which means queueing or a lasting change. The limit is
// halved until halving it no longer shortens the run times in proportion; then
// there is no queueing. After each halving one window is not measured (Drain);
// then queries that started before the next window are left out of its mean.

#ifndef MIMOSA_ADMISSION_CONCURRENCY_LIMIT_H
#define MIMOSA_ADMISSION_CONCURRENCY_LIMIT_H

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace mimosa {

/// Settings of a ConcurrencyLimit.
struct ConcurrencyLimitOptions {
  uint32_t Initial = 64;
  uint32_t Min = 4;
  uint32_t Max = 2000;
  /// Ratio of mean run time to base above which the limit shrinks.
  double Tolerance = 2;
  /// Weight of the newly computed limit in each window.
  double Smoothing = 0.2;
  /// A window lasts at least WindowTime, the average run time and WindowSamples
  /// completions.
  Duration WindowTime = Milliseconds(100);
  uint32_t WindowSamples = 10;
  /// Age at which the base is measured again.
  Duration BaseLifetime = Seconds(10);
};

/// See the head of this file.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options = {})
      : Options(Options), Limit(Options.Initial) {}

  /// Number of queries that may run at once.
  uint32_t current() const;

  /// Records that a query has to wait because the limit is reached.
  void recordLimitReached() { LimitReached = true; }

  /// Records the run time of a query that was answered.
  void completed(Duration Time, MonotonicTime Now);

  /// Average run time, once a query has completed.
  std::optional<Duration> meanRunTime() const;

  /// Run time that most queries do not exceed, once a query has completed: the
  /// average plus two mean deviations (as in Jacobson, "Congestion Avoidance
  /// and Control", SIGCOMM 1988).
  std::optional<Duration> highRunTime() const;

  /// Completions per second while the limit is fully used, once a query has
  /// completed.
  std::optional<double> throughput() const;

private:
  /// Steps of the measurement of the base. Drain is the window after the limit
  /// was lowered, Measure the one in which the mean is taken.
  enum class Step { Normal, Drain, Measure };

  bool isWindowComplete(MonotonicTime Now) const;
  void endWindow(double MeanUs, MonotonicTime Now);
  void endNormalWindow(double MeanUs, MonotonicTime Now);
  void lowerProbeLimit(double MeanUs);
  void endMeasureWindow(double MeanUs, MonotonicTime Now);
  void setBase(double MeanUs, MonotonicTime Now);
  double gradient(double MeanUs) const;
  void adjustLimit(double MeanUs);

  ConcurrencyLimitOptions Options;
  double Limit;
  Step CurrentStep = Step::Normal;
  /// The lowered limit while the base is measured, and the mean run time before
  /// it was halved.
  double ProbeLimit = 0;
  double PreviousMeanUs = 0;
  /// Consecutive windows in which queries took much longer than the base.
  uint32_t SlowWindows = 0;
  bool LimitReached = false;
  /// Moving averages of the run time and of its deviation, in microseconds.
  double AverageUs = 0;
  double DeviationUs = 0;
  double BaseUs = 0;
  MonotonicTime BaseMeasuredAt;
  std::optional<MonotonicTime> WindowStart;
  double WindowSumUs = 0;
  uint32_t WindowCount = 0;
};

} // namespace mimosa

#endif // MIMOSA_ADMISSION_CONCURRENCY_LIMIT_H
