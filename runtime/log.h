// Log lines for changes of state, written by log4cxx to standard error.
//
//   logInfo("membership", "host " + Id + " is dead");
//
// Lines for each request are not logged; counters and histograms show them.

#ifndef MIMOSA_RUNTIME_LOG_H
#define MIMOSA_RUNTIME_LOG_H

#include "base/result.h"

#include <string>

namespace mimosa {

/// Sets the lowest level written: debug, info, warn or error. Fails with
/// BadSetting for another word.
Result<Done> configureLog(const std::string &Level);

void logDebug(const char *Part, const std::string &Line);
void logInfo(const char *Part, const std::string &Line);
void logWarn(const char *Part, const std::string &Line);
void logError(const char *Part, const std::string &Line);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_LOG_H
