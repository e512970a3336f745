#include "runtime/log.h"

#include "base/time.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>
#include <map>
#include <unistd.h>

namespace mimosa {

namespace {

log4cxx::LevelPtr levelByName(const std::string &Name) {
  if (Name == "debug")
    return log4cxx::Level::getDebug();
  if (Name == "info")
    return log4cxx::Level::getInfo();
  if (Name == "warn")
    return log4cxx::Level::getWarn();
  if (Name == "error")
    return log4cxx::Level::getError();
  return nullptr;
}

/// What waits for a slow reader; about 2,000 lines.
constexpr size_t MaxBufferedBytes = 256 * 1024;
/// A buffer of this size is written without waiting for the timer.
constexpr size_t EagerFlushBytes = 16 * 1024;
/// Lines for requests in one second. A host of 0.25 cores serves about a
/// hundred requests a second.
constexpr uint64_t RequestLinesPerSecond = 300;

LogCounters Counters;
std::string Buffered;

/// Keeps lines until flushLog() and never blocks.
class BufferAppender : public log4cxx::AppenderSkeleton {
public:
  explicit BufferAppender(log4cxx::LayoutPtr Format)
      : Format(std::move(Format)) {}
  void close() override {}
  bool requiresLayout() const override { return false; }
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    log4cxx::LogString Line;
    Format->format(Line, Event, Pool);
    if (Buffered.size() + Line.size() > MaxBufferedBytes) {
      ++Counters.Dropped;
      return;
    }
    ++Counters.Written;
    Buffered += Line;
    if (Buffered.size() >= EagerFlushBytes)
      flushLog();
  }

private:
  log4cxx::LayoutPtr Format;
};

/// Whether one more line for a request may be written in this second.
bool takeRequestLine() {
  static std::chrono::steady_clock::time_point Begin;
  static uint64_t Lines = 0;
  auto Now = std::chrono::steady_clock::now();
  if (Now - Begin >= Seconds(1)) {
    Begin = Now;
    Lines = 0;
  }
  return ++Lines <= RequestLinesPerSecond;
}

const log4cxx::LoggerPtr &logger(const char *Part) {
  static std::map<std::string, log4cxx::LoggerPtr, std::less<>> Known;
  auto Found = Known.find(std::string_view(Part));
  if (Found == Known.end())
    Found = Known.emplace(Part, log4cxx::Logger::getLogger(Part)).first;
  return Found->second;
}

} // namespace

void flushLog() {
  while (!Buffered.empty()) {
    ssize_t Count = write(STDOUT_FILENO, Buffered.data(), Buffered.size());
    if (Count <= 0)
      return;
    Buffered.erase(0, static_cast<size_t>(Count));
  }
}

LogCounters logCounters() { return Counters; }

Result<Done> configureLog(const std::string &Level, LogSink Sink) {
  log4cxx::LevelPtr Lowest = levelByName(Level);
  if (!Lowest)
    return Error{ResultCode::BadSetting,
                 "setting log-level is '" + Level +
                     "' but must be debug, info, warn or error"};
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n"));
  log4cxx::AppenderPtr Appender;
  if (Sink == LogSink::Stderr) {
    Appender = std::make_shared<log4cxx::ConsoleAppender>(
        Layout, LOG4CXX_STR("System.err"));
  } else {
    fcntl(STDOUT_FILENO, F_SETFL,
          fcntl(STDOUT_FILENO, F_GETFL, 0) | O_NONBLOCK);
    Appender = std::make_shared<BufferAppender>(Layout);
  }
  log4cxx::BasicConfigurator::configure(Appender);
  log4cxx::Logger::getRootLogger()->setLevel(Lowest);
  return Done{};
}

void logRequest(const char *Part, const std::string &Line) {
  if (takeRequestLine())
    LOG4CXX_INFO(logger(Part), Line);
  else
    ++Counters.Suppressed;
}

void logDebug(const char *Part, const std::string &Line) {
  LOG4CXX_DEBUG(logger(Part), Line);
}
void logInfo(const char *Part, const std::string &Line) {
  LOG4CXX_INFO(logger(Part), Line);
}
void logWarn(const char *Part, const std::string &Line) {
  LOG4CXX_WARN(logger(Part), Line);
}
void logError(const char *Part, const std::string &Line) {
  LOG4CXX_ERROR(logger(Part), Line);
}

} // namespace mimosa
