#include "base/http_header.h"

#include <strings.h>

namespace mimosa {

const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              std::string_view Name) {
  for (const HttpHeader &H : Headers)
    if (H.Name.size() == Name.size() &&
        strncasecmp(H.Name.data(), Name.data(), Name.size()) == 0)
      return &H.Value;
  return nullptr;
}

} // namespace mimosa
