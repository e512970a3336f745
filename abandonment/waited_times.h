// Histograms of the time that callers waited before they gave up.

#ifndef MIMOSA_ABANDONMENT_WAITED_TIMES_H
#define MIMOSA_ABANDONMENT_WAITED_TIMES_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mimosa {

/// One bucket, in the form that Prometheus uses.
struct WaitedBucket {
  /// Upper bound; the last bucket has Duration::max().
  Duration UpTo{0};
  /// Callers who waited at most this time.
  uint64_t Cumulative = 0;
};

/// A histogram with logarithmic buckets from 1 ms to 20 s.
class WaitedTimes {
public:
  WaitedTimes();
  ~WaitedTimes();
  WaitedTimes(WaitedTimes &&) noexcept;
  WaitedTimes &operator=(WaitedTimes &&) noexcept;

  void add(Duration Waited);

  /// Ascending and cumulative.
  std::vector<WaitedBucket> buckets() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_ABANDONMENT_WAITED_TIMES_H
