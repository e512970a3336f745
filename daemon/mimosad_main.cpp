// mimosad, the daemon that runs on each host.

#include "daemon/caller_api.h"
#include "daemon/node.h"
#include "runtime/log.h"

#include <cstdlib>

namespace {

/// Serves until a termination signal. Returns the exit status if the start
/// fails.
int serve(mimosa::FiberLoop &Loop, const mimosa::DaemonOptions &Options) {
  mimosa::Node Daemon(Loop, Options);
  mimosa::CallerApi Api(Daemon);
  mimosa::HttpServerOptions Http;
  Http.Address = Options.CallerAddress;
  mimosa::HttpServer Callers(Loop, Http, Api);
  mimosa::Result<mimosa::Done> Started = Callers.start();
  if (ok(Started))
    Started = Daemon.start();
  if (!ok(Started)) {
    mimosa::logError("mimosad", errorOf(Started).Message);
    return 2;
  }
  Loop.waitForStop();
  Daemon.shutDown();
  Callers.drain();
  std::_Exit(0);
}

} // namespace

int main(int Argc, char **Argv) {
  mimosa::deferSignals();
  std::optional<int> Exit;
  mimosa::DaemonOptions Options = mimosa::parseDaemonOptions(Argc, Argv, &Exit);
  if (Exit)
    return *Exit;
  int Status = 0;
  mimosa::FiberLoop Loop;
  Loop.run([&] { Status = serve(Loop, Options); });
  std::_Exit(Status);
}
