// Log lines, formatted by log4cxx.
//
//   logInfo("membership", "host " + Id + " is dead");
//   logRequest("gather", "request=" + Id + " outcome=answered");
//
// By default lines go to standard error at once. A daemon writes them to
// standard output through a bounded buffer (LogSink::BufferedStdout) and calls
// flushLog() from a timer: writing never blocks, and what does not fit into the
// buffer is dropped and counted. Lines for requests are limited in number for
// each second, so that their cost stays bounded under load.

#ifndef MIMOSA_RUNTIME_LOG_H
#define MIMOSA_RUNTIME_LOG_H

#include "base/result.h"

#include <cstdint>
#include <string>

namespace mimosa {

enum class LogSink {
  /// Standard error, at once.
  Stderr,
  /// Standard output through a bounded buffer.
  BufferedStdout,
};

/// Sets the lowest level written: debug, info, warn or error. Fails with
/// BadSetting for another word.
Result<Done> configureLog(const std::string &Level,
                          LogSink Sink = LogSink::Stderr);

/// Writes what is buffered as far as the reader takes it.
void flushLog();

/// What has become of log lines since the start.
struct LogCounters {
  uint64_t Written = 0;
  /// Dropped because the buffer was full.
  uint64_t Dropped = 0;
  /// Lines for requests above the rate limit.
  uint64_t Suppressed = 0;
};
LogCounters logCounters();

/// A line about one request; subject to the rate limit.
void logRequest(const char *Part, const std::string &Line);

void logDebug(const char *Part, const std::string &Line);
void logInfo(const char *Part, const std::string &Line);
void logWarn(const char *Part, const std::string &Line);
void logError(const char *Part, const std::string &Line);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_LOG_H
