#include "runtime/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

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

} // namespace

Result<Done> configureLog(const std::string &Level) {
  log4cxx::LevelPtr Lowest = levelByName(Level);
  if (!Lowest)
    return Error{ResultCode::BadSetting,
                 "setting log-level is '" + Level +
                     "' but must be debug, info, warn or error"};
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n"));
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, LOG4CXX_STR("System.err"));
  log4cxx::BasicConfigurator::configure(Appender);
  log4cxx::Logger::getRootLogger()->setLevel(Lowest);
  return Done{};
}

void logDebug(const char *Part, const std::string &Line) {
  LOG4CXX_DEBUG(log4cxx::Logger::getLogger(Part), Line);
}
void logInfo(const char *Part, const std::string &Line) {
  LOG4CXX_INFO(log4cxx::Logger::getLogger(Part), Line);
}
void logWarn(const char *Part, const std::string &Line) {
  LOG4CXX_WARN(log4cxx::Logger::getLogger(Part), Line);
}
void logError(const char *Part, const std::string &Line) {
  LOG4CXX_ERROR(log4cxx::Logger::getLogger(Part), Line);
}

} // namespace mimosa
