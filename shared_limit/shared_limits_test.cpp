// Tests of SharedLimits on hosts in virtual time: a model check over short
// sequences of faults, while every host takes all tokens that it can get, and
// the load of a team on 16 hosts.

#include "shared_limit/shared_limits.h"

#include "base/random.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

namespace mimosa {
namespace {

const SharedLimitKey Team("team/a");
/// Steps of the model check, and of the load, in which requests arrive one by
/// one.
constexpr Duration Tick = Milliseconds(100);
constexpr Duration FineTick = Milliseconds(10);
constexpr Duration LeaseTime = Seconds(3);
constexpr MonotonicTime Start{Seconds(1000)};
constexpr Duration Window = Seconds(5);

/// Keeps its share while the others may no longer leave it one.
class SharesKeptOverFreeze : public SharedLimits {
  using SharedLimits::SharedLimits;
  bool forgotten(MonotonicTime) const override { return false; }
};

/// Takes its part of the level again after each report, whether or not it has
/// arrived.
class SharesLentTwice : public SharedLimits {
  using SharedLimits::SharedLimits;
  std::optional<uint64_t> acknowledgedSequence() const override {
    if (!SharedLimits::acknowledgedSequence())
      return std::nullopt;
    return lastSequence();
  }
};

enum class Link { Works, Loses, Delays };

template <typename Limits> class Deployment {
public:
  Deployment(size_t Count, double Rate, double Burst, Duration Step = Tick,
             size_t SeedCount = SIZE_MAX, size_t ServingCount = SIZE_MAX)
      : Hosts(Count), Links(Count, std::vector<Link>(Count, Link::Works)),
        Delayed(Count, std::vector<std::vector<SharedUsage>>(Count)),
        Rate(Rate), Burst(Burst), Step(Step), SeedCount(SeedCount) {
    for (size_t I = 0; I < Count; ++I) {
      Hosts[I].Serving = I < ServingCount;
      startHost(I);
    }
  }

  void startHost(size_t I) {
    Host &H = Hosts[I];
    H.Shared.emplace(idOf(I), Incarnation(++Incarnations),
                     SharedLimitOptions{});
    H.Shared->setLimit(Team, Rate, Burst);
    H.Shared->addSeeds(seeds(), Now);
    H.Up = true;
    H.Mailbox.clear();
    H.Listed.clear();
    if (H.Serving)
      H.RenewedAt = Now;
    // A host without the store loads the list of hosts from another one.
    if (H.StoreCut)
      H.Shared->setHosts(allHosts(), Now);
  }
  void toggleUp(size_t I) {
    if (Hosts[I].Up)
      Hosts[I].Up = false;
    else
      startHost(I);
  }
  void leave(size_t I) {
    if (running(I))
      send(I, Hosts[I].Shared->leave(Now));
    Hosts[I].Up = false;
    Hosts[I].RenewedAt = Now - LeaseTime;
  }
  void toggleFrozen(size_t I) {
    Hosts[I].Frozen = !Hosts[I].Frozen;
    if (Hosts[I].Frozen)
      return;
    std::vector<SharedUsage> Late = std::move(Hosts[I].Mailbox);
    Hosts[I].Mailbox.clear();
    for (const SharedUsage &Each : Late)
      receive(I, Each);
  }
  void toggleStore(size_t I) { Hosts[I].StoreCut = !Hosts[I].StoreCut; }
  void toggleLink(size_t From, size_t To, Link State) {
    Link &L = Links[From][To];
    L = L == Link::Works ? State : Link::Works;
    std::vector<SharedUsage> Late = std::move(Delayed[From][To]);
    Delayed[From][To].clear();
    for (const SharedUsage &Each : Late)
      receive(To, Each);
  }

  /// Runs one tick, in which host I is asked for Requests[I] tokens.
  void tick(const std::vector<size_t> &Requests) {
    Now += Step;
    showHosts();
    size_t Taken = 0;
    bool Round = ++Ticks % (UsageReportInterval / Step) == 0;
    // Two halves, so that what a host may take after its report is taken, too.
    for (int Half = 0; Half < 2; ++Half) {
      for (size_t I = 0; I < Hosts.size(); ++I)
        for (size_t N = Half; running(I) && N < Requests[I]; N += 2)
          if (Hosts[I].Shared->admit(Team, Now + Half * Step / 2))
            ++Taken;
          else if (Requests[I] == SIZE_MAX)
            break;
      for (size_t I = 0; I < Hosts.size(); ++I)
        if (running(I) &&
            ((Round && Half == 0) ||
             Hosts[I].Shared->earlyReportDue(Now + Half * Step / 2)))
          send(I, Hosts[I].Shared->takeReports(Now + Half * Step / 2));
    }
    Admitted.push_back(Taken);
    InWindow += Taken;
    if (Admitted.size() > static_cast<size_t>(Window / Step)) {
      InWindow -= Admitted.front();
      Admitted.pop_front();
    }
    Most = std::max(Most, InWindow);
  }

  /// Stops a host without notice; its entry lasts until its lease ends.
  void kill(size_t I) { Hosts[I].Up = false; }
  /// Whether a host that runs has an entry in the list. Others get requests
  /// from callers that have its address from before.
  void setServing(size_t I, bool Serving) { Hosts[I].Serving = Serving; }
  bool serving(size_t I) const { return Hosts[I].Serving; }

  bool running(size_t I) const { return Hosts[I].Up && !Hosts[I].Frozen; }
  size_t inWindow() const { return InWindow; }
  /// Most tokens that were taken in a window.
  size_t most() const { return Most; }
  size_t size() const { return Hosts.size(); }
  /// Whether every host takes all tokens that it can get.
  bool Demand = true;
  double allowed() const { return (Rate * 5 + Burst) * 1.1 + 20; }

private:
  struct Host {
    std::optional<Limits> Shared;
    bool Up = false;
    bool Frozen = false;
    bool StoreCut = false;
    bool Serving = true;
    MonotonicTime RenewedAt;
    std::vector<HostId> Listed;
    /// What arrives while the host is frozen.
    std::vector<SharedUsage> Mailbox;
  };

  static HostId idOf(size_t I) { return HostId("h" + std::to_string(I)); }
  std::vector<HostId> allHosts() const {
    std::vector<HostId> Out;
    for (size_t I = 0; I < Hosts.size(); ++I)
      Out.push_back(idOf(I));
    return Out;
  }

  std::vector<HostId> seeds() const {
    std::vector<HostId> Out = allHosts();
    Out.resize(std::min(Out.size(), SeedCount));
    return Out;
  }

  void showHosts() {
    std::vector<HostId> Listed;
    for (size_t I = 0; I < Hosts.size(); ++I) {
      if (running(I) && !Hosts[I].StoreCut && Hosts[I].Serving)
        Hosts[I].RenewedAt = Now;
      if (Now - Hosts[I].RenewedAt < LeaseTime)
        Listed.push_back(idOf(I));
    }
    for (size_t I = 0; I < Hosts.size(); ++I) {
      if (!running(I) || Hosts[I].StoreCut)
        continue;
      if (Hosts[I].Listed != Listed)
        Hosts[I].Shared->setHosts(Listed, Now);
      Hosts[I].Listed = Listed;
      Hosts[I].Shared->confirmHosts(Now);
    }
  }

  void send(size_t From, const std::vector<AddressedUsage> &Reports) {
    for (const AddressedUsage &Each : Reports) {
      size_t To = std::stoul(Each.To.text().substr(1));
      if (Links[From][To] == Link::Works)
        receive(To, Each.Report);
      else if (Links[From][To] == Link::Delays)
        Delayed[From][To].push_back(Each.Report);
    }
  }
  void receive(size_t To, const SharedUsage &Report) {
    if (Hosts[To].Up && Hosts[To].Frozen)
      Hosts[To].Mailbox.push_back(Report);
    else if (Hosts[To].Up)
      if (auto Reply = Hosts[To].Shared->applyReport(Report, Now))
        send(To, {*Reply});
  }

  std::vector<Host> Hosts;
  std::vector<std::vector<Link>> Links;
  std::vector<std::vector<std::vector<SharedUsage>>> Delayed;
  double Rate;
  double Burst;
  Duration Step;
  /// Hosts that are named in the settings of each host.
  size_t SeedCount;
  uint64_t Incarnations = 0;
  MonotonicTime Now = Start;
  uint64_t Ticks = 0;
  std::deque<size_t> Admitted;
  size_t InWindow = 0;
  size_t Most = 0;
};

/// A host that shares limits with no other.
class SingleHost : public ::testing::Test {
protected:
  /// It has run long enough for any burst to be saved up.
  SingleHost() {
    Limits.setHosts({HostId("h0")}, Start - Seconds(60));
    Limits.setHosts({HostId("h0")}, Start);
  }

