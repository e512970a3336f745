// Histograms of the time that callers waited before they gave up.

#ifndef MIMOSA_ABANDONMENT_WAIT_TIME_HISTOGRAM_H
#define MIMOSA_ABANDONMENT_WAIT_TIME_HISTOGRAM_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mimosa {

/// One bucket, in the form that Prometheus uses.
struct WaitTimeBucket {
  /// Upper bound; the last bucket has Duration::max().
  Duration UpperBound{0};
  /// Callers who waited at most this time.
  uint64_t CumulativeCount = 0;
};

/// A histogram with logarithmic buckets from 1 ms to 20 s.
class WaitTimeHistogram {
public:
  WaitTimeHistogram();
  ~WaitTimeHistogram();
  WaitTimeHistogram(WaitTimeHistogram &&) noexcept;
  WaitTimeHistogram &operator=(WaitTimeHistogram &&) noexcept;

  void add(Duration Waited);

  /// Ascending and cumulative.
  std::vector<WaitTimeBucket> buckets() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_ABANDONMENT_WAIT_TIME_HISTOGRAM_H
