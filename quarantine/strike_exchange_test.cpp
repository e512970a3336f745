// Hosts that were not running, or not reachable, when a strike was sent must
// learn of it before they send its request to two more backend servers.

#include "quarantine/strike_exchange.h"

#include "quarantine/crash_watch.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

const ServiceId Service("orders");
const Fingerprint Bad(13);
/// Time that a host has to learn what the others know.
constexpr Duration ContactTime = Seconds(4);

/// Hosts that exchange strikes, in virtual time.
class SimulatedHosts {
public:
  explicit SimulatedHosts(size_t Count) {
    for (size_t I = 0; I < Count; ++I) {
      Hosts.emplace_back();
      Hosts.back().Id = HostId("h" + std::to_string(I));
    }
    for (size_t I = 0; I < Count; ++I)
      restart(I);
  }

  size_t size() const { return Hosts.size(); }
  MonotonicTime now() const { return Now; }

  /// The strikes that a host knew are lost.
  void restart(size_t I) {
    Host &H = Hosts[I];
    H.Process = H.Process.next();
    H.Running = true;
    H.Watch = std::make_unique<CrashWatch>(H.Id, H.Process);
    H.Exchange = std::make_unique<StrikeExchange>(H.Id, *H.Watch, Rng);
    std::vector<HostId> Others;
    for (const Host &Other : Hosts)
      if (Other.Id != H.Id)
        Others.push_back(Other.Id);
    H.Exchange->setHosts(std::move(Others));
    runRound(H);
  }
  void setRunning(size_t I, bool Running) { Hosts[I].Running = Running; }

  /// A request crashes a backend server at host \p I, which tells the others
  /// that \p Reaches accepts.
  template <typename Predicate> void strike(size_t I, Predicate Reaches) {
    auto Notice = Hosts[I].Watch->recordAttempt(Bad, Service, 1, false, Now);
    for (size_t To = 0; Notice && To < Hosts.size(); ++To)
      if (To != I && Hosts[To].Running && Reaches(To))
        Hosts[To].Watch->strikeReceived(*Notice, Now);
  }

  /// A backend server answers the request at host \p I, which tells the others
  /// that \p Reaches accepts of strikes that this withdraws.
  template <typename Predicate> void answer(size_t I, Predicate Reaches) {
    auto Withdrawal = Hosts[I].Watch->recordAnswer(Bad, Service, Now);
    for (size_t To = 0; Withdrawal && To < Hosts.size(); ++To)
      if (To != I && Hosts[To].Running && Reaches(To))
        Hosts[To].Watch->withdrawalReceived(*Withdrawal, Now);
  }

  void advance(Duration Time) {
    for (MonotonicTime End = Now + Time; Now < End;) {
      Now += StrikeExchange::QueryInterval;
      for (Host &Each : Hosts)
        if (Each.Running)
          runRound(Each);
    }
  }

  bool quarantined(size_t I) const {
    return Hosts[I].Watch->quarantined(Bad, Now);
  }
  CrashWatch &watch(size_t I) { return *Hosts[I].Watch; }
  StrikeExchange &exchange(size_t I) { return *Hosts[I].Exchange; }
  uint64_t queries() const { return Queries; }
  uint64_t reportedStrikes() const { return ReportedStrikes; }

private:
  struct Host {
    HostId Id;
    Incarnation Process;
    bool Running = true;
    std::unique_ptr<CrashWatch> Watch;
    std::unique_ptr<StrikeExchange> Exchange;
  };

  void runRound(Host &From) {
    for (const AddressedStrikeQuery &Each : From.Exchange->takeQueries(Now)) {
      ++Queries;
      auto To = std::find_if(Hosts.begin(), Hosts.end(),
                             [&](const Host &H) { return H.Id == Each.To; });
      if (!To->Running || !To->Exchange)
        continue;
      auto Sent = unpackBody<StrikeQuery>(packBody(Each.Query));
      StrikeReport Report = To->Exchange->answer(valueOf(Sent), Now);
      ReportedStrikes += Report.Strikes.size();
      auto Received = unpackBody<StrikeReport>(packBody(Report));
      From.Exchange->apply(valueOf(Received), Now);
    }
  }

  MonotonicTime Now{Seconds(1000)};
  SeededRandom Rng{11};
  std::vector<Host> Hosts;
  uint64_t Queries = 0;
  uint64_t ReportedStrikes = 0;
};

const auto ReachesAll = [](size_t) { return true; };

// Guards against a host that sends a request to backend servers after a
// restart, although the others have quarantined it because it crashes them
// (review case 10).
TEST(StrikeExchange, RestartedHostsKnowWhatIsQuarantined) {
  SimulatedHosts Hosts(6);
  Hosts.strike(0, ReachesAll);
  Hosts.strike(0, ReachesAll);
  for (size_t I = 0; I < Hosts.size(); ++I) {
    Hosts.setRunning(I, false);
    Hosts.advance(Seconds(4));
    Hosts.restart(I);
    EXPECT_TRUE(Hosts.quarantined(I)) << I;
    Hosts.advance(Seconds(9));
  }
}

// Guards against one more crash for each restart between the first strike and
// the second one.
TEST(StrikeExchange, RestartedHostsKnowSingleStrikes) {
  SimulatedHosts Hosts(6);
  Hosts.strike(0, ReachesAll);
  Hosts.restart(0);
  EXPECT_EQ(Hosts.watch(0).strikeStore().strikes(Bad, Hosts.now()), 1u);
  Hosts.strike(0, ReachesAll);
  EXPECT_TRUE(Hosts.quarantined(0));
}

