// The request and the answer of POST /v1/query, and their JSON forms.
//
//   Result<QueryRequest> Parsed = parseQuery(Body);
//   if (!ok(Parsed))
//     return refuse(errorOf(Parsed));
//   ...
//   std::string Body = answerJson(Answer);
//
// The query object is not interpreted. It is kept as JSON text with sorted
// keys, so that equal queries have the same text and fingerprint.

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

/// Shortest and longest deadline that a caller may set.
constexpr Milliseconds MinQueryDeadline{1};
constexpr Milliseconds MaxQueryDeadline{10000};

/// Highest `limit` that a caller may set.
constexpr uint32_t MaxHitLimit = 100000;

/// Deepest nesting of a request body. The JSON library writes values
/// recursively, and the stack of a fiber is small.
constexpr uint32_t MaxQueryNesting = 64;

/// Maximum length of service, caller and request key in bytes.
constexpr size_t MaxQueryNameLength = 256;

/// A caller's query.
struct QueryRequest {
  ServiceId Service;
  CallerId Caller;
  QueryClass Class = QueryClass::Interactive;
  /// Empty if the service's default applies.
  std::optional<Duration> Deadline;
  /// If false, the request must run at most once.
  bool Idempotent = true;
  /// Not empty if the request is not idempotent.
  RequestKey Key;
  /// The query object as JSON text with sorted keys and no white space.
  std::string Query;
  /// Maximum number of hits in the answer; empty if there is none.
  std::optional<uint32_t> Limit;
};

/// Parses the JSON text \p Body. Fails with BadJson (not a JSON object, or
/// nested deeper than MaxQueryNesting), MissingField, BadField (wrong type, out
/// of range or unknown), BadClass, BadDeadline or MissingRequestKey. The
/// message names the field. Unknown fields are errors because a misspelt
/// `idempotent` would silently lose the at-most-once guarantee.
Result<QueryRequest> parseQuery(std::string_view Body);

/// One hit of a search.
struct Hit {
  ShardId Shard;
  std::string Id;
  /// Finite; higher is better.
  double Score = 0;
};

/// Whether a request ran.
enum class Execution {
  /// It ran in at least one shard.
  Ran,
  /// It ran in no shard.
  NotRun,
  /// It may have run in some shards.
  Unknown,
};

/// The name of \p E in answers: "ran", "not_run" or "unknown".
const char *executionName(Execution E);

/// How many shards of its snapshot a query covered.
struct Coverage {
  /// Shards for which at least one sub-request was sent.
  uint32_t Asked = 0;
  /// Shards whose hits are in the answer.
  uint32_t Answered = 0;
  /// Shards of the snapshot.
  uint32_t Total = 0;
};

struct QueryAnswer {
  ResultCode Code = ResultCode::Ok;
  /// Explains the code; empty if \c Code is Ok.
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
