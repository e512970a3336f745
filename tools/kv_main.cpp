// mimosa-kv: stand-in for the platform's key-value service.

#include "runtime/log.h"
#include "runtime/settings.h"
#include "tools/kv_stand_in.h"

#include <cstdio>

int main(int Argc, char **Argv) {
  mimosa::deferSignals();
  mimosa::HttpServerOptions Options;
  Options.Address = "127.0.0.1:7600";
  Options.MaxBodyBytes = 4 << 20;
  std::string LogLevel = "warn";
  mimosa::Settings Parser("mimosa-kv",
                          "stand-in for the platform's key-value service");
  Parser.text("listen", "address to listen on, ip:port", &Options.Address);
  Parser.text("log-level", "debug, info, warn or error", &LogLevel);
  if (auto Exit = Parser.parse(Argc, Argv))
    return *Exit;
  auto LogReady = mimosa::configureLog(LogLevel);
  if (!ok(LogReady)) {
    std::fprintf(stderr, "mimosa-kv: %s\n", errorOf(LogReady).Message.c_str());
    return 2;
  }
  int Status = 0;
  mimosa::FiberLoop Loop;
  Loop.run([&] {
    mimosa::KeyValueStandIn Handler(Loop);
    mimosa::HttpServer Server(Loop, Options, Handler);
    auto Started = Server.start();
    if (!ok(Started)) {
      std::fprintf(stderr, "mimosa-kv: %s\n", errorOf(Started).Message.c_str());
      Status = 2;
      return;
    }
    Loop.waitForStop();
    Server.abort();
  });
  std::_Exit(Status);
}
