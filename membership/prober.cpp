#include "membership/prober.h"

#include "membership/random_choice.h"

#include <algorithm>

namespace mimosa {

void ProbeOrder::add(const HostId &Host) {
  size_t Rest = Order.size() - Position;
  size_t Place = Position + Rand.below(Rest + 1);
  Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(Place), Host);
}

void ProbeOrder::addUrgent(const HostId &Host) {
  if (std::find(Urgent.begin(), Urgent.end(), Host) == Urgent.end())
    Urgent.push_back(Host);
}

std::optional<HostId> ProbeOrder::nextUrgent(const MemberTable &Table) {
  while (!Urgent.empty()) {
    HostId Host = std::move(Urgent.front());
    Urgent.pop_front();
    if (Table.find(Host))
      return Host;
  }
  return std::nullopt;
}

std::optional<HostId> ProbeOrder::next(const MemberTable &Table) {
  if (!LastWasUrgent) {
    std::optional<HostId> Host = nextUrgent(Table);
    LastWasUrgent = Host.has_value();
    if (Host)
      return Host;
  }
  LastWasUrgent = false;
  for (int Pass = 0; Pass < 2; ++Pass) {
    while (Position < Order.size())
      if (const HostId &Host = Order[Position++]; Table.isPresent(Host))
        return Host;
    Order = Table.otherHosts(/*Dead=*/false);
    Position = 0;
    shuffle(Order, Rand);
  }
  return std::nullopt;
}

uint64_t PendingProbes::add(const HostId &Target,
                            std::optional<ProbeOrigin> Origin,
                            MonotonicTime Now) {
  uint64_t Sequence = ++LastSequence;
  Probes[Sequence] = {Sequence, Target, std::move(Origin), Now + DirectTimeout,
                      false};
  return Sequence;
}

std::optional<PendingProbe> PendingProbes::onReply(uint64_t Sequence,
                                                   const HostId &Target) {
  auto It = Probes.find(Sequence);
  if (It == Probes.end() || It->second.Target != Target)
    return std::nullopt;
  PendingProbe Answered = std::move(It->second);
  Probes.erase(It);
  return Answered;
}

bool PendingProbes::expireDirect(const HostId &Target, MonotonicTime Now) {
  for (auto &[Sequence, Each] : Probes) {
    if (Each.Target != Target || Each.IsIndirect || Each.Origin)
      continue;
    Each.Deadline = std::min(Each.Deadline, Now);
    return true;
  }
  return false;
}

std::vector<PendingProbe> PendingProbes::takeIndirect(MonotonicTime Now) {
  std::vector<PendingProbe> Due;
  for (auto &[Sequence, Each] : Probes) {
    if (Each.IsIndirect || Each.Origin || Now < Each.Deadline)
      continue;
    Each.IsIndirect = true;
    Each.Deadline = Now + IndirectTimeout;
    Due.push_back(Each);
  }
  return Due;
}

std::vector<PendingProbe> PendingProbes::takeFailed(MonotonicTime Now) {
  std::vector<PendingProbe> Failed;
  for (auto It = Probes.begin(); It != Probes.end();) {
    const PendingProbe &Each = It->second;
    bool Over = Now >= Each.Deadline && (Each.IsIndirect || Each.Origin);
    if (Over && !Each.Origin)
      Failed.push_back(Each);
    It = Over ? Probes.erase(It) : std::next(It);
  }
  return Failed;
}

} // namespace mimosa
