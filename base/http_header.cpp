#include "base/http_header.h"

#include <strings.h>

namespace mimosa {

bool sameHeaderName(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              std::string_view Name) {
  for (const HttpHeader &H : Headers)
    if (sameHeaderName(H.Name, Name))
      return &H.Value;
  return nullptr;
}

} // namespace mimosa