  /// Takes tokens until there is none.
  size_t takeAll(MonotonicTime Now) {
    size_t Out = 0;
    while (Out < 1000 && Limits.admit(Team, Now))
      ++Out;
    return Out;
  }

  SharedLimits Limits{HostId("h0"), Incarnation(1), SharedLimitOptions{}};
};

// Guards against callers who return too early, or all at once.
TEST_F(SingleHost, RefusedCallersReturnAsTokensDo) {
  Limits.setLimit(Team, 10, 10);
  EXPECT_EQ(takeAll(Start), 10u);
  std::set<Duration> Times;
  for (int I = 0; I < 20; ++I)
    Times.insert(Limits.retryAfter(Team, Start));
  ASSERT_EQ(Times.size(), 20u);
  for (Duration After : Times)
    EXPECT_TRUE(Limits.admit(Team, Start + After + Milliseconds(2)));
  EXPECT_FALSE(Limits.admit(Team, Start + *Times.rbegin() + Milliseconds(3)));
}

// Guards against requests that are counted although they have not run.
TEST_F(SingleHost, RefundsCanBeTakenAgain) {
  Limits.setLimit(Team, 1, 10);
  EXPECT_EQ(takeAll(Start), 10u);
  for (int I = 0; I < 4; ++I)
    Limits.refund(Team, Start);
  EXPECT_EQ(takeAll(Start), 4u);
}

// Guards against a former limit that still binds, or a lower one that does not.
TEST_F(SingleHost, ChangedLimitsBindAtOnce) {
  for (double None : {0.0, -5.0}) {
    Limits.setLimit(Team, None, 3);
    EXPECT_EQ(takeAll(Start), 1000u);
  }
  Limits.setLimit(Team, 100, 100);
  Limits.setLimit(Team, 10, 10);
  EXPECT_EQ(takeAll(Start), 10u);
  Limits.setLimit(Team, 0, 0);
  EXPECT_TRUE(Limits.empty());
  EXPECT_EQ(takeAll(Start), 1000u);
}

// Guards against numbers of another host that make the own ones useless.
TEST(SharedUsageReports, ImpossibleNumbersAreInvalid) {
  SharedUsage Report;
  Report.Sender = HostId("h1");
  Report.Share = 1;
  Report.Usage = {{Team, 5, 2}};
  EXPECT_TRUE(SharedLimits::valid(Report));
  auto Invalid = [&](auto Change) {
    SharedUsage Bad = Report;
    Change(Bad);
    return !SharedLimits::valid(Bad);
  };
  EXPECT_TRUE(Invalid([](SharedUsage &R) { R.Sender = HostId(); }));
  EXPECT_TRUE(Invalid([](SharedUsage &R) { R.Share = NAN; }));
  EXPECT_TRUE(Invalid([](SharedUsage &R) { R.Share = -1; }));
  EXPECT_TRUE(Invalid([](SharedUsage &R) { R.SharingHosts = UINT32_MAX; }));
  EXPECT_TRUE(Invalid([](SharedUsage &R) { R.Usage[0].Used = INT64_MIN; }));
  EXPECT_TRUE(Invalid([](SharedUsage &R) { R.Usage[0].Level = INFINITY; }));
}

/// Runs all sequences of up to Depth faults, each followed by a short or a long
/// time, and returns the first one that exceeds the limit.
template <typename Limits> class ModelCheck {
public:
  using System = Deployment<Limits>;

  ModelCheck(size_t HostCount, size_t Depth)
      : HostCount(HostCount), Depth(Depth) {
    for (size_t I = 0; I < HostCount; ++I) {
      std::string Name = std::to_string(I);
      Events.push_back(
          {"freeze" + Name, [I](System &S) { S.toggleFrozen(I); }});
      Events.push_back({"kill" + Name, [I](System &S) { S.toggleUp(I); }});
      Events.push_back({"leave" + Name, [I](System &S) { S.leave(I); }});
      Events.push_back({"store" + Name, [I](System &S) { S.toggleStore(I); }});
      // It leaves the list although it goes on, or returns to it.
      Events.push_back(
          {"spare" + Name, [I](System &S) { S.setServing(I, !S.serving(I)); }});
      // All links from and to a host, or one direction.
      Events.push_back({"lose_from" + Name, [I](System &S) {
                          toggleLinks(S, I, true, false, Link::Loses);
                        }});
      Events.push_back({"lose_both" + Name, [I](System &S) {
                          toggleLinks(S, I, true, true, Link::Loses);
                        }});
      Events.push_back({"cut_off" + Name, [I](System &S) {
                          toggleLinks(S, I, true, true, Link::Loses);
                          S.toggleStore(I);
                        }});
      Events.push_back({"delay_to" + Name, [I](System &S) {
                          toggleLinks(S, I, false, true, Link::Delays);
                        }});
      // Hosts are alike: the first fault is one of host 0.
      if (I == 0)
        FirstEvents = Events.size();
    }
    Events.push_back({"demand", [](System &S) { S.Demand = !S.Demand; }});
  }

  std::string run() {
    System S(HostCount, 100, 100);
    S.Demand = false;
    run(S, Seconds(3));
    S.Demand = true;
    return explore(S, 0, "");
  }
  size_t sequences() const { return Sequences; }

private:
  struct Event {
    std::string Name;
    std::function<void(System &)> Apply;
  };

  static void toggleLinks(System &S, size_t I, bool From, bool To, Link State) {
    for (size_t J = 0; J < S.size(); ++J) {
      if (J != I && From)
        S.toggleLink(I, J, State);
      if (J != I && To)
        S.toggleLink(J, I, State);
    }
  }

  static void run(System &S, Duration Time) {
    std::vector<size_t> All(S.size(), S.Demand ? SIZE_MAX : 0);
    for (; Time > Duration(0); Time -= Tick)
      S.tick(All);
  }

  std::string explore(const System &Before, size_t Level,
                      const std::string &Path) {
    ++Sequences;
    if (static_cast<double>(Before.most()) > Before.allowed())
      return Path + " most=" + std::to_string(Before.most()) +
             " allowed=" + std::to_string(Before.allowed());
    if (Level == Depth)
      return "";
    for (size_t I = 0; I < (Level == 0 ? FirstEvents : Events.size()); ++I)
      for (Duration Time : {Duration(Milliseconds(600)), Duration(Seconds(4)),
                            Duration(Seconds(36))}) {
        // Long times only first: shares of lost hosts pass to the others.
        if (Time > Seconds(30) && Level > 0)
          continue;
        System After = Before;
        Events[I].Apply(After);
        run(After, Time);
        std::string Found = explore(After, Level + 1,
                                    Path + " " + Events[I].Name + ":" +
                                        std::to_string(inMilliseconds(Time)));
        if (!Found.empty())
          return Found;
      }
    return "";
  }

  size_t HostCount;
  size_t Depth;
  std::vector<Event> Events;
  size_t FirstEvents = 0;
  size_t Sequences = 0;
};

template <typename Limits> std::string check(size_t HostCount, size_t Depth) {
  ModelCheck<Limits> Check(HostCount, Depth);
  std::string Found = Check.run();
  std::printf("%zu hosts, %zu faults: %zu sequences\n", HostCount, Depth,
              Check.sequences());
  return Found;
}

// Guards against more tokens than a limit allows while hosts freeze, end, leave
// and return, and reports are lost or late.
TEST(SharedLimitsModel, KeepsTheLimit) {
  EXPECT_EQ(check<SharedLimits>(2, 3), "");
  EXPECT_EQ(check<SharedLimits>(3, 3), "");
  EXPECT_EQ(check<SharedLimits>(4, 2), "");
}

// Guards against a model check that finds nothing.
TEST(SharedLimitsModel, FindsAShareKeptOverAFreeze) {
  std::string Found = check<SharesKeptOverFreeze>(2, 3);
  EXPECT_NE(Found, "");
  std::printf("%s\n", Found.c_str());
}

TEST(SharedLimitsModel, FindsAShareThatIsLentTwice) {
  std::string Found = check<SharesLentTwice>(2, 3);
  EXPECT_NE(Found, "");
  std::printf("%s\n", Found.c_str());
}

// A team that asks for twice its quota, half of it at one of 16 hosts.
class TeamOnManyHosts : public ::testing::Test {
protected:
  static constexpr size_t HostCount = 16;
  static constexpr double Rate = 48;
  static constexpr double Burst = 48;

