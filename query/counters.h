// Counters of query sessions for the metrics. A daemon adds the counters of
// each finished session to those of its service:
//
//   ServiceCounters += Session.counters();

#ifndef MIMOSA_QUERY_COUNTERS_H
#define MIMOSA_QUERY_COUNTERS_H

#include <cstdint>

namespace mimosa {

/// Counters of one or more query sessions.
struct QueryCounters {
  /// Sub-requests sent, hedges and retries included.
  uint64_t SubRequests = 0;
  uint64_t Hedges = 0;
  /// Hedges that answered before the sub-request that they hedged.
  uint64_t HedgeWins = 0;
  /// Hedges that the extra-load budget denied.
  uint64_t HedgesDenied = 0;
  uint64_t Retries = 0;
  /// Retries that the extra-load budget denied; they are attempted again later.
  uint64_t RetriesDenied = 0;
  /// Sub-requests refused explicitly, so that they did not run.
  uint64_t Refused = 0;
  /// Sub-requests with an unknown outcome.
  uint64_t Lost = 0;
  /// Those of Lost whose backend server crashed or was reset.
  uint64_t BackendsLost = 0;
  /// Sub-requests that the session cancelled.
  uint64_t Cancelled = 0;
  /// Restarts on another snapshot.
  uint64_t Restarts = 0;
  /// Sub-requests sent as a canary.
  uint64_t Canaries = 0;
  /// Canaries whose backend server was lost.
  uint64_t Strikes = 0;
  /// Strikes that were not acknowledged by the deadline.
  uint64_t StrikesUnacknowledged = 0;

  /// Replies dropped because they were from another snapshot.
  uint64_t DroppedWrongSnapshot = 0;
  /// Replies dropped because of a shard that was not in the sub-request.
  uint64_t DroppedWrongShard = 0;
  /// Replies dropped because a score was not finite.
  uint64_t DroppedBadHit = 0;
  /// Replies dropped because the sub-request had been answered before.
  uint64_t DroppedDuplicate = 0;
  /// Replies dropped because their sub-request had already ended without one.
  uint64_t DroppedLate = 0;

  QueryCounters &operator+=(const QueryCounters &Other) {
    SubRequests += Other.SubRequests;
    Hedges += Other.Hedges;
    HedgeWins += Other.HedgeWins;
    HedgesDenied += Other.HedgesDenied;
    Retries += Other.Retries;
    RetriesDenied += Other.RetriesDenied;
    Refused += Other.Refused;
    Lost += Other.Lost;
    BackendsLost += Other.BackendsLost;
    Cancelled += Other.Cancelled;
    Restarts += Other.Restarts;
    Canaries += Other.Canaries;
    Strikes += Other.Strikes;
    StrikesUnacknowledged += Other.StrikesUnacknowledged;
    DroppedWrongSnapshot += Other.DroppedWrongSnapshot;
    DroppedWrongShard += Other.DroppedWrongShard;
    DroppedBadHit += Other.DroppedBadHit;
    DroppedDuplicate += Other.DroppedDuplicate;
    DroppedLate += Other.DroppedLate;
    return *this;
  }
};

} // namespace mimosa

#endif // MIMOSA_QUERY_COUNTERS_H
