// Header fields of HTTP messages.

#ifndef MIMOSA_BASE_HTTP_HEADER_H
#define MIMOSA_BASE_HTTP_HEADER_H

#include <string>
#include <string_view>
#include <vector>

namespace mimosa {

/// One header field of a message that was received or will be sent.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// True if two header names are equal, ignoring case.
bool sameHeaderName(std::string_view A, std::string_view B);

/// The value of the first header named \p Name, ignoring case; null if there is
/// none.
const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              std::string_view Name);

} // namespace mimosa

#endif // MIMOSA_BASE_HTTP_HEADER_H
