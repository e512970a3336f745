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
  void part(const CallResult &Result);

  GatherDecision decide(MonotonicTime Now) const;
  /// When decide() may change without a further part.
  MonotonicTime wakeAt(MonotonicTime Now) const;

  size_t total() const { return Total; }
  size_t missing() const { return Total - Signatures.size(); }
  const std::vector<std::string> &signatures() const { return Signatures; }
  std::string records() const { return Top.take(); }
  /// Whether a backend server may have run a part whose call has ended.
  bool mayHaveRun() const { return MayHaveRun; }
  CallReason lastReason() const { return LastReason; }
  /// Sends that were lost while a backend server may have run them.
  uint32_t lost() const { return Lost; }

private:
  size_t Total;
  size_t Least;
  GatherTimes Times;
  size_t Ended = 0;
  std::vector<std::string> Signatures;
  TopRecords Top;
  bool MayHaveRun = false;
  uint32_t Lost = 0;
  CallReason LastReason = CallReason::None;
};

} // namespace mimosa

#endif // MIMOSA_GATHER_GATHER_QUERY_H
