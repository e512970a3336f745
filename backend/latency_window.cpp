#include "backend/latency_window.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {
namespace {

namespace bh = boost::histogram;

constexpr size_t SliceCount = 10;
constexpr Duration SliceLength = Milliseconds(500);
constexpr Duration RefreshInterval = Milliseconds(100);
// 160 logarithmic bins over 50 us to 20 s are 8% wide each, which is finer than
// the jitter of a measured percentile.
constexpr int BinCount = 160;
constexpr double LowestUs = 50;
constexpr double HighestUs = 20e6;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using SliceHistogram =
    bh::histogram<std::tuple<LogAxis>, bh::dense_storage<uint32_t>>;

SliceHistogram emptySlice() {
  return bh::make_histogram_with(bh::dense_storage<uint32_t>(),
                                 LogAxis(BinCount, LowestUs, HighestUs));
}

} // namespace

struct LatencyWindow::Impl {
  explicit Impl(LatencyWindowOptions Options)
      : Options(Options), Slices(SliceCount, emptySlice()),
        Delay(std::max(Options.Initial, Options.Floor)) {}

  void advance(MonotonicTime Now) {
    int64_t Slice = Now.time_since_epoch() / SliceLength;
    if (!CurrentSlice)
      CurrentSlice = Slice;
    int64_t Passed = Slice - *CurrentSlice;
    if (Passed <= 0)
      return;
    int64_t ToClear = std::min<int64_t>(Passed, SliceCount);
    for (int64_t I = 0; I < ToClear; ++I)
      Slices[static_cast<size_t>(Slice - I) % SliceCount].reset();
    CurrentSlice = Slice;
  }

  void refresh(MonotonicTime Now) {
    if (RefreshedAt && Now - *RefreshedAt < RefreshInterval)
      return;
    RefreshedAt = Now;
    advance(Now);
    std::array<uint64_t, BinCount + 2> Sums = {};
    uint64_t Total = 0;
    for (const SliceHistogram &Slice : Slices)
      for (size_t I = 0; I < Sums.size(); ++I)
        Sums[I] += Slice.at(static_cast<int>(I) - 1);
    for (uint64_t Sum : Sums)
      Total += Sum;
    if (Total >= Options.MinSamples)
      Delay = std::max(Options.Floor, quantile(Sums, Total));
  }

  /// The upper edge of the bin that holds the quantile. Latencies within a bin
  /// are not distinguished, and with a delay below them all of them would be
  /// hedged. \p Sums begins with the underflow bin and ends with the overflow
  /// bin.
  Duration quantile(const std::array<uint64_t, BinCount + 2> &Sums,
                    uint64_t Total) const {
    double Rank = Options.Quantile * static_cast<double>(Total);
    double Below = 0;
    for (size_t I = 0; I <= BinCount; ++I) {
      auto Count = static_cast<double>(Sums[I]);
      if (Count > 0 && Below + Count >= Rank)
        return upperEdge(static_cast<int>(I) - 1);
      Below += Count;
    }
    return Duration(static_cast<int64_t>(HighestUs));
  }

  Duration upperEdge(int Bin) const {
    if (Bin < 0)
      return Duration(static_cast<int64_t>(LowestUs));
    double Us = Slices[0].axis(0).value(Bin + 1);
    return Duration(std::llround(Us));
  }

  LatencyWindowOptions Options;
  std::vector<SliceHistogram> Slices;
  std::optional<int64_t> CurrentSlice;
  std::optional<MonotonicTime> RefreshedAt;
  Duration Delay;
};

LatencyWindow::LatencyWindow(LatencyWindowOptions Options)
    : State(std::make_unique<Impl>(Options)) {}
LatencyWindow::~LatencyWindow() = default;
LatencyWindow::LatencyWindow(LatencyWindow &&) noexcept = default;
LatencyWindow &LatencyWindow::operator=(LatencyWindow &&) noexcept = default;

void LatencyWindow::record(Duration Latency, MonotonicTime Now) {
  State->advance(Now);
  auto Slice = static_cast<size_t>(*State->CurrentSlice) % SliceCount;
  State->Slices[Slice](std::max(1.0, static_cast<double>(Latency.count())));
}

Duration LatencyWindow::hedgeDelay(MonotonicTime Now) const {
  State->refresh(Now);
  return State->Delay;
}

} // namespace mimosa
