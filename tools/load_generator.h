// Open-loop load generator: queries arrive as a Poisson process at a given
// rate, whether or not earlier ones have been answered, and their latency is
// measured from the time of arrival. It behaves as a caller should: it requests
// the addresses of the service from a daemon, uses them for their lifetime and
// sends each query to one of them.

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
  /// Caller addresses of the daemons that are asked for the addresses of the
  /// service, "ip:port".
  std::vector<std::string> Daemons;
  std::string Service;
  std::string Zone;
  std::string Class = "interactive";
  std::string Text = "boost";
  /// Makes the text of each query different, so that no query is in a daemon's
  /// set of known good requests.
  bool DistinctText = false;
  bool Idempotent = true;
  int64_t QueriesPerSecond = 100;
  int64_t Seconds = 5;
  int64_t DeadlineMs = 1000;
  /// Shards of the snapshot, 0 for any. Answers that state another total count
  /// as wrong coverage.
  int64_t ExpectedShards = 0;
  /// Percentage of queries whose caller disconnects if there is no answer
  /// within DisconnectAfterMs.
  int64_t DisconnectPercent = 0;
  int64_t DisconnectAfterMs = 20;
  int64_t Seed = 1;
};

class LoadGenerator {
public:
  LoadGenerator(FiberLoop &Loop, LoadOptions Options);

  /// Runs the load and returns its figures as one JSON object. Suspends the
  /// calling fiber.
  Json run();

private:
  void refreshAddresses();
  void setAddresses(std::vector<std::string> Next);
  void startQuery(MonotonicTime ArrivedAt);
  void sendQuery(MonotonicTime ArrivedAt);
  std::string body(uint64_t Number);
  Result<HttpResponse> exchange(const HttpRequest &Request, Duration Limit);
  void countAnswer(const Result<HttpResponse> &Answer, MonotonicTime ArrivedAt);
  void countCoverage(const Json &Answer);
  Json figures() const;

  FiberLoop &Loop;
  LoadOptions Options;
  SeededRandom Rand;
  std::vector<std::string> Addresses;
  /// By address.
  std::map<std::string, std::vector<std::unique_ptr<HttpConnection>>>
      IdleConnections;
  LatencyHistogram Latency;
  LatencyHistogram RefusalLatency;
  std::map<std::string, uint64_t> AnswersByCode;
  std::map<std::string, uint64_t> AnswersByExecution;
  uint64_t QueriesSent = 0;
  uint64_t CompleteAnswers = 0;
  uint64_t WrongCoverage = 0;
  uint64_t Unanswered = 0;
  uint64_t ConnectFailures = 0;
  uint64_t Disconnects = 0;
  uint64_t UnfinishedQueries = 0;
  /// By the second of arrival since StartTime.
  std::map<int64_t, uint64_t> UnansweredBySecond;
  /// When the first query arrived.
  MonotonicTime StartTime;
  std::string LastFailure;
};

} // namespace mimosa

#endif // MIMOSA_TOOLS_LOAD_GENERATOR_H
