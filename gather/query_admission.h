// Decides which queries a host begins while the shards of their route are
// congested. A query costs a sub-request at each shard, so one that will be
// late takes capacity from those that could be in time.
//
//   QueryAdmission Admission;
//   if (auto ReturnAfter = Admission.refuse(Offer, Now))
//     ...                                  // refused: nothing has been sent
//   Admission.recordProgress(Offer, Time, Overloaded, Now);   // at its end
//
// * Hosts see congestion as the time until most shards of a query are answered
//   (GatherQuery::mostAnsweredAt()). It says nothing of single shards, so that
//   a few failing backend servers refuse no query.
// * Not congested: every query begins.
// * Congested, and queries are about to be late: the rate at which this host
//   begins queries falls by a factor until they are in time, and then rises
//   slowly (additive increase, multiplicative decrease). All hosts see the same
//   shards, so that the sum of their rates follows the capacity without
//   messages between them.
// * The rate is given to the more urgent classes first. Within a class each
//   team gets what it asks for up to an equal share (max-min fairness), so that
//   a team that sends more, or retries at once, takes nothing from the others.
//
// Designed for tens of queries a second at each host, of up to some hundred
// teams. Routes over the same shards share one limit.

#ifndef MIMOSA_GATHER_QUERY_ADMISSION_H
#define MIMOSA_GATHER_QUERY_ADMISSION_H

#include "routing/route.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace mimosa {

/// A query that a caller asks for.
struct QueryOffer {
  RouteId Route;
  /// The first shard of the route; routes with the same one share a limit.
  ServiceId FirstShard;
  /// Empty if the caller has no team.
  TeamId Team;
  /// 0 is the most urgent.
  uint32_t Priority = 0;
  /// Time within which an answer is useful.
  Duration UsefulTime{0};
};

/// A moving average of the number of events per second.
class EventRate {
public:
  explicit EventRate(Duration Memory) : Memory(Memory) {}
  void add(MonotonicTime Now, double Count = 1);
  double perSecond(MonotonicTime Now) const;

private:
  Duration Memory;
  double Weight = 0;
  MonotonicTime At;
};

/// See the head of this file. The times that are passed in must not decrease.
class QueryAdmission {
public:
  /// Sets the number of hosts that callers choose from, at least 1.
  void setHostCount(uint32_t Count) { HostCount = Count; }

  /// Decides on a new query; empty if it may begin, otherwise the time after
  /// which the caller should return.
  std::optional<Duration> refuse(const QueryOffer &Offer, MonotonicTime Now);
  /// Records the end of an admitted query: \p Time is how long it took until
  /// most of its shards were answered, or, if they were not, how long it was
  /// under way. \p Overloaded says that it failed because backend servers
  /// declined its calls, or because they waited too long.
  void recordProgress(const QueryOffer &Offer, Duration Time, bool Overloaded,
                      MonotonicTime Now);

  /// Queries per second that may begin on the routes over \p FirstShard; empty
  /// if the rate is not limited.
  std::optional<double> limit(const ServiceId &FirstShard) const;

private:
  struct TeamState {
    EventRate Offered;
    /// Part of a query that may begin; a query needs 1.
    double Credit = 1;
    MonotonicTime LastOfferAt;
  };
  struct RouteState {
    /// Usual and current time until most shards are answered, as shares of the
    /// useful time. The initial values let a host that starts during an
    /// overload detect it.
    double Usual = 0.5;
    double Average = 0.5;
    std::optional<MonotonicTime> UpdatedAt;
  };
  struct Group {
    std::map<std::pair<uint32_t, TeamId>, TeamState> Teams;
    std::unordered_map<RouteId, RouteState> Routes;
    std::optional<double> Limit;
    MonotonicTime ChangedAt;
    MonotonicTime NextReturnAt;
    std::optional<EventRate> Begun;
    std::optional<EventRate> Offered;
  };

  Group &group(const ServiceId &FirstShard, MonotonicTime Now);
  static double leastLimit(const Group &G, MonotonicTime Now);
  /// The share of its queries that a team may begin.
  static double admittedShare(const Group &G, const QueryOffer &Offer,
                              MonotonicTime Now);

  uint32_t HostCount = 1;
  std::unordered_map<ServiceId, Group> Groups;
};

} // namespace mimosa

#endif // MIMOSA_GATHER_QUERY_ADMISSION_H
