// Commands of mimosactl that work on files and need no daemon.

#ifndef MIMOSA_TOOLS_CTL_LOCAL_H
#define MIMOSA_TOOLS_CTL_LOCAL_H

#include <optional>
#include <string>
#include <vector>

namespace mimosa {

/// Runs "explain REQUEST-ID [LOG...]", "check SETTINGS" or "rollouts STORE
/// [SERVICE]" and returns the exit status: 0 done; 1 a log cannot be read, no
/// log has a line of the request, the settings have problems, or the store
/// cannot be read or has no such roll-out; 2 wrong usage. Returns nothing if \p
/// Words is another command.
std::optional<int> runLocalCommand(const std::vector<std::string> &Words);

} // namespace mimosa

#endif // MIMOSA_TOOLS_CTL_LOCAL_H
