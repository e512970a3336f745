#include "query/request.h"

#include "base/json_fields.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace mimosa {

namespace {

const char *const KnownFields[] = {"service",     "caller",     "class",
                                   "deadline_ms", "idempotent", "request_key",
                                   "query",       "limit"};

/// Estimated bytes of an answer without its hits, and of a hit without its id.
constexpr size_t AnswerBaseSize = 320;
constexpr size_t HitBaseSize = 64;

/// Deepest nesting of the arrays and objects in \p Text. The result has no
/// meaning if the text is not JSON.
uint32_t nestingDepth(std::string_view Text) {
  uint32_t Depth = 0;
  uint32_t Deepest = 0;
  bool InString = false;
  for (size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString) {
      if (C == '\\')
        ++I;
      else if (C == '"')
        InString = false;
    } else if (C == '"') {
      InString = true;
    } else if (C == '{' || C == '[') {
      Deepest = std::max(Deepest, ++Depth);
    } else if ((C == '}' || C == ']') && Depth > 0) {
      --Depth;
    }
  }
  return Deepest;
}

void rejectUnknownFields(const Json &Object, JsonFields &Fields) {
  for (const auto &Item : Object.items()) {
    bool Known =
        std::any_of(std::begin(KnownFields), std::end(KnownFields),
                    [&](const char *Name) { return Item.key() == Name; });
    if (!Known)
      Fields.fail(ResultCode::BadField,
                  Fields.path() + "." + Item.key() + " is not a known field");
  }
}

void checkLength(const std::string &Text, const char *Name,
                 JsonFields &Fields) {
  if (Text.size() > MaxQueryNameLength)
    Fields.fail(ResultCode::BadField,
                Fields.path() + "." + Name + " has " +
                    std::to_string(Text.size()) + " bytes; at most " +
                    std::to_string(MaxQueryNameLength) + " are allowed");
}

QueryClass readClass(JsonFields &Fields) {
  std::string Name = Fields.text("class");
  if (Name == queryClassName(QueryClass::Batch))
    return QueryClass::Batch;
  if (Name != queryClassName(QueryClass::Interactive))
    Fields.fail(ResultCode::BadClass,
                Fields.path() + ".class must be interactive or batch, not " +
                    Name);
  return QueryClass::Interactive;
}

std::optional<Duration> readDeadline(const Json &Object, JsonFields &Fields) {
  auto It = Object.find("deadline_ms");
  if (It == Object.end())
    return std::nullopt;
  constexpr int64_t Lowest = MinQueryDeadline.count();
  constexpr int64_t Highest = MaxQueryDeadline.count();
  // Separate fields, so that the error has the code BadDeadline.
  JsonFields Deadline(Object, Fields.path());
  int64_t Value = Deadline.numberOr("deadline_ms", Lowest, Highest, Lowest);
  if (Deadline.failed())
    Fields.fail(ResultCode::BadDeadline, Deadline.error().Message);
  return Milliseconds(Value);
}

std::optional<uint32_t> readLimit(const Json &Object, JsonFields &Fields) {
  if (Object.find("limit") == Object.end())
    return std::nullopt;
  return static_cast<uint32_t>(Fields.number("limit", 1, MaxHitLimit));
}

bool needsNoEscape(std::string_view Text) {
  // No early exit, so that the loop is vectorized.
  bool Plain = true;
  for (char C : Text)
    Plain &= C >= 0x20 && C < 0x7f && C != '"' && C != '\\';
  return Plain;
}

/// Writes JSON text into a buffer of the expected size. The JSON library takes
/// several times as long per hit.
class AnswerWriter {
public:
  explicit AnswerWriter(size_t Size) { Buffer.resize(Size); }

  void raw(std::string_view Text) {
    reserve(Text.size());
    std::memcpy(&Buffer[Used], Text.data(), Text.size());
    Used += Text.size();
  }

  template <typename Number> void number(Number Value) {
    reserve(MaxNumberLength);
    char *Begin = &Buffer[Used];
    char *End = std::to_chars(Begin, Begin + MaxNumberLength, Value).ptr;
    Used += End - Begin;
  }

  void text(const std::string &Text) {
    if (!needsNoEscape(Text)) {
      raw(Json(Text).dump(-1, ' ', false, Json::error_handler_t::replace));
      return;
    }
    raw("\"");
    raw(Text);
    raw("\"");
  }

