// A ReplicaSource for tests with given replicas and latencies, a hedge delay of
// 10 ms and a given extra-load budget.

#ifndef MIMOSA_QUERY_FAKE_REPLICA_SOURCE_H
#define MIMOSA_QUERY_FAKE_REPLICA_SOURCE_H

#include "backend/replica_source.h"

#include <algorithm>
#include <map>
#include <string>

namespace mimosa {

/// A test sets the replicas, latencies and budget, and then checks which
/// sub-requests a session sent and how much of the budget it took.
class FakeReplicaSource : public ReplicaSource {
public:
  /// Adds snapshot \p Name, which is older than those added before. Replica R
  /// of shard S is backend server "b<S>.<R>".
  void addSnapshot(const std::string &Name, uint32_t Shards,
                   uint32_t ReplicasPerShard) {
    Choices.push_back({SnapshotId(Name), Shards});
    auto &Lists = Replicas[Name];
    Lists.resize(Shards);
    for (uint32_t S = 0; S < Shards; ++S)
      for (uint32_t R = 0; R < ReplicasPerShard; ++R)
        Lists[S].emplace_back("b" + std::to_string(S) + "." +
                              std::to_string(R));
  }

  std::optional<SnapshotChoice>
  chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                 MonotonicTime) const override {
    for (const SnapshotChoice &C : Choices)
      if (std::find(Excluded.begin(), Excluded.end(), C.Snapshot) ==
          Excluded.end())
        return C;
    return std::nullopt;
  }
  const std::vector<BackendServerId> &replicas(const SnapshotId &Snapshot,
                                               ShardId Shard) const override {
    return Replicas.at(Snapshot.text()).at(Shard.number());
  }
  Duration expectedLatency(const BackendServerId &Backend,
                           MonotonicTime) const override {
    auto It = Latency.find(Backend);
    return It == Latency.end() ? Duration(Milliseconds(5)) : It->second;
  }
  std::optional<HostId> owner(const BackendServerId &) const override {
    return HostId("owner");
  }
  Duration hedgeDelay(MonotonicTime) const override { return Milliseconds(10); }
  bool tryTakeExtra(ExtraLoad, MonotonicTime) override {
    if (BudgetLeft == 0)
      return false;
    --BudgetLeft;
    ++BudgetTaken;
    return true;
  }
  void onSubRequestSent(const BackendServerId &Backend,
                        MonotonicTime) override {
    ++SentCount[Backend];
    ++InFlight;
  }
  void onSubRequestEnded(const BackendServerId &Backend,
                         std::optional<Duration> Measured,
                         MonotonicTime) override {
    ReportedLatency[Backend] = Measured;
    --InFlight;
  }

  std::vector<SnapshotChoice> Choices;
  std::map<std::string, std::vector<std::vector<BackendServerId>>> Replicas;
  std::map<BackendServerId, Duration> Latency;
  uint64_t BudgetLeft = 1000;
  uint64_t BudgetTaken = 0;
  int64_t InFlight = 0;
  std::map<BackendServerId, int> SentCount;
  /// By backend server, the latency of the last sub-request that ended.
  std::map<BackendServerId, std::optional<Duration>> ReportedLatency;
};

} // namespace mimosa

#endif // MIMOSA_QUERY_FAKE_REPLICA_SOURCE_H
