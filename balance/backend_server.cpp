#include "balance/backend_server.h"

#include <algorithm>
#include <cmath>

namespace mimosa {

namespace {

/// Weight of a new latency in the average. A backend server that turns slow is
/// recognised after two answers, and one outlier does not drive it away.
constexpr double SpeedWeight = 0.25;
/// Without samples the speed drifts back to 1 with this time constant; slow
/// spells of the users' backend servers last 5 to 10 s.
constexpr Duration SpeedMemory = Seconds(4);
constexpr double FastestSpeed = 0.3;
constexpr double SlowestSpeed = 30;
/// Weight of one request in the share of failed ones.
constexpr double FailWeight = 0.2;
constexpr Duration FailMemory = Seconds(3);
/// How strongly the share of failed requests counts against a backend server.
constexpr double FailPenalty = 4;
/// Each request in flight from this host stands for a part of a slot.
constexpr double InFlightPenalty = 0.4;
/// A cold backend server takes about this much longer.
constexpr double ColdPenalty = 1.6;
/// A request in flight for longer than this many typical latencies shows a
/// pause; the time left is then taken to be as long again.
constexpr double StalledAfter = 2.5;
/// First time aside after failures, and the longest. Pauses of the users'
/// backend servers take 200 to 250 ms.
constexpr Duration FirstBackoff = Milliseconds(250);
constexpr Duration LongestBackoff = Milliseconds(2000);
constexpr uint32_t MaxDoublings = 3;

double decayed(double Value, Duration Age, Duration Memory) {
  return Value * std::exp(-inSeconds(Age) / inSeconds(Memory));
}

} // namespace

void BackendServer::describe(BackendServerEntry NewEntry, MonotonicTime Now) {
  bool Restarted = NewEntry.BornMs != Entry.BornMs;
  if (Restarted || NewEntry.Sequence > Entry.Sequence)
    Replaced = false;
  Entry = std::move(NewEntry);
  Removed = false;
  ColdUntil = Now + Entry.ColdLeft;
  if (!Restarted)
    return;
  Speed = 1;
  FailShare = 0;
  FailuresInRow = 0;
  RetryAt = Now;
}

void BackendServer::sent(MonotonicTime Now) {
  SentTimes.push_back(Now);
  if (!cold(Now)) {
    RecentSends.clear();
    return;
  }
  while (!RecentSends.empty() && Now - RecentSends.front() >= Seconds(1))
    RecentSends.erase(RecentSends.begin());
  RecentSends.push_back(Now);
}

uint32_t BackendServer::sentThisSecond(MonotonicTime Now) const {
  return static_cast<uint32_t>(
      std::count_if(RecentSends.begin(), RecentSends.end(),
                    [Now](MonotonicTime At) { return Now - At < Seconds(1); }));
}

void BackendServer::ended(MonotonicTime SentAt) {
  auto Found = std::find(SentTimes.begin(), SentTimes.end(), SentAt);
  if (Found != SentTimes.end())
    SentTimes.erase(Found);
}

double BackendServer::speed(MonotonicTime Now) const {
  return 1 + decayed(Speed - 1, Now - SpeedAt, SpeedMemory);
}

void BackendServer::answered(double Relative, MonotonicTime Now) {
  double Sample = std::clamp(Relative, FastestSpeed, SlowestSpeed);
  Speed = speed(Now) + SpeedWeight * (Sample - speed(Now));
  SpeedAt = Now;
  FailShare = failShare(Now) * (1 - FailWeight);
  FailAt = Now;
  FailuresInRow = 0;
}

void BackendServer::stalled(double Relative, MonotonicTime Now) {
  double Sample = std::clamp(Relative, FastestSpeed, SlowestSpeed);
  if (Sample <= speed(Now))
    return;
  Speed = speed(Now) + SpeedWeight * (Sample - speed(Now));
  SpeedAt = Now;
}

double BackendServer::failShare(MonotonicTime Now) const {
  return decayed(FailShare, Now - FailAt, FailMemory);
}

void BackendServer::failed(BackendFailure Failure, MonotonicTime Now) {
  if (Failure == BackendFailure::Replaced)
    Replaced = true;
  FailShare = failShare(Now) + FailWeight * (1 - failShare(Now));
  FailAt = Now;
  if (Failure != BackendFailure::Down)
    return;
  ++FailuresInRow;
  if (!suspect())
    return;
  uint32_t Doublings = std::min(FailuresInRow - SuspectAfter, MaxDoublings);
  RetryAt = Now + std::min(LongestBackoff, FirstBackoff * (1 << Doublings));
}

double BackendServer::cost(Duration Typical, MonotonicTime Now) const {
  double Cost = speed(Now) * (1 + InFlightPenalty * inFlight());
  if (!SentTimes.empty()) {
    double Age = inSeconds(Now - SentTimes.front()) / inSeconds(Typical);
    if (Age > StalledAfter * std::max(1.0, speed(Now)))
      Cost += Age;
  }
  if (cold(Now))
    Cost *= ColdPenalty;
  return Cost * (1 + FailPenalty * failShare(Now));
}

} // namespace mimosa
