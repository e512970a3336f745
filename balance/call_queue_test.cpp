// Queued calls must be sent as soon as a backend server can take one, whatever
// has kept it from doing so. A host whose queue is not sent serves nothing,
// although its backend servers are idle.

#include "balance/call_scheduler_test_util.h"

#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

class CallQueueTest : public CallSchedulerTest {
protected:
  BackendServer &server(const std::string &Name) {
    return *Registry.find(BackendServerId(Name));
  }

  /// Lets "a" decline calls until it is paused because of them.
  void pauseByDeclines() {
    Backends.Servers["a"].ShedsRequests = true;
    while (server("a").declinePauseUntil() <= Backends.Now) {
      begin(request());
      Backends.advance(Calls, Backends.Now + Milliseconds(2));
    }
    Backends.Servers["a"].ShedsRequests = false;
  }

  void evacuateZones(std::set<AvailabilityZoneId> Zones) {
    Registry.setEvacuatedZones(std::move(Zones));
    Calls.serversChanged(Backends.Now);
  }
};

// Guards against a host that sends nothing more to an idle backend server: a
// call that joined the queue after the end of a pause, and before the timer had
// run, deleted the wake-up that was to send the queue.
TEST_F(CallQueueTest, CallThatJoinsWhenAPauseEndsLeavesNoQueueBehind) {
  addServer("a");
  pauseByDeclines();
  CallId Waiting = begin(request());
  ASSERT_EQ(Calls.waitingCalls(Shard), 1u);
  // The process is busy: the timer runs later than it is due.
  Backends.Now = server("a").declinePauseUntil();
  CallId Joining = begin(request());
  Backends.advance(Calls, Backends.Now + Milliseconds(100));
  ASSERT_EQ(Calls.waitingCalls(Shard), 0u);
  EXPECT_EQ(Recorder.outcome(Waiting), CallOutcome::Answered);
  EXPECT_EQ(Recorder.outcome(Joining), CallOutcome::Answered);
}

// Guards against calls that wait for a cold backend server beyond the second in
// which it may get no more requests.
TEST_F(CallQueueTest, ColdBackendServerGetsQueuedCallsOfTheNextSecond) {
  constexpr int ColdRate = 4;
  Registry.setColdAllowance(1, 1);
  Registry.setLimits(Shard, 36, ColdRate);
  BackendServerEntry Entry;
  Entry.Id = BackendServerId("a");
  Entry.Service = Shard;
  Entry.Zone = OwnZone;
  Entry.Slots = 4;
  Entry.ColdRemaining = Seconds(60);
  Registry.update(Entry, Backends.Now);
  std::vector<CallId> Ids;
  for (int I = 0; I < 2 * ColdRate; ++I) {
    CallRequest Request = request();
    Request.Deadline = Request.UsefulUntil = Start + Seconds(4);
    Ids.push_back(begin(Request));
    Backends.advance(Calls, Backends.Now + Milliseconds(50));
  }
  ASSERT_GT(Calls.waitingCalls(Shard), 0u);
  Backends.advance(Calls, Start + Milliseconds(2500));
  EXPECT_EQ(Calls.waitingCalls(Shard), 0u);
  EXPECT_EQ(Recorder.count(CallOutcome::Answered), Ids.size());
}

// Guards against calls that wait until their deadline, although an evacuation
// was taken back or a backend server was added.
TEST_F(CallQueueTest, ChangedServersGetQueuedCalls) {
  addServer("a");
  pauseByDeclines();
  CallId Waiting = begin(request());
  ASSERT_EQ(Calls.waitingCalls(Shard), 1u);
  evacuateZones({OwnZone});
  Backends.advance(Calls, Backends.Now + Milliseconds(10));
  ASSERT_EQ(Calls.waitingCalls(Shard), 1u);
  MonotonicTime ChangedAt = Backends.Now;
  evacuateZones({});
  addServer("b", "z2");
  Calls.serversChanged(Backends.Now);
  Backends.advance(Calls, Backends.Now + Milliseconds(100));
  EXPECT_EQ(Recorder.outcome(Waiting), CallOutcome::Answered);
  EXPECT_LE(Recorder.EndedAt.at(Waiting), ChangedAt + Milliseconds(17));
}

/// One step of a random load.
struct LoadStep {
  enum class Kind {
    BeginCall,
    Advance,
    DelayTimers,
    ToggleDeclines,
    ToggleLosses,
    ToggleZone,
    ToggleServer,
    Count
  };
  Kind What = Kind::BeginCall;
  int Amount = 0;
};

class QueueLoad : public CallQueueTest {
public:
  void TestBody() override {}

  void apply(const LoadStep &Step) {
    FakeBackends::Server &A = Backends.Servers["a"];
    switch (Step.What) {
    case LoadStep::Kind::BeginCall:
      for (int I = 0; I < Step.Amount; ++I)
        begin(request());
      break;
    case LoadStep::Kind::Advance:
      Backends.advance(Calls, Backends.Now + Milliseconds(Step.Amount));
      break;
    case LoadStep::Kind::DelayTimers:
      Backends.Now += Milliseconds(Step.Amount);
      break;
    case LoadStep::Kind::ToggleDeclines:
      A.ShedsRequests = !A.ShedsRequests;
      break;
    case LoadStep::Kind::ToggleLosses:
      A.LosesRequests = !A.LosesRequests;
      break;
    case LoadStep::Kind::ToggleZone:
      Evacuated = !Evacuated;
      evacuateZones(Evacuated ? std::set{OwnZone}
                              : std::set<AvailabilityZoneId>());
      break;
    case LoadStep::Kind::ToggleServer:
      if (!Registry.remove(BackendServerId("b")))
        addServer("b", "z2");
      Calls.serversChanged(Backends.Now);
      break;
    case LoadStep::Kind::Count:
      break;
    }
  }

  /// Ends all trouble and checks that calls are served again.
  void checkServed() {
    Backends.Servers["a"].ShedsRequests = false;
    Backends.Servers["a"].LosesRequests = false;
    evacuateZones({});
    // Ejections and pauses end within this time.
    constexpr Duration RecoveryTime = Seconds(3);
    std::vector<CallId> Ids;
    for (MonotonicTime End = Backends.Now + 2 * RecoveryTime;
         Backends.Now < End;) {
      CallId Id = begin(request());
      if (Backends.Now > End - RecoveryTime)
        Ids.push_back(Id);
      Backends.advance(Calls, Backends.Now + Milliseconds(40));
    }
    Backends.advance(Calls, Backends.Now + Seconds(1));
    RC_ASSERT(Calls.waitingCalls(Shard) == 0u);
    for (CallId Id : Ids)
      RC_ASSERT(Recorder.outcome(Id) == CallOutcome::Answered);
  }

  void addFirstServer() { addServer("a"); }

private:
  bool Evacuated = false;
};

// Guards against any order of declines, losses, changes and late timers after
// which a host serves nothing more.
RC_GTEST_PROP(CallQueueProperty, CallsAreServedAfterAnyTrouble, ()) {
  QueueLoad Load;
  Load.addFirstServer();
  auto Steps =
      *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
          rc::gen::inRange(0, static_cast<int>(LoadStep::Kind::Count)),
          rc::gen::inRange(1, 12)));
  for (auto [Kind, Amount] : Steps)
    Load.apply({static_cast<LoadStep::Kind>(Kind), Amount});
  Load.checkServed();
}

} // namespace
} // namespace mimosa
