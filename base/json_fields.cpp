#include "base/json_fields.h"

namespace mimosa {

namespace {
const Json EmptyArray = Json::array();
const Json EmptyObject = Json::object();

/// Limit on what an error message repeats of a field.
constexpr size_t MaxDescribedBytes = 60;

bool nestedTooDeeply(std::string_view Text) {
  size_t Depth = 0;
  bool InString = false;
  for (size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString) {
      if (C == '\\')
        ++I;
      else
        InString = C != '"';
    } else if (C == '"') {
      InString = true;
    } else if (C == '[' || C == '{') {
      if (++Depth > MaxJsonDepth)
        return true;
    } else if ((C == ']' || C == '}') && Depth > 0) {
      --Depth;
    }
  }
  return false;
}

/// A value for an error message, which others may have written.
std::string describe(const Json &Value) {
  if (Value.is_structured())
    return std::string("an ") + Value.type_name();
  std::string Text = Value.dump(-1, ' ', /*ensure_ascii=*/true,
                                Json::error_handler_t::replace);
  if (Text.size() <= MaxDescribedBytes)
    return Text;
  return Text.substr(0, MaxDescribedBytes) + "...";
}
} // namespace

Result<Json> parseJson(std::string_view Text) {
  if (nestedTooDeeply(Text))
    return Error{ResultCode::BadJson, "the body is nested more than " +
                                          std::to_string(MaxJsonDepth) +
                                          " levels deep"};
  Json Parsed = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Parsed.is_discarded())
    return Error{ResultCode::BadJson, "the body is not valid JSON"};
  return Parsed;
}

JsonFields::JsonFields(const Json &Object, std::string Path)
    : Object(Object), Path(std::move(Path)) {
  if (!Object.is_object())
    fail(ResultCode::BadJson, this->Path + " must be a JSON object");
}

void JsonFields::fail(ResultCode Code, const std::string &Message) {
  if (!Failure)
    Failure = Error{Code, Message};
}

const Json *JsonFields::find(const char *Name) {
  if (!Object.is_object())
    return nullptr;
  auto It = Object.find(Name);
  return It == Object.end() ? nullptr : &*It;
}

std::string JsonFields::text(const char *Name) {
  const Json *Field = find(Name);
  if (!Field) {
    fail(ResultCode::MissingField, Path + "." + Name + " is missing");
    return {};
  }
  if (!Field->is_string() || Field->get_ref<const std::string &>().empty()) {
    fail(ResultCode::BadField, Path + "." + Name +
                                   " must be a non-empty string, not " +
                                   describe(*Field));
    return {};
  }
  return Field->get<std::string>();
}

std::string JsonFields::textOr(const char *Name, std::string Fallback) {
  const Json *Field = find(Name);
  if (!Field)
    return Fallback;
  if (!Field->is_string()) {
    fail(ResultCode::BadField,
         Path + "." + Name + " must be a string, not " + describe(*Field));
    return Fallback;
  }
  return Field->get<std::string>();
}

int64_t JsonFields::number(const char *Name, int64_t Lowest, int64_t Highest) {
  if (!find(Name)) {
    fail(ResultCode::MissingField, Path + "." + Name + " is missing");
    return Lowest;
  }
  return numberOr(Name, Lowest, Highest, Lowest);
}

int64_t JsonFields::numberOr(const char *Name, int64_t Lowest, int64_t Highest,
                             int64_t Fallback) {
  const Json *Field = find(Name);
  if (!Field)
    return Fallback;
  bool Fits = Field->is_number_integer();
  if (Fits && Field->is_number_unsigned())
    Fits = Field->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX);
  if (Fits) {
    int64_t Value = Field->get<int64_t>();
    if (Value >= Lowest && Value <= Highest)
      return Value;
  }
  fail(ResultCode::BadField,
       Path + "." + Name + " must be a whole number from " +
           std::to_string(Lowest) + " to " + std::to_string(Highest) +
           ", not " + describe(*Field));
  return Fallback;
}

double JsonFields::decimalOr(const char *Name, double Lowest, double Highest,
                             double Fallback) {
  const Json *Field = find(Name);
  if (!Field)
    return Fallback;
  if (Field->is_number()) {
    double Value = Field->get<double>();
    if (Value >= Lowest && Value <= Highest)
      return Value;
  }
  fail(ResultCode::BadField,
       Path + "." + Name + " must be a number from " + Json(Lowest).dump() +
           " to " + Json(Highest).dump() + ", not " + describe(*Field));
  return Fallback;
}

bool JsonFields::flagOr(const char *Name, bool Fallback) {
  const Json *Field = find(Name);
  if (!Field)
    return Fallback;
  if (!Field->is_boolean()) {
    fail(ResultCode::BadField,
         Path + "." + Name + " must be true or false, not " + describe(*Field));
    return Fallback;
  }
  return Field->get<bool>();
}

const Json &JsonFields::required(const char *Name, Json::value_t Type) {
  const Json &Empty = Type == Json::value_t::array ? EmptyArray : EmptyObject;
  const Json *Field = find(Name);
  if (!Field) {
    fail(ResultCode::MissingField, Path + "." + Name + " is missing");
    return Empty;
  }
  if (Field->type() != Type) {
    fail(ResultCode::BadField, Path + "." + Name + " must be an " +
                                   Empty.type_name() + ", not " +
                                   Field->type_name());
    return Empty;
  }
  return *Field;
}

const Json &JsonFields::arrayOrEmpty(const char *Name) {
  return find(Name) ? array(Name) : EmptyArray;
}

const Json &JsonFields::array(const char *Name) {
  return required(Name, Json::value_t::array);
}

const Json &JsonFields::object(const char *Name) {
  return required(Name, Json::value_t::object);
}

} // namespace mimosa