  std::string take() {
    Buffer.resize(Used);
    return std::move(Buffer);
  }

private:
  /// Enough for any 64-bit integer and for the shortest form of any double.
  static constexpr size_t MaxNumberLength = 32;

  void reserve(size_t Bytes) {
    if (Buffer.size() - Used < Bytes)
      Buffer.resize(2 * Buffer.size() + Bytes);
  }

  std::string Buffer;
  size_t Used = 0;
};

void writeHit(AnswerWriter &Out, const Hit &H) {
  Out.raw("{\"shard\":");
  Out.number(H.Shard.number());
  Out.raw(",\"id\":");
  Out.text(H.Id);
  Out.raw(",\"score\":");
  Out.number(H.Score);
  Out.raw("}");
}

void writeCoverage(AnswerWriter &Out, const Coverage &C) {
  Out.raw(",\"coverage\":{\"asked\":");
  Out.number(C.Asked);
  Out.raw(",\"answered\":");
  Out.number(C.Answered);
  Out.raw(",\"total\":");
  Out.number(C.Total);
  Out.raw("}");
}

void writeResult(AnswerWriter &Out, const QueryAnswer &Answer) {
  Out.raw("{\"result\":{\"code\":");
  Out.number(static_cast<int>(Answer.Code));
  Out.raw(",\"name\":\"");
  Out.raw(resultCodeName(Answer.Code));
  Out.raw("\",\"message\":");
  Out.text(Answer.Message);
  Out.raw("}");
}

size_t expectedSize(const QueryAnswer &Answer) {
  size_t Size = AnswerBaseSize + Answer.Message.size();
  for (const Hit &H : Answer.Hits)
    Size += HitBaseSize + H.Id.size();
  return Size;
}

} // namespace

const char *queryClassName(QueryClass Class) {
  return Class == QueryClass::Interactive ? "interactive" : "batch";
}

const char *executionName(Execution E) {
  switch (E) {
  case Execution::Ran:
    return "ran";
  case Execution::NotRun:
    return "not_run";
  case Execution::Unknown:
    break;
  }
  return "unknown";
}

Result<QueryRequest> parseQuery(std::string_view Body) {
  if (nestingDepth(Body) > MaxQueryNesting)
    return Error{ResultCode::BadJson, "the body is nested deeper than " +
                                          std::to_string(MaxQueryNesting) +
                                          " levels"};
  Result<Json> Parsed = parseJson(Body);
  if (!ok(Parsed))
    return errorOf(Parsed);
  const Json &Object = valueOf(Parsed);
  JsonFields Fields(Object, "query");
  if (Fields.failed())
    return Fields.error();

  QueryRequest Request;
  Request.Service = ServiceId(Fields.text("service"));
  Request.Caller = CallerId(Fields.text("caller"));
  Request.Class = readClass(Fields);
  Request.Deadline = readDeadline(Object, Fields);
  Request.Idempotent = Fields.flagOr("idempotent", true);
  Request.Key = RequestKey(Fields.textOr("request_key", ""));
  Request.Query = Fields.object("query").dump();
  Request.Limit = readLimit(Object, Fields);
  checkLength(Request.Service.text(), "service", Fields);
  checkLength(Request.Caller.text(), "caller", Fields);
  checkLength(Request.Key.text(), "request_key", Fields);
  if (!Request.Idempotent && Request.Key.empty())
    Fields.fail(ResultCode::MissingRequestKey,
                "query.request_key must be given if query.idempotent is false");
  rejectUnknownFields(Object, Fields);
  if (Fields.failed())
    return Fields.error();
  return Request;
}

std::string answerJson(const QueryAnswer &Answer) {
  AnswerWriter Out(expectedSize(Answer));
  writeResult(Out, Answer);
  Out.raw(",\"execution\":\"");
  Out.raw(executionName(Answer.Outcome));
  Out.raw(Answer.Complete ? "\",\"complete\":true" : "\",\"complete\":false");
  writeCoverage(Out, Answer.Shards);
  Out.raw(",\"snapshot\":");
  Out.text(Answer.Snapshot.text());
  Out.raw(",\"hits\":[");
  for (const Hit &H : Answer.Hits) {
    if (&H != &Answer.Hits.front())
      Out.raw(",");
    writeHit(Out, H);
  }
  Out.raw("],\"elapsed_ms\":");
  Out.number(inMilliseconds(Answer.Elapsed));
  Out.raw(",\"end\":true}");
  return Out.take();
}

} // namespace mimosa
