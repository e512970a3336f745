// mimosa-model: runs a load pattern against the decision classes of the entry
// daemon in virtual time. Prints one JSON line for each window and route.

#include "base/json_fields.h"
#include "model/simulation.h"
#include "runtime/settings.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace {

struct ModelOptions {
  int64_t WindowMs = 1000;
  int64_t Seed = -1;
  std::string Pattern;
};

mimosa::Json describe(const mimosa::WindowSummary &Window) {
  return {{"at_ms", mimosa::inMilliseconds(Window.Begin.time_since_epoch())},
          {"route", Window.Route.text()},
          {"asked", Window.Asked},
          {"complete", Window.Complete},
          {"partial", Window.Partial},
          {"late", Window.Late},
          {"refused", Window.Refused},
          {"failed", Window.Failed},
          {"median_us", Window.MedianLatency.count()},
          {"p99_us", Window.HighLatency.count()}};
}

int runPattern(const ModelOptions &Options) {
  std::ifstream File(Options.Pattern);
  std::stringstream Text;
  Text << File.rdbuf();
  if (!File) {
    std::fprintf(stderr, "mimosa-model: cannot read %s\n",
                 Options.Pattern.c_str());
    return 2;
  }
  auto Parsed = mimosa::parseLoadPattern(Text.str());
  if (!ok(Parsed)) {
    std::fprintf(stderr, "mimosa-model: %s: %s\n", Options.Pattern.c_str(),
                 errorOf(Parsed).Message.c_str());
    return 2;
  }
  mimosa::LoadPattern Pattern = valueOf(std::move(Parsed));
  if (Options.Seed >= 0)
    Pattern.Seed = static_cast<uint64_t>(Options.Seed);
  mimosa::Simulation Run(std::move(Pattern));
  mimosa::Duration Window = mimosa::Milliseconds(Options.WindowMs);
  for (const mimosa::WindowSummary &Each : summarize(Run.run(), Window))
    std::printf("%s\n", describe(Each).dump().c_str());
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  ModelOptions Options;
  mimosa::Settings Parser("mimosa-model", "runs a load pattern in virtual time",
                          "PATTERN.json");
  Parser.number("window-ms", "length of a window of the output",
                &Options.WindowMs, 1, 3600 * 1000);
  Parser.number("seed", "seed in place of the pattern's; -1: the pattern's",
                &Options.Seed, -1, INT64_MAX);
  if (auto Exit = Parser.parse(Argc, Argv))
    return *Exit;
  if (Parser.arguments().size() != 1) {
    std::fprintf(stderr, "mimosa-model: one PATTERN.json is needed\n");
    return 2;
  }
  Options.Pattern = Parser.arguments().front();
  return runPattern(Options);
}
