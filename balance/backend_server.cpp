#include "balance/backend_server.h"

#include <algorithm>
#include <cmath>

namespace mimosa {

namespace {

/// Weight of a new sample in the average: a backend server that becomes slow is
/// detected after two answers, and one outlier does not drive requests away
/// from it.
constexpr double LatencyWeight = 0.25;
/// Time constant of the decay to 1 without samples. The users' backend servers
/// are slow for 5 to 10 s at a time.
constexpr Duration LatencyDecayTime = Seconds(4);
constexpr double MinRelativeLatency = 0.3;
constexpr double MaxRelativeLatency = 30;
/// Weight of one request in the failure rate.
constexpr double FailureWeight = 0.2;
constexpr Duration FailureDecayTime = Seconds(3);
/// Relative increase of the cost at a failure rate of 1.
constexpr double FailurePenalty = 4;
/// Relative increase of the cost for each request in flight from this host,
/// which counts as a part of a slot.
constexpr double InFlightPenalty = 0.4;
/// Latency of a cold backend server relative to a warm one.
constexpr double ColdPenalty = 1.6;
/// A request in flight for longer than this many expected latencies indicates
/// that the backend server is paused. The pause is then expected to last as
/// long again.
constexpr double StallFactor = 2.5;
/// The users' backend servers pause for 200 to 250 ms.
constexpr Duration MinEjectionTime = Milliseconds(250);
constexpr Duration MaxEjectionTime = Milliseconds(2000);
constexpr uint32_t MaxDoublings = 3;

/// Factor of a host's limit on requests in flight after a declined request.
constexpr double DeclineFactor = 0.75;
/// Least limit: one request in two latencies still shows whether the backend
/// server accepts requests again.
constexpr double MinDeclineLimit = 0.5;
/// A limit that has risen to this is no longer needed: the usual limits of
/// hosts that share a backend server are lower.
constexpr double MaxDeclineLimit = 64;

double decayed(double Value, Duration Age, Duration DecayTime) {
  return Value * std::exp(-inSeconds(Age) / inSeconds(DecayTime));
}

} // namespace

void BackendServer::update(BackendServerEntry NewEntry, MonotonicTime Now) {
  bool Restarted = NewEntry.StartedAtMs != Entry.StartedAtMs;
  if (Restarted || NewEntry.Sequence > Entry.Sequence)
    Replaced = false;
  Entry = std::move(NewEntry);
  Removed = false;
  ColdUntil = Now + Entry.ColdRemaining;
  if (!Restarted)
    return;
  RelativeLatency = 1;
  FailureRate = 0;
  ConsecutiveFailures = 0;
  EjectedUntil = Now;
  DeclineLimit = std::numeric_limits<double>::max();
  DeclinePauseUntil = Now;
}

void BackendServer::recordDecline(MonotonicTime SentAt, uint32_t Limit,
                                  Duration Latency, MonotonicTime Now) {
  // Requests that were sent before the limit fell say nothing about it.
  if (SentAt < DeclineLimitLoweredAt)
    return;
  DeclineLimit = std::max(
      MinDeclineLimit, DeclineFactor * std::min<double>(DeclineLimit, Limit));
  DeclineLimitLoweredAt = Now;
  if (DeclineLimit < 1)
    DeclinePauseUntil = Now + scaled(Latency, 1 / DeclineLimit - 1);
}

void BackendServer::recordSend(MonotonicTime Now) {
  SentTimes.push_back(Now);
  LastSentAt = Now;
  if (!cold(Now)) {
    ColdSends.clear();
    return;
  }
  while (!ColdSends.empty() && Now - ColdSends.front() >= Seconds(1))
    ColdSends.erase(ColdSends.begin());
  ColdSends.push_back(Now);
}

MonotonicTime BackendServer::nextColdSendAt(double Limit,
                                            MonotonicTime Now) const {
  if (!cold(Now) || static_cast<double>(ColdSends.size()) + 1 <= Limit)
    return Now;
  if (Limit < 1)
    return ColdUntil;
  // Of the sends in the second before it, one less than the limit may be left.
  size_t Oldest = ColdSends.size() - static_cast<size_t>(Limit);
  return std::min(ColdUntil, ColdSends[Oldest] + Seconds(1));
}

void BackendServer::recordEnd(MonotonicTime SentAt) {
  auto It = std::find(SentTimes.begin(), SentTimes.end(), SentAt);
  if (It != SentTimes.end())
    SentTimes.erase(It);
}

double BackendServer::relativeLatency(MonotonicTime Now) const {
  return 1 + decayed(RelativeLatency - 1, Now - LatencyAt, LatencyDecayTime);
}

void BackendServer::recordLatency(double Relative, MonotonicTime Now) {
  double Sample = std::clamp(Relative, MinRelativeLatency, MaxRelativeLatency);
  RelativeLatency =
      relativeLatency(Now) + LatencyWeight * (Sample - relativeLatency(Now));
  LatencyAt = Now;
  // One request more for as many answers as the limit allows at a time.
  DeclineLimit += 1 / std::max(1.0, DeclineLimit);
  if (DeclineLimit > MaxDeclineLimit)
    DeclineLimit = std::numeric_limits<double>::max();
  FailureRate = failureRate(Now) * (1 - FailureWeight);
  FailureRateAt = Now;
  ConsecutiveFailures = 0;
}

void BackendServer::recordStall(double Relative, MonotonicTime Now) {
  double Sample = std::clamp(Relative, MinRelativeLatency, MaxRelativeLatency);
  if (Sample <= relativeLatency(Now))
    return;
  RelativeLatency =
      relativeLatency(Now) + LatencyWeight * (Sample - relativeLatency(Now));
  LatencyAt = Now;
}

double BackendServer::failureRate(MonotonicTime Now) const {
  return decayed(FailureRate, Now - FailureRateAt, FailureDecayTime);
}

void BackendServer::recordFailure(BackendFailure Failure, MonotonicTime Now) {
  if (Failure == BackendFailure::Replaced)
    Replaced = true;
  FailureRate = failureRate(Now) + FailureWeight * (1 - failureRate(Now));
  FailureRateAt = Now;
  if (Failure != BackendFailure::NoAnswer &&
      Failure != BackendFailure::Malformed)
    return;
  ++ConsecutiveFailures;
  if (!ejected())
    return;
  uint32_t Doublings =
      std::min(ConsecutiveFailures - EjectAfterFailures, MaxDoublings);
  EjectedUntil =
      Now + std::min(MaxEjectionTime, MinEjectionTime * (1 << Doublings));
}

double BackendServer::cost(Duration TypicalLatency, MonotonicTime Now) const {
  double Cost = relativeLatency(Now) * (1 + InFlightPenalty * inFlight());
  if (!SentTimes.empty()) {
    double Age = inSeconds(Now - SentTimes.front()) / inSeconds(TypicalLatency);
    if (Age > StallFactor * std::max(1.0, relativeLatency(Now)))
      Cost += Age;
  }
  if (cold(Now))
    Cost *= ColdPenalty;
  return Cost * (1 + FailurePenalty * failureRate(Now));
}

} // namespace mimosa