  TeamOnManyHosts() : System(HostCount, Rate, Burst, FineTick) {
    run(Seconds(2), 0);
    run(Seconds(5), 2);
  }

  /// Runs while the team asks for \p Factor times its rate. From
  /// \p CheckedAfter on, each window must use .95 of the quota.
  void run(Duration Time, double Factor,
           Duration CheckedAfter = Seconds(3600)) {
    for (Duration Elapsed(0); Elapsed < Time; Elapsed += FineTick) {
      std::vector<size_t> Requests(HostCount);
      Asked += Factor * Rate * inSeconds(FineTick);
      for (; Asked >= 1; Asked -= 1) {
        size_t Host = Rng.below(2) ? 0 : Rng.below(HostCount);
        // Callers use another address if a host does not answer.
        while (!System.running(Host))
          Host = Rng.below(HostCount);
        ++Requests[Host];
      }
      System.tick(Requests);
      ASSERT_LE(System.most(), System.allowed());
      if (Elapsed >= CheckedAfter)
        Least = std::min(Least, System.inWindow());
    }
  }
  double leastUse() const {
    std::printf("least use %.3f, most in a window %zu of %.0f\n",
                static_cast<double>(Least) / (Rate * 5), System.most(),
                System.allowed());
    return static_cast<double>(Least) / (Rate * 5);
  }

