#include "backend/extra_budget.h"

#include <algorithm>

namespace mimosa {

// The moving average of the share of retries covers about this many
// sub-requests.
constexpr double RetryShareWindow = 500;

bool ExtraBudget::tryTake(ExtraLoad Kind) {
  if (Kind == ExtraLoad::Retry)
    RetryShare += 1 / RetryShareWindow;
  double Needed = 1;
  if (Kind != ExtraLoad::Retry)
    Needed += Options.RetryReserve;
  if (Tokens < Needed)
    return false;
  Tokens -= 1;
  ++ExtrasToSend;
  return true;
}

void ExtraBudget::onSubRequestSent(MonotonicTime Now) {
  if (ExtrasToSend) {
    --ExtrasToSend;
    return;
  }
  double Earned =
      hasRecentFault(Now) ? Options.FaultShare : Options.SteadyShare;
  Tokens = std::min(Options.MaxTokens, Tokens + Earned);
  RetryShare -= RetryShare / RetryShareWindow;
}

} // namespace mimosa
