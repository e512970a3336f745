// Histogram of the time that callers waited before their request was abandoned.

#ifndef MIMOSA_ABANDONMENT_WAIT_TIME_HISTOGRAM_H
#define MIMOSA_ABANDONMENT_WAIT_TIME_HISTOGRAM_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mimosa {

/// A cumulative bucket, as in Prometheus.
struct WaitTimeBucket {
  /// Duration::max() in the last bucket.
  Duration UpperBound{0};
  /// Number of wait times below UpperBound.
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

  /// All buckets, in ascending order.
  std::vector<WaitTimeBucket> buckets() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_ABANDONMENT_WAIT_TIME_HISTOGRAM_H
