// Questions about a seat record, and the timing that all parts share.

#ifndef MIMOSA_OWNERSHIP_SEATS_H
#define MIMOSA_OWNERSHIP_SEATS_H

#include "base/time.h"
#include "ownership/messages.h"

#include <algorithm>
#include <set>

namespace mimosa {

/// How long a voter is bound by its vote.
constexpr Duration VoteLifetime = Milliseconds(1500);
/// How long an owner relies on a vote, from the time it sent the request. It is
/// shorter by 1% so that clocks that run at slightly different speeds do no
/// harm.
constexpr Duration LeaseLifetime = VoteLifetime - VoteLifetime / 100;

/// True if \p Yes holds for more than half of \p Hosts.
template <typename Predicate>
bool majorityOf(const std::vector<HostId> &Hosts, Predicate Yes) {
  auto Count = std::count_if(Hosts.begin(), Hosts.end(), Yes);
  return static_cast<size_t>(Count) * 2 > Hosts.size();
}

/// True if \p Yes holds for a majority of the seats and, during a change, of
/// the previous seats.
template <typename Predicate>
bool hasMajority(const SeatRecord &Record, Predicate Yes) {
  return majorityOf(Record.Seats, Yes) &&
         (Record.Previous.empty() || majorityOf(Record.Previous, Yes));
}

/// All hosts that vote under \p Record, without duplicates.
inline std::set<HostId> votersOf(const SeatRecord &Record) {
  std::set<HostId> Voters(Record.Seats.begin(), Record.Seats.end());
  Voters.insert(Record.Previous.begin(), Record.Previous.end());
  return Voters;
}

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_SEATS_H