  SeededRandom Rng{16};
  Deployment<SharedLimits> System;
  double Asked = 0;
  size_t Least = SIZE_MAX;
};

constexpr double MinUse = 0.95;

// Guards against shares that do not follow demand.
TEST_F(TeamOnManyHosts, UsesItsQuotaFromFewHosts) {
  run(Seconds(20), 2, Duration(0));
  EXPECT_GE(leastUse(), MinUse);
}

// Guards against tokens that are lost with the hosts that had them, or lent
// again.
TEST_F(TeamOnManyHosts, UsesItsQuotaThroughARollingRestart) {
  for (size_t I = 0; I < HostCount; ++I) {
    System.leave(I);
    run(Milliseconds(500), 2, Duration(0));
    System.startHost(I);
    run(Milliseconds(1000), 2, Duration(0));
  }
  EXPECT_GE(leastUse(), MinUse);
}

// Guards against a share kept over a freeze, and against quotas that lose more
// than the margin of the rule with three of 16 hosts.
TEST_F(TeamOnManyHosts, UsesItsQuotaWhileThreeHostsAreFrozen) {
  for (size_t I = 1; I <= 3; ++I)
    System.toggleFrozen(I);
  run(Seconds(10), 2, Duration(0));
  for (size_t I = 1; I <= 3; ++I)
    System.toggleFrozen(I);
  run(Seconds(10), 2, Duration(0));
  EXPECT_GE(leastUse(), MinUse);
}

// All hosts stop at one moment, some of them while or right after they were cut
// off, and start again in any order with empty memories. Callers with old
// addresses send a few requests to hosts that no longer serve.
class HostsThatAllStop : public ::testing::TestWithParam<uint64_t> {
protected:
  static constexpr size_t HostCount = 19;
  /// The shortest recoveryS that a deployment states.
  static constexpr Duration RecoveryTime = Seconds(12);
  /// Callers keep an address for 5 s.
  static constexpr Duration AddressLifetime = Seconds(5);

