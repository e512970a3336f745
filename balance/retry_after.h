// The time after which a refused caller should return. Callers that were
// refused in the same moment are spread over time, so that they do not return
// in the same moment.

#ifndef MIMOSA_BALANCE_RETRY_AFTER_H
#define MIMOSA_BALANCE_RETRY_AFTER_H

#include "balance/call.h"
#include "base/random.h"

namespace mimosa {

/// The time for a request that ended as NotRun because of \p Reason.
/// \p AvailableIn is the time until its backend servers can take one more
/// request, as far as it is known.
Duration retryAfter(CallReason Reason, Duration AvailableIn, Random &Rng);

} // namespace mimosa

#endif // MIMOSA_BALANCE_RETRY_AFTER_H
