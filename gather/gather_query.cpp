#include "gather/gather_query.h"

#include <algorithm>

namespace mimosa {

namespace {
/// Share of the target at which a partial answer is given; the rest is for the
/// way to the caller, whose time began with its connection.
constexpr double PartialShare = 0.8;
} // namespace

GatherTimes gatherTimes(const Route &R, MonotonicTime Arrived,
                        MonotonicTime Deadline) {
  Duration Partial(static_cast<int64_t>(static_cast<double>(R.Target.count()) *
                                        PartialShare));
  return {std::min(Arrived + Partial, Deadline), Deadline};
}

GatherQuery::GatherQuery(const Route &R, GatherTimes Times)
    : Total(R.Shards.size()), Least(R.leastParts()), Times(Times),
      Top(R.TopRecords) {
  Signatures.reserve(Total);
}

void GatherQuery::part(const CallResult &Result) {
  ++Ended;
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
