#include "placement/host_set.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

namespace mimosa {

size_t hostSetSize(size_t LiveHosts, size_t Backends, size_t AllBackends) {
  size_t Size = std::min(MinHostSetSize, LiveHosts);
  if (AllBackends > 0) {
    // ceil(1.5 x hosts x share) in integers, so that all machines agree.
    size_t Share =
        (3 * LiveHosts * Backends + 2 * AllBackends - 1) / (2 * AllBackends);
    Size = std::max(Size, Share);
  }
  return std::min({Size, MaxHostSetSize, LiveHosts});
}

size_t hostLoadBound(size_t Hosts, const std::vector<HostSetDemand> &Demands) {
  if (Hosts == 0)
    return 0;
  size_t Memberships = 0;
  for (const HostSetDemand &Demand : Demands)
    Memberships += Demand.Size;
  return (5 * Memberships + 4 * Hosts - 1) / (4 * Hosts);
}

namespace {

/// Pairs of weight and host index, the highest weight first. Hosts with equal
/// weights are ordered by index, and so by host id.
using Ranking = std::vector<std::pair<uint64_t, size_t>>;

void sortRanking(Ranking &Ranked) {
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first : A.second < B.second;
  });
}

/// Assigns the host sets one after the other.
class Assigner {
public:
  Assigner(const std::vector<HostInZone> &Hosts,
           const std::vector<HostSetDemand> &Demands);

  std::vector<HostSet> run();

private:
  /// The hosts of one zone that had room when the set was begun; those before
  /// Next have been chosen.
  struct ZoneQueue {
    Ranking Candidates;
    size_t Next = 0;
    size_t ChosenCount = 0;
  };

  void assign(size_t Set);
  std::vector<ZoneQueue> queuesFor(const ServiceId &Service) const;
  std::optional<size_t> bestZone(std::vector<ZoneQueue> &Queues,
                                 size_t EvenShare) const;
  void addHost(size_t Set, size_t Host);
  void addBySwap(size_t Set);
  bool swapOut(size_t Set, size_t FullHost, size_t SpareHost);
  HostSet result(size_t Set) const;

  const std::vector<HostInZone> &Hosts;
  const std::vector<HostSetDemand> &Demands;
  size_t Bound;
  std::vector<size_t> ZoneOfHost;
  size_t ZoneCount = 0;
  std::vector<size_t> Load;
  /// For each zone, how many memberships its hosts can still take.
  std::vector<size_t> ZoneRoom;
  /// Memberships that the unassigned sets need in each zone for an even spread.
  size_t Reserve = 0;
  /// True if a host is in a set, by index of set and host.
  std::vector<std::vector<bool>> InSet;
};

Assigner::Assigner(const std::vector<HostInZone> &Hosts,
                   const std::vector<HostSetDemand> &Demands)
    : Hosts(Hosts), Demands(Demands),
      Bound(hostLoadBound(Hosts.size(), Demands)), Load(Hosts.size()),
      InSet(Demands.size(), std::vector<bool>(Hosts.size())) {
  std::map<AvailabilityZoneId, size_t> Numbers;
  for (const HostInZone &Host : Hosts)
    Numbers.emplace(Host.Zone, 0);
  for (auto &[Zone, Number] : Numbers)
    Number = ZoneCount++;
  ZoneRoom.resize(ZoneCount);
  for (const HostInZone &Host : Hosts) {
    ZoneOfHost.push_back(Numbers[Host.Zone]);
    ZoneRoom[Numbers[Host.Zone]] += Bound;
  }
}

std::vector<HostSet> Assigner::run() {
  std::vector<size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  // Large sets first, because they have the fewest alternatives.
  std::sort(Order.begin(), Order.end(), [this](size_t A, size_t B) {
    if (Demands[A].Size != Demands[B].Size)
      return Demands[A].Size > Demands[B].Size;
    return Demands[A].Service < Demands[B].Service;
  });
  if (ZoneCount > 0)
    for (const HostSetDemand &Demand : Demands)
      Reserve += Demand.Size / ZoneCount;
  for (size_t Set : Order)
    assign(Set);
  std::vector<HostSet> Sets;
  for (size_t Set = 0; Set < Demands.size(); ++Set)
    Sets.push_back(result(Set));
  return Sets;
}

std::vector<Assigner::ZoneQueue>
Assigner::queuesFor(const ServiceId &Service) const {
  std::vector<ZoneQueue> Queues(ZoneCount);
  uint64_t Seed = hash64(Service.text());
  for (size_t Host = 0; Host < Hosts.size(); ++Host)
    if (Load[Host] < Bound)
      Queues[ZoneOfHost[Host]].Candidates.emplace_back(
          hash64(Hosts[Host].Host.text(), Seed), Host);
  for (ZoneQueue &Queue : Queues)
    sortRanking(Queue.Candidates);
  return Queues;
}

