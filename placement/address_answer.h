// The list of host addresses that a caller gets from GET /v1/addresses. Hosts
// of the caller's availability zone come first as far as the load stays even.
// The order is random in each answer, so that callers spread over the hosts.

#ifndef MIMOSA_PLACEMENT_ADDRESS_ANSWER_H
#define MIMOSA_PLACEMENT_ADDRESS_ANSWER_H

#include "base/ids.h"
#include "base/json_fields.h"
#include "base/random.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace mimosa {

/// An address of a host for callers.
struct CallerAddress {
  /// "ip:port".
  std::string Address;
  AvailabilityZoneId Zone;
};

/// The answer to GET /v1/addresses.
struct AddressAnswer {
  std::vector<CallerAddress> Addresses;
  /// Time for which the caller may cache the answer.
  Duration Lifetime{};
  Revision ConfigRevision;
};

/// Time for which callers may cache an answer. A leaving host serves at least
/// this long.
inline constexpr Duration AddressLifetime = Seconds(5);

/// Addresses per answer: one to use, and alternatives if some hosts are
/// unreachable.
inline constexpr size_t MaxAddresses = 8;

/// Orders \p Usable for a caller in \p CallerZone and truncates the list to
/// MaxAddresses.
///
/// If all zones have equally many callers, each host is first equally often: a
/// zone with fewer than its share of the hosts sends its surplus callers to the
/// zones with more than theirs. A caller in an unknown zone, or in one without
/// a usable host, gets a random order.
std::vector<CallerAddress> orderForCaller(std::vector<CallerAddress> Usable,
                                          const AvailabilityZoneId &CallerZone,
                                          Random &Rand);

/// The JSON body of a successful answer.
Json addressAnswerJson(const AddressAnswer &Answer);

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_ADDRESS_ANSWER_H
