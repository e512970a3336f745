#include "gather/query_admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mimosa {

namespace {

/// Rates are averages over this time: tens of queries at one host.
constexpr Duration RateMemory = Seconds(1);
/// A team sends fewer queries, so that its rate needs a longer time.
constexpr Duration TeamRateMemory = Seconds(3);
/// A team that has not asked for this long is forgotten.
constexpr Duration TeamLifetime = Seconds(15);
/// Weight of a query in the average of progress: two queries with bad progress
/// start a limit, a single one does not.
constexpr double ProgressWeight = 0.3;
/// Weight of a query that is faster than the average: a host with a low limit
/// begins few queries, and soon has to find out that the congestion is over.
constexpr double RecoveryWeight = 0.45;
/// Limit on the share of the useful time until most shards are answered: the
/// last shards that a query needs take somewhat longer.
constexpr double HighProgress = 0.75;
/// Progress is not a sign of congestion below this many times the usual one.
constexpr double CongestedRatio = 1.4;
/// Limit on a sample, relative to the useful time, so that one query that hung
/// does not hide the next ones.
constexpr double MaxProgress = 1.3;
/// The usual progress follows the current one within about this time.
constexpr Duration UsualMemory = Seconds(30);
/// Changes of the limit: a query shows the effect of the last one after about
/// the useful time, of which this is a share.
constexpr double ChangeInterval = 0.8;
constexpr double LimitDecrease = 0.8;
/// Relative increase for each interval, and the one while the progress is below
/// this share of HighProgress.
constexpr double LimitIncrease = 0.05;
constexpr double FastIncrease = 0.15;
constexpr double FastIncreaseShare = 0.95;
/// The increase once the progress is below this many times the usual one, or
/// below this share of the useful time.
constexpr double RecoveredRatio = 1.2;
constexpr double RecoveredProgress = 0.55;
constexpr double RecoveredIncrease = 1;
/// A limit this much above the offered rate is dropped.
constexpr double UnneededRatio = 1.5;
/// Least limit, in queries per second and as a share of the offered rate: some
/// queries must show whether the congestion lasts.
constexpr double MinLimit = 1;
constexpr double MinLimitShare = 0.2;
/// Returns of refused callers are not spread over more than this.
constexpr Duration MaxReturnAfter = Seconds(2);
/// Credit of a team that does not use its share.
constexpr double MaxCredit = 2;

} // namespace

void EventRate::add(MonotonicTime Now, double Count) {
  Weight = perSecond(Now) + Count / inSeconds(Memory);
  At = Now;
}

double EventRate::perSecond(MonotonicTime Now) const {
  return Weight * std::exp(-inSeconds(Now - At) / inSeconds(Memory));
}

QueryAdmission::Group &QueryAdmission::group(const ServiceId &FirstShard,
                                             MonotonicTime Now) {
  Group &G = Groups[FirstShard];
  if (!G.Begun) {
    G.Begun.emplace(RateMemory);
    G.Offered.emplace(RateMemory);
    G.ChangedAt = Now;
  }
  return G;
}

std::optional<double> QueryAdmission::limit(const ServiceId &FirstShard) const {
  auto Found = Groups.find(FirstShard);
  return Found == Groups.end() ? std::nullopt : Found->second.Limit;
}

double QueryAdmission::leastLimit(const Group &G, MonotonicTime Now) {
  return std::max(MinLimit, MinLimitShare * G.Offered->perSecond(Now));
}

