#include "dispatch/sub_request.h"

namespace mimosa {

ResultCode refusalCode(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::None:
    return ResultCode::Ok;
  case RefusalReason::Overloaded:
    return ResultCode::Overloaded;
  case RefusalReason::Deadline:
    return ResultCode::DeadlineExceeded;
  case RefusalReason::Unreachable:
    return ResultCode::NoBackend;
  case RefusalReason::NotOwner:
    return ResultCode::NotInHostSet;
  case RefusalReason::ZoneOut:
    return ResultCode::ZoneOut;
  case RefusalReason::Cancelled:
    return ResultCode::Cancelled;
  case RefusalReason::Shed:
  case RefusalReason::Draining:
  case RefusalReason::Cold:
  case RefusalReason::UnknownSnapshot:
    break;
  }
  return ResultCode::BackendRefused;
}

} // namespace mimosa
