#include "backend/shard_ranges.h"
#include "backend/snapshot_map.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace mimosa {
namespace {

// Guards against "v10" being taken for older than "v9", and against numbers too
// long for an integer.
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
      EXPECT_EQ(olderName(SnapshotId(Ascending[I]), SnapshotId(Ascending[J])),
                I < J)
          << Ascending[I] << " " << Ascending[J];
}

// Guards against shards that get lost or invented in a summary.
RC_GTEST_PROP(ShardRanges, UnpackGivesWhatWasPacked, ()) {
  auto Shards = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 40));
  std::set<uint32_t> Expected(Shards.begin(), Shards.end());
  auto Unpacked = unpackShards(packShards(Shards), 40);
  RC_ASSERT(Unpacked.has_value());
  RC_ASSERT(*Unpacked ==
            std::vector<uint32_t>(Expected.begin(), Expected.end()));
}

// Guards against a faulty summary that writes beyond the map or claims memory.
TEST(ShardRanges, RejectsImpossibleRanges) {
  const std::vector<uint32_t> Cases[] = {
      {0},          {0, 0},       {0, 11},
      {5, 2, 6, 1}, {5, 1, 1, 1}, {4000000000u, 4000000000u}};
  for (const auto &Ranges : Cases)
    EXPECT_FALSE(unpackShards(Ranges, 10)) << Ranges[0];
  EXPECT_FALSE(unpackShards({}, MaxTotalShards + 1));
}

/// Holders made of a list of snapshots each.
struct Fleet {
  std::vector<std::vector<HeldSnapshot>> Held;
  std::vector<bool> LastResort;
  std::vector<BackendServerId> Names;

  void add(std::vector<HeldSnapshot> Snapshots, bool Last = false) {
    Names.emplace_back("b" + std::to_string(Held.size()));
    Held.push_back(std::move(Snapshots));
    LastResort.push_back(Last);
  }
  std::vector<ReplicaHolder> holders() const {
    std::vector<ReplicaHolder> All;
    for (size_t I = 0; I < Held.size(); ++I)
      All.push_back({&Names[I], LastResort[I], &Held[I]});
    return All;
  }
};

HeldSnapshot held(const std::string &Name, std::vector<uint32_t> Shards,
                  uint32_t Total = 4, uint64_t Order = 0) {
  return {SnapshotId(Name), Order, Total, std::move(Shards)};
}

// Guards against a switch to a snapshot before every shard of it has a replica,
// and against giving no answer while no snapshot is complete.
TEST(SnapshotMap, ChoosesNewestCompleteElseBestCoverage) {
  using HeldList = std::vector<HeldSnapshot>;
  struct ChoiceCase {
    const char *What;
    HeldList First, Second;
    const char *Excluded;
    const char *Chosen;
  };
  const HeldList Old = {held("v9", {0, 1, 2, 3})};
  const ChoiceCase Cases[] = {
      {"nothing known", {}, {}, "", ""},
      {"only one", Old, {}, "", "v9"},
      {"newer is incomplete", Old, {held("v10", {0, 1, 2})}, "", "v9"},
      {"newer is complete over two",
       {Old[0], held("v10", {0, 1})},
       {held("v10", {2, 3})},
       "",
       "v10"},
      {"newer is excluded", Old, {held("v10", {0, 1, 2, 3})}, "v10", "v9"},
      {"best coverage", {held("v9", {0})}, {held("v8", {1, 2})}, "", "v8"},
      {"equal coverage, newer", {held("v9", {0})}, {held("v8", {1})}, "", "v9"},
      {"all excluded", Old, {}, "v9", ""},
      {"order before name",
       {held("v9", {0, 1, 2, 3}, 4, 1)},
       {held("v8", {0, 1, 2, 3}, 4, 2)},
       "",
       "v8"},
      {"no shard held", {held("v9", {})}, {}, "", ""},
  };
  for (const ChoiceCase &Case : Cases) {
    Fleet All;
    All.add(Case.First);
    All.add(Case.Second);
    SnapshotMap Map;
    Map.rebuild(All.holders());
    auto Chosen = Map.choose({SnapshotId(Case.Excluded)});
    EXPECT_EQ(Chosen ? Chosen->Snapshot.text() : "", Case.Chosen) << Case.What;
  }
}

// Guards against mixing shards of two partitionings under one name, and against
// one faulty report that makes a complete snapshot look incomplete.
TEST(SnapshotMap, ReportsWithAnotherTotalAreLeftOut) {
  Fleet All;
  All.add({held("v1", {0, 1}, 2)});
  All.add({held("v1", {0, 1}, 2)});
  All.add({held("v1", {0, 1, 2}, 3)});
  SnapshotMap Map;
  EXPECT_EQ(Map.rebuild(All.holders()), 1u);
  EXPECT_EQ(Map.choose({})->TotalShards, 2u);
  EXPECT_EQ(Map.replicas(SnapshotId("v1"), ShardId(0)).size(), 2u);
  EXPECT_TRUE(Map.replicas(SnapshotId("v1"), ShardId(2)).empty());
}

// Guards against replicas that are missing, listed twice or in another region
// while the own one has the shard.
RC_GTEST_PROP(SnapshotMap, ReplicasAreTheHoldersOfTheShard, ()) {
  // Each number stands for a backend server: 6 bits for its shards and one for
  // its region.
  auto Servers = *rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 128)));
  Fleet All;
  for (int Bits : Servers) {
    std::vector<uint32_t> Shards;
    for (uint32_t Shard = 0; Shard < 6; ++Shard)
      if (Bits >> Shard & 1)
        Shards.push_back(Shard);
    All.add({held("v1", Shards, 6)}, Bits & 64);
  }
  SnapshotMap Map;
  Map.rebuild(All.holders());
  for (uint32_t Shard = 0; Shard < 6; ++Shard) {
    std::set<std::string> ByRegion[2];
    for (size_t I = 0; I < All.Held.size(); ++I) {
      const auto &Shards = All.Held[I][0].Shards;
      if (std::find(Shards.begin(), Shards.end(), Shard) != Shards.end())
        ByRegion[All.LastResort[I]].insert(All.Names[I].text());
    }
    const auto &Expected = ByRegion[0].empty() ? ByRegion[1] : ByRegion[0];
    const auto &Replicas = Map.replicas(SnapshotId("v1"), ShardId(Shard));
    std::set<std::string> Found;
    for (const BackendServerId &Backend : Replicas)
      Found.insert(Backend.text());
    RC_ASSERT(Found == Expected);
    RC_ASSERT(Replicas.size() == Expected.size());
  }
}

} // namespace
} // namespace mimosa
