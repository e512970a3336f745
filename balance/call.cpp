#include "balance/call.h"

namespace mimosa {

const char *callReasonName(CallReason Reason) {
  switch (Reason) {
  case CallReason::None:
    return "none";
  case CallReason::Unavailable:
    return "unavailable";
  case CallReason::Overloaded:
    return "overloaded";
  case CallReason::HeldBack:
    return "held_back";
  case CallReason::Congested:
    return "congested";
  case CallReason::Deadline:
    return "deadline";
  case CallReason::Lost:
    return "lost";
  case CallReason::Shed:
    return "shed";
  case CallReason::Stopping:
    return "stopping";
  }
  return "unknown";
}

} // namespace mimosa
