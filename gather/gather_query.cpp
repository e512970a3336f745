#include "gather/gather_query.h"

#include <algorithm>

namespace mimosa {

namespace {
/// A partial answer is given so long before the target, which the caller counts
/// from its connection: two ways there and back of 3 ms, and some delay.
constexpr Duration PartialMargin = Milliseconds(14);
/// But not before this share of a short target.
constexpr double LeastPartialShare = 0.8;
} // namespace

GatherTimes gatherTimes(const Route &R, MonotonicTime Arrived,
                        MonotonicTime Deadline) {
  auto MinPartial = static_cast<int64_t>(
      static_cast<double>(R.TargetLatency.count()) * LeastPartialShare);
  Duration Partial =
      std::max<Duration>(R.TargetLatency - PartialMargin, Duration(MinPartial));
  return {std::min(Arrived + Partial, Deadline), Deadline};
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
  bool Enough = Results >= MinResults;
  if (EndedCalls == TotalShards || Now >= Times.Deadline)
    return Enough ? GatherDecision::Answer : GatherDecision::Fail;
  if (Results + (TotalShards - EndedCalls) < MinResults)
    return GatherDecision::Fail;
  if (Enough && Now >= Times.PartialFrom)
    return GatherDecision::Answer;
  return GatherDecision::Wait;
}

MonotonicTime GatherQuery::nextWakeUp(MonotonicTime Now) const {
  return Now < Times.PartialFrom ? Times.PartialFrom : Times.Deadline;
}

} // namespace mimosa
