// mimosaload: open-loop load generator; prints one JSON line of figures.

#include "runtime/settings.h"
#include "tools/load_generator.h"

#include <cstdio>
#include <cstdlib>
#include <sstream>

int main(int Argc, char **Argv) {
  mimosa::LoadOptions Options;
  std::string Daemons;
  bool NonIdempotent = false;
  mimosa::Settings Parser("mimosaload", "open-loop load generator");
  Parser.text("daemons", "caller addresses of daemons, comma-separated",
              &Daemons, true);
  Parser.text("service", "service to query", &Options.Service, true);
  Parser.text("zone", "availability zone of the callers", &Options.Zone);
  Parser.text("class", "interactive or batch", &Options.Class);
  Parser.text("text", "text of the query", &Options.Text);
  Parser.toggle("distinct-text", "make each query different",
                &Options.DistinctText);
  Parser.toggle("non-idempotent", "send non-idempotent requests",
                &NonIdempotent);
  Parser.number("rate", "queries per second", &Options.QueriesPerSecond, 1,
                1000000);
  Parser.number("seconds", "length of the run", &Options.Seconds, 1, 3600);
  Parser.number("deadline-ms", "deadline of each query", &Options.DeadlineMs, 1,
                10000);
  Parser.number("expected-shards", "shards of the snapshot, 0 for any",
                &Options.ExpectedShards, 0, 1000000);
  Parser.number("give-up-percent",
                "percentage of callers that disconnect early",
                &Options.DisconnectPercent, 0, 100);
  Parser.number("give-up-ms", "time after which these callers disconnect",
                &Options.DisconnectAfterMs, 1, 10000);
  Parser.number("seed", "seed of the random numbers", &Options.Seed, 0,
                INT64_MAX);
  if (auto Exit = Parser.parse(Argc, Argv))
    return *Exit;
  Options.Idempotent = !NonIdempotent;
  std::istringstream In(Daemons);
  std::string One;
  while (std::getline(In, One, ','))
    Options.Daemons.push_back(One);
  mimosa::FiberLoop Loop;
  Loop.run([&] {
    mimosa::LoadGenerator Generator(Loop, Options);
    std::printf("%s\n", Generator.run().dump().c_str());
    std::fflush(stdout);
    std::_Exit(0);
  });
}
