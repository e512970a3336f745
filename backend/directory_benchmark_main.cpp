// Measures the calls that a sub-request and a summary make to a
// BackendDirectory: 64 shards on 192 backend servers (3 replicas each) of 8
// owners, two replicas compared for each shard, one hedge in 25 sub-requests.
//
//   backend_benchmark
//
// Prints one JSON line with nanoseconds per sub-request and per summary.

#include "backend/backend_directory.h"
#include "backend/shard_ranges.h"
#include "base/random.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace mimosa;

namespace {

constexpr uint32_t ShardCount = 64;
constexpr uint32_t ReplicaCount = 3;
constexpr uint32_t OwnerCount = 8;
constexpr int QueryCount = 20000;
const SnapshotId Snapshot("index-2026-12-04");

HostId hostOf(uint32_t Partition) {
  return HostId("10.0.0." + std::to_string(Partition) + ":7000");
}

BackendSummary summaryOf(uint32_t Number, uint64_t Sequence) {
  BackendSummary Summary;
  Summary.Backend = BackendServerId("storm-" + std::to_string(Number));
  Summary.Owner = hostOf(Number % OwnerCount);
  Summary.Sequence = Sequence;
  Summary.State = BackendState::Serving;
  Summary.Limit = 6;
  Summary.Snapshots.push_back(
      {Snapshot, 0, ShardCount, packShards({Number % ShardCount})});
  return Summary;
}

void fill(BackendDirectory &Directory, MonotonicTime Now) {
  std::vector<ConfiguredBackendServer> Listed;
  std::vector<std::optional<HostId>> Owners;
  for (uint32_t I = 0; I < ShardCount * ReplicaCount; ++I)
    Listed.push_back({summaryOf(I, 0).Backend, {}, I % OwnerCount});
  for (uint32_t I = 0; I < OwnerCount; ++I)
    Owners.emplace_back(hostOf(I));
  Directory.setBackendServers(Listed, Now);
  Directory.setOwners(Owners, Now);
  for (uint32_t I = 0; I < Listed.size(); ++I)
    Directory.onSummary(summaryOf(I, 1), Now);
}

/// Sends the sub-requests of one query and ends them. Returns a sum over the
/// results of the calls, so that the compiler does not remove any of them.
int64_t runQuery(BackendDirectory &Directory, Random &Source,
                 MonotonicTime &Now) {
  const BackendServerId *Chosen[ShardCount];
  int64_t Sum = 0;
  for (uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    const auto &Replicas = Directory.replicas(Snapshot, ShardId(Shard));
    size_t First = Source.below(Replicas.size());
    const BackendServerId &A = Replicas[First];
    const BackendServerId &B = Replicas[(First + 1) % Replicas.size()];
    Chosen[Shard] =
        Directory.expectedLatency(A, Now) <= Directory.expectedLatency(B, Now)
            ? &A
            : &B;
    Sum += static_cast<int64_t>(Directory.owner(*Chosen[Shard])->text().size());
    Sum += Directory.hedgeDelay(Now).count();
    if (Shard % 25 == 0)
      Sum += Directory.tryTakeExtra(ExtraLoad::Hedge, Now);
    Directory.onSubRequestSent(*Chosen[Shard], Now);
  }
  Now += Milliseconds(4);
  for (const BackendServerId *Backend : Chosen)
    Directory.onSubRequestEnded(*Backend, Duration(1000 + Source.below(3000)),
                                Now);
  return Sum;
}

double nanosecondsSince(std::chrono::steady_clock::time_point Begin) {
  auto Passed = std::chrono::steady_clock::now() - Begin;
  return std::chrono::duration<double, std::nano>(Passed).count();
}

} // namespace

int main() {
  BackendDirectory Directory;
  SeededRandom Source(7);
  MonotonicTime Now{Seconds(1000)};
  fill(Directory, Now);
  int64_t Sum = 0;
  auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < QueryCount; ++I)
    Sum += runQuery(Directory, Source, Now);
  double PerSubRequest = nanosecondsSince(Begin) / (QueryCount * ShardCount);
  Begin = std::chrono::steady_clock::now();
  constexpr uint32_t SummaryCount = 20000;
  for (uint32_t I = 0; I < SummaryCount; ++I)
    Sum += Directory.onSummary(summaryOf(I % 192, 2 + I), Now);
  double PerSummary = nanosecondsSince(Begin) / SummaryCount;
  std::printf("{\"ns_per_sub_request\":%.0f,\"ns_per_summary\":%.0f,"
              "\"check\":%lld}\n",
              PerSubRequest, PerSummary, static_cast<long long>(Sum));
  return 0;
}
