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
  auto Least = static_cast<int64_t>(static_cast<double>(R.Target.count()) *
                                    LeastPartialShare);
  Duration Partial =
      std::max<Duration>(R.Target - PartialMargin, Duration(Least));
  return {std::min(Arrived + Partial, Deadline), Deadline};
}

GatherQuery::GatherQuery(const Route &R, GatherTimes Times)
    : Total(R.Shards.size()), Least(R.leastParts()), Times(Times),
      Top(R.TopRecords) {
  Signatures.reserve(Total);
}

void GatherQuery::part(const CallResult &Result) {
  ++Ended;
  Lost += Result.Lost;
  if (Result.Outcome != CallOutcome::NotRun)
    MayHaveRun = true;
  if (Result.Outcome != CallOutcome::Answered || !Result.Answer.success()) {
    LastReason = Result.Reason;
    return;
  }
  Signatures.push_back(Result.Answer.Signature);
  Top.add(Result.Answer.Body);
}

GatherDecision GatherQuery::decide(MonotonicTime Now) const {
  size_t In = Signatures.size();
  bool Enough = In >= Least;
  if (Ended == Total || Now >= Times.Deadline)
    return Enough ? GatherDecision::Answer : GatherDecision::Fail;
  if (In + (Total - Ended) < Least)
    return GatherDecision::Fail;
  if (Enough && Now >= Times.PartialFrom)
    return GatherDecision::Answer;
  return GatherDecision::Wait;
}

MonotonicTime GatherQuery::wakeAt(MonotonicTime Now) const {
  return Now < Times.PartialFrom ? Times.PartialFrom : Times.Deadline;
}

} // namespace mimosa
