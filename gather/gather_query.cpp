#include "gather/gather_query.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Round trip to a caller if it has not been measured.
constexpr Duration DefaultRoundTrip = Milliseconds(6);
/// A longer round trip was measured while the link was full, and is that of
/// few packets.
constexpr Duration MaxRoundTrip = Milliseconds(20);
/// Time from the decision to answer until the answer is on its way, and spread
/// of the round trip. With 2 ms, a third of the answers to urgent queries
/// arrived a few milliseconds after their target.
constexpr Duration AnswerMargin = Milliseconds(5);
/// A partial answer is not given before this share of the target latency.
constexpr double MinPartialShare = 0.5;
/// Records of a shard result for each record that is asked for.
constexpr size_t MaxRecordsPerResult = 64;
/// Share of the shards whose answers show the progress of a query; the others
/// may have failing backend servers.
constexpr double MostShards = 0.9;
/// Always allowed for a shard result.
constexpr size_t MinShardResultLimit = 256 * 1024;
} // namespace

GatherTimes gatherTimes(const Route &R, MonotonicTime ArrivedAt,
                        MonotonicTime Deadline, const CallerPath &Path) {
  Duration RoundTrip = Path.RoundTrip > Duration(0)
                           ? std::min<Duration>(Path.RoundTrip, MaxRoundTrip)
                           : DefaultRoundTrip;
  // The connection takes one round trip, the request and its answer another.
  Duration OnTheWay = RoundTrip * (Path.NewConnection ? 2 : 1);
  Duration PartialDelay =
      std::max<Duration>(R.TargetLatency - OnTheWay - AnswerMargin,
                         scaled(R.TargetLatency, MinPartialShare));
  return {std::min(ArrivedAt + PartialDelay, Deadline), Deadline};
}

CoverageForecast forecastCoverage(const Route &R, CallRequest Call,
                                  CallScheduler &Scheduler, MonotonicTime Now) {
  std::vector<CoverageForecast> Late;
  for (const ServiceId &Shard : R.Shards) {
    Call.Service = Shard;
    MonotonicTime SendAt =
        Scheduler.expectedSendAt(Shard, Call.Priority, Call.Team, Now);
    if (SendAt == MonotonicTime::max())
      Late.push_back({CallReason::Unavailable, Duration::max()});
    else if (SendAt > Call.UsefulUntil)
      Late.push_back({CallReason::HeldBack, SendAt - Now});
    else if (Duration Excess = Scheduler.expectedLateness(Call, Now);
             Excess > Duration(0))
      Late.push_back({CallReason::Overloaded, Excess});
  }
  size_t Ready = R.Shards.size() - Late.size();
  if (Ready >= R.minShardResults())
    return {};
  // The shard with which the minimum coverage can be reached.
  auto Decisive = Late.begin() +
                  static_cast<std::ptrdiff_t>(R.minShardResults() - Ready - 1);
  std::nth_element(Late.begin(), Decisive, Late.end(),
                   [](const CoverageForecast &A, const CoverageForecast &B) {
                     return A.AvailableIn < B.AvailableIn;
                   });
  if (Decisive->Obstacle == CallReason::Unavailable)
    Decisive->AvailableIn = Duration(0);
  return *Decisive;
}

size_t maxShardResultBytes(const Route &R) {
  return std::max(MinShardResultLimit,
                  MaxRecordsPerResult * R.TopK * RecordBytes);
}

GatherQuery::GatherQuery(const Route &R, GatherTimes Times)
    : TotalShards(R.Shards.size()), MinResults(R.minShardResults()),
      Times(Times), Merged(R.TopK) {
  Signatures.reserve(TotalShards);
}

void GatherQuery::addResult(const CallResult &Result) {
  ++EndedCalls;
  LostAttempts += Result.LostAttempts;
  if (Result.Outcome != CallOutcome::NotRun)
    MayHaveRun = true;
  if (Result.Outcome != CallOutcome::Answered || !Result.Answer.success()) {
    LastReason = Result.Reason;
    return;
  }
  Signatures.push_back(Result.Answer.Signature);
  Merged.add(Result.Answer.Body);
}

GatherDecision GatherQuery::decide(MonotonicTime Now) {
  size_t Results = Signatures.size();
  if (!MostAnsweredAt && static_cast<double>(Results) >=
                             MostShards * static_cast<double>(TotalShards))
    MostAnsweredAt = Now;
  bool CoverageReached = Results >= MinResults;
  if (EndedCalls == TotalShards || Now >= Times.Deadline)
    return CoverageReached ? GatherDecision::Answer : GatherDecision::Fail;
  if (Results + (TotalShards - EndedCalls) < MinResults)
    return GatherDecision::Fail;
  if (CoverageReached && Now >= Times.PartialFrom)
    return GatherDecision::Answer;
  return GatherDecision::Wait;
}

MonotonicTime GatherQuery::nextWakeUp(MonotonicTime Now) const {
  return Now < Times.PartialFrom ? Times.PartialFrom : Times.Deadline;
}

} // namespace mimosa
