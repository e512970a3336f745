// What a query session counts for the metrics. A daemon adds the counters of
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
  /// Hedges that answered before the sub-request that they doubled.
  uint64_t HedgeWins = 0;
  /// Hedges not sent because the extra-load budget was spent.
  uint64_t HedgesDenied = 0;
  uint64_t Retries = 0;
  /// Retries put off because the extra-load budget was spent.
  uint64_t RetriesDenied = 0;
  /// Sub-requests refused in words.
  uint64_t Refused = 0;
  /// Sub-requests with an unknown outcome.
  uint64_t Lost = 0;
  /// Those of Lost whose backend server itself was lost.
  uint64_t BackendsLost = 0;
  /// Sub-requests that the session cancelled.
  uint64_t Cancelled = 0;
  /// Starts on another snapshot.
  uint64_t Restarts = 0;
  /// Sub-requests sent as a canary.
  uint64_t Canaries = 0;
  /// Canaries lost with their backend server.
  uint64_t Strikes = 0;
  /// Strikes that were not acknowledged by the deadline.
  uint64_t StrikesUnacknowledged = 0;

  /// Dropped replies: from another snapshot.
  uint64_t DroppedWrongSnapshot = 0;
  /// Dropped replies: with a shard that was not asked.
  uint64_t DroppedWrongShard = 0;
  /// Dropped replies: with a score that is not finite.
  uint64_t DroppedBadHit = 0;
  /// Dropped replies: the second one to a sub-request.
  uint64_t DroppedDuplicate = 0;
  /// Dropped outcomes of sub-requests that were given up before.
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
