// Logging on top of log4cxx.
//
//   logInfo("membership", "host " + Id + " is dead");
//   logRequest("gather", "request=" + Id + " outcome=answered");
//
// By default, lines are written to standard error immediately. A daemon writes
// them to standard output through a bounded buffer (LogSink::BufferedStdout)
// and calls flushLog() from a timer: logging never blocks, and lines that do
// not fit into the buffer are dropped and counted. The rate of lines about
// requests is limited, so that their cost stays bounded under load.

#ifndef MIMOSA_RUNTIME_LOG_H
#define MIMOSA_RUNTIME_LOG_H

#include "base/result.h"

#include <cstdint>
#include <string>

namespace mimosa {

enum class LogSink {
  /// Standard error, without a buffer.
  Stderr,
  /// Standard output through a bounded buffer.
  BufferedStdout,
};

/// Sets the lowest level that is written: debug, info, warn or error. Fails
/// with BadSetting for any other \p Level.
Result<Done> configureLog(const std::string &Level,
                          LogSink Sink = LogSink::Stderr);

/// Writes buffered lines until standard output would block.
void flushLog();

/// Counters of log lines since the start of the process.
struct LogCounters {
  /// Lines put into the buffer of LogSink::BufferedStdout.
  uint64_t Written = 0;
  /// Lines dropped because the buffer was full.
  uint64_t Dropped = 0;
  /// Lines about requests that exceeded the rate limit.
  uint64_t Suppressed = 0;
};
LogCounters logCounters();

/// Writes a line about one request, at level info and within the rate limit.
/// \p Component is the part of the program that writes it.
void logRequest(const char *Component, const std::string &Line);

void logDebug(const char *Component, const std::string &Line);
void logInfo(const char *Component, const std::string &Line);
void logWarn(const char *Component, const std::string &Line);
void logError(const char *Component, const std::string &Line);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_LOG_H
