// Typed access to the fields of a JSON object, with errors that name the field.
//
//   JsonFields Fields(Object, "query");
//   Body.Service = ServiceId(Fields.text("service"));
//   Body.DeadlineMs = Fields.number("deadline_ms", 1, 10000);
//   if (Fields.failed())
//     return Fields.error();
//
// Only the first error is kept. A read that fails returns an empty value, the
// lowest allowed number or the fallback.

#ifndef MIMOSA_BASE_JSON_FIELDS_H
#define MIMOSA_BASE_JSON_FIELDS_H

#include "base/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace mimosa {

using Json = nlohmann::json;

/// Deepest nesting of arrays and objects that is accepted. Code that visits a
/// value calls itself for each level, on the small stack of a fiber.
constexpr size_t MaxJsonDepth = 64;

/// Parses \p Text; fails with BadJson if it is not valid JSON, or is nested
/// more than MaxJsonDepth levels deep.
Result<Json> parseJson(std::string_view Text);

/// Reads the fields of one JSON object, which must outlive this.
class JsonFields {
public:
  /// \p Path precedes the field's name in error messages, such as
  /// "services[2]".
  JsonFields(const Json &Object, std::string Path);

  /// A required non-empty string.
  std::string text(const char *Name);
  /// An optional string; \p Fallback if it is missing.
  std::string textOr(const char *Name, std::string Fallback);
  /// A required whole number in [\p Lowest, \p Highest].
  int64_t number(const char *Name, int64_t Lowest, int64_t Highest);
  /// An optional whole number; \p Fallback if it is missing.
  int64_t numberOr(const char *Name, int64_t Lowest, int64_t Highest,
                   int64_t Fallback);
  /// An optional number in [\p Lowest, \p Highest]; \p Fallback if it is
  /// missing.
  double decimalOr(const char *Name, double Lowest, double Highest,
                   double Fallback);
  /// An optional boolean; \p Fallback if it is missing.
  bool flagOr(const char *Name, bool Fallback);
  /// A required array; an empty array on failure.
  const Json &array(const char *Name);
  /// An optional array; an empty array if it is missing.
  const Json &arrayOrEmpty(const char *Name);
  /// A required object; an empty object on failure.
  const Json &object(const char *Name);

  /// Records an error of the caller's own check, unless there is one already.
  void fail(ResultCode Code, const std::string &Message);

  bool failed() const { return Failure.has_value(); }
  const Error &error() const { return *Failure; }
  const std::string &path() const { return Path; }

private:
  const Json *find(const char *Name);
  const Json &required(const char *Name, Json::value_t Type);

  const Json &Object;
  std::string Path;
  std::optional<Error> Failure;
};

} // namespace mimosa

#endif // MIMOSA_BASE_JSON_FIELDS_H
