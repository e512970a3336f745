// How many queries a host runs at once. The limit follows the time that queries
// take: it grows while more of them at once do not make each of them slower,
// and shrinks when they do.
//
// The rule is the gradient limit of Netflix's concurrency-limits (Landau,
// Thurston and Bozarth, "Performance Under Load", Netflix TechBlog 2018): after
// each window of completions
//
//   gradient = clamp(tolerance x base / mean, 0.5, 1)
//   limit    = gradient x limit + sqrt(limit), smoothed
//
// where mean is the average time of the window and base the time of a query
// without queueing behind others. The limit grows only if it was reached in the
// window. With tolerance 2 it settles where queries take a little over twice
// their base time, which keeps everything behind this host busy.
//
// The base is the lowest mean that was seen. It has to be able to rise, but
// under lasting load every mean contains queueing. As in BBR (Cardwell et al.,
// "BBR: Congestion-Based Congestion Control", ACM Queue 2016) the load is
// therefore lowered for a moment to measure the base anew: at the start, when
// the base is 10 s old, and when queries have taken much longer for 5 windows,
// which is queueing or a lasting change. The limit is halved until halving it
// no longer shortens the queries in proportion; then nothing queues. After each
// halving the queries that were sent before it are waited for.

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
  double Tolerance = 2;
  /// Share of the computed limit that is taken over per window.
  double Smoothing = 0.2;
  /// A window ends after this time, the average time of a query and this number
  /// of completions.
  Duration WindowTime = Milliseconds(100);
  uint32_t WindowSamples = 10;
  Duration BaseLifetime = Seconds(10);
};

/// See the head of this file.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions Options = {})
      : Options(Options), Limit(Options.Initial) {}

  /// Queries that may run at once.
  uint32_t current() const;

  /// Notes that a query had to wait for the limit.
  void reached() { WasReached = true; }

  /// Notes that a query that was not cut short took \p Time.
  void completed(Duration Time, MonotonicTime Now);

  /// Average time of a query; nothing until the first has completed.
  std::optional<Duration> meanTime() const;

  /// Time that most queries do not exceed: the average and two mean deviations
  /// (as in Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988);
  /// nothing until the first has completed.
  std::optional<Duration> highTime() const;

  /// Completions per second when the limit is in use; nothing until the first
  /// query has completed.
  std::optional<double> capacity() const;

private:
  /// The steps of measuring the base anew.
  enum class Step { Normal, Drain, Measure };

  bool windowEnds(MonotonicTime Now) const;
  void endWindow(double MeanUs, MonotonicTime Now);
  void endNormalWindow(double MeanUs, MonotonicTime Now);
  void lowerProbeLimit(double MeanUs);
  void endMeasureWindow(double MeanUs, MonotonicTime Now);
  void takeBase(double MeanUs, MonotonicTime Now);
  double gradient(double MeanUs) const;
  void adjust(double MeanUs);

  ConcurrencyLimitOptions Options;
  double Limit;
  Step Measuring = Step::Normal;
  /// The lowered limit while the base is measured, and the mean time at twice
  /// this limit.
  double ProbeLimit = 0;
  double PreviousUs = 0;
  /// Windows in a row in which queries took much longer than the base.
  uint32_t StrainedWindows = 0;
  bool WasReached = false;
  /// Moving average of the time and of its deviation, in microseconds.
  double RecentUs = 0;
  double DeviationUs = 0;
  double BaseUs = 0;
  MonotonicTime BaseAt;
  std::optional<MonotonicTime> WindowStart;
  double WindowSumUs = 0;
  uint32_t WindowCount = 0;
};

} // namespace mimosa

#endif // MIMOSA_ADMISSION_CONCURRENCY_LIMIT_H
