#include "admission/admission_queue.h"
#include "base/random.h"

#include <gtest/gtest.h>
#include <queue>

namespace mimosa {
namespace {

const MonotonicTime Start{Seconds(1000)};
const ServiceId Service("a");

/// A host under open-loop load. Its backend servers run \c Slots queries at
/// once, in order of arrival, for 8 to 12 ms each.
struct SimulatedHost {
  explicit SimulatedHost(uint32_t Slots) : SlotFreeAt(Slots, Start), Source(7) {
    Admission.setServices({{Service, 200, 1}});
  }

  void drainUntil(MonotonicTime Until) {
    while (!Ends.empty() && Ends.top().first <= Until) {
      auto [At, Id] = Ends.top();
      Ends.pop();
      bool InTime = At <= Deadlines[Id];
      InTimeCount += InTime;
      LateCount += !InTime;
      Admission.finished(RequestId(Id), QueryEnd::Answered, At);
      start(At);
    }
  }

  void start(MonotonicTime Now) {
    for (RequestId Id : Admission.poll(Now).Start) {
      auto Slot = std::min_element(SlotFreeAt.begin(), SlotFreeAt.end());
      Duration Time(SlowDown * (8000 + Source.below(4000)));
      *Slot = std::max(*Slot, Now) + Time;
      Ends.emplace(*Slot, Id.number());
    }
  }

  void run(Duration Length, Duration Gap) {
    for (MonotonicTime End = Now + Length; Now < End; Now += Gap) {
      drainUntil(Now);
      MonotonicTime Deadline = Now + Milliseconds(160);
      Deadlines.push_back(Deadline);
      RequestId Id(Deadlines.size() - 1);
      (void)Admission.offer({Id, Service, {}, Deadline}, Now);
      start(Now);
    }
  }

  AdmissionQueue Admission;
  std::vector<MonotonicTime> SlotFreeAt;
  SeededRandom Source;
  MonotonicTime Now = Start;
  std::vector<MonotonicTime> Deadlines;
  using Event = std::pair<MonotonicTime, uint64_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Ends;
  int SlowDown = 1;
  uint64_t InTimeCount = 0;
  uint64_t LateCount = 0;
};

// Guards against goodput that collapses under 3 times the load, because queries
// wait so long that their answers are late or too few run to use all slots.
TEST(ConcurrencyLimit, GoodputHoldsAtThreeTimesTheSlots) {
  for (uint32_t Slots : {8, 20, 100}) {
    SimulatedHost Full(Slots);
    Duration Gap(10000 / Slots / 3);
    Full.run(Seconds(20), Gap);
    Full.InTimeCount = Full.LateCount = 0;
    // Long enough for two measurements of the base.
    Full.run(Seconds(60), Gap);
    double MaxGoodput = 60.0 * Slots / 0.010;
    EXPECT_GE(static_cast<double>(Full.InTimeCount), 0.9 * MaxGoodput) << Slots;
    EXPECT_LE(static_cast<double>(Full.LateCount), 0.01 * MaxGoodput) << Slots;
  }
}

// Guards against a limit that grows without bound under sustained load, because
// the measured base includes queueing.
TEST(ConcurrencyLimit, StaysNearTheSlotsUnderLastingLoad) {
  SimulatedHost Full(20);
  Full.run(Seconds(300), Duration(170));
  EXPECT_GE(Full.Admission.concurrencyLimit(), 20u);
  EXPECT_LE(Full.Admission.concurrencyLimit(), 80u);
}

// Guards against a limit that stays low after the run time without queueing has
// risen.
TEST(ConcurrencyLimit, FollowsALastingChangeOfTheQueryTime) {
  SimulatedHost Full(20);
  Full.run(Seconds(20), Duration(170));
  Full.SlowDown = 4;
  Full.run(Seconds(80), Duration(670));
  Full.InTimeCount = 0;
  Full.run(Seconds(20), Duration(670));
  EXPECT_GE(static_cast<double>(Full.InTimeCount), 0.9 * 20 * 20 / 0.040);
}

// Guards against a limit that grows while it is not reached and would then
// admit a sudden burst.
TEST(ConcurrencyLimit, DoesNotGrowUnlessReached) {
  SimulatedHost Idle(100);
  Idle.run(Seconds(60), Milliseconds(5));
  EXPECT_EQ(Idle.Admission.concurrencyLimit(), 64u);
}

} // namespace
} // namespace mimosa
