#include "query/planner.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Holds the 192 backend servers of 64 shards with 3 replicas without growing.
constexpr size_t MinTableSize = 512;

/// Added to the expected latency of an avoided backend server.
constexpr Duration AvoidPenalty = Seconds(10);

/// A backend server that the query asks anyway is preferred to a better one as
/// long as its expected latency is at most this many times higher: one more
/// sub-request costs a slot of another backend server.
constexpr int GroupingTolerance = 2;

} // namespace

uint32_t Planner::number(const BackendServerId &Id) {
  if (Backends.size() * 2 >= Table.size())
    grow();
  size_t Hash = std::hash<BackendServerId>()(Id);
  size_t Mask = Table.size() - 1;
  size_t Slot = Hash & Mask;
  for (; Table[Slot] != NoBackend; Slot = (Slot + 1) & Mask) {
    const Entry &Known = Backends[Table[Slot]];
    if (Known.Hash == Hash && Known.Id == Id)
      return Table[Slot];
  }
  auto Number = static_cast<uint32_t>(Backends.size());
  Table[Slot] = Number;
  Backends.emplace_back();
  Backends.back().Id = Id;
  Backends.back().Hash = Hash;
  return Number;
}

void Planner::grow() {
  Table.assign(std::max(MinTableSize, Table.size() * 4), NoBackend);
  Backends.reserve(Table.size() / 2);
  size_t Mask = Table.size() - 1;
  for (uint32_t I = 0; I < Backends.size(); ++I) {
    size_t Slot = Backends[I].Hash & Mask;
    while (Table[Slot] != NoBackend)
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
    // Two numbers from one draw; the bias of the multiplication is below
    // 2^-32 per candidate.
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
  uint32_t Grouped = NoBackend;
  for (uint32_t Backend : Candidates)
    if (Backends[Backend].GroupRound == Round &&
        (Grouped == NoBackend || latency(Backend, Now) < latency(Grouped, Now)))
      Grouped = Backend;
  if (Grouped != NoBackend &&
      latency(Grouped, Now) <= GroupingTolerance * latency(Best, Now))
    return Grouped;
  return Best;
}

void Planner::addTo(std::vector<ShardGroup> &Groups, uint32_t Backend,
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