// Guards against a host that could not run while the strikes were sent.
TEST(StrikeExchange, SuspendedHostCatchesUp) {
  SimulatedHosts Hosts(40);
  Hosts.advance(Seconds(20));
  Hosts.setRunning(7, false);
  Hosts.strike(0, ReachesAll);
  Hosts.strike(1, ReachesAll);
  Hosts.advance(Seconds(6));
  ASSERT_FALSE(Hosts.quarantined(7));
  Hosts.setRunning(7, true);
  Hosts.advance(ContactTime);
  EXPECT_TRUE(Hosts.quarantined(7));
}

// Guards against messages that are lost, for example because the connection to
// a restarted host has not been found broken yet.
TEST(StrikeExchange, LostMessagesAreMadeUpFor) {
  SimulatedHosts Hosts(6);
  Hosts.advance(Seconds(20));
  Hosts.strike(0, [](size_t To) { return To % 2 == 0; });
  Hosts.strike(0, [](size_t To) { return To % 2 == 0; });
  Hosts.advance(ContactTime);
  for (size_t I = 0; I < Hosts.size(); ++I)
    EXPECT_TRUE(Hosts.quarantined(I)) << I;
}

// Guards against a host that refuses a request for minutes, since it has not
// heard that another one has got an answer to it.
TEST(StrikeExchange, HostsLearnOfWithdrawals) {
  SimulatedHosts Hosts(6);
  Hosts.strike(0, ReachesAll);
  Hosts.strike(1, ReachesAll);
  Hosts.answer(2, [](size_t To) { return To > 2; });
  Hosts.advance(ContactTime);
  Hosts.restart(3);
  Hosts.advance(ContactTime);
  for (size_t I = 0; I < Hosts.size(); ++I)
    EXPECT_FALSE(Hosts.quarantined(I)) << I;
}

// Guards against an exchange that costs much when there is nothing to tell, or
// more with each host.
TEST(StrikeExchange, EqualHostsExchangeNoStrikes) {
  SimulatedHosts Hosts(300);
  Hosts.strike(0, ReachesAll);
  Hosts.strike(0, ReachesAll);
  Hosts.advance(Seconds(10));
  uint64_t Queries = Hosts.queries();
  uint64_t Reported = Hosts.reportedStrikes();
  Hosts.advance(Seconds(60));
  EXPECT_EQ(Hosts.reportedStrikes(), Reported);
  // One query a second for each host.
  EXPECT_EQ(Hosts.queries() - Queries, 60u * Hosts.size());
}

// Guards against frames that are too long, and against quarantined requests
// that are left out because of many single strikes.
TEST(StrikeExchange, ReportsAreBounded) {
  SimulatedHosts Hosts(2);
  Hosts.strike(0, [](size_t) { return false; });
  Hosts.strike(0, [](size_t) { return false; });
  for (uint64_t I = 100; I < 5000; ++I)
    Hosts.watch(0).recordAttempt(Fingerprint(I), Service, 1, false,
                                 Hosts.now());
  StrikeReport Report =
      Hosts.exchange(0).answer({StrikeScope::All, 0}, Hosts.now());
  EXPECT_LE(packBody(Report).size(), 1u << 20);
  Hosts.exchange(1).apply(Report, Hosts.now());
  EXPECT_TRUE(Hosts.quarantined(1));
}

// Guards against strikes that never expire because hosts pass them on.
TEST(StrikeExchange, StrikesExpire) {
  SimulatedHosts Hosts(4);
  Hosts.strike(0, ReachesAll);
  Hosts.strike(0, ReachesAll);
  for (int I = 0; I < 60; ++I) {
    Hosts.restart(static_cast<size_t>(I) % Hosts.size());
    Hosts.advance(Seconds(10));
  }
  Hosts.advance(Seconds(2));
  for (size_t I = 0; I < Hosts.size(); ++I)
    EXPECT_FALSE(Hosts.quarantined(I)) << I;
}

// Guards against any order of strikes, restarts and suspensions after which
// hosts differ in what they have quarantined.
RC_GTEST_PROP(StrikeExchange, HostsAgreeAfterAnyTrouble, ()) {
  enum Kind { Strike, Answer, Restart, Stop, Continue, Wait, KindCount };
  SimulatedHosts Hosts(5);
  auto Steps = *rc::gen::container<std::vector<std::pair<int, size_t>>>(
      rc::gen::pair(rc::gen::inRange<int>(0, KindCount),
                    rc::gen::inRange<size_t>(0, Hosts.size())));
  std::vector<bool> Running(Hosts.size(), true);
  for (auto [What, I] : Steps) {
    size_t Host = I;
    switch (What) {
    case Strike:
      if (Running[Host])
        Hosts.strike(Host, [&](size_t To) { return To != (Host + 1) % 5; });
      break;
    case Answer:
      if (Running[Host])
        Hosts.answer(Host, [&](size_t To) { return To != (Host + 1) % 5; });
      break;
    case Restart:
      Hosts.restart(Host);
      Running[Host] = true;
      break;
    case Stop:
    case Continue:
      Running[Host] = What == Continue;
      Hosts.setRunning(Host, Running[Host]);
      break;
    default:
      Hosts.advance(Seconds(static_cast<int>(Host) + 1));
    }
  }
  for (size_t I = 0; I < Hosts.size(); ++I)
    Hosts.setRunning(I, true);
  Hosts.advance(2 * ContactTime);
  for (size_t I = 1; I < Hosts.size(); ++I)
    RC_ASSERT(Hosts.quarantined(I) == Hosts.quarantined(0));
}

} // namespace
} // namespace mimosa
