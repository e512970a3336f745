#include "abandonment/wait_time_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace mimosa {
namespace {

namespace bh = boost::histogram;

constexpr int BucketCount = 26;
constexpr double LowestUs = 1e3;
constexpr double HighestUs = 20e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

struct WaitTimeHistogram::Impl {
  bh::histogram<std::tuple<Axis>, bh::dense_storage<uint64_t>> Counts =
      bh::make_histogram_with(bh::dense_storage<uint64_t>(),
                              Axis(BucketCount, LowestUs, HighestUs));
};

WaitTimeHistogram::WaitTimeHistogram() : State(std::make_unique<Impl>()) {}
WaitTimeHistogram::~WaitTimeHistogram() = default;
WaitTimeHistogram::WaitTimeHistogram(WaitTimeHistogram &&) noexcept = default;
WaitTimeHistogram &
WaitTimeHistogram::operator=(WaitTimeHistogram &&) noexcept = default;

void WaitTimeHistogram::add(Duration Waited) {
  State->Counts(std::max(1.0, static_cast<double>(Waited.count())));
}

std::vector<WaitTimeBucket> WaitTimeHistogram::buckets() const {
  std::vector<WaitTimeBucket> All;
  uint64_t Sum = 0;
  for (int Bin = -1; Bin <= BucketCount; ++Bin) {
    Sum += State->Counts.at(Bin);
    Duration UpperBound = Duration::max();
    if (Bin < BucketCount)
      UpperBound = Duration(std::llround(State->Counts.axis(0).value(Bin + 1)));
    All.push_back({UpperBound, Sum});
  }
  return All;
}

} // namespace mimosa
