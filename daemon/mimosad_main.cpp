// mimosad: the entry daemon.

#include "daemon/caller_api.h"
#include "daemon/node.h"
#include "runtime/log.h"

#include <cstdlib>

int main(int Argc, char **Argv) {
  std::optional<int> Exit;
  mimosa::DaemonOptions Options = mimosa::parseDaemonOptions(Argc, Argv, &Exit);
  if (Exit)
    return *Exit;
  int Status = 0;
  mimosa::FiberLoop Loop;
  Loop.run([&] {
    mimosa::Node Host(Loop, Options);
    mimosa::CallerApi Api(Host);
    mimosa::HttpServerOptions Http;
    Http.Address = Options.CallerAddress;
    mimosa::HttpServer Callers(Loop, Http, Api);
    auto Started = Callers.start();
    if (!ok(Started)) {
      mimosa::logError("mimosad", errorOf(Started).Message);
      Status = 2;
      return;
    }
    Host.start();
    Loop.waitForStop();
  });
  std::_Exit(Status);
}
