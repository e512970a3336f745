#include "abandonment/abandonment_counter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

const MonotonicTime Start{Seconds(1000)};
const MonotonicTime Deadline = Start + Milliseconds(160);
const ServiceId Service("storm");
const RequestId Id(1);

/// Applies the event that a letter stands for.
void apply(AbandonmentCounter &Counter, char Event, MonotonicTime Now) {
  switch (Event) {
  case 's':
    return Counter.started(Id);
  case 'c':
    return Counter.connectionClosed(Id, Now);
  case 'x':
    return Counter.cancelled(Id, Now);
  case 'a':
    return Counter.answered(Id, Now);
  case 'L': // answered 20 ms after the deadline
    return Counter.answered(Id, Deadline + Milliseconds(20));
  case 'u':
    return Counter.unreachable(Id, Now);
  case 'q':
    return Counter.expiredInQueue(Id, Now);
  case 'd': // the answer has arrived
    return Counter.answerDelivered(Id);
  case 'r':
    return Counter.refused(Id);
  case 'e': // 6 s after the answer
    return Counter.expire(Now + Seconds(6));
  }
}

uint64_t total(const AbandonmentCounter &Counter) {
  uint64_t Sum = 0;
  for (const AbandonmentRow &Row : Counter.rows())
    Sum += Row.Count;
  return Sum;
}

// Guards against requests that are counted twice, under the wrong kind, or not
// at all when several events of one request follow each other.
TEST(AbandonmentCounter, EachSequenceOfEventsHasOneKind) {
  struct KindCase {
    const char *Events;
    const char *Kind;
  };
  const KindCase Cases[] = {
      {"sad", ""},
      {"sac", ""},
      {"sax", ""},
      {"sc", "closed"},
      {"sx", "cancelled"},
      {"sxc", "cancelled"},
      {"scx", "closed"},
      {"scu", "closed"},
      {"sxu", "cancelled"},
      {"sxa", "cancelled"},
      {"c", "queued"},
      {"x", "queued"},
      {"xc", "queued"},
      {"q", "queued"},
      {"qc", "queued"},
      {"u", "unreachable"},
      {"su", "unreachable"},
      {"sau", "unreachable"},
      {"suc", "unreachable"},
      {"saeu", ""},
      {"sadu", ""},
      {"sL", "answered_late"},
      {"sLu", "answered_late"},
      {"sLc", "answered_late"},
      {"r", ""},
      {"rc", ""},
  };
  for (const KindCase &Case : Cases) {
    AbandonmentCounter Counter;
    Counter.arrived(Id, Service, RequestClass::Batch, Deadline, Start);
    for (const char *Event = Case.Events; *Event; ++Event)
      apply(Counter, *Event, Start + Milliseconds(50));
    std::string Kinds;
    for (const AbandonmentRow &Row : Counter.rows())
      Kinds += abandonmentKindName(Row.Kind);
    EXPECT_EQ(Kinds, Case.Kind) << Case.Events;
    EXPECT_EQ(total(Counter), Kinds.empty() ? 0u : 1u) << Case.Events;
  }
}

// Guards against double counts and leaks in any order of events.
RC_GTEST_PROP(AbandonmentCounter, CountsARequestAtMostOnce, ()) {
  const std::string Letters = "scxaLuqdre";
  auto Events = *rc::gen::container<std::string>(rc::gen::elementOf(Letters));
  AbandonmentCounter Counter;
  Counter.arrived(Id, Service, RequestClass::Interactive, Deadline, Start);
  for (char Event : Events)
    apply(Counter, Event, Start + Milliseconds(1));
  bool Abandoned = Events.find_first_of("cxLuq") != std::string::npos;
  bool NeverForgotten = Events.find_first_of("adre") == std::string::npos;
  RC_ASSERT(total(Counter) <= 1u);
  if (Abandoned && NeverForgotten)
    RC_ASSERT(total(Counter) == 1u);
  if (!Abandoned)
    RC_ASSERT(total(Counter) == 0u);
  RC_ASSERT(Counter.tracked() + total(Counter) <= 1u);
}

// Guards against late answers that are not counted, and against counting the
// partial answers that are sent at the deadline.
TEST(AbandonmentCounter, AnswerIsLateAfterTheGracePeriod) {
  for (int AfterMs : {-1, 0, 10, 11}) {
    AbandonmentCounter Counter;
    Counter.arrived(Id, Service, RequestClass::Batch, Deadline, Start);
    Counter.started(Id);
    Counter.answered(Id, Deadline + Milliseconds(AfterMs));
    EXPECT_EQ(Counter.count(Service, RequestClass::Batch,
                            AbandonmentKind::AnsweredLate),
              AfterMs > 10 ? 1u : 0u);
  }
}

// Guards against wait times that are lost or put into the wrong bucket, and
// against mixing up classes or kinds.
TEST(AbandonmentCounter, HistogramHoldsEachWaitTime) {
  AbandonmentCounter Counter;
  const int WaitedMs[] = {0, 1, 5, 40, 40, 900, 60000};
  for (size_t I = 0; I < std::size(WaitedMs); ++I) {
    RequestId Request(I);
    Counter.arrived(Request, Service, RequestClass::Interactive, Deadline,
                    Start);
    Counter.started(Request);
    Counter.connectionClosed(Request, Start + Milliseconds(WaitedMs[I]));
  }
  auto Rows = Counter.rows();
  ASSERT_EQ(Rows.size(), 1u);
  EXPECT_EQ(Rows[0].Class, RequestClass::Interactive);
  EXPECT_EQ(Rows[0].Kind, AbandonmentKind::Closed);
  uint64_t Expected = 0;
  for (const WaitTimeBucket &Bucket : Rows[0].WaitTimes) {
    Expected = 0;
    for (int Ms : WaitedMs)
      Expected += Milliseconds(Ms) < Bucket.UpperBound;
    EXPECT_EQ(Bucket.CumulativeCount, Expected)
        << inMilliseconds(Bucket.UpperBound);
  }
  EXPECT_EQ(Expected, 7u);
}

// Guards against memory use that grows with each answered request.
TEST(AbandonmentCounter, AnsweredRequestsAreRemoved) {
  AbandonmentCounter Counter;
  for (uint64_t I = 0; I < 100; ++I) {
    Counter.arrived(RequestId(I), Service, RequestClass::Batch, Deadline,
                    Start);
    Counter.answered(RequestId(I), Start);
  }
  Counter.expire(Start + Seconds(5));
  EXPECT_EQ(Counter.tracked(), 100u);
  Counter.expire(Start + Seconds(6));
  EXPECT_EQ(Counter.tracked(), 0u);
}

} // namespace
} // namespace mimosa
