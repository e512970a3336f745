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

MonotonicTime coverageAvailableAt(const Route &R, uint32_t Priority,
                                  const CallScheduler &Scheduler,
                                  MonotonicTime Now) {
  // The times of the shards that have to wait.
  std::vector<MonotonicTime> Later;
  for (const ServiceId &Shard : R.Shards) {
    MonotonicTime At = Scheduler.expectedSendAt(Shard, Priority, Now);
    if (At > Now)
      Later.push_back(At);
  }
  size_t Ready = R.Shards.size() - Later.size();
  if (Ready >= R.minShardResults())
    return Now;
  auto Decisive = Later.begin() +
                  static_cast<std::ptrdiff_t>(R.minShardResults() - Ready - 1);
  std::nth_element(Later.begin(), Decisive, Later.end());
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

GatherDecision GatherQuery::decide(MonotonicTime Now) const {
  size_t Results = Signatures.size();
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