  explicit HostsThatAllStop(double Rate = 48, double Burst = 48)
      : Rate(Rate), System(HostCount, Rate, Burst, FineTick, 3, ServingCount) {
    run(Seconds(3), 0);
    run(Seconds(6), 2);
  }

  size_t anyServing() {
    size_t Host = Rng.below(HostCount);
    while (!System.running(Host) || !System.serving(Host)) {
      if (Stopped)
        return Host;
      Host = Rng.below(HostCount);
    }
    return Host;
  }

  void run(Duration Time, double Factor, bool OldAddresses = false) {
    for (Duration Elapsed(0); Elapsed < Time; Elapsed += FineTick) {
      std::vector<size_t> Requests(HostCount);
      Asked += Factor * Rate * inSeconds(FineTick);
      for (; Asked >= 1; Asked -= 1)
        ++Requests[OldAddresses && Rng.below(4) == 0 ? Rng.below(HostCount)
                                                     : anyServing()];
      System.tick(Requests);
      ASSERT_LE(System.most(), System.allowed());
    }
  }

  /// Hosts that the serving set got while others were cut off.
  void serveByMore(size_t More) {
    for (size_t I = ServingCount; I < ServingCount + More; ++I)
      System.setServing(I, true);
  }
  void cutOff(const std::set<size_t> &Cut) {
    for (size_t I : Cut) {
      System.toggleStore(I);
      for (size_t J = 0; J < HostCount; ++J)
        if (!Cut.count(J)) {
          System.toggleLink(I, J, Link::Loses);
          System.toggleLink(J, I, Link::Loses);
        }
    }
  }

