#include "abandonment/waited_times.h"

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

struct WaitedTimes::Impl {
  bh::histogram<std::tuple<Axis>, bh::dense_storage<uint64_t>> Counts =
      bh::make_histogram_with(bh::dense_storage<uint64_t>(),
                              Axis(BucketCount, LowestUs, HighestUs));
};

WaitedTimes::WaitedTimes() : State(std::make_unique<Impl>()) {}
WaitedTimes::~WaitedTimes() = default;
WaitedTimes::WaitedTimes(WaitedTimes &&) noexcept = default;
WaitedTimes &WaitedTimes::operator=(WaitedTimes &&) noexcept = default;

void WaitedTimes::add(Duration Waited) {
  State->Counts(std::max(1.0, static_cast<double>(Waited.count())));
}

std::vector<WaitedBucket> WaitedTimes::buckets() const {
  std::vector<WaitedBucket> All;
  uint64_t Sum = 0;
  for (int Bin = -1; Bin <= BucketCount; ++Bin) {
    Sum += State->Counts.at(Bin);
    Duration UpTo = Duration::max();
    if (Bin < BucketCount)
      UpTo = Duration(std::llround(State->Counts.axis(0).value(Bin + 1)));
    All.push_back({UpTo, Sum});
  }
  return All;
}

} // namespace mimosa
