// Instances of Membership on a simulated network: messages take 0.5 to 2 ms and
// can be lost, hosts can be cut off, paused, killed and restarted.

#ifndef MIMOSA_MEMBERSHIP_SIMULATED_CLUSTER_TEST_H
#define MIMOSA_MEMBERSHIP_SIMULATED_CLUSTER_TEST_H

#include "membership/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mimosa {

/// One host of the simulation.
struct SimulatedHost {
  std::unique_ptr<Membership> Members;
  bool Dead = false;
  bool Paused = false;
  uint64_t MessagesSent = 0;
  uint64_t BytesSent = 0;
  uint64_t Pauses = 0;
  /// The hosts that it declared dead.
  std::vector<size_t> DeathsSeen;
};

class SimulatedCluster {
public:
  SimulatedCluster(size_t Count, uint64_t Seed) : Choices(Seed), Hosts(Count) {
    for (size_t I = 0; I < Count; ++I)
      start(I, 1000);
  }

  static HostId id(size_t Index) {
    return HostId("10.0.0." + std::to_string(Index) + ":7000");
  }

  /// Starts or restarts host \p Index with an empty state.
  void start(size_t Index, uint64_t StartTimeMs) {
    Member Self;
    Self.Host = id(Index);
    Self.Zone = AvailabilityZoneId("z" + std::to_string(Index % 3));
    Self.Region = RegionId("north");
    Self.CallerAddress = "10.0.0." + std::to_string(Index) + ":8000";
    Self.HostIncarnation = Incarnation(StartTimeMs);
    std::vector<HostId> Seeds = {id(0), id(1), id(2)};
    SimulatedHost &Host = Hosts[Index];
    Host.Dead = false;
    Host.Members = std::make_unique<Membership>(Self, Seeds, Choices);
    perform(Index, Host.Members->start(Now));
  }

  /// Runs for \p Time; stops early when \p Until is true.
  void run(Duration Time, const std::function<bool()> &Until = {}) {
    MonotonicTime End = Now + Time;
    while (Now < End && !(Until && Until()))
      step();
  }

  /// True if every live host holds host \p Index in one of \p States.
  bool allHold(size_t Index, std::initializer_list<MemberState> States) const {
    for (size_t I = 0; I < Hosts.size(); ++I) {
      if (I == Index || Hosts[I].Dead)
        continue;
      const Member *Held = Hosts[I].Members->member(id(Index));
      bool Found = false;
      for (MemberState State : States)
        Found = Found || (Held && Held->State == State);
      if (!Found)
        return false;
    }
    return true;
  }

  /// True if every live host holds exactly the live hosts, all alive.
  bool isWhole() const {
    size_t Live = 0;
    for (const SimulatedHost &Host : Hosts)
      Live += Host.Dead ? 0 : 1;
    for (size_t I = 0; I < Hosts.size(); ++I) {
      if (Hosts[I].Dead)
        continue;
      if (Hosts[I].Members->members().size() != Live ||
          !allHold(I, {MemberState::Alive}))
        return false;
    }
    return true;
  }

  /// Number of deaths seen of which \p Counts (observer, subject) is true.
  size_t deathsSeen(const std::function<bool(size_t, size_t)> &Counts) const {
    size_t Sum = 0;
    for (size_t I = 0; I < Hosts.size(); ++I)
      for (size_t Subject : Hosts[I].DeathsSeen)
        Sum += Counts(I, Subject);
    return Sum;
  }

  void perform(size_t From, const MembershipActions &Actions) {
    for (const MembershipAction &Action : Actions) {
      if (const auto *Send = std::get_if<SendMessage>(&Action))
        send(From, *Send);
      if (std::holds_alternative<PauseDetected>(Action))
        ++Hosts[From].Pauses;
      const auto *Change = std::get_if<MemberChanged>(&Action);
      if (Change && Change->Current.State == MemberState::Dead)
        Hosts[From].DeathsSeen.push_back(indexOf(Change->Current.Host));
    }
  }

  SeededRandom Choices;
  std::vector<SimulatedHost> Hosts;
  MonotonicTime Now{Seconds(100)};
  double Loss = 0;
  /// Counts BytesSent, which takes most of the time of a run.
  bool MeasureBytes = false;
  /// True if messages between two hosts are lost.
  std::function<bool(size_t, size_t)> IsCut;

private:
  static constexpr Duration Step = Duration(500);
  static constexpr int64_t StepsPerTick = 200;

  void send(size_t From, const SendMessage &Send) {
    SimulatedHost &Host = Hosts[From];
    ++Host.MessagesSent;
    if (MeasureBytes)
      Host.BytesSent += std::visit(
          [](const auto &Message) { return packBody(Message).size(); },
          Send.Message);
    size_t To = indexOf(Send.To);
    if (To >= Hosts.size()) // a seed that is not running
      return;
    if ((Loss > 0 && Choices.uniform01() < Loss) || (IsCut && IsCut(From, To)))
      return;
    Duration Latency = Step * static_cast<int64_t>(1 + Choices.below(4));
    InFlight.emplace(Now + Latency, std::pair(To, Send.Message));
  }

  size_t indexOf(const HostId &Id) const {
    return std::stoul(Id.text().substr(7));
  }

  void step() {
    Now += Step;
    ++Steps;
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      auto [To, Message] = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      SimulatedHost &Host = Hosts[To];
      if (Host.Paused) // stays in the socket's buffer
        InFlight.emplace(Now + Step, std::pair(To, std::move(Message)));
      else if (!Host.Dead)
        perform(To, Host.Members->onMessage(Message, Now));
    }
    for (size_t I = Steps % StepsPerTick; I < Hosts.size(); I += StepsPerTick)
      if (!Hosts[I].Dead && !Hosts[I].Paused)
        perform(I, Hosts[I].Members->onTick(Now));
  }

  std::multimap<MonotonicTime, std::pair<size_t, MembershipMessage>> InFlight;
  int64_t Steps = 0;
};

} // namespace mimosa

#endif // MIMOSA_MEMBERSHIP_SIMULATED_CLUSTER_TEST_H
