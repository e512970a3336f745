#include "quarantine/strike_exchange.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Rounds in which a host that joins asks for all strikes. The hosts of a
/// roll-out or of a zone start within some seconds of each other.
constexpr uint32_t JoinRounds = 5;
/// Hosts asked in each of these rounds.
constexpr size_t HostsPerJoinRound = 3;
/// A host that has made no round for this long may have missed strikes.
constexpr Duration MaxRoundGap = 3 * StrikeExchange::QueryInterval;
constexpr size_t PartnerCount = 3;
/// A report takes about 100 bytes for each strike.
constexpr size_t MaxReportedStrikes = 2048;
/// Each takes about 50 bytes.
constexpr size_t MaxReportedWithdrawals = 256;

} // namespace

void StrikeExchange::setHosts(std::vector<HostId> Hosts) {
  Others = std::move(Hosts);
  Partners.resize(std::min(PartnerCount, Others.size()));
  std::partial_sort_copy(Others.begin(), Others.end(), Partners.begin(),
                         Partners.end(), [&](const HostId &A, const HostId &B) {
                           return rendezvousWeight(Self.text(), A.text()) >
                                  rendezvousWeight(Self.text(), B.text());
                         });
}

StrikeQuery StrikeExchange::query(StrikeScope Scope, MonotonicTime Now) const {
  return {Scope, Strikes.strikeStore().digest(Scope, Now)};
}

std::vector<AddressedStrikeQuery>
StrikeExchange::takeQueries(MonotonicTime Now) {
  if (!LastRound || Now - *LastRound >= MaxRoundGap)
    JoinRoundsLeft = JoinRounds;
  LastRound = Now;
  std::vector<AddressedStrikeQuery> Out;
  if (Others.empty())
    return Out;
  if (JoinRoundsLeft == 0) {
    const HostId &Partner = Partners[++NextPartner % Partners.size()];
    Out.push_back({Partner, query(StrikeScope::Quarantined, Now)});
    return Out;
  }
  --JoinRoundsLeft;
  for (size_t I = 0; I < std::min(HostsPerJoinRound, Others.size()); ++I) {
    std::swap(Others[I], Others[I + Rng.below(Others.size() - I)]);
    Out.push_back({Others[I], query(StrikeScope::All, Now)});
  }
  return Out;
}

StrikeReport StrikeExchange::answer(const StrikeQuery &Query,
                                    MonotonicTime Now) const {
  StrikeReport Out;
  const StrikeStore &Store = Strikes.strikeStore();
  if (Query.Digest == Store.digest(Query.Scope, Now))
    return Out;
  Out.Strikes = Store.notices(Query.Scope, Now);
  if (Out.Strikes.size() > MaxReportedStrikes)
    Out.Strikes.resize(MaxReportedStrikes);
  Out.Withdrawals = Store.withdrawals(MaxReportedWithdrawals, Now);
  return Out;
}

size_t StrikeExchange::apply(const StrikeReport &Report, MonotonicTime Now) {
  for (const StrikeWithdrawal &Each : Report.Withdrawals)
    Strikes.withdrawalReceived(Each, Now);
  return static_cast<size_t>(
      std::count_if(Report.Strikes.begin(), Report.Strikes.end(),
                    [&](const StrikeNotice &Each) {
                      return Strikes.strikeReceived(Each, Now);
                    }));
}

} // namespace mimosa
