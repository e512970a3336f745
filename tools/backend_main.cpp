// mimosa-backend: stand-ins for backend servers, several in one process.

#include "runtime/log.h"
#include "runtime/settings.h"
#include "tools/backend_stand_in.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace {

struct ProgramOptions {
  std::string Ip = "127.0.0.1";
  std::string TextFile;
  std::string LogLevel = "warn";
  int64_t FirstPort = 9001;
  int64_t Count = 1;
  int64_t FirstIndex = 0;
  int64_t Rows = 1;
  int64_t TotalShards = 64;
  int64_t Slots = 6;
  int64_t Connections = 45;
  int64_t ColdLimit = 1;
};

/// Returns the shards of the backend server with number \p Index. Each group of
/// Rows consecutive backend servers together holds all shards.
std::vector<uint32_t> shardsOf(const ProgramOptions &Options, int64_t Index) {
  std::vector<uint32_t> Out;
  for (int64_t Shard = 0; Shard < Options.TotalShards; ++Shard)
    if (Shard % Options.Rows == Index % Options.Rows)
      Out.push_back(static_cast<uint32_t>(Shard));
  return Out;
}

std::shared_ptr<const mimosa::TextIndex>
loadText(const ProgramOptions &Options) {
  if (Options.TextFile.empty())
    return nullptr;
  std::ifstream In(Options.TextFile);
  std::stringstream Text;
  Text << In.rdbuf();
  return std::make_shared<mimosa::TextIndex>(
      Text.str(), static_cast<uint32_t>(Options.TotalShards));
}

bool serve(mimosa::FiberLoop &Loop, const ProgramOptions &Options) {
  auto Text = loadText(Options);
  std::vector<std::unique_ptr<mimosa::BackendStandIn>> Servers;
  for (int64_t I = 0; I < Options.Count; ++I) {
    mimosa::BackendStandInOptions One;
    One.Address = Options.Ip + ":" + std::to_string(Options.FirstPort + I);
    One.Slots = Options.Slots;
    One.Connections = Options.Connections;
    One.ColdLimit = Options.ColdLimit;
    One.TotalShards = static_cast<uint32_t>(Options.TotalShards);
    One.Shards = shardsOf(Options, Options.FirstIndex + I);
    One.Text = Text;
    Servers.push_back(std::make_unique<mimosa::BackendStandIn>(
        Loop, One, static_cast<uint64_t>(Options.FirstIndex + I)));
    auto Started = Servers.back()->start();
    if (!ok(Started)) {
      std::fprintf(stderr, "mimosa-backend: %s\n",
                   errorOf(Started).Message.c_str());
      return false;
    }
  }
  Loop.waitForStop();
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  mimosa::deferSignals();
  ProgramOptions Options;
  mimosa::Settings Parser("mimosa-backend", "stand-ins for backend servers");
  Parser.text("ip", "IP address to listen on", &Options.Ip);
  Parser.number("first-port", "port of the first backend server",
                &Options.FirstPort, 1, 65535);
  Parser.number("count", "number of backend servers, on consecutive ports",
                &Options.Count, 1, 4000);
  Parser.number("first-index",
                "index of the first backend server; it decides which "
                "shards each one holds",
                &Options.FirstIndex, 0, 100000);
  Parser.number("rows", "backend servers that together hold all shards",
                &Options.Rows, 1, 4000);
  Parser.number("total-shards", "shards of each snapshot", &Options.TotalShards,
                1, 100000);
  Parser.number("slots", "limit on searches at once", &Options.Slots, 1, 1000);
  Parser.number("connections",
                "limit on connections; more are accepted and counted",
                &Options.Connections, 1, 1000);
  Parser.number("cold-limit", "limit on searches at once while cold",
                &Options.ColdLimit, 1, 1000);
  Parser.text("text",
              "file whose lines are searched; without one, hits are invented",
              &Options.TextFile);
  Parser.text("log-level", "debug, info, warn or error", &Options.LogLevel);
  if (auto Exit = Parser.parse(Argc, Argv))
    return *Exit;
  auto LogReady = mimosa::configureLog(Options.LogLevel);
  if (!ok(LogReady)) {
    std::fprintf(stderr, "mimosa-backend: %s\n",
                 errorOf(LogReady).Message.c_str());
    return 2;
  }
  int Status = 0;
  mimosa::FiberLoop Loop;
  Loop.run([&] { Status = serve(Loop, Options) ? 0 : 2; });
  std::_Exit(Status);
}
