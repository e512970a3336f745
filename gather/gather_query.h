// One query over all shards of a route: one call for each shard, and the
// decision when to answer with which parts.
//
//   GatherQuery Query(Route, Times);
//   Query.part(Shard, Result);          // when a call has ended
//   Query.decide(Now);                  // after each event and at wakeAt()
//
// * All shards are in: answer.
// * The missing shards are so many that the least coverage cannot be reached:
//   fail at once, so that the caller can ask again.
// * The target is near: answer if the least coverage is in. A whole answer that
//   comes late is worth less to callers than a part of it in time.
// * Past that, answer as soon as the least coverage is in.
// * The deadline is near: fail.

#ifndef MIMOSA_GATHER_GATHER_QUERY_H
#define MIMOSA_GATHER_GATHER_QUERY_H

#include "balance/call.h"
#include "gather/top_records.h"
#include "routing/route.h"

namespace mimosa {

/// When a query must come to an end.
struct GatherTimes {
  /// A partial answer is given from here on.
  MonotonicTime PartialFrom;
  MonotonicTime Deadline;
};

/// The times of a query of \p R that arrived at \p Arrived and is to be
/// answered by \p Deadline.
GatherTimes gatherTimes(const Route &R, MonotonicTime Arrived,
                        MonotonicTime Deadline);

enum class GatherDecision { Wait, Answer, Fail };

class GatherQuery {
public:
  GatherQuery(const Route &R, GatherTimes Times);

  /// Notes the end of one shard's call.
  void addResult(const CallResult &Result);

  GatherDecision decide(MonotonicTime Now) const;
  /// When decide() may change without a further part.
  MonotonicTime nextWakeUp(MonotonicTime Now) const;

  size_t totalShards() const { return TotalShards; }
  size_t missingShards() const { return TotalShards - Signatures.size(); }
  const std::vector<std::string> &signatures() const { return Signatures; }
  std::string mergedRecords() const { return Merged.sorted(); }
  /// Whether a backend server may have run a part whose call has ended.
  bool mayHaveRun() const { return MayHaveRun; }
  CallReason lastReason() const { return LastReason; }
  /// Sends that were lost while a backend server may have run them.
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
};

} // namespace mimosa

#endif // MIMOSA_GATHER_GATHER_QUERY_H
