// Errors as values. A function that can fail returns Result<T>, a std::variant
// of the value and an Error with a numbered code:
//
//   Result<Config> Parsed = parseConfig(Text);
//   if (!ok(Parsed))
//     return errorOf(Parsed);
//   use(valueOf(Parsed));
//
// The codes and their meaning for callers are listed in docs/result-codes.md.

#ifndef MIMOSA_BASE_RESULT_H
#define MIMOSA_BASE_RESULT_H

#include <string>
#include <utility>
#include <variant>

namespace mimosa {

/// Outcome of a request. The numbers are part of the public protocol and never
/// change their meaning.
enum class ResultCode : int {
  Ok = 0,
  Partial = 1,
  BadJson = 100,
  UnknownService = 101,
  BodyTooLarge = 102,
  BadDeadline = 103,
  MissingField = 104,
  BadClass = 105,
  SlowSender = 106,
  BadFrame = 107,
  MissingRequestKey = 108,
  BadField = 109,
  NotFound = 110,
  BadSetting = 111,
  UnknownKey = 112,
  Overloaded = 200,
  DeadlineTooShort = 201,
  NotInHostSet = 202,
  ZoneOut = 203,
  StoreUnavailable = 204,
  Quarantined = 205,
  ShuttingDown = 206,
  NoBackend = 207,
  QuotaExceeded = 208,
  OutcomeUnknown = 300,
  DeadlineExceeded = 301,
  Cancelled = 302,
  AlreadyClaimed = 303,
  Conflict = 400,
  InvalidConfig = 401,
  StaleRevision = 402,
  Internal = 500,
  PeerUnreachable = 501,
  BackendLost = 502,
  BackendRefused = 503,
  BadBackendReply = 504,
  Timeout = 505,
};

/// The code's name in answers, logs and metrics, such as "bad_json".
const char *resultCodeName(ResultCode Code);

/// Why a function failed: a code and a message that names the field or setting,
/// its value and the allowed values.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Message;
};

template <typename T> using Result = std::variant<T, Error>;

/// The value type of a function that can fail but returns no value.
struct Done {};

template <typename T> bool ok(const Result<T> &R) { return R.index() == 0; }

/// The value of \p R, which must be ok.
template <typename T> const T &valueOf(const Result<T> &R) {
  return std::get<0>(R);
}
template <typename T> T &valueOf(Result<T> &R) { return std::get<0>(R); }
template <typename T> T &&valueOf(Result<T> &&R) {
  return std::get<0>(std::move(R));
}

/// The error of \p R, which must not be ok.
template <typename T> const Error &errorOf(const Result<T> &R) {
  return std::get<1>(R);
}

} // namespace mimosa

#endif // MIMOSA_BASE_RESULT_H
