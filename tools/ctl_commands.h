// The commands of mimosactl that need a daemon. Each reads or changes the
// configuration, or reads the state of hosts, through any of the given daemons
// and prints the result.
//
//   CtlCommands Commands(Loop, Options);
//   Result<Done> Outcome = Commands.run({"zone-out", "z1"});
//   int Status = exitStatusOf(Outcome);
//
// A change is a compare-and-swap on the revision. `apply` fails on a conflict,
// because its file may undo the other operator's change. The commands that edit
// one item repeat the edit on the newer document.

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
  /// Time limit of the command.
  Duration Timeout = Seconds(10);
  /// The revision that the file of `apply` replaces; -1 for the revision that
  /// Base or else the file states or, without one, the active revision.
  int64_t ExpectedRevision = -1;
  /// Path of the document from which the file of `apply` was made; may be
  /// empty.
  std::string Base;
};

/// Help on the commands and exit statuses.
extern const char *const CtlHelp;

/// An error for wrong usage of the command line.
Error usageError(const std::string &Message);

/// 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 timed out.
int exitStatusOf(const Result<Done> &Outcome);

class CtlCommands {
public:
  CtlCommands(FiberLoop &Loop, CtlOptions Options);

  /// Runs the command \p Words: its name and arguments. Fails with BadSetting
  /// for wrong usage, and with Conflict, Timeout, OutcomeUnknown and other
  /// codes.
  Result<Done> run(const std::vector<std::string> &Words);

private:
  /// Changes one item of a document; fails with NotFound.
  using Edit = std::function<Result<Done>(Config &)>;
  /// Active revisions by caller address.
  using Revisions = std::map<std::string, uint64_t>;
  /// The result of a change that was accepted or that met a conflict.
  struct PostResult {
    bool Accepted = false;
    /// The revision of the change or, after a conflict, of ActiveDocument.
    uint64_t NewRevision = 0;
    /// Only after a conflict.
    Config ActiveDocument;
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
  Result<PostResult> post(Revision Expected, const Config &Document);
  Result<Json> readJson(const std::string &Target);
  Result<Config> readConfig();
  Result<Config> baseDocument(const Config &Current, const Config &New) const;
  static Error conflictError(const Config *Base, const Config &New,
                             const PostResult &Outcome);
  Result<uint64_t> targetRevision(const std::string &Text);
  Result<std::vector<std::string>> liveHosts();
  Revisions revisionsOf(const std::vector<std::string> &Addresses);

  FiberLoop &Loop;
  CtlOptions Options;
  DaemonClient Client;
  std::string ChangeId;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_CTL_COMMANDS_H
