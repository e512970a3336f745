// Encodes the responses of HttpServer. What follows from the request and the
// status alone, whether there is a body and what length is stated, is decided
// here and not by those who make a response.

#ifndef MIMOSA_RUNTIME_HTTP_RESPONSE_ENCODER_H
#define MIMOSA_RUNTIME_HTTP_RESPONSE_ENCODER_H

#include "runtime/http.h"

#include <string>

namespace mimosa {

/// The bytes of \p Response, whose status must be a final one. \p AnswersHead
/// says whether the request is a HEAD request, and \p KeepAlive whether the
/// connection can be used for another one.
std::string encodeResponse(const HttpResponse &Response, bool AnswersHead,
                           bool KeepAlive);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_HTTP_RESPONSE_ENCODER_H
