// The two priority classes of queries.

#ifndef MIMOSA_ADMISSION_REQUEST_CLASS_H
#define MIMOSA_ADMISSION_REQUEST_CLASS_H

#include <cstddef>
#include <cstdint>

namespace mimosa {

/// Interactive queries are served before batch queries in every queue.
enum class RequestClass : uint8_t { Interactive = 0, Batch = 1 };

constexpr size_t RequestClassCount = 2;

/// Name of the class in requests and metrics.
inline const char *requestClassName(RequestClass Class) {
  return Class == RequestClass::Interactive ? "interactive" : "batch";
}

} // namespace mimosa

#endif // MIMOSA_ADMISSION_REQUEST_CLASS_H