  void stopAll() {
    Stopped = true;
    for (size_t I = 0; I < HostCount; ++I)
      System.kill(I);
  }
  void startAllInAnyOrder() {
    std::vector<size_t> Order;
    for (size_t I = 0; I < HostCount; ++I)
      Order.insert(Order.begin() + static_cast<int64_t>(Rng.below(I + 1)), I);
    for (size_t I : Order) {
      System.startHost(I);
      run(Milliseconds(10 * Rng.below(6)), 2, true);
    }
    Stopped = false;
  }
  /// The part of the quota that is used in each window after the recovery time.
  void expectRecovery() {
    run(AddressLifetime, 2, true);
    run(RecoveryTime - AddressLifetime, 2);
    for (int I = 0; I < 4; ++I) {
      run(Window, 2);
      EXPECT_GE(static_cast<double>(System.inWindow()), MinUse * Rate * 5)
          << "window " << I;
    }
  }

  static constexpr size_t ServingCount = 8;
  SeededRandom Rng{GetParam()};
  double Rate;
  Deployment<SharedLimits> System;
  double Asked = 0;
  bool Stopped = false;
};

// Guards against shares that are left for hosts which only got a request from a
// caller with an old address (2026-12-08-reserved-shares.md).
TEST_P(HostsThatAllStop, QuotaIsUsedAfterAPowerLoss) {
  stopAll();
  run(Milliseconds(200 + Rng.below(2000)), 2);
  startAllInAnyOrder();
  expectRecovery();
}

// Guards against the same where the list names the hosts of a larger serving
// set from before.
TEST_P(HostsThatAllStop, QuotaIsUsedAfterAPowerLossRightAfterACut) {
  size_t More = 4 + Rng.below(HostCount - ServingCount - 3);
  std::set<size_t> Cut;
  while (Cut.size() < 3)
    Cut.insert(Rng.below(ServingCount));
  cutOff(Cut);
  run(Seconds(3), 2);
  serveByMore(More);
  run(Seconds(5), 2);
  cutOff(Cut);
  run(Milliseconds(Rng.below(3000)), 2);
  stopAll();
  run(Milliseconds(200 + Rng.below(2000)), 2);
  for (size_t I = ServingCount; I < HostCount; ++I)
    System.setServing(I, false);
  startAllInAnyOrder();
  expectRecovery();
}

// Guards against hosts that are counted as sharing because they were listed
// when all hosts stopped.
TEST_P(HostsThatAllStop, QuotaIsUsedAfterSeveralPowerLosses) {
  for (int I = 0; I < 3; ++I) {
    stopAll();
    run(Milliseconds(200 + Rng.below(1000)), 2);
    startAllInAnyOrder();
    run(Milliseconds(Rng.below(4000)), 2, true);
  }
  expectRecovery();
}

// Guards against a burst that is granted again by a host which learns of the
// quota long after it has started, as when the store does not answer it.
TEST(SharedLimitsStart, LateLimitBeginsWithTheLevelOfTheOthers) {
  std::vector<HostId> Hosts = {HostId("a"), HostId("b")};
  SharedLimits A(Hosts[0], Incarnation(1), {});
  SharedLimits B(Hosts[1], Incarnation(2), {});
  MonotonicTime Now = Start;
  A.setLimit(Team, 1, 100);
  A.setHosts(Hosts, Now);
  B.setHosts(Hosts, Now);
  bool Known = false;
  auto Run = [&](Duration Time) {
    for (; Time > Duration(0); Time -= Tick) {
      Now += Tick;
      for (SharedLimits *From : {&A, &B}) {
        SharedLimits *To = From == &A ? &B : &A;
        From->confirmHosts(Now);
        std::vector<AddressedUsage> Reports = From->takeReports(Now);
        for (size_t I = 0; Known && I < Reports.size(); ++I)
          if (auto Reply = To->applyReport(Reports[I].Report, Now))
            From->applyReport(Reply->Report, Now);
      }
    }
  };
  auto TakeAll = [&](SharedLimits &From) {
    size_t Out = 0;
    while (From.admit(Team, Now))
      ++Out;
    return Out;
  };
  // Alone, it uses its half of the limit only.
  Run(Seconds(300));
  EXPECT_GT(TakeAll(A), 20u);
  B.setLimit(Team, 1, 100);
  Known = true;
  Run(Seconds(1));
  ASSERT_EQ(A.connectedHosts(), 2u);
  double Level = A.state(Team, Now).Level;
  EXPECT_LE(B.state(Team, Now).Level, Level + 1);
  EXPECT_LE(TakeAll(B), Level + 2);
}

/// A team that has saved up a burst of many times its rate.
class HostsThatAllStopInABurst : public HostsThatAllStop {
protected:
  HostsThatAllStopInABurst() : HostsThatAllStop(10, 200) {}
};

// Guards against a burst that is granted again by each process which starts
// with an empty memory.
TEST_P(HostsThatAllStopInABurst, QuotaIsKeptOverPowerLosses) {
  run(Seconds(30), 0);
  for (int I = 0; I < 3; ++I) {
    run(Milliseconds(Rng.below(600)), 40);
    stopAll();
    run(Milliseconds(50 + Rng.below(300)), 40);
    startAllInAnyOrder();
  }
  run(Window, 40);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HostsThatAllStopInABurst,
                         ::testing::Range<uint64_t>(1, 11));
INSTANTIATE_TEST_SUITE_P(Seeds, HostsThatAllStop,
                         ::testing::Range<uint64_t>(1, 11));

} // namespace
} // namespace mimosa
