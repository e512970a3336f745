#include "runtime/http_response_encoder.h"

#include <boost/beast/http.hpp>
#include <optional>

namespace mimosa {

namespace http = boost::beast::http;

namespace {

/// Whether a response has a body, whatever was made for it (RFC 9110, 6.4.1).
bool hasBody(int Status, bool AnswersHead) {
  return !AnswersHead && Status != 204 && Status != 304;
}

/// The value of Content-Length; empty if the header is not sent. The response
/// to a HEAD request states the length of the body that a GET request would get
/// (RFC 9110, 8.6).
std::optional<uint64_t> contentLength(const HttpResponse &Response,
                                      bool AnswersHead) {
  if (hasBody(Response.Status, AnswersHead))
    return Response.Body.size();
  if (!hasBody(Response.Status, false))
    return std::nullopt;
  return Response.Body.empty() ? Response.LengthForHead
                               : std::optional<uint64_t>(Response.Body.size());
}

} // namespace

std::string encodeResponse(const HttpResponse &Response, bool AnswersHead,
                           bool KeepAlive) {
  auto Reason =
      http::obsolete_reason(static_cast<http::status>(Response.Status));
  std::string Out = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Out.reserve(256 + Response.Body.size());
  Out.append(Reason.data(), Reason.size()).append("\r\n");
  if (!findHeader(Response.Headers, "Content-Type"))
    Out.append("Content-Type: ").append(Response.ContentType).append("\r\n");
  for (const HttpHeader &H : Response.Headers)
    Out.append(H.Name).append(": ").append(H.Value).append("\r\n");
  if (!KeepAlive)
    Out += "Connection: close\r\n";
  if (auto Length = contentLength(Response, AnswersHead))
    Out += "Content-Length: " + std::to_string(*Length) + "\r\n";
  Out += "\r\n";
  if (hasBody(Response.Status, AnswersHead))
    Out += Response.Body;
  return Out;
}

} // namespace mimosa
