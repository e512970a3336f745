#include "query/planner.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Enough for the 192 backend servers of 64 shards with 3 replicas.
constexpr size_t MinTableSize = 512;

/// Added to the expected latency of an avoided backend server.
constexpr Duration AvoidPenalty = Seconds(10);

/// A backend server that already has a group is preferred to a faster one if
/// its expected latency is at most this many times that of the faster one,
/// because each additional sub-request takes a slot of a backend server.
constexpr int GroupingTolerance = 2;

} // namespace

uint32_t Planner::indexOf(const BackendServerId &Id) {
  if (Backends.size() * 2 >= Table.size())
    grow();
  size_t Hash = std::hash<BackendServerId>()(Id);
  size_t Mask = Table.size() - 1;
  size_t Slot = Hash & Mask;
  for (; Table[Slot] != NoIndex; Slot = (Slot + 1) & Mask) {
    const Entry &Existing = Backends[Table[Slot]];
    if (Existing.Hash == Hash && Existing.Id == Id)
      return Table[Slot];
  }
  auto Index = static_cast<uint32_t>(Backends.size());
  Table[Slot] = Index;
  Backends.emplace_back();
  Backends.back().Id = Id;
  Backends.back().Hash = Hash;
  return Index;
}

void Planner::grow() {
  Table.assign(std::max(MinTableSize, Table.size() * 4), NoIndex);
  Backends.reserve(Table.size() / 2);
  size_t Mask = Table.size() - 1;
  for (uint32_t I = 0; I < Backends.size(); ++I) {
    size_t Slot = Backends[I].Hash & Mask;
    while (Table[Slot] != NoIndex)
      Slot = (Slot + 1) & Mask;
    Table[Slot] = I;
  }
}

Duration Planner::latency(uint32_t Backend, MonotonicTime Now) {
  Entry &E = Backends[Backend];
  if (E.LatencyRound != Round) {
    E.Latency = Source.expectedLatency(E.Id, Now);
    if (E.Avoided)
      E.Latency += AvoidPenalty;
    E.LatencyRound = Round;
  }
  return E.Latency;
}

uint32_t Planner::choose(MonotonicTime Now) {
  uint32_t Best = Candidates[0];
  if (Candidates.size() > 1) {
    // Two random candidates from one random number; the multiplication changes
    // the probability of a candidate by less than 2^-32.
    uint64_t Bits = Rand.next();
    uint64_t First = ((Bits & UINT32_MAX) * Candidates.size()) >> 32;
    uint64_t Second = ((Bits >> 32) * (Candidates.size() - 1)) >> 32;
    if (Second >= First)
      ++Second;
    Best = Candidates[First];
    if (latency(Candidates[Second], Now) < latency(Best, Now))
      Best = Candidates[Second];
  }
  if (Backends[Best].GroupRound == Round)
    return Best;
  uint32_t Grouped = NoIndex;
  for (uint32_t Backend : Candidates)
    if (Backends[Backend].GroupRound == Round &&
        (Grouped == NoIndex || latency(Backend, Now) < latency(Grouped, Now)))
      Grouped = Backend;
  if (Grouped != NoIndex &&
      latency(Grouped, Now) <= GroupingTolerance * latency(Best, Now))
    return Grouped;
  return Best;
}

void Planner::addToGroup(std::vector<ShardGroup> &Groups, uint32_t Backend,
                         uint32_t Shard) {
  Entry &E = Backends[Backend];
  if (E.GroupRound != Round) {
    E.GroupRound = Round;
    E.Group = static_cast<uint32_t>(Groups.size());
    Groups.emplace_back();
    Groups.back().Backend = Backend;
  }
  Groups[E.Group].Shards.emplace_back(Shard);
}

} // namespace mimosa
