#include "backend/snapshot_map.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace mimosa {
namespace {

/// A name split into its text and the digits at its end, without leading zeros.
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

bool isOlderByName(const SnapshotId &A, const SnapshotId &B) {
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

SnapshotMap::Entry &SnapshotMap::findOrAdd(const SnapshotId &Snapshot) {
  for (Entry &Existing : Entries)
    if (Existing.Snapshot == Snapshot)
      return Existing;
  Entries.emplace_back();
  Entries.back().Snapshot = Snapshot;
  return Entries.back();
}

void SnapshotMap::setTotals(const std::vector<UsableBackend> &Backends) {
  std::map<SnapshotId, std::map<uint32_t, uint32_t>> Reports;
  for (const UsableBackend &Server : Backends)
    for (const BackendSnapshot &Report : *Server.Snapshots) {
      ++Reports[Report.Snapshot][Report.TotalShards];
      Entry &Target = findOrAdd(Report.Snapshot);
      Target.Order = std::max(Target.Order, Report.Order);
    }
  for (const auto &[Snapshot, Totals] : Reports) {
    Entry &Target = findOrAdd(Snapshot);
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

uint64_t SnapshotMap::addBackends(const std::vector<UsableBackend> &Backends,
                                  bool LastResort) {
  uint64_t LeftOut = 0;
  for (const UsableBackend &Server : Backends) {
    if (Server.LastResort != LastResort)
      continue;
    for (const BackendSnapshot &Report : *Server.Snapshots) {
      Entry &Target = findOrAdd(Report.Snapshot);
      if (Report.TotalShards == Target.TotalShards)
        addShards(Target, Report.Shards, Server);
      else
        ++LeftOut;
    }
  }
  return LeftOut;
}

void SnapshotMap::addShards(Entry &Target, const std::vector<uint32_t> &Shards,
                            const UsableBackend &Server) {
  for (uint32_t Shard : Shards) {
    if (Server.LastResort && Target.HasPreferred[Shard])
      continue;
    if (!Server.LastResort)
      Target.HasPreferred[Shard] = true;
    Target.CoveredShards += Target.Replicas[Shard].empty();
    Target.Replicas[Shard].push_back(*Server.Backend);
  }
}

uint64_t SnapshotMap::rebuild(const std::vector<UsableBackend> &Backends) {
  Entries.clear();
  setTotals(Backends);
  uint64_t LeftOut = addBackends(Backends, /*LastResort=*/false);
  LeftOut += addBackends(Backends, /*LastResort=*/true);
  std::sort(Entries.begin(), Entries.end(), [](const Entry &A, const Entry &B) {
    if (A.Order != B.Order)
      return A.Order > B.Order;
    return isOlderByName(B.Snapshot, A.Snapshot);
  });
  return LeftOut;
}

std::optional<SnapshotChoice>
SnapshotMap::choose(const std::vector<SnapshotId> &Excluded) const {
  const Entry *Best = nullptr;
  // Compares the covered fractions of the shards by cross-multiplication.
  auto CoversMore = [](const Entry &A, const Entry &B) {
    return uint64_t(A.CoveredShards) * B.TotalShards >
           uint64_t(B.CoveredShards) * A.TotalShards;
  };
  for (const Entry &Candidate : Entries) {
    if (Candidate.CoveredShards == 0 ||
        std::find(Excluded.begin(), Excluded.end(), Candidate.Snapshot) !=
            Excluded.end())
      continue;
    if (!Best || CoversMore(Candidate, *Best))
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
  for (const Entry &Each : Entries)
    if (Each.Snapshot == Snapshot && Shard.number() < Each.Replicas.size())
      return Each.Replicas[Shard.number()];
  return None;
}

} // namespace mimosa
