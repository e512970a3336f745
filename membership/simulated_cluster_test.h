// Instances of Membership on a simulated network: messages take 0.5 to 2 ms and
// can be lost; hosts can be isolated, paused, killed and restarted.

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
  /// The indexes of the hosts that this host declared dead, with repetitions.
  std::vector<size_t> DeclaredDead;
};

class SimulatedCluster {
public:
  SimulatedCluster(size_t Count, uint64_t Seed) : Rand(Seed), Hosts(Count) {
    for (size_t I = 0; I < Count; ++I)
      start(I, 1000);
  }

  static HostId id(size_t Index) {
    return HostId("10.0.0." + std::to_string(Index) + ":7000");
  }

  /// Starts or restarts host \p Index without state.
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
    Host.Members = std::make_unique<Membership>(Self, Seeds, Rand);
    perform(Index, Host.Members->start(Now));
  }

  /// Runs for \p Time; stops early when \p Until is true.
  void run(Duration Time, const std::function<bool()> &Until = {}) {
    MonotonicTime End = Now + Time;
    while (Now < End && !(Until && Until()))
      step();
  }

  /// True if host \p Index is in one of \p States at every other live host.
  bool allHaveState(size_t Index,
                    std::initializer_list<MemberState> States) const {
    for (size_t I = 0; I < Hosts.size(); ++I) {
      if (I == Index || Hosts[I].Dead)
        continue;
      const Member *Existing = Hosts[I].Members->member(id(Index));
      bool Found = false;
      for (MemberState State : States)
        Found = Found || (Existing && Existing->State == State);
      if (!Found)
        return false;
    }
    return true;
  }

  /// True if the members at every live host are exactly the live hosts, and all
  /// of them are alive.
  bool isConverged() const {
    size_t Live = 0;
    for (const SimulatedHost &Host : Hosts)
      Live += Host.Dead ? 0 : 1;
    for (size_t I = 0; I < Hosts.size(); ++I) {
      if (Hosts[I].Dead)
        continue;
      if (Hosts[I].Members->members().size() != Live ||
          !allHaveState(I, {MemberState::Alive}))
        return false;
    }
    return true;
  }

  /// Number of deaths declared for which \p Counts(observer, subject) is true.
  size_t
  countDeclaredDead(const std::function<bool(size_t, size_t)> &Counts) const {
    size_t Sum = 0;
    for (size_t I = 0; I < Hosts.size(); ++I)
      for (size_t Subject : Hosts[I].DeclaredDead)
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
        Hosts[From].DeclaredDead.push_back(indexOf(Change->Current.Host));
    }
  }

  SeededRandom Rand;
  std::vector<SimulatedHost> Hosts;
  MonotonicTime Now{Seconds(100)};
  double LossRate = 0;
  /// Counts BytesSent; off by default, because it takes most of a run's time.
  bool MeasureBytes = false;
  /// True if a network partition separates two hosts.
  std::function<bool(size_t, size_t)> IsPartitioned;

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
    if (To >= Hosts.size()) // a seed that does not run
      return;
    if ((LossRate > 0 && Rand.uniform01() < LossRate) ||
        (IsPartitioned && IsPartitioned(From, To)))
      return;
    Duration Latency = Step * static_cast<int64_t>(1 + Rand.below(4));
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
