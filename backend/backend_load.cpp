#include "backend/backend_load.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

constexpr double SampleWeight = 1.0 / 8;
// With this weight it takes six slow samples in a row for a share above one
// half. One sample in 20 is above the hedge delay, so a healthy backend server
// has such a row once in 64 million samples.
constexpr double SlowWeight = 1.0 / 8;
constexpr int SlowFactor = 4;
constexpr Duration DriftTime = Seconds(5);
constexpr Duration ReportLifetime = Seconds(1);
constexpr Duration ProbeInterval = Seconds(5);
// Further sub-requests in flight to one backend server are counted without a
// send time; a backend server has 2 to 6 slots.
constexpr size_t MaxSentTimes = 64;

} // namespace

void BackendLoad::onSubRequestSent(MonotonicTime Now) {
  ++InFlight;
  if (SentTimes.size() < MaxSentTimes)
    SentTimes.push_back(Now);
}

void BackendLoad::removeSentTime(MonotonicTime SentAt) {
  auto Later = std::lower_bound(SentTimes.begin(), SentTimes.end(), SentAt);
  if (Later == SentTimes.end() && Later != SentTimes.begin())
    --Later;
  if (Later != SentTimes.end())
    SentTimes.erase(Later);
}

std::optional<Duration> BackendLoad::takeLatencyLowerBound(MonotonicTime Now) {
  if (SentTimes.empty())
    return std::nullopt;
  Duration Elapsed = Now - SentTimes.front();
  SentTimes.erase(SentTimes.begin());
  return Elapsed;
}

std::optional<Duration>
BackendLoad::onSubRequestEnded(std::optional<Duration> Latency,
                               const ServiceLatency &Service,
                               MonotonicTime Now) {
  // The count is zero if the backend server was removed from the configuration
  // and added again while the sub-request was in flight.
  if (InFlight > 0)
    --InFlight;
  double Mean = meanUs(Service.Mean, Now);
  std::optional<Duration> Sample = Latency;
  if (Latency)
    removeSentTime(Now - *Latency);
  else
    Sample = takeLatencyLowerBound(Now);
  if (!Sample)
    return std::nullopt;
  auto SampleUs = static_cast<double>(Sample->count());
  if (!Latency && SampleUs <= Mean)
    return std::nullopt;
  if (Mean <= 0)
    Mean = SampleUs;
  MeanUs = Mean + (SampleUs - Mean) * SampleWeight;
  Sampled = true;
  LastSample = Now;
  double Slow = isSlow(*Sample, !Latency, Service) ? 1 : 0;
  SlowShare += (Slow - SlowShare) * SlowWeight;
  return Sample;
}

bool BackendLoad::isSlow(Duration Sample, bool Cancelled,
                         const ServiceLatency &Service) const {
  if (Cancelled && Sample >= Service.HedgeDelay)
    return true;
  return Service.Mean > Duration::zero() && Sample >= SlowFactor * Service.Mean;
}

void BackendLoad::onOwnerReport(uint32_t NewQueueLength, uint32_t NewLimit,
                                MonotonicTime Now) {
  QueueLength = NewQueueLength;
  Limit = std::max<uint32_t>(1, NewLimit);
  ReportedAt = Now;
}

double BackendLoad::meanUs(Duration ServiceMean, MonotonicTime Now) const {
  auto ServiceUs = static_cast<double>(ServiceMean.count());
  if (!Sampled)
    return ServiceUs;
  if (straggler())
    return MeanUs;
  double OwnShare = 1 - inSeconds(Now - LastSample) / inSeconds(DriftTime);
  return ServiceUs + (MeanUs - ServiceUs) * std::max(0.0, OwnShare);
}

Duration BackendLoad::expectedLatency(Duration ServiceMean,
                                      MonotonicTime Now) const {
  double Ahead = InFlight;
  if (ReportedAt != MonotonicTime::min() && Now - ReportedAt <= ReportLifetime)
    Ahead += static_cast<double>(QueueLength) / Limit;
  return Duration(std::llround(meanUs(ServiceMean, Now) * (Ahead + 1)));
}

bool BackendLoad::probeDue(MonotonicTime Now) const {
  if (!straggler() || InFlight > 0)
    return false;
  return LastProbe == MonotonicTime::min() || Now - LastProbe >= ProbeInterval;
}

} // namespace mimosa
