// Times the processor cost of this module for one query: parsing, planning,
// 64 sub-answers in random order, merging and the answer's JSON.
//
//   query_benchmark [QUERIES]
//
// Prints one JSON line with microseconds per query and per part.

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
/// One hedge for every 20 sub-requests.
constexpr uint32_t HedgedReplies = ShardCount / 20;
constexpr int DefaultQueries = 20000;

/// A source that looks replicas up by number and latencies by name.
class TableSource : public ReplicaSource {
public:
  TableSource() : Lists(ShardCount) {
    for (uint32_t S = 0; S < ShardCount; ++S)
      for (uint32_t R = 0; R < ReplicasPerShard; ++R) {
        uint32_t Number = S + R * ShardCount;
        Lists[S].emplace_back("backend-" + std::to_string(Number));
        Latencies[Lists[S].back()] = Milliseconds(1 + Number % 7);
      }
  }

  std::optional<SnapshotChoice> chooseSnapshot(const std::vector<SnapshotId> &,
                                               MonotonicTime) const override {
    return SnapshotChoice{SnapshotId("v1"), ShardCount};
  }
  const std::vector<BackendServerId> &replicas(const SnapshotId &,
                                               ShardId Shard) const override {
    return Lists[Shard.number()];
  }
  Duration expectedLatency(const BackendServerId &Backend,
                           MonotonicTime) const override {
    return Latencies.find(Backend)->second;
  }
  std::optional<HostId> owner(const BackendServerId &) const override {
    return std::nullopt;
  }
  Duration hedgeDelay(MonotonicTime) const override { return HedgeDelay; }
  bool takeExtra(ExtraLoad, MonotonicTime) override { return true; }
  void onSubRequestSent(const BackendServerId &, MonotonicTime) override {}
  void onSubRequestEnded(const BackendServerId &, std::optional<Duration>,
                         MonotonicTime) override {}

private:
  std::vector<std::vector<BackendServerId>> Lists;
  std::unordered_map<BackendServerId, Duration> Latencies;
};

/// Adds the processor time of each part.
class PartTimes {
public:
  enum Part { Parse, Start, Replies, Json, Parts };

  template <typename Call> void time(Part P, const Call &Do) {
    double Begin = processorTime();
    Do();
    Spent[P] += processorTime() - Begin;
  }
  double microseconds(Part P, int Queries) const { return Spent[P] / Queries; }

private:
  /// Processor time of this thread in microseconds.
  static double processorTime() {
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return static_cast<double>(Time.tv_sec) * 1e6 +
           static_cast<double>(Time.tv_nsec) * 1e-3;
  }

  std::array<double, Parts> Spent{};
};

/// The replies to \p Sends, made outside of the time that is measured.
std::vector<SubRequestReply>
makeReplies(const std::vector<OutgoingSubRequest> &Sends, uint32_t HitsPerShard,
            Random &Rand) {
  std::vector<SubRequestReply> Replies;
  for (const OutgoingSubRequest &Send : Sends) {
    SubRequestReply &Reply = Replies.emplace_back();
    Reply.Snapshot = Send.Snapshot;
    Reply.Shards = Send.Shards;
    for (ShardId Shard : Send.Shards)
      for (uint32_t I = 0; I < HitsPerShard; ++I)
        Reply.Hits.push_back({Shard, "d" + std::to_string(I), Rand.unit()});
  }
  return Replies;
}

size_t runQuery(const std::string &Body, uint32_t HitsPerShard,
                ReplicaSource &Source, Random &Rand, PartTimes &Times) {
  MonotonicTime Now{Seconds(1)};
  QueryRequest Request;
  Times.time(PartTimes::Parse, [&] { Request = valueOf(parseQuery(Body)); });

  QuerySessionOptions Options;
  Options.Received = Now;
  Options.Deadline = Now + Milliseconds(160);
  Options.Limit = Request.Limit;
  std::optional<QuerySession> Session;
  QueryActions Out;
  Times.time(PartTimes::Start, [&] {
    Session.emplace(Options, Source, Rand);
    Session->start(Now, Out);
  });

  std::vector<OutgoingSubRequest> Sends = Out.ToSend;
  std::vector<SubRequestReply> Replies = makeReplies(Sends, HitsPerShard, Rand);
  std::vector<uint32_t> Order(Sends.size());
  for (uint32_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::shuffle(Order.begin(), Order.end(), std::minstd_rand(Rand.next()));
  Times.time(PartTimes::Replies, [&] {
    for (uint32_t I = 0; I < Order.size(); ++I) {
      Out.clear();
      if (I + HedgedReplies == Order.size())
        Session->onTimer(Now += HedgeDelay, Out);
      Session->onReply(Sends[Order[I]].Number, std::move(Replies[Order[I]]),
                       Now, Out);
    }
  });
  if (!Out.Answer || !Out.Answer->Complete)
    std::abort();
  size_t Size = 0;
  Times.time(PartTimes::Json, [&] { Size = answerJson(*Out.Answer).size(); });
  return Size;
}

void report(const char *Name, const std::string &Body, uint32_t HitsPerShard,
            int Queries) {
  TableSource Source;
  SeededRandom Rand(1);
  PartTimes Times;
  size_t Bytes = 0;
  for (int I = 0; I < Queries; ++I)
    Bytes += runQuery(Body, HitsPerShard, Source, Rand, Times);
  double Parse = Times.microseconds(PartTimes::Parse, Queries);
  double Start = Times.microseconds(PartTimes::Start, Queries);
  double Replies = Times.microseconds(PartTimes::Replies, Queries);
  double Write = Times.microseconds(PartTimes::Json, Queries);
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
