// The query as its caller states it and the answer that the caller gets, with
// their JSON forms (POST /v1/query).
//
//   Result<QueryRequest> Parsed = parseQuery(Body);
//   if (!ok(Parsed))
//     return refuse(errorOf(Parsed));
//   ...
//   std::string Body = answerJson(Answer);
//
// The query object is kept as JSON text with sorted keys and is not looked
// into, so that the same query always has the same text and fingerprint.

#ifndef MIMOSA_QUERY_REQUEST_H
#define MIMOSA_QUERY_REQUEST_H

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// Priority class of a query.
enum class QueryClass { Interactive, Batch };

/// The name of \p Class in requests and metrics.
const char *queryClassName(QueryClass Class);

/// Shortest and longest deadline that a caller may ask for.
constexpr Milliseconds MinQueryDeadline{1};
constexpr Milliseconds MaxQueryDeadline{10000};

/// Most hits that a caller may ask for with `limit`.
constexpr uint32_t MaxHitLimit = 100000;

/// Deepest nesting of a request body. JSON values are written recursively, and
/// the stack of a fiber is small.
constexpr uint32_t MaxQueryNesting = 64;

/// Longest service, caller and request key, in bytes.
constexpr size_t MaxQueryNameLength = 256;

/// A caller's query.
struct QueryRequest {
  ServiceId Service;
  CallerId Caller;
  QueryClass Class = QueryClass::Interactive;
  /// Empty: the service's default applies.
  std::optional<Duration> Deadline;
  /// False: the request runs at most once.
  bool Idempotent = true;
  /// Not empty if the request is not idempotent.
  RequestKey Key;
  /// The query object as JSON text with sorted keys and no white space.
  std::string Query;
  /// Most hits in the answer; empty: all hits.
  std::optional<uint32_t> Limit;
};

/// The query in the JSON text \p Body. Fails with BadJson (no JSON object, or
/// nested deeper than MaxQueryNesting), MissingField, BadField (wrong type,
/// out of range or unknown field), BadClass, BadDeadline or MissingRequestKey.
/// The message names the field. An unknown field is refused because a misspelt
/// `idempotent` would silently lose the at-most-once guarantee.
Result<QueryRequest> parseQuery(std::string_view Body);

/// One hit of a search.
struct Hit {
  ShardId Shard;
  std::string Id;
  /// Finite; higher is better.
  double Score = 0;
};

/// What is known about the execution of a request.
enum class Execution {
  /// It ran, at least in part.
  Ran,
  /// No part of it ran.
  NotRun,
  /// Some part may have run.
  Unknown,
};

/// The name of \p E in answers: "ran", "not_run" or "unknown".
const char *executionName(Execution E);

/// Shards of one snapshot that a query reached.
struct Coverage {
  /// Shards that at least one sub-request was sent for.
  uint32_t Asked = 0;
  /// Shards whose hits are in the answer.
  uint32_t Answered = 0;
  /// Shards of the snapshot.
  uint32_t Total = 0;
};

/// The answer to a query.
struct QueryAnswer {
  ResultCode Code = ResultCode::Ok;
  /// Empty if there is nothing to explain.
  std::string Message;
  Execution Outcome = Execution::NotRun;
  /// Whether every shard of the snapshot answered.
  bool Complete = false;
  Coverage Shards;
  /// Empty if no snapshot was chosen.
  SnapshotId Snapshot;
  /// By score (highest first), then shard, then id.
  std::vector<Hit> Hits;
  /// Time since the request was received.
  Duration Elapsed{};
};

/// \p Answer as JSON text; its last field is "end":true. Bytes that are not
/// UTF-8 are replaced.
std::string answerJson(const QueryAnswer &Answer);

} // namespace mimosa

#endif // MIMOSA_QUERY_REQUEST_H
