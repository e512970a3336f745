// Model check of the shares of a stated limit: all interleavings, at a small
// size, of hosts that freeze, return, end and start, while every host sends
// whenever its share allows it.
//
// Others see a host's end, and that it is frozen, when its lease has ended. A
// host that returns keeps its state and learns of the others a little later.

#include "balance/server_pushback.h"
#include "entry/host_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace mimosa {
namespace {

constexpr double Limit = 8;
/// Longer than the time for which a host remembers how many others there were,
/// after three steps.
constexpr Duration StepTime = Seconds(12);
constexpr Duration LeaseTime = Seconds(3);
constexpr Duration NewsTime = Milliseconds(100);
/// A host that has started or returned need not keep the limit until then.
constexpr Duration ExcuseTime = Seconds(4);
constexpr Duration Window = Seconds(4);
constexpr double Allowed = 1.5 * Limit * 4 + 5;
constexpr MonotonicTime Start{Seconds(1000)};

struct Send {
  MonotonicTime At;
  bool Excused;
};

struct Host {
  std::unique_ptr<HostDirectory> Directory;
  ServerPushback Pushback;
  bool Member = false;
  bool Frozen = false;
  /// Since when it runs without a break.
  MonotonicTime RunsSince;
};

class Deployment {
public:
  explicit Deployment(size_t Count) : Hosts(Count) {
    for (size_t I = 0; I < Count; ++I)
      start(I, Start);
    Now = Start;
  }

  void start(size_t I, MonotonicTime At) {
    Hosts[I].Directory =
        std::make_unique<HostDirectory>(entryOf(I), Seconds(2), Rng);
    Hosts[I].Pushback = ServerPushback();
    Hosts[I].Member = true;
    Hosts[I].Frozen = false;
    Hosts[I].RunsSince = At;
  }

  /// Freezes or wakes a host that runs.
  void toggleFrozen(size_t I) {
    Hosts[I].Frozen = Hosts[I].Member && !Hosts[I].Frozen;
    Hosts[I].RunsSince = Now;
  }

  /// Ends or starts a host.
  void toggleMember(size_t I) {
    if (Hosts[I].Member)
      Hosts[I].Member = false;
    else
      start(I, Now);
  }

  /// Runs until \p End after a change of the hosts.
  void run(MonotonicTime End) {
    std::vector<bool> Alive;
    for (const Host &H : Hosts)
      Alive.push_back(H.Member && !H.Frozen);
    std::vector<bool> Seen = LastAlive;
    for (size_t I = 0; I < Hosts.size(); ++I)
      Seen[I] = Seen[I] || Alive[I];
    runUntil(Now + NewsTime);
    showHosts(Seen);
    runUntil(Now + LeaseTime - NewsTime);
    showHosts(Alive);
    runUntil(End);
    LastAlive = Alive;
  }

  size_t runningHosts() const {
    return static_cast<size_t>(
        std::count_if(Hosts.begin(), Hosts.end(),
                      [](const Host &H) { return H.Member && !H.Frozen; }));
  }

  MonotonicTime now() const { return Now; }
  std::vector<Send> Sends;

private:
  EntryHost entryOf(size_t I) const {
    EntryHost Out;
    Out.Name = "h" + std::to_string(I);
    Out.Zone = AvailabilityZoneId("z1");
    Out.Capacity = 1;
    return Out;
  }

  void showHosts(const std::vector<bool> &Listed) {
    std::vector<EntryHost> Entries;
    for (size_t I = 0; I < Hosts.size(); ++I)
      if (Listed[I])
        Entries.push_back(entryOf(I));
    for (Host &H : Hosts)
      if (H.Member && !H.Frozen)
        H.Directory->setHosts(Entries, Now);
  }

  void runUntil(MonotonicTime End) {
    ServerNotice Notice;
    Notice.Limit = RequestRate{Limit};
    for (Host &H : Hosts) {
      if (!H.Member || H.Frozen)
        continue;
      while (true) {
        uint32_t Count = H.Directory->sharingHosts(Now);
        MonotonicTime At = std::max(H.Pushback.nextSendAt(Count), Now);
        if (At >= End)
          break;
        H.Pushback.recordSend(Count, At);
        H.Pushback.record(Notice, At, Count, 0.5, At);
        Sends.push_back({At, At < H.RunsSince + ExcuseTime});
      }
    }
    Now = End;
  }

  SeededRandom Rng{7};
  std::vector<Host> Hosts;
  std::vector<bool> LastAlive = std::vector<bool>(Hosts.size(), true);
  MonotonicTime Now;
};

/// The largest number of requests in a window, of hosts that are not excused.
size_t mostInWindow(std::vector<Send> Sends) {
  Sends.erase(std::remove_if(Sends.begin(), Sends.end(),
                             [](const Send &S) { return S.Excused; }),
              Sends.end());
  std::sort(Sends.begin(), Sends.end(),
            [](const Send &A, const Send &B) { return A.At < B.At; });
  size_t Most = 0;
  size_t Begin = 0;
  for (size_t End = 0; End < Sends.size(); ++End) {
    while (Sends[End].At - Sends[Begin].At >= Window)
      ++Begin;
    Most = std::max(Most, End - Begin + 1);
  }
  return Most;
}

/// Runs the changes that \p Sequence encodes, one in each step.
void checkSequence(size_t HostCount, size_t Steps, size_t Sequence) {
  size_t Choices = 1 + 2 * HostCount;
  Deployment D(HostCount);
  D.run(Start + StepTime);
  size_t Rest = Sequence;
  for (size_t Step = 0; Step < Steps; ++Step, Rest /= Choices) {
    size_t Choice = Rest % Choices;
    if (Choice > HostCount)
      D.toggleMember(Choice - HostCount - 1);
    else if (Choice > 0)
      D.toggleFrozen(Choice - 1);
    D.run(D.now() + StepTime);
  }
  ASSERT_LE(static_cast<double>(mostInWindow(D.Sends)), Allowed)
      << HostCount << " hosts, sequence " << Sequence;
  if (D.runningHosts() == 0)
    return;
  // No share stays unused once the hosts have been the same for a while.
  D.run(D.now() + Seconds(40));
  D.Sends.clear();
  D.run(D.now() + Seconds(10));
  ASSERT_GE(static_cast<double>(D.Sends.size()), 0.8 * Limit * 10)
      << HostCount << " hosts, sequence " << Sequence;
}

// Guards against hosts that together pass a stated limit while some freeze,
// return, end or start, and against a share that stays unused for good.
TEST(LimitSharingTest, NoInterleavingPassesTheLimitOrLosesAShare) {
  struct Case {
    size_t Hosts;
    size_t Steps;
  };
  for (const Case &C : {Case{2, 6}, Case{3, 5}, Case{4, 4}}) {
    size_t Sequences = 1;
    for (size_t I = 0; I < C.Steps; ++I)
      Sequences *= 1 + 2 * C.Hosts;
    for (size_t Sequence = 0; Sequence < Sequences; ++Sequence) {
      checkSequence(C.Hosts, C.Steps, Sequence);
      if (HasFatalFailure())
        return;
    }
  }
}

} // namespace
} // namespace mimosa