double QueryAdmission::admittedShare(const Group &G, const QueryOffer &Offer,
                                     MonotonicTime Now) {
  double Left = *G.Limit;
  std::vector<double> Rates;
  double Own = 0;
  // The teams are ordered by priority.
  for (const auto &[Key, Each] : G.Teams) {
    double Rate = Each.Offered.perSecond(Now);
    if (Key.first < Offer.Priority)
      Left -= Rate;
    else if (Key.first == Offer.Priority)
      Rates.push_back(Rate);
    if (Key == std::make_pair(Offer.Priority, Offer.Team))
      Own = Rate;
  }
  // The equal share up to which every team gets what it asks for.
  std::sort(Rates.begin(), Rates.end());
  double Share = 0;
  for (size_t I = 0; I < Rates.size(); ++I) {
    Share = std::max(0.0, Left) / static_cast<double>(Rates.size() - I);
    if (Rates[I] > Share)
      break;
    Left -= Rates[I];
    Share = Rates[I];
  }
  return Own <= Share ? 1 : Share / Own;
}

std::optional<Duration> QueryAdmission::refuse(const QueryOffer &Offer,
                                               MonotonicTime Now) {
  Group &G = group(Offer.FirstShard, Now);
  G.Offered->add(Now);
  auto Key = std::make_pair(Offer.Priority, Offer.Team);
  TeamState &Own =
      G.Teams.emplace(Key, TeamState{EventRate(TeamRateMemory), 1, Now})
          .first->second;
  Own.Offered.add(Now);
  Own.LastOfferAt = Now;
  if (!G.Limit) {
    G.Begun->add(Now);
    return std::nullopt;
  }
  double Share = admittedShare(G, Offer, Now);
  Own.Credit = std::min(MaxCredit, Own.Credit + Share);
  if (Own.Credit >= 1) {
    --Own.Credit;
    G.Begun->add(Now);
    return std::nullopt;
  }
  // Callers may return to any host. Refused ones get places one after the
  // other, at the rate of all hosts, which see the same congestion.
  G.NextReturnAt = std::max(Now, G.NextReturnAt) +
                   scaled(Seconds(1), 1 / (*G.Limit * HostCount));
  G.NextReturnAt =
      std::min<MonotonicTime>(G.NextReturnAt, Now + MaxReturnAfter);
  return G.NextReturnAt - Now;
}

void QueryAdmission::recordProgress(const QueryOffer &Offer, Duration Time,
                                    bool Overloaded, MonotonicTime Now) {
  Group &G = group(Offer.FirstShard, Now);
  RouteState &R = G.Routes[Offer.Route];
  double Sample = Overloaded
                      ? MaxProgress
                      : std::min(MaxProgress,
                                 inSeconds(Time) / inSeconds(Offer.UsefulTime));
  R.Average += (Sample < R.Average ? RecoveryWeight : ProgressWeight) *
               (Sample - R.Average);
  // During congestion the progress is not the usual one, unless the limit has
  // no effect on it.
  if (!G.Limit || *G.Limit <= leastLimit(G, Now))
    R.Usual += (R.Average - R.Usual) *
               (1 - std::exp(-inSeconds(Now - R.UpdatedAt.value_or(Now)) /
                             inSeconds(UsualMemory)));
  R.Usual = std::min(R.Usual, R.Average);
  R.UpdatedAt = Now;
  if (Now - G.ChangedAt < scaled(Offer.UsefulTime, ChangeInterval))
    return;
  G.ChangedAt = Now;
  if (R.Average > HighProgress && R.Average > CongestedRatio * R.Usual) {
    double Begun = G.Begun->perSecond(Now);
    G.Limit =
        std::max(leastLimit(G, Now),
                 LimitDecrease * std::min(Begun, G.Limit.value_or(Begun)));
  } else if (G.Limit) {
    double Increase =
        R.Average < std::max(RecoveredRatio * R.Usual, RecoveredProgress)
            ? RecoveredIncrease
        : R.Average < FastIncreaseShare * HighProgress ? FastIncrease
                                                       : LimitIncrease;
    *G.Limit *= 1 + Increase;
    if (*G.Limit > UnneededRatio * G.Offered->perSecond(Now))
      G.Limit.reset();
  }
  for (auto It = G.Teams.begin(); It != G.Teams.end();)
    It = Now - It->second.LastOfferAt > TeamLifetime ? G.Teams.erase(It)
                                                     : std::next(It);
}

} // namespace mimosa
