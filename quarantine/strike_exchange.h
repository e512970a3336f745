// Keeps the strikes of all hosts equal by anti-entropy (Demers et al.,
// "Epidemic algorithms for replicated database maintenance", PODC 1987). A
// strike is sent to all hosts once, when it is recorded. A host that was not
// running, not listed or not reachable at that time learns of it by asking
// others.
//
//   StrikeExchange Exchange(Self, Strikes, Rng);
//   Exchange.setHosts(Others);
//   for (AddressedStrikeQuery &Query : Exchange.takeQueries(Now))
//     send(Query);                                  // every QueryInterval
//   Exchange.apply(Report, Now);                    // for each answer
//   Exchange.answer(Query, Now);                    // to another host's query
//
// It performs no I/O and reads no clock. It is made for hundreds of hosts:
// * A host that joins, since it has started or could not run for some seconds,
//   asks a few random hosts for all strikes, several times, because those may
//   have just started themselves.
// * Later it asks its partners, a few hosts that it always uses, so that the
//   number of connections does not grow with the number of hosts. They compare
//   only quarantined requests: single strikes are frequent while backend
//   servers fail, and of little use.
// * A query carries a digest, and equal hosts answer with an empty report.

#ifndef MIMOSA_QUARANTINE_STRIKE_EXCHANGE_H
#define MIMOSA_QUARANTINE_STRIKE_EXCHANGE_H

#include "base/random.h"
#include "quarantine/strike_store.h"

#include <optional>

namespace mimosa {

struct AddressedStrikeQuery {
  HostId To;
  StrikeQuery Query;
};

/// See the head of this file. The times that are passed in must not decrease.
class StrikeExchange {
public:
  /// Interval of takeQueries().
  static constexpr Duration QueryInterval = Seconds(1);

  /// \p Strikes and \p Rng must outlive this object.
  StrikeExchange(HostId Self, StrikeLog &Strikes, Random &Rng)
      : Self(std::move(Self)), Strikes(Strikes), Rng(Rng) {}

  /// Sets the hosts to ask, this host not among them.
  void setHosts(std::vector<HostId> Hosts);
  /// The queries to send now.
  std::vector<AddressedStrikeQuery> takeQueries(MonotonicTime Now);
  /// The report for another host's query.
  StrikeReport answer(const StrikeQuery &Query, MonotonicTime Now) const;
  /// Withdraws and counts the strikes of \p Report; returns the number of those
  /// that were not known.
  size_t apply(const StrikeReport &Report, MonotonicTime Now);

private:
  StrikeQuery query(StrikeScope Scope, MonotonicTime Now) const;

  HostId Self;
  StrikeLog &Strikes;
  Random &Rng;
  std::vector<HostId> Others;
  /// The best of Others by rendezvous hashing.
  std::vector<HostId> Partners;
  size_t NextPartner = 0;
  std::optional<MonotonicTime> LastRound;
  uint32_t JoinRoundsLeft = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_STRIKE_EXCHANGE_H
