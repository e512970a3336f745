// Queued calls must be sent as soon as a backend server can take one, whatever
// has kept it from doing so. A host whose queue is not sent serves nothing,
// although its backend servers are idle.

#include "balance/call_scheduler_test_util.h"

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

} // namespace
} // namespace mimosa
