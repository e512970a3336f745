#include "runtime/http.h"

#include "base/json_fields.h"

#include <cctype>

namespace mimosa {

namespace {

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      int High = hexDigit(Text[I + 1]);
      int Low = hexDigit(Text[I + 2]);
      if (High >= 0 && Low >= 0) {
        Out.push_back(static_cast<char>(High * 16 + Low));
        I += 2;
        continue;
      }
    }
    Out.push_back(Text[I] == '+' ? ' ' : Text[I]);
  }
  return Out;
}

} // namespace

std::string percentEncode(const std::string &Text) {
  constexpr const char *Hex = "0123456789ABCDEF";
  std::string Out;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (isalnum(Byte) || C == '-' || C == '_' || C == '.' || C == '/')
      Out.push_back(C);
    else
      Out.append({'%', Hex[Byte >> 4], Hex[Byte & 15]});
  }
  return Out;
}

std::string_view HttpRequest::path() const {
  std::string_view View = Target;
  return View.substr(0, View.find('?'));
}

std::map<std::string, std::string> HttpRequest::parameters() const {
  std::map<std::string, std::string> Out;
  size_t QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return Out;
  std::string_view Rest = std::string_view(Target).substr(QueryStart + 1);
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    size_t Equals = Pair.find('=');
    std::string_view Value =
        Equals == std::string_view::npos ? "" : Pair.substr(Equals + 1);
    Out[percentDecode(Pair.substr(0, Equals))] = percentDecode(Value);
  }
  return Out;
}

void CallerConnection::onDisconnect(
    std::function<void(DisconnectReason)> NewCallback) {
  Callback = std::move(NewCallback);
}

void CallerConnection::recordDisconnect(DisconnectReason Reason) {
  if (Disconnected)
    return;
  Disconnected = true;
  if (Callback)
    Callback(Reason);
}

std::string errorBody(const Error &E) {
  Json Body = {{"result",
                {{"code", static_cast<int>(E.Code)},
                 {"name", resultCodeName(E.Code)},
                 {"message", E.Message}}}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace mimosa
