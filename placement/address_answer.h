// The addresses that a caller is told to use. Its own availability zone comes
// first as far as the load stays even, and the order differs in each answer, so
// that callers spread over the hosts.

#ifndef MIMOSA_PLACEMENT_ADDRESS_ANSWER_H
#define MIMOSA_PLACEMENT_ADDRESS_ANSWER_H

#include "base/ids.h"
#include "base/json_fields.h"
#include "base/random.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace mimosa {

/// Where a caller can connect.
struct CallerAddress {
  /// "ip:port".
  std::string Address;
  AvailabilityZoneId Zone;
};

/// The answer to GET /v1/addresses.
struct AddressAnswer {
  std::vector<CallerAddress> Addresses;
  /// Time for which the caller may keep the answer.
  Duration Lifetime{};
  Revision ConfigRevision;
};

/// Time for which callers may keep an answer; a leaving host serves as long.
inline constexpr Duration AddressLifetime = Seconds(5);

/// Addresses per answer: one to use and enough others if some are gone.
inline constexpr size_t MaxAddresses = 8;

/// Orders \p Usable for a caller in \p CallerZone and keeps MaxAddresses.
///
/// If the zones have equally many callers, each host is first equally often: a
/// zone with fewer than its share of the hosts sends the rest of its callers to
/// the zones with more. A caller in an unknown zone, or in one without a usable
/// host, gets a random order.
std::vector<CallerAddress> orderForCaller(std::vector<CallerAddress> Usable,
                                          const AvailabilityZoneId &CallerZone,
                                          Random &Choices);

/// The JSON form, with the result ok.
Json addressAnswerJson(const AddressAnswer &Answer);

} // namespace mimosa

#endif // MIMOSA_PLACEMENT_ADDRESS_ANSWER_H
