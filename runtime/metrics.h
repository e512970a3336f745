// Metrics of a process: counters, gauges and histograms with labels, rendered
// in the text format of Prometheus.
//
//   Counter &Queries = Registry.counter("mimosa_queries_total",
//                                       {{"service", "storm"}});
//   Queries.add();
//   Registry.histogram("mimosa_query_seconds", Labels).record(Elapsed);
//
// References to metrics stay valid for the lifetime of the registry.

#ifndef MIMOSA_RUNTIME_METRICS_H
#define MIMOSA_RUNTIME_METRICS_H

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mimosa {

using Labels = std::map<std::string, std::string>;

class Counter {
public:
  void add(uint64_t Count = 1) { Value += Count; }
  uint64_t value() const { return Value; }

private:
  uint64_t Value = 0;
};

/// A histogram of durations (Boost.Histogram) with logarithmic buckets
/// from 100 us to 100 s, 20 per decade.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  void record(Duration Time);
  uint64_t count() const;
  /// Upper bound of the bucket with quantile \p Q (0 to 1); 0 if the histogram
  /// is empty.
  Duration quantile(double Q) const;
  /// The histogram in the text format of Prometheus.
  std::string render(const std::string &Name, const Labels &L) const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

class MetricsRegistry {
public:
  /// Returns the metric, which is created at the first call.
  Counter &counter(const std::string &Name, const Labels &L = {});
  LatencyHistogram &histogram(const std::string &Name, const Labels &L = {});
  /// Registers a gauge whose value is read by \p Read in render(). If \p Name
  /// ends in "_total", the metric is rendered as a counter.
  void gauge(const std::string &Name, const Labels &L,
             std::function<double()> Read);

  /// All metrics in the text format of Prometheus.
  std::string render() const;

private:
  using Key = std::pair<std::string, Labels>;
  std::map<Key, std::unique_ptr<Counter>> Counters;
  std::map<Key, std::unique_ptr<LatencyHistogram>> Histograms;
  std::map<Key, std::function<double()>> Gauges;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_METRICS_H
