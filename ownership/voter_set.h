// Majorities of a voter set, and the lifetimes of votes and leases.

#ifndef MIMOSA_OWNERSHIP_VOTER_SET_H
#define MIMOSA_OWNERSHIP_VOTER_SET_H

#include "base/time.h"
#include "ownership/messages.h"

#include <algorithm>
#include <set>

namespace mimosa {

/// How long a voter is bound by its vote.
constexpr Duration VoteLifetime = Milliseconds(1500);
/// How long an owner relies on a vote, counted from the sending of the request.
/// 1% shorter than the vote, which allows for clocks of different speed.
constexpr Duration LeaseLifetime = VoteLifetime - VoteLifetime / 100;

/// True if \p Matches holds for more than half of \p Hosts.
template <typename Predicate>
bool majorityOf(const std::vector<HostId> &Hosts, Predicate Matches) {
  auto Count = std::count_if(Hosts.begin(), Hosts.end(), Matches);
  return static_cast<size_t>(Count) * 2 > Hosts.size();
}

/// True if \p Matches holds for a majority of the current voters and, in the
/// joint phase, also for a majority of the previous ones.
template <typename Predicate>
bool hasMajority(const VoterSet &Set, Predicate Matches) {
  return majorityOf(Set.Current, Matches) &&
         (Set.Previous.empty() || majorityOf(Set.Previous, Matches));
}

/// The current and previous voters of \p Set, without duplicates.
inline std::set<HostId> votersOf(const VoterSet &Set) {
  std::set<HostId> Voters(Set.Current.begin(), Set.Current.end());
  Voters.insert(Set.Previous.begin(), Set.Previous.end());
  return Voters;
}

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_VOTER_SET_H
