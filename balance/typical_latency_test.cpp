#include "balance/typical_latency.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

const RouteId Search("search");
constexpr Duration Target = Milliseconds(150);
constexpr MonotonicTime Start{Seconds(1000)};

class LatencyBookTest : public testing::Test {
protected:
  void record(const ServiceId &Service, int Count, Duration Latency) {
    for (int I = 0; I < Count; ++I) {
      typical(Service);
      Book.record(Search, Service, Latency, Now);
      Now += Milliseconds(10);
    }
  }
  Duration typical(const ServiceId &Service) {
    return Book.typical(Search, Service, Target);
  }
  LatencyBook Book;
  MonotonicTime Now = Start;
};

TEST_F(LatencyBookTest, ServicesThatDifferHaveTheirOwnMedian) {
  for (int I = 0; I < 20; ++I) {
    record(ServiceId("fast"), 4, Milliseconds(2));
    record(ServiceId("slow"), 4, Milliseconds(40));
  }
  EXPECT_EQ(typical(ServiceId("fast")), Milliseconds(2));
  EXPECT_EQ(typical(ServiceId("slow")), Milliseconds(40));
}

TEST_F(LatencyBookTest, ServiceWithoutSamplesStartsWithTheRoute) {
  EXPECT_EQ(typical(ServiceId("first")), Duration(22500));
  record(ServiceId("first"), 32, Milliseconds(8));
  EXPECT_EQ(typical(ServiceId("new")), Milliseconds(8));
}

TEST_F(LatencyBookTest, SmallDifferencesCountAsTypicalOfTheRoute) {
  record(ServiceId("a"), 128, Milliseconds(10));
  record(ServiceId("b"), 32, Milliseconds(13));
  EXPECT_EQ(typical(ServiceId("b")), Milliseconds(10));
}

TEST_F(LatencyBookTest, SamplesFromBeforeAPauseAreDropped) {
  for (int I = 0; I < 4; ++I) {
    record(ServiceId("other"), 32, Milliseconds(2));
    record(ServiceId("a"), 32, Milliseconds(2));
  }
  Now += Seconds(30);
  record(ServiceId("a"), 4, Milliseconds(40));
  EXPECT_EQ(typical(ServiceId("a")), Milliseconds(40));
}

} // namespace
} // namespace mimosa
