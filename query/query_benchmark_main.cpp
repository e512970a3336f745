// Measures the processor time that this module takes for one query: parsing,
// planning, 64 replies in random order, merging and writing the answer as JSON.
//
//   query_benchmark [QUERIES]
//
// Prints one JSON line per case with microseconds per query and per phase.

#include "query/session.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <unordered_map>

namespace mimosa {
namespace {

constexpr uint32_t ShardCount = 64;
constexpr uint32_t ReplicasPerShard = 3;
constexpr Duration HedgeDelay = Milliseconds(10);
/// Replies that come after the hedge delay: one in 20.
constexpr uint32_t HedgedReplies = ShardCount / 20;
constexpr int DefaultQueries = 20000;

/// A source with replicas in a vector by shard and latencies in a hash table.
class TableSource : public ReplicaSource {
public:
  TableSource() : Replicas(ShardCount) {
    for (uint32_t S = 0; S < ShardCount; ++S)
      for (uint32_t R = 0; R < ReplicasPerShard; ++R) {
        uint32_t Number = S + R * ShardCount;
        Replicas[S].emplace_back("backend-" + std::to_string(Number));
        Latencies[Replicas[S].back()] = Milliseconds(1 + Number % 7);
      }
  }

  std::optional<SnapshotChoice> chooseSnapshot(const std::vector<SnapshotId> &,
                                               MonotonicTime) const override {
    return SnapshotChoice{SnapshotId("v1"), ShardCount};
  }
  const std::vector<BackendServerId> &replicas(const SnapshotId &,
                                               ShardId Shard) const override {
    return Replicas[Shard.number()];
  }
  Duration expectedLatency(const BackendServerId &Backend,
                           MonotonicTime) const override {
    return Latencies.find(Backend)->second;
  }
  std::optional<HostId> owner(const BackendServerId &) const override {
    return std::nullopt;
  }
  Duration hedgeDelay(MonotonicTime) const override { return HedgeDelay; }
  bool tryTakeExtra(ExtraLoad, MonotonicTime) override { return true; }
  void onSubRequestSent(const BackendServerId &, MonotonicTime) override {}
  void onSubRequestEnded(const BackendServerId &, std::optional<Duration>,
                         MonotonicTime) override {}

private:
  std::vector<std::vector<BackendServerId>> Replicas;
  std::unordered_map<BackendServerId, Duration> Latencies;
};

/// Sums of the processor time of each phase of a query.
class PhaseTimes {
public:
  enum Phase { Parse, Start, Replies, Json, PhaseCount };

  template <typename Call> void time(Phase P, const Call &Run) {
    double Begin = processorTime();
    Run();
    Sums[P] += processorTime() - Begin;
  }
  double microseconds(Phase P, int Queries) const { return Sums[P] / Queries; }

private:
  /// Processor time of this thread in microseconds.
  static double processorTime() {
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return static_cast<double>(Time.tv_sec) * 1e6 +
           static_cast<double>(Time.tv_nsec) * 1e-3;
  }

  std::array<double, PhaseCount> Sums{};
};

/// The replies to \p Sent, created outside the measured time.
std::vector<SubRequestReply>
makeReplies(const std::vector<OutgoingSubRequest> &Sent, uint32_t HitsPerShard,
            Random &Rand) {
  std::vector<SubRequestReply> Replies;
  for (const OutgoingSubRequest &SubRequest : Sent) {
    SubRequestReply &Reply = Replies.emplace_back();
    Reply.Snapshot = SubRequest.Snapshot;
    Reply.Shards = SubRequest.Shards;
    for (ShardId Shard : SubRequest.Shards)
      for (uint32_t I = 0; I < HitsPerShard; ++I)
        Reply.Hits.push_back(
            {Shard, "d" + std::to_string(I), Rand.uniform01()});
  }
  return Replies;
}

size_t runQuery(const std::string &Body, uint32_t HitsPerShard,
                ReplicaSource &Source, Random &Rand, PhaseTimes &Times) {
  MonotonicTime Now{Seconds(1)};
  QueryRequest Request;
  Times.time(PhaseTimes::Parse, [&] { Request = valueOf(parseQuery(Body)); });

  QuerySessionOptions Options;
  Options.Received = Now;
  Options.Deadline = Now + Milliseconds(160);
  Options.Limit = Request.Limit;
  std::optional<QuerySession> Session;
  QueryActions Out;
  Times.time(PhaseTimes::Start, [&] {
    Session.emplace(Options, Source, Rand);
    Session->start(Now, Out);
  });

  std::vector<OutgoingSubRequest> Sent = Out.ToSend;
  std::vector<SubRequestReply> Replies = makeReplies(Sent, HitsPerShard, Rand);
  std::vector<uint32_t> Order(Sent.size());
  for (uint32_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::shuffle(Order.begin(), Order.end(), std::minstd_rand(Rand.next()));
  Times.time(PhaseTimes::Replies, [&] {
    for (uint32_t I = 0; I < Order.size(); ++I) {
      Out.clear();
      if (I + HedgedReplies == Order.size())
        Session->onTimer(Now += HedgeDelay, Out);
      Session->onReply(Sent[Order[I]].Number, std::move(Replies[Order[I]]), Now,
                       Out);
    }
  });
  if (!Out.Answer || !Out.Answer->Complete)
    std::abort();
  size_t Size = 0;
  Times.time(PhaseTimes::Json, [&] { Size = answerJson(*Out.Answer).size(); });
  return Size;
}

void report(const char *Name, const std::string &Body, uint32_t HitsPerShard,
            int Queries) {
  TableSource Source;
  SeededRandom Rand(1);
  PhaseTimes Times;
  size_t Bytes = 0;
  for (int I = 0; I < Queries; ++I)
    Bytes += runQuery(Body, HitsPerShard, Source, Rand, Times);
  double Parse = Times.microseconds(PhaseTimes::Parse, Queries);
  double Start = Times.microseconds(PhaseTimes::Start, Queries);
  double Replies = Times.microseconds(PhaseTimes::Replies, Queries);
  double Write = Times.microseconds(PhaseTimes::Json, Queries);
  std::printf("{\"case\":\"%s\",\"queries\":%d,\"answer_bytes\":%zu,"
              "\"parse_us\":%.1f,\"start_us\":%.1f,\"replies_us\":%.1f,"
              "\"json_us\":%.1f,\"total_us\":%.1f}\n",
              Name, Queries, Bytes / Queries, Parse, Start, Replies, Write,
              Parse + Start + Replies + Write);
}

} // namespace
} // namespace mimosa

int main(int Argc, char **Argv) {
  int Queries = Argc > 1 ? std::atoi(Argv[1]) : mimosa::DefaultQueries;
  if (Queries < 1) {
    std::fprintf(stderr, "QUERIES must be at least 1, not %s\n", Argv[1]);
    return 1;
  }
  const std::string Fields =
      R"({"service":"storm","caller":"c1","class":"interactive",)"
      R"("deadline_ms":160,"query":{"text":"broken line"})";
  mimosa::report("1_hit_per_shard", Fields + "}", 1, Queries);
  mimosa::report("10_hits_per_shard_limit_10", Fields + R"(,"limit":10})", 10,
                 Queries);
  mimosa::report("10_hits_per_shard", Fields + "}", 10, Queries);
  return 0;
}
