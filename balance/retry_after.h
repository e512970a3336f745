// The time after which a refused caller should return. Callers that were
// refused in the same moment are spread over time, so that they do not return
// in the same moment.

#ifndef MIMOSA_BALANCE_RETRY_AFTER_H
#define MIMOSA_BALANCE_RETRY_AFTER_H

#include "balance/call.h"
#include "base/random.h"

namespace mimosa {

/// The time for a request that ended as NotRun because of \p Reason.
Duration retryAfter(CallReason Reason, Random &Rng);

} // namespace mimosa

#endif // MIMOSA_BALANCE_RETRY_AFTER_H
