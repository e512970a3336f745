#include "backend/snapshot_map.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace mimosa {
namespace {

/// A name split into text and the number at its end, without leading zeros.
struct SplitName {
  std::string_view Text;
  std::string_view Digits;
};

SplitName split(const std::string &Name) {
  size_t End = Name.find_last_not_of("0123456789");
  size_t DigitsAt = End == std::string::npos ? 0 : End + 1;
  std::string_view Digits = std::string_view(Name).substr(DigitsAt);
  size_t NonZero = Digits.find_first_not_of('0');
  Digits.remove_prefix(NonZero == std::string_view::npos ? Digits.size()
                                                         : NonZero);
  return {std::string_view(Name).substr(0, DigitsAt), Digits};
}

} // namespace

bool olderName(const SnapshotId &A, const SnapshotId &B) {
  SplitName SplitA = split(A.text());
  SplitName SplitB = split(B.text());
  if (SplitA.Text != SplitB.Text)
    return SplitA.Text < SplitB.Text;
  if (SplitA.Digits.size() != SplitB.Digits.size())
    return SplitA.Digits.size() < SplitB.Digits.size();
  if (SplitA.Digits != SplitB.Digits)
    return SplitA.Digits < SplitB.Digits;
  return A < B;
}

SnapshotMap::Entry &SnapshotMap::entryOf(const SnapshotId &Snapshot) {
  for (Entry &Known : Entries)
    if (Known.Snapshot == Snapshot)
      return Known;
  Entries.emplace_back();
  Entries.back().Snapshot = Snapshot;
  return Entries.back();
}

void SnapshotMap::setTotals(const std::vector<ReplicaHolder> &Holders) {
  std::map<SnapshotId, std::map<uint32_t, uint32_t>> Reports;
  for (const ReplicaHolder &Holder : Holders)
    for (const HeldSnapshot &Held : *Holder.Snapshots) {
      ++Reports[Held.Snapshot][Held.TotalShards];
      Entry &Target = entryOf(Held.Snapshot);
      Target.Order = std::max(Target.Order, Held.Order);
    }
  for (const auto &[Snapshot, Totals] : Reports) {
    Entry &Target = entryOf(Snapshot);
    uint32_t Most = 0;
    for (const auto &[Total, Count] : Totals)
      if (Count >= Most) {
        Most = Count;
        Target.TotalShards = Total;
      }
    Target.Replicas.resize(Target.TotalShards);
    Target.HasPreferred.resize(Target.TotalShards);
  }
}

uint64_t SnapshotMap::addHolders(const std::vector<ReplicaHolder> &Holders,
                                 bool LastResort) {
  uint64_t LeftOut = 0;
  for (const ReplicaHolder &Holder : Holders) {
    if (Holder.LastResort != LastResort)
      continue;
    for (const HeldSnapshot &Held : *Holder.Snapshots) {
      Entry &Target = entryOf(Held.Snapshot);
      if (Held.TotalShards == Target.TotalShards)
        addShards(Target, Held.Shards, Holder);
      else
        ++LeftOut;
    }
  }
  return LeftOut;
}

void SnapshotMap::addShards(Entry &Target, const std::vector<uint32_t> &Shards,
                            const ReplicaHolder &Holder) {
  for (uint32_t Shard : Shards) {
    if (Holder.LastResort && Target.HasPreferred[Shard])
      continue;
    if (!Holder.LastResort)
      Target.HasPreferred[Shard] = true;
    Target.CoveredShards += Target.Replicas[Shard].empty();
    Target.Replicas[Shard].push_back(*Holder.Backend);
  }
}

uint64_t SnapshotMap::rebuild(const std::vector<ReplicaHolder> &Holders) {
  Entries.clear();
  setTotals(Holders);
  uint64_t LeftOut = addHolders(Holders, /*LastResort=*/false);
  LeftOut += addHolders(Holders, /*LastResort=*/true);
  std::sort(Entries.begin(), Entries.end(), [](const Entry &A, const Entry &B) {
    if (A.Order != B.Order)
      return A.Order > B.Order;
    return olderName(B.Snapshot, A.Snapshot);
  });
  return LeftOut;
}

std::optional<SnapshotChoice>
SnapshotMap::choose(const std::vector<SnapshotId> &Excluded) const {
  const Entry *Best = nullptr;
  // Coverages are compared as fractions A/B by cross-multiplication.
  auto Covers = [](const Entry &A, const Entry &B) {
    return uint64_t(A.CoveredShards) * B.TotalShards >
           uint64_t(B.CoveredShards) * A.TotalShards;
  };
  for (const Entry &Candidate : Entries) {
    if (Candidate.CoveredShards == 0 ||
        std::find(Excluded.begin(), Excluded.end(), Candidate.Snapshot) !=
            Excluded.end())
      continue;
    if (!Best || Covers(Candidate, *Best))
      Best = &Candidate;
    if (Best->CoveredShards == Best->TotalShards)
      break;
  }
  if (!Best)
    return std::nullopt;
  return SnapshotChoice{Best->Snapshot, Best->TotalShards};
}

const std::vector<BackendServerId> &
SnapshotMap::replicas(const SnapshotId &Snapshot, ShardId Shard) const {
  static const std::vector<BackendServerId> None;
  for (const Entry &Known : Entries)
    if (Known.Snapshot == Snapshot && Shard.number() < Known.Replicas.size())
      return Known.Replicas[Shard.number()];
  return None;
}

} // namespace mimosa
