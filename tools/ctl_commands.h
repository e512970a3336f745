// The commands of mimosactl. Each reads from or changes the configuration
// through any daemon and prints lines for an operator.
//
//   CtlCommands Commands(Loop, Options);
//   Result<Done> Outcome = Commands.run({"zone-out", "z1"});
//   int Status = exitStatusOf(Outcome);
//
// A change is a compare-and-swap on the revision. `apply` stops at a conflict,
// because its file may undo what the other operator did. The commands that
// edit one item make their edit again on the newer document.

#ifndef MIMOSA_TOOLS_CTL_COMMANDS_H
#define MIMOSA_TOOLS_CTL_COMMANDS_H

#include "config/config.h"
#include "tools/ctl_client.h"

#include <functional>
#include <map>
#include <optional>

namespace mimosa {

struct CtlOptions {
  /// Caller addresses of daemons, "ip:port".
  std::vector<std::string> Daemons;
  /// Longest time of the command.
  Duration Timeout = Seconds(10);
  /// The revision that the file of `apply` replaces; -1 for the one in the
  /// file or, without one, the revision in force.
  int64_t ExpectedRevision = -1;
  /// File with the document from which the file of `apply` was made.
  std::string Base;
};

/// Help on the commands and exit statuses.
extern const char *const CtlHelp;

/// An error for wrong usage of the command line.
Error usageError(const std::string &Message);

/// 0 done, 1 failed, 2 usage, 3 conflict, 4 timed out.
int exitStatusOf(const Result<Done> &Outcome);

class CtlCommands {
public:
  CtlCommands(FiberLoop &Loop, CtlOptions Options);

  /// Runs the command \p Words. Fails with BadSetting for wrong usage,
  /// Conflict, Timeout or OutcomeUnknown, and others that name what was wrong.
  Result<Done> run(const std::vector<std::string> &Words);

private:
  /// Changes one item of a document; fails with NotFound.
  using Edit = std::function<Result<Done>(Config &)>;
  /// Revisions in force by caller address.
  using Revisions = std::map<std::string, uint64_t>;
  /// An accepted change, or the document that was found instead.
  struct Posted {
    bool Accepted = false;
    uint64_t NewRevision = 0;
    Config Other;
    Error Conflict;
  };

  Result<Done> show();
  Result<Done> apply(const std::string &File);
  Result<Done> diff(const std::string &File);
  Result<Done> wait(const std::string &RevisionText);
  Result<Done> hosts();
  Result<Done> status();
  Result<Done> setZone(const std::string &Zone, ZoneState State);
  Result<Done> setBackend(const std::string &Name, BackendAdminState State);

  Result<Done> edit(const Edit &Change);
  Result<Posted> post(Revision Expected, const Config &Document);
  Result<Json> readJson(const std::string &Target);
  Result<Config> readConfig();
  Result<Config> baseOf(const Config &Current, const Config &New) const;
  static Error conflict(const Config *Base, const Config &New,
                        const Posted &Found);
  Result<uint64_t> wantedRevision(const std::string &Text);
  Result<std::vector<std::string>> liveHosts();
  Revisions revisionsOf(const std::vector<std::string> &Addresses);

  FiberLoop &Loop;
  CtlOptions Options;
  DaemonClient Client;
  std::string ChangeId;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_CTL_COMMANDS_H
