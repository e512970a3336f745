// mimosactl: the command line tool for operators.

#include "runtime/settings.h"
#include "tools/ctl_commands.h"
#include "tools/ctl_local.h"

#include <cstdio>
#include <cstdlib>

namespace {
constexpr int UsageStatus = 2;
} // namespace

int main(int Argc, char **Argv) {
  mimosa::CtlOptions Options;
  std::string Daemons;
  int64_t TimeoutMs = mimosa::inMilliseconds(Options.Timeout);
  mimosa::Settings Parser("mimosactl", mimosa::CtlHelp, "COMMAND [ARGUMENT]");
  Parser.text("daemon", "caller addresses of daemons, comma-separated",
              &Daemons);
  Parser.number("timeout-ms", "time limit of the command", &TimeoutMs, 1,
                3600000);
  Parser.number(
      "expected-revision",
      "apply: revision that FILE replaces; -1 for that of --base or FILE",
      &Options.ExpectedRevision, -1, INT64_MAX);
  Parser.text("base", "apply: file with the document from which FILE was made",
              &Options.Base);
  if (auto Exit = Parser.parse(Argc, Argv))
    return *Exit;
  if (auto Local = mimosa::runLocalCommand(Parser.arguments()))
    return *Local;
  if (Daemons.empty()) {
    std::fprintf(stderr, "mimosactl: flag --daemon (or variable MIMOSA_DAEMON) "
                         "is required by this command; it "
                         "names the caller addresses of daemons\n");
    return UsageStatus;
  }
  Options.Timeout = mimosa::Milliseconds(TimeoutMs);
  Options.Daemons = mimosa::splitList(Daemons);
  int Status = 0;
  mimosa::FiberLoop Loop;
  Loop.run([&] {
    mimosa::CtlCommands Commands(Loop, Options);
    mimosa::Result<mimosa::Done> Outcome = Commands.run(Parser.arguments());
    std::fflush(stdout);
    if (!ok(Outcome)) {
      const mimosa::Error &Failure = errorOf(Outcome);
      std::fprintf(stderr, "mimosactl: %s (%d): %s\n",
                   mimosa::resultCodeName(Failure.Code),
                   static_cast<int>(Failure.Code), Failure.Message.c_str());
    }
    Status = exitStatusOf(Outcome);
  });
  std::_Exit(Status);
}
