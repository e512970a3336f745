#include "balance/server_pushback.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(1000)};
constexpr uint32_t Hosts = 8;

ServerNotice limitOf(double PerSecond) {
  ServerNotice Out;
  Out.Limit = RequestRate{PerSecond};
  return Out;
}

// Hosts that always have a request to send use the limit, and never more in
// any window than it allows, whatever its value and their number.
RC_GTEST_PROP(ServerPushback, HostsTogetherUseTheLimitAndNoMore, ()) {
  const auto HostCount = *rc::gen::inRange<uint32_t>(1, 40);
  const double Limit = *rc::gen::inRange(5, 2000) / 10.0;
  std::vector<ServerPushback> States(HostCount);
  std::vector<MonotonicTime> Sent;
  for (ServerPushback &State : States) {
    double Phase = *rc::gen::inRange(0, 1000) / 1000.0;
    State.record(limitOf(Limit), Start, HostCount, Phase, Start);
    while (State.nextSendAt(HostCount) < Start + Seconds(60)) {
      MonotonicTime At = std::max(State.nextSendAt(HostCount), Start);
      State.recordSend(HostCount, At);
      Sent.push_back(At);
    }
  }
  std::sort(Sent.begin(), Sent.end());
  constexpr Duration Window = Seconds(4);
  size_t Most = 0;
  for (auto It = Sent.begin(); It != Sent.end(); ++It)
    Most = std::max<size_t>(
        Most, std::lower_bound(It, Sent.end(), *It + Window) - It);
  RC_ASSERT(static_cast<double>(Most) <= 1.5 * Limit * inSeconds(Window) + 5);
  RC_ASSERT(static_cast<double>(Sent.size()) >= 0.8 * Limit * 60 - HostCount);
}

TEST(ServerPushback, LaterAnswerLiftsALimit) {
  ServerPushback State;
  State.record(limitOf(4), Start, Hosts, 0, Start);
  // Sent before the limit was stated: the answer may be older.
  MonotonicTime Now = Start + Milliseconds(10);
  State.record({}, Start - Milliseconds(5), Hosts, 0, Now);
  EXPECT_TRUE(State.limit());
  ServerNotice Unreadable;
  Unreadable.Unreadable = true;
  State.record(Unreadable, Now, Hosts, 0, Now);
  EXPECT_TRUE(State.limit());
  State.record({}, Start + Milliseconds(5), Hosts, 0, Now);
  EXPECT_FALSE(State.limit());
  EXPECT_LE(State.nextSendAt(Hosts), Now);
  EXPECT_EQ(State.changes(), 2u);
}

// Guards against a burst after a freeze, and against one after a higher limit.
TEST(ServerPushback, TimeWithoutRequestsIsNotMadeUpFor) {
  ServerPushback State;
  State.record(limitOf(4), Start, Hosts, 0, Start);
  MonotonicTime Now = Start + Seconds(60);
  State.recordSend(Hosts, Now);
  EXPECT_GT(State.nextSendAt(Hosts), Now + Seconds(2));
  State.record(limitOf(8), Now, Hosts, 0, Now);
  EXPECT_GT(State.nextSendAt(Hosts), Now);
  EXPECT_LE(State.nextSendAt(Hosts), Now + Milliseconds(1100));
}

TEST(ServerPushback, PausesEndWithTheirTimeAndAreBounded) {
  ServerPushback State;
  ServerNotice Notice;
  Notice.Pause = Seconds(2);
  State.record(Notice, Start, Hosts, 0, Start);
  // Neither a shorter pause nor the answer to an earlier request ends it.
  Notice.Pause = Milliseconds(100);
  State.record(Notice, Start, Hosts, 0, Start + Milliseconds(1));
  State.record({}, Start, Hosts, 0, Start + Milliseconds(2));
  EXPECT_EQ(State.nextSendAt(Hosts), Start + Seconds(2));
  Notice.Pause = Seconds(10 * 365 * 24 * 3600);
  State.record(Notice, Start, Hosts, 0, Start + Seconds(3));
  EXPECT_EQ(State.nextSendAt(Hosts), Start + Seconds(33));
}

TEST(ServerPushback, LeavingIsNotLiftedByAnswers) {
  ServerPushback State;
  ServerNotice Notice;
  Notice.Leaving = true;
  State.record(Notice, Start, Hosts, 0, Start);
  State.record({}, Start + Seconds(1), Hosts, 0, Start + Seconds(1));
  State.expire(Start + Seconds(60));
  EXPECT_TRUE(State.leaving());
  // The bound for a backend server that says so and stays.
  State.expire(Start + Seconds(301));
  EXPECT_FALSE(State.leaving());
}

// Guards against the news of an older answer that lifts a limit stated since.
TEST(ServerPushback, OtherHostsLiftOnlyLimitsThatAreNotNew) {
  ServerPushback State;
  EXPECT_FALSE(State.liftLimit(Start));
  State.record(limitOf(4), Start, Hosts, 0, Start);
  EXPECT_FALSE(State.liftLimit(Start + Milliseconds(200)));
  EXPECT_TRUE(State.limit());
  EXPECT_TRUE(State.liftLimit(Start + Milliseconds(300)));
  EXPECT_FALSE(State.limit());
}

// Limits that make no sense neither stop a backend server for good nor stop
// the host.
TEST(ServerPushback, AbsurdLimitsAreBounded) {
  ServerPushback State;
  State.record(limitOf(0), Start, Hosts, 0.99, Start);
  EXPECT_LE(State.nextSendAt(Hosts), Start + Seconds(20));
  State.record(limitOf(1e300), Start, Hosts, 0, Start);
  for (int I = 0; I < 1000; ++I)
    State.recordSend(Hosts, Start);
  EXPECT_LE(State.nextSendAt(Hosts), Start + Milliseconds(100));
}

} // namespace
} // namespace mimosa
