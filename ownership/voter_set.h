// Questions about a seat record, and the timing that all parts share.

#ifndef MIMOSA_OWNERSHIP_VOTER_SET_H
#define MIMOSA_OWNERSHIP_VOTER_SET_H

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

/// True if \p Yes holds for a majority of the voterSet and, during a change, of
/// the previous voterSet.
template <typename Predicate>
bool hasMajority(const VoterSet &Set, Predicate Yes) {
  return majorityOf(Set.Current, Yes) &&
         (Set.Previous.empty() || majorityOf(Set.Previous, Yes));
}

/// All hosts that vote under \p Set, without duplicates.
inline std::set<HostId> votersOf(const VoterSet &Set) {
  std::set<HostId> Voters(Set.Current.begin(), Set.Current.end());
  Voters.insert(Set.Previous.begin(), Set.Previous.end());
  return Voters;
}

} // namespace mimosa

#endif // MIMOSA_OWNERSHIP_VOTER_SET_H
