#include "backend/shard_ranges.h"
#include "backend/snapshot_map.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace mimosa {
namespace {

// Guards against an order in which "v10" is older than "v9", and against digits
// that overflow an integer.
TEST(SnapshotOrder, ComparesTrailingDigitsAsNumber) {
  const char *Ascending[] = {"",
                             "7",
                             "12",
                             "a",
                             "a2",
                             "a10",
                             "b1",
                             "v9",
                             "v010",
                             "v10",
                             "v99999999999999999999998",
                             "v99999999999999999999999"};
  for (size_t I = 0; I < std::size(Ascending); ++I)
    for (size_t J = 0; J < std::size(Ascending); ++J)
      EXPECT_EQ(
          isOlderByName(SnapshotId(Ascending[I]), SnapshotId(Ascending[J])),
          I < J)
          << Ascending[I] << " " << Ascending[J];
}

// Guards against summaries with missing or additional shards.
RC_GTEST_PROP(ShardRanges, UnpackReversesPack, ()) {
  auto Shards = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 40));
  std::set<uint32_t> Expected(Shards.begin(), Shards.end());
  auto Unpacked = unpackShards(packShards(Shards), 40);
  RC_ASSERT(Unpacked.has_value());
  RC_ASSERT(*Unpacked ==
            std::vector<uint32_t>(Expected.begin(), Expected.end()));
}

// Guards against an invalid summary that causes writes beyond the end of the
// map or the allocation of too much memory.
TEST(ShardRanges, RejectsInvalidRanges) {
  const std::vector<uint32_t> Cases[] = {
      {0},          {0, 0},       {0, 11},
      {5, 2, 6, 1}, {5, 1, 1, 1}, {4000000000u, 4000000000u}};
  for (const auto &Ranges : Cases)
    EXPECT_FALSE(unpackShards(Ranges, 10)) << Ranges[0];
  EXPECT_FALSE(unpackShards({}, MaxTotalShards + 1));
}

/// Backend servers b0, b1 and so on, each with a list of snapshots.
struct TestBackends {
  std::vector<std::vector<BackendSnapshot>> Snapshots;
  std::vector<bool> LastResort;
  std::vector<BackendServerId> Names;

  void add(std::vector<BackendSnapshot> OfBackend, bool IsLastResort = false) {
    Names.emplace_back("b" + std::to_string(Snapshots.size()));
    Snapshots.push_back(std::move(OfBackend));
    LastResort.push_back(IsLastResort);
  }
  std::vector<UsableBackend> usableBackends() const {
    std::vector<UsableBackend> All;
    for (size_t I = 0; I < Snapshots.size(); ++I)
      All.push_back({&Names[I], LastResort[I], &Snapshots[I]});
    return All;
  }
};

BackendSnapshot snapshot(const std::string &Name, std::vector<uint32_t> Shards,
                         uint32_t Total = 4, uint64_t Order = 0) {
  return {SnapshotId(Name), Order, Total, std::move(Shards)};
}

// Guards against a switch to a snapshot before every shard of it has a replica,
// and against choosing no snapshot while none is complete.
TEST(SnapshotMap, ChoosesNewestCompleteElseBestCoverage) {
  using SnapshotList = std::vector<BackendSnapshot>;
  struct ChoiceCase {
    const char *Name;
    SnapshotList First, Second;
    const char *Excluded;
    const char *Chosen;
  };
  const SnapshotList Old = {snapshot("v9", {0, 1, 2, 3})};
  const ChoiceCase Cases[] = {
      {"no snapshot", {}, {}, "", ""},
      {"only one", Old, {}, "", "v9"},
      {"newer is incomplete", Old, {snapshot("v10", {0, 1, 2})}, "", "v9"},
      {"newer is complete on two backend servers together",
       {Old[0], snapshot("v10", {0, 1})},
       {snapshot("v10", {2, 3})},
       "",
       "v10"},
      {"newer is excluded", Old, {snapshot("v10", {0, 1, 2, 3})}, "v10", "v9"},
      {"best coverage",
       {snapshot("v9", {0})},
       {snapshot("v8", {1, 2})},
       "",
       "v8"},
      {"equal coverage, newer",
       {snapshot("v9", {0})},
       {snapshot("v8", {1})},
       "",
       "v9"},
      {"all excluded", Old, {}, "v9", ""},
      {"order before name",
       {snapshot("v9", {0, 1, 2, 3}, 4, 1)},
       {snapshot("v8", {0, 1, 2, 3}, 4, 2)},
       "",
       "v8"},
      {"no shard held", {snapshot("v9", {})}, {}, "", ""},
  };
  for (const ChoiceCase &Case : Cases) {
    TestBackends Backends;
    Backends.add(Case.First);
    Backends.add(Case.Second);
    SnapshotMap Map;
    Map.rebuild(Backends.usableBackends());
    auto Chosen = Map.choose({SnapshotId(Case.Excluded)});
    EXPECT_EQ(Chosen ? Chosen->Snapshot.text() : "", Case.Chosen) << Case.Name;
  }
}

// Guards against mixing the shards of two partitionings of one snapshot, and
// against a single wrong report that makes a complete snapshot look incomplete.
TEST(SnapshotMap, ReportsWithAnotherTotalAreLeftOut) {
  TestBackends Backends;
  Backends.add({snapshot("v1", {0, 1}, 2)});
  Backends.add({snapshot("v1", {0, 1}, 2)});
  Backends.add({snapshot("v1", {0, 1, 2}, 3)});
  SnapshotMap Map;
  EXPECT_EQ(Map.rebuild(Backends.usableBackends()), 1u);
  EXPECT_EQ(Map.choose({})->TotalShards, 2u);
  EXPECT_EQ(Map.replicas(SnapshotId("v1"), ShardId(0)).size(), 2u);
  EXPECT_TRUE(Map.replicas(SnapshotId("v1"), ShardId(2)).empty());
}

// Guards against replicas that are missing or listed twice, and against
// replicas in another region while this host's region has one.
RC_GTEST_PROP(SnapshotMap, ReplicasAreTheBackendsWithTheShard, ()) {
  // Each number describes a backend server: 6 bits for its shards and one for
  // its region.
  auto Servers = *rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 128)));
  TestBackends Backends;
  for (int Bits : Servers) {
    std::vector<uint32_t> Shards;
    for (uint32_t Shard = 0; Shard < 6; ++Shard)
      if (Bits >> Shard & 1)
        Shards.push_back(Shard);
    Backends.add({snapshot("v1", Shards, 6)}, Bits & 64);
  }
  SnapshotMap Map;
  Map.rebuild(Backends.usableBackends());
  for (uint32_t Shard = 0; Shard < 6; ++Shard) {
    std::set<std::string> ByRegion[2];
    for (size_t I = 0; I < Backends.Snapshots.size(); ++I) {
      const auto &Shards = Backends.Snapshots[I][0].Shards;
      if (std::find(Shards.begin(), Shards.end(), Shard) != Shards.end())
        ByRegion[Backends.LastResort[I]].insert(Backends.Names[I].text());
    }
    const auto &Expected = ByRegion[0].empty() ? ByRegion[1] : ByRegion[0];
    const auto &Replicas = Map.replicas(SnapshotId("v1"), ShardId(Shard));
    std::set<std::string> Names;
    for (const BackendServerId &Backend : Replicas)
      Names.insert(Backend.text());
    RC_ASSERT(Names == Expected);
    RC_ASSERT(Replicas.size() == Expected.size());
  }
}

} // namespace
} // namespace mimosa
