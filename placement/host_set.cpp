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
    // ceil(1.5 x hosts x share) in whole numbers, equal on every machine.
    size_t Share =
        (3 * LiveHosts * Backends + 2 * AllBackends - 1) / (2 * AllBackends);
    Size = std::max(Size, Share);
  }
  return std::min({Size, MaxHostSetSize, LiveHosts});
}

size_t hostLoadBound(size_t Hosts, const std::vector<HostSetDemand> &Demands) {
  if (Hosts == 0)
    return 0;
  size_t Places = 0;
  for (const HostSetDemand &Demand : Demands)
    Places += Demand.Size;
  return (5 * Places + 4 * Hosts - 1) / (4 * Hosts);
}

namespace {

/// Host numbers with their weight for one service, heaviest first. Equal
/// weights are ordered by host number, that is, by host id.
using Ranking = std::vector<std::pair<uint64_t, size_t>>;

void sortRanking(Ranking &Ranked) {
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first : A.second < B.second;
  });
}

/// Assigns one set after the other.
class Assigner {
public:
  Assigner(const std::vector<HostInZone> &Hosts,
           const std::vector<HostSetDemand> &Demands);

  std::vector<HostSet> run();

private:
  /// The hosts of one zone that are not yet chosen for the current service.
  struct ZoneQueue {
    Ranking Ranked;
    size_t Next = 0;
    size_t Chosen = 0;
  };

  void assign(size_t Set);
  std::vector<ZoneQueue> queuesFor(const ServiceId &Service) const;
  std::optional<size_t> bestZone(std::vector<ZoneQueue> &Queues,
                                 size_t EvenShare) const;
  void take(size_t Set, size_t Host);
  void takeBySwap(size_t Set);
  bool swapOut(size_t Set, size_t Full, size_t Spare);
  HostSet result(size_t Set) const;

  const std::vector<HostInZone> &Hosts;
  const std::vector<HostSetDemand> &Demands;
  size_t Bound;
  std::vector<size_t> ZoneOfHost;
  size_t ZoneCount = 0;
  std::vector<size_t> Load;
  /// Places that the hosts of each zone have left.
  std::vector<size_t> ZoneRoom;
  /// Places per zone that the sets still to be assigned need at least.
  size_t Reserve = 0;
  /// Whether a host is in a set, by set and host.
  std::vector<std::vector<bool>> Member;
};

Assigner::Assigner(const std::vector<HostInZone> &Hosts,
                   const std::vector<HostSetDemand> &Demands)
    : Hosts(Hosts), Demands(Demands),
      Bound(hostLoadBound(Hosts.size(), Demands)), Load(Hosts.size()),
      Member(Demands.size(), std::vector<bool>(Hosts.size())) {
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
  // Large sets first: they have the least choice.
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
      Queues[ZoneOfHost[Host]].Ranked.emplace_back(
          hash64(Hosts[Host].Host.text(), Seed), Host);
  for (ZoneQueue &Queue : Queues)
    sortRanking(Queue.Ranked);
  return Queues;
}

/// The zone that gives the next host: one with the fewest chosen hosts, and of
/// these the one whose next host is the heaviest. A zone gives more than its
/// even share only if it keeps enough room for the sets to come.
std::optional<size_t> Assigner::bestZone(std::vector<ZoneQueue> &Queues,
                                         size_t EvenShare) const {
  std::optional<size_t> Best;
  for (bool KeepReserve : {true, false}) {
    for (size_t Zone = 0; Zone < Queues.size(); ++Zone) {
      const ZoneQueue &Queue = Queues[Zone];
      if (Queue.Next == Queue.Ranked.size())
        continue;
      bool Extra = Queue.Chosen >= EvenShare;
      if (KeepReserve && Extra && ZoneRoom[Zone] <= Reserve)
        continue;
      auto Rank = [&](size_t Z) {
        return std::pair(Queues[Z].Chosen,
                         ~Queues[Z].Ranked[Queues[Z].Next].first);
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
      takeBySwap(Set);
      continue;
    }
    ZoneQueue &Queue = Queues[*Zone];
    take(Set, Queue.Ranked[Queue.Next].second);
    ++Queue.Next;
    ++Queue.Chosen;
  }
}

void Assigner::take(size_t Set, size_t Host) {
  Member[Set][Host] = true;
  ++Load[Host];
  --ZoneRoom[ZoneOfHost[Host]];
}

/// Adds a host when all hosts with room are in the set already: a full host
/// leaves another set to one of them. Such a set exists, because the full host
/// is in more sets than the other one.
void Assigner::takeBySwap(size_t Set) {
  for (bool SameZone : {true, false}) {
    for (size_t Full = 0; Full < Hosts.size(); ++Full) {
      if (Member[Set][Full])
        continue;
      for (size_t Spare = 0; Spare < Hosts.size(); ++Spare) {
        bool Near = ZoneOfHost[Full] == ZoneOfHost[Spare];
        if (Load[Spare] >= Bound || (SameZone && !Near))
          continue;
        if (swapOut(Set, Full, Spare))
          return;
      }
    }
  }
}

bool Assigner::swapOut(size_t Set, size_t Full, size_t Spare) {
  for (std::vector<bool> &Other : Member) {
    if (!Other[Full] || Other[Spare])
      continue;
    Other[Full] = false;
    --Load[Full];
    ++ZoneRoom[ZoneOfHost[Full]];
    Other[Spare] = true;
    ++Load[Spare];
    --ZoneRoom[ZoneOfHost[Spare]];
    take(Set, Full);
    return true;
  }
  return false;
}

HostSet Assigner::result(size_t Set) const {
  std::vector<HostInZone> Chosen;
  for (size_t Host = 0; Host < Hosts.size(); ++Host)
    if (Member[Set][Host])
      Chosen.push_back(Hosts[Host]);
  const ServiceId &Service = Demands[Set].Service;
  return {Service, byWeight(Service.text(), std::move(Chosen))};
}

} // namespace

std::vector<HostSet> assignHostSets(const std::vector<HostInZone> &Hosts,
                                    const std::vector<HostSetDemand> &Demands) {
  return Assigner(Hosts, Demands).run();
}

std::vector<HostInZone> byWeight(const std::string &Key,
                                 std::vector<HostInZone> Hosts) {
  Ranking Ranked;
  uint64_t Seed = hash64(Key);
  for (size_t I = 0; I < Hosts.size(); ++I)
    Ranked.emplace_back(hash64(Hosts[I].Host.text(), Seed), I);
  sortRanking(Ranked);
  std::vector<HostInZone> Sorted;
  for (const auto &[Weight, I] : Ranked)
    Sorted.push_back(std::move(Hosts[I]));
  return Sorted;
}

std::vector<HostInZone> spreadOverZones(const std::vector<HostInZone> &Ranked,
                                        size_t Count) {
  std::map<AvailabilityZoneId, size_t> ChosenOfZone;
  std::vector<HostInZone> Left = Ranked;
  std::vector<HostInZone> Chosen;
  while (Chosen.size() < Count && !Left.empty()) {
    auto Best =
        std::min_element(Left.begin(), Left.end(),
                         [&](const HostInZone &A, const HostInZone &B) {
                           return ChosenOfZone[A.Zone] < ChosenOfZone[B.Zone];
                         });
    ++ChosenOfZone[Best->Zone];
    Chosen.push_back(std::move(*Best));
    Left.erase(Best);
  }
  return Chosen;
}

} // namespace mimosa
