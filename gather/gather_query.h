// A scatter-gather query: one call to each shard of a route, whose results are
// merged into one answer. Decides when to answer, and with which shard results.
//
//   if (forecastCoverage(Route, Call, Scheduler, Now).Obstacle ==
//       CallReason::None)
//     ...                               // begin a call to each shard
//   GatherQuery Query(Route, Times);
//   Query.addResult(Result);            // when a call has ended
//   Query.decide(Now);                  // then, and at nextWakeUp()
//
// * All calls have ended: answer if the minimum coverage is reached, otherwise
//   fail.
// * So many shards have failed that the minimum coverage cannot be reached:
//   fail at once, so that the caller can retry.
// * From GatherTimes::PartialFrom, shortly before the target latency: answer as
//   soon as the minimum coverage is reached. For callers, a partial answer in
//   time is worth more than a complete one that is late.
// * At the deadline: answer if the minimum coverage is reached, otherwise fail.

#ifndef MIMOSA_GATHER_GATHER_QUERY_H
#define MIMOSA_GATHER_GATHER_QUERY_H

#include "balance/call_scheduler.h"
#include "gather/top_records.h"
#include "routing/route.h"

namespace mimosa {

/// The times at which the decision on a query can change.
struct GatherTimes {
  /// From this time on, a partial answer is given.
  MonotonicTime PartialFrom;
  MonotonicTime Deadline;
};

/// The network between a caller and this host.
struct CallerPath {
  /// As measured for the caller's connection; 0 if it is not known.
  Duration RoundTrip{0};
  /// The caller has opened the connection for this query.
  bool NewConnection = true;
};

/// The times of a query on \p R that arrived at \p ArrivedAt and has to be
/// answered by \p Deadline. Until PartialFrom, a wait for further shards costs
/// the caller nothing: its answer still arrives within the target latency,
/// which is counted from the moment when it began to connect.
GatherTimes gatherTimes(const Route &R, MonotonicTime ArrivedAt,
                        MonotonicTime Deadline, const CallerPath &Path);

/// Whether a query can reach its minimum coverage in time.
struct CoverageForecast {
  /// Why it cannot: Unavailable, HeldBack or Overloaded; None if it can.
  CallReason Obstacle = CallReason::None;
  /// Time until a query that begins then can; 0 if it is not known.
  Duration AvailableIn{0};
};

/// The forecast for a query that begins now. \p Call is a call to one of its
/// shards; its Service is ignored. A query without a chance is refused before
/// any call, since its calls would only delay those of other queries. Considers
/// the pauses, rate limits and failures of the backend servers, and the calls
/// that are queued ahead.
CoverageForecast forecastCoverage(const Route &R, CallRequest Call,
                                  CallScheduler &Scheduler, MonotonicTime Now);

/// Limit on the body of one shard's result. A backend server may send more
/// records than \p R asks for.
size_t maxShardResultBytes(const Route &R);

enum class GatherDecision { Wait, Answer, Fail };

class GatherQuery {
public:
  GatherQuery(const Route &R, GatherTimes Times);

  void addResult(const CallResult &Result);

  GatherDecision decide(MonotonicTime Now);
  /// When decide() first found most shards answered; empty if it has not.
  std::optional<MonotonicTime> mostAnsweredAt() const { return MostAnsweredAt; }
  /// When the result of decide() may change without a further shard result.
  MonotonicTime nextWakeUp(MonotonicTime Now) const;

  size_t totalShards() const { return TotalShards; }
  size_t missingShards() const { return TotalShards - Signatures.size(); }
  const std::vector<std::string> &signatures() const { return Signatures; }
  /// The body of the merged answer.
  std::string mergedRecords() const { return Merged.sorted(); }
  /// Whether a backend server may have run the request of a call that has
  /// ended.
  bool mayHaveRun() const { return MayHaveRun; }
  /// Why the last call without a successful answer ended.
  CallReason lastReason() const { return LastReason; }
  /// Whether the last call without a successful answer ended because backend
  /// servers declined it or it waited too long.
  bool overloaded() const {
    return LastReason == CallReason::Shed ||
           LastReason == CallReason::Overloaded;
  }
  /// Sum of CallResult::LostAttempts over all calls.
  uint32_t lostAttempts() const { return LostAttempts; }

private:
  size_t TotalShards;
  size_t MinResults;
  GatherTimes Times;
  size_t EndedCalls = 0;
  std::vector<std::string> Signatures;
  TopRecords Merged;
  bool MayHaveRun = false;
  uint32_t LostAttempts = 0;
  CallReason LastReason = CallReason::None;
  std::optional<MonotonicTime> MostAnsweredAt;
};

} // namespace mimosa

#endif // MIMOSA_GATHER_GATHER_QUERY_H
