// Open-loop load: queries arrive at random times at a given rate, whether or
// not earlier ones have been answered, and their latency counts from the time
// of arrival. Acts as a caller should: asks a daemon for the addresses of the
// service, keeps the answer for its lifetime and connects to one of them.

#ifndef MIMOSA_TOOLS_LOAD_GENERATOR_H
#define MIMOSA_TOOLS_LOAD_GENERATOR_H

#include "base/json_fields.h"
#include "base/random.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

#include <map>
#include <string>
#include <vector>

namespace mimosa {

struct LoadOptions {
  /// Caller addresses of daemons to ask first, "ip:port".
  std::vector<std::string> Daemons;
  std::string Service;
  std::string Zone;
  std::string Class = "interactive";
  std::string Text = "boost";
  /// Makes each query's text different, so that none is known to be good.
  bool DistinctText = false;
  bool Idempotent = true;
  int64_t QueriesPerSecond = 100;
  int64_t Seconds = 5;
  int64_t DeadlineMs = 1000;
  /// Shards of the snapshot; answers that state another total are counted.
  int64_t ExpectedShards = 0;
  /// Percent of callers that give up after GiveUpMs.
  int64_t GiveUpPercent = 0;
  int64_t GiveUpMs = 20;
  int64_t Seed = 1;
};

class LoadGenerator {
public:
  LoadGenerator(FiberLoop &Loop, LoadOptions Options);

  /// Runs the load and returns its figures as one JSON object; suspends.
  Json run();

private:
  void refreshAddresses();
  void setAddresses(std::vector<std::string> Next);
  void arrive(MonotonicTime At);
  void ask(MonotonicTime At);
  std::string body(uint64_t Number);
  Result<HttpResponse> exchange(const HttpRequest &Request, Duration Limit);
  void countAnswer(const Result<HttpResponse> &Answer, MonotonicTime At);
  void countCoverage(const Json &Answer);
  Json figures() const;

  FiberLoop &Loop;
  LoadOptions Options;
  SeededRandom Rand;
  std::vector<std::string> Addresses;
  std::map<std::string, std::vector<std::unique_ptr<HttpConnection>>> Idle;
  LatencyHistogram Latency;
  LatencyHistogram RefusalLatency;
  std::map<std::string, uint64_t> ByCode;
  std::map<std::string, uint64_t> ByExecution;
  uint64_t Sent = 0;
  uint64_t Whole = 0;
  uint64_t WrongCoverage = 0;
  uint64_t NoAnswer = 0;
  uint64_t ConnectFailures = 0;
  uint64_t GaveUp = 0;
  uint64_t Running = 0;
  std::map<int64_t, uint64_t> NoAnswerBySecond;
  MonotonicTime Started;
  std::string LastFailure;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_LOAD_GENERATOR_H
