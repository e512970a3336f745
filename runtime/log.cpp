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

/// Buffer for a slow reader of standard output; about 2,000 lines.
constexpr size_t MaxBufferedBytes = 256 * 1024;
/// Size from which the buffer is written without waiting for the timer.
constexpr size_t EagerFlushBytes = 16 * 1024;
/// Limit on lines about requests in one second. For comparison, a host with
/// 0.25 cores serves about 100 requests per second.
constexpr uint64_t MaxRequestLinesPerSecond = 300;

LogCounters Counters;
std::string Buffer;

/// Appends lines to a buffer until flushLog(), so that logging never blocks.
class BufferAppender : public log4cxx::AppenderSkeleton {
public:
  explicit BufferAppender(log4cxx::LayoutPtr Layout)
      : Layout(std::move(Layout)) {}
  void close() override {}
  bool requiresLayout() const override { return false; }
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    log4cxx::LogString Line;
    Layout->format(Line, Event, Pool);
    if (Buffer.size() + Line.size() > MaxBufferedBytes) {
      ++Counters.Dropped;
      return;
    }
    ++Counters.Written;
    Buffer += Line;
    if (Buffer.size() >= EagerFlushBytes)
      flushLog();
  }

private:
  log4cxx::LayoutPtr Layout;
};

/// Whether another line about a request may be written in this second.
bool tryTakeRequestLine() {
  static std::chrono::steady_clock::time_point WindowStart;
  static uint64_t Lines = 0;
  auto Now = std::chrono::steady_clock::now();
  if (Now - WindowStart >= Seconds(1)) {
    WindowStart = Now;
    Lines = 0;
  }
  return ++Lines <= MaxRequestLinesPerSecond;
}

const log4cxx::LoggerPtr &logger(const char *Component) {
  static std::map<std::string, log4cxx::LoggerPtr, std::less<>> Loggers;
  auto Found = Loggers.find(std::string_view(Component));
  if (Found == Loggers.end())
    Found =
        Loggers.emplace(Component, log4cxx::Logger::getLogger(Component)).first;
  return Found->second;
}

} // namespace

void flushLog() {
  while (!Buffer.empty()) {
    ssize_t Count = write(STDOUT_FILENO, Buffer.data(), Buffer.size());
    if (Count <= 0)
      return;
    Buffer.erase(0, static_cast<size_t>(Count));
  }
}

LogCounters logCounters() { return Counters; }

Result<Done> configureLog(const std::string &Level, LogSink Sink) {
  log4cxx::LevelPtr LowestLevel = levelByName(Level);
  if (!LowestLevel)
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
  log4cxx::Logger::getRootLogger()->setLevel(LowestLevel);
  return Done{};
}

void logRequest(const char *Component, const std::string &Line) {
  if (tryTakeRequestLine())
    LOG4CXX_INFO(logger(Component), Line);
  else
    ++Counters.Suppressed;
}

void logDebug(const char *Component, const std::string &Line) {
  LOG4CXX_DEBUG(logger(Component), Line);
}
void logInfo(const char *Component, const std::string &Line) {
  LOG4CXX_INFO(logger(Component), Line);
}
void logWarn(const char *Component, const std::string &Line) {
  LOG4CXX_WARN(logger(Component), Line);
}
void logError(const char *Component, const std::string &Line) {
  LOG4CXX_ERROR(logger(Component), Line);
}

} // namespace mimosa