/// The zone of the next host: a zone with the fewest chosen hosts, and among
/// these the one whose next host has the highest weight. A zone gets more than
/// its even share only if it keeps the reserve for the unassigned sets; if no
/// zone qualifies, the reserve is ignored. Nothing if no host has room.
std::optional<size_t> Assigner::bestZone(std::vector<ZoneQueue> &Queues,
                                         size_t EvenShare) const {
  std::optional<size_t> Best;
  for (bool KeepReserve : {true, false}) {
    for (size_t Zone = 0; Zone < Queues.size(); ++Zone) {
      const ZoneQueue &Queue = Queues[Zone];
      if (Queue.Next == Queue.Candidates.size())
        continue;
      bool Extra = Queue.ChosenCount >= EvenShare;
      if (KeepReserve && Extra && ZoneRoom[Zone] <= Reserve)
        continue;
      auto Rank = [&](size_t Z) {
        return std::pair(Queues[Z].ChosenCount,
                         ~Queues[Z].Candidates[Queues[Z].Next].first);
      };
      if (!Best || Rank(Zone) < Rank(*Best))
        Best = Zone;
    }
    if (Best)
      break;
  }
  return Best;
}

void Assigner::assign(size_t Set) {
  size_t Size = std::min(Demands[Set].Size, Hosts.size());
  if (Size == 0)
    return;
  size_t EvenShare = Size / ZoneCount;
  Reserve -= Demands[Set].Size / ZoneCount;
  std::vector<ZoneQueue> Queues = queuesFor(Demands[Set].Service);
  for (size_t Count = 0; Count < Size; ++Count) {
    std::optional<size_t> Zone = bestZone(Queues, EvenShare);
    if (!Zone) {
      addBySwap(Set);
      continue;
    }
    ZoneQueue &Queue = Queues[*Zone];
    addHost(Set, Queue.Candidates[Queue.Next].second);
    ++Queue.Next;
    ++Queue.ChosenCount;
  }
}

void Assigner::addHost(size_t Set, size_t Host) {
  InSet[Set][Host] = true;
  ++Load[Host];
  --ZoneRoom[ZoneOfHost[Host]];
}

/// Adds a host when all hosts with room are already in the set: in another set,
/// a host without room is replaced by one with room and then joins this set.
/// Such a set exists, because the full host is in more sets than the other one.
/// Swaps within a zone are preferred, as they keep the spread over zones.
void Assigner::addBySwap(size_t Set) {
  for (bool SameZoneOnly : {true, false}) {
    for (size_t FullHost = 0; FullHost < Hosts.size(); ++FullHost) {
      if (InSet[Set][FullHost])
        continue;
      for (size_t SpareHost = 0; SpareHost < Hosts.size(); ++SpareHost) {
        bool InSameZone = ZoneOfHost[FullHost] == ZoneOfHost[SpareHost];
        if (Load[SpareHost] >= Bound || (SameZoneOnly && !InSameZone))
          continue;
        if (swapOut(Set, FullHost, SpareHost))
          return;
      }
    }
  }
}

/// Replaces \p FullHost by \p SpareHost in another set and adds \p FullHost to
/// \p Set; false if every set with the first host contains the second.
bool Assigner::swapOut(size_t Set, size_t FullHost, size_t SpareHost) {
  for (std::vector<bool> &Other : InSet) {
    if (!Other[FullHost] || Other[SpareHost])
      continue;
    Other[FullHost] = false;
    --Load[FullHost];
    ++ZoneRoom[ZoneOfHost[FullHost]];
    Other[SpareHost] = true;
    ++Load[SpareHost];
    --ZoneRoom[ZoneOfHost[SpareHost]];
    addHost(Set, FullHost);
    return true;
  }
  return false;
}

HostSet Assigner::result(size_t Set) const {
  std::vector<HostInZone> Chosen;
  for (size_t Host = 0; Host < Hosts.size(); ++Host)
    if (InSet[Set][Host])
      Chosen.push_back(Hosts[Host]);
  const ServiceId &Service = Demands[Set].Service;
  return {Service, rankByWeight(Service.text(), std::move(Chosen))};
}

} // namespace

std::vector<HostSet> assignHostSets(const std::vector<HostInZone> &Hosts,
                                    const std::vector<HostSetDemand> &Demands) {
  return Assigner(Hosts, Demands).run();
}

std::vector<HostInZone> rankByWeight(const std::string &Key,
                                     std::vector<HostInZone> Hosts) {
  Ranking Weights;
  uint64_t Seed = hash64(Key);
  for (size_t I = 0; I < Hosts.size(); ++I)
    Weights.emplace_back(hash64(Hosts[I].Host.text(), Seed), I);
  sortRanking(Weights);
  std::vector<HostInZone> Sorted;
  for (const auto &[Weight, I] : Weights)
    Sorted.push_back(std::move(Hosts[I]));
  return Sorted;
}

std::vector<HostInZone> spreadOverZones(const std::vector<HostInZone> &Ranked,
                                        size_t Count) {
  std::map<AvailabilityZoneId, size_t> ChosenOfZone;
  std::vector<HostInZone> Remaining = Ranked;
  std::vector<HostInZone> Chosen;
  while (Chosen.size() < Count && !Remaining.empty()) {
    auto Best =
        std::min_element(Remaining.begin(), Remaining.end(),
                         [&](const HostInZone &A, const HostInZone &B) {
                           return ChosenOfZone[A.Zone] < ChosenOfZone[B.Zone];
                         });
    ++ChosenOfZone[Best->Zone];
    Chosen.push_back(std::move(*Best));
    Remaining.erase(Best);
  }
  return Chosen;
}

} // namespace mimosa
