#include "base/result.h"

namespace mimosa {

const char *resultCodeName(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
    return "ok";
  case ResultCode::Partial:
    return "partial";
  case ResultCode::BadJson:
    return "bad_json";
  case ResultCode::UnknownService:
    return "unknown_service";
  case ResultCode::BodyTooLarge:
    return "body_too_large";
  case ResultCode::BadDeadline:
    return "bad_deadline";
  case ResultCode::MissingField:
    return "missing_field";
  case ResultCode::BadClass:
    return "bad_class";
  case ResultCode::SlowSender:
    return "slow_sender";
  case ResultCode::BadFrame:
    return "bad_frame";
  case ResultCode::MissingRequestKey:
    return "missing_request_key";
  case ResultCode::BadField:
    return "bad_field";
  case ResultCode::NotFound:
    return "not_found";
  case ResultCode::BadSetting:
    return "bad_setting";
  case ResultCode::UnknownKey:
    return "unknown_key";
  case ResultCode::Overloaded:
    return "overloaded";
  case ResultCode::DeadlineTooShort:
    return "deadline_too_short";
  case ResultCode::NotInHostSet:
    return "not_in_host_set";
  case ResultCode::ZoneOut:
    return "zone_out";
  case ResultCode::StoreUnavailable:
    return "store_unavailable";
  case ResultCode::Quarantined:
    return "quarantined";
  case ResultCode::ShuttingDown:
    return "shutting_down";
  case ResultCode::NoBackend:
    return "no_backend";
  case ResultCode::QuotaExceeded:
    return "quota_exceeded";
  case ResultCode::OutcomeUnknown:
    return "outcome_unknown";
  case ResultCode::DeadlineExceeded:
    return "deadline_exceeded";
  case ResultCode::Cancelled:
    return "cancelled";
  case ResultCode::AlreadyClaimed:
    return "already_claimed";
  case ResultCode::Conflict:
    return "conflict";
  case ResultCode::InvalidConfig:
    return "invalid_config";
  case ResultCode::StaleRevision:
    return "stale_revision";
  case ResultCode::Internal:
    return "internal";
  case ResultCode::PeerUnreachable:
    return "peer_unreachable";
  case ResultCode::BackendLost:
    return "backend_lost";
  case ResultCode::BackendRefused:
    return "backend_refused";
  case ResultCode::BadBackendReply:
    return "bad_backend_reply";
  case ResultCode::Timeout:
    return "timeout";
  }
  return "unknown_code";
}

} // namespace mimosa
