// mimosa-bare-exchange: measures the processor time of plain HTTP exchanges
// with the stand-ins for backend servers, as a baseline for the cost of the
// daemon. At each tick it sends one request to every address, as a query does,
// and ignores the content of the responses. Prints one JSON line.

#include "base/json_fields.h"
#include "runtime/http.h"
#include "runtime/settings.h"

#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <vector>

namespace {

constexpr mimosa::Duration ExchangeTimeout = mimosa::Seconds(2);
constexpr mimosa::Duration DrainPoll = mimosa::Milliseconds(10);
constexpr int64_t MicrosPerSecond = 1000000;

struct BareOptions {
  std::vector<std::string> Addresses;
  std::string Body;
  int64_t ConnectionsPerServer = 1;
  int64_t Rate = 100;
  int64_t Seconds = 5;
};

class BareClient {
public:
  BareClient(mimosa::FiberLoop &Loop, BareOptions Options)
      : Loop(Loop), Options(std::move(Options)),
        IdleConnections(this->Options.Addresses.size()) {}

  mimosa::Json run() {
    openAll();
    int64_t Before = processorMicros();
    mimosa::MonotonicTime Start = Loop.now();
    for (int64_t Tick = 0; Tick < Options.Rate * Options.Seconds; ++Tick) {
      mimosa::MonotonicTime Due =
          Start + mimosa::Duration(Tick * MicrosPerSecond / Options.Rate);
      if (Due > Loop.now())
        mimosa::FiberLoop::sleepFor(Due - Loop.now());
      sendToAll();
    }
    while (Running > 0)
      mimosa::FiberLoop::sleepFor(DrainPoll);
    return {{"exchanges", Succeeded},
            {"failed", Failed},
            {"no_connection", NoConnection},
            {"processor_us", processorMicros() - Before}};
  }

private:
  static int64_t processorMicros() {
    rusage Used{};
    getrusage(RUSAGE_SELF, &Used);
    return (Used.ru_utime.tv_sec + Used.ru_stime.tv_sec) * MicrosPerSecond +
           Used.ru_utime.tv_usec + Used.ru_stime.tv_usec;
  }

  /// Returns the body for the address with index \p Index, which replaces "@".
  std::string bodyFor(size_t Index) const {
    std::string Out = Options.Body;
    size_t Position = Out.find('@');
    if (Position != std::string::npos)
      Out.replace(Position, 1, std::to_string(Index));
    return Out;
  }

  void openAll() {
    for (size_t Index = 0; Index < IdleConnections.size(); ++Index)
      for (int64_t C = 0; C < Options.ConnectionsPerServer; ++C) {
        auto Opened = mimosa::HttpConnection::open(
            Loop, Options.Addresses[Index], ExchangeTimeout);
        if (ok(Opened))
          IdleConnections[Index].push_back(valueOf(std::move(Opened)));
      }
  }

  void sendToAll() {
    for (size_t Index = 0; Index < IdleConnections.size(); ++Index) {
      if (IdleConnections[Index].empty()) {
        ++NoConnection;
        continue;
      }
      ++Running;
      Loop.spawn([this, Index] { exchange(Index); });
    }
  }

  void exchange(size_t Index) {
    if (IdleConnections[Index].empty()) {
      ++NoConnection;
      --Running;
      return;
    }
    auto Connection = std::move(IdleConnections[Index].back());
    IdleConnections[Index].pop_back();
    auto Reply = Connection->exchange({"POST", "/search", bodyFor(Index)},
                                      ExchangeTimeout);
    ++(ok(Reply) && valueOf(Reply).Status == 200 ? Succeeded : Failed);
    if (Connection->isOpen())
      IdleConnections[Index].push_back(std::move(Connection));
    --Running;
  }

  mimosa::FiberLoop &Loop;
  BareOptions Options;
  std::vector<std::vector<std::unique_ptr<mimosa::HttpConnection>>>
      IdleConnections;
  int64_t Running = 0;
  int64_t Succeeded = 0;
  int64_t Failed = 0;
  int64_t NoConnection = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  BareOptions Options;
  std::string Addresses;
  mimosa::Settings Parser("mimosa-bare-exchange",
                          "processor time of plain HTTP exchanges");
  Parser.text("addresses", "addresses of backend servers, comma-separated",
              &Addresses, true);
  Parser.text("body",
              "body of each request; @ is replaced by the index of its address",
              &Options.Body, true);
  Parser.number("connections", "connections to each backend server",
                &Options.ConnectionsPerServer, 1, 1000);
  Parser.number("rate", "requests per second to each backend server",
                &Options.Rate, 1, 100000);
  Parser.number("seconds", "length of the run", &Options.Seconds, 1, 3600);
  if (auto Exit = Parser.parse(Argc, Argv))
    return *Exit;
  std::istringstream In(Addresses);
  std::string One;
  while (std::getline(In, One, ','))
    Options.Addresses.push_back(One);
  mimosa::FiberLoop Loop;
  Loop.run([&] {
    BareClient Client(Loop, Options);
    std::printf("%s\n", Client.run().dump().c_str());
    std::fflush(stdout);
    std::_Exit(0);
  });
}
