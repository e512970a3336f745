#include "gather/query_admission.h"

#include <gtest/gtest.h>

#include <deque>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(1000)};
constexpr Duration UsefulTime = Milliseconds(186);
constexpr Duration UsualTime = Milliseconds(70);
constexpr Duration SlowTime = Milliseconds(180);

/// One class of callers, and the counts of its queries.
struct Source {
  const char *Team;
  uint32_t Priority;
  double PerSecond;
  uint64_t Asked = 0;
  uint64_t Begun = 0;
  /// Queries that are still to be asked.
  double Due = 0;
  double begunShare() const {
    return static_cast<double>(Begun) / static_cast<double>(Asked);
  }
};

/// The shards of one host's queries: they are slow while more queries begin
/// than the capacity of a host, which is 10 queries a second.
class QueryAdmissionTest : public testing::Test {
protected:
  static constexpr double Capacity = 10;

  QueryOffer offer(const Source &From) const {
    return {RouteId("search"), ServiceId("shard-1"), TeamId(From.Team),
            From.Priority, UsefulTime};
  }

  void run(std::vector<Source> &Sources, Duration Length) {
    constexpr Duration Step = Milliseconds(5);
    for (MonotonicTime End = Now + Length; Now < End; Now += Step) {
      Backlog = std::max(0.0, Backlog - Capacity * inSeconds(Step));
      while (!Ends.empty() && Ends.front().first <= Now) {
        Admission.recordProgress(Ends.front().second, progressTime(), false,
                                 Now);
        Ends.pop_front();
      }
      for (Source &Each : Sources) {
        Each.Due += Each.PerSecond * inSeconds(Step);
        for (; Each.Due >= 1; --Each.Due) {
          ++Each.Asked;
          if (Admission.refuse(offer(Each), Now))
            continue;
          ++Each.Begun;
          ++Backlog;
          Ends.emplace_back(Now + SlowTime, offer(Each));
        }
      }
    }
  }
  Duration progressTime() const { return Backlog > 2 ? SlowTime : UsualTime; }

  QueryAdmission Admission;
  MonotonicTime Now = Start;
  double Backlog = 0;
  std::deque<std::pair<MonotonicTime, QueryOffer>> Ends;
};

// Guards against refusals without congestion, and after it has ended.
TEST_F(QueryAdmissionTest, RefusesOnlyWhileQueriesAreSlow) {
  std::vector<Source> Calm = {{"a", 0, 8}};
  run(Calm, Seconds(20));
  EXPECT_EQ(Calm[0].Begun, Calm[0].Asked);
  std::vector<Source> Burst = {{"a", 0, 20}};
  run(Burst, Seconds(20));
  EXPECT_LT(Burst[0].begunShare(), 0.7);
  // Most of the capacity is used.
  EXPECT_GT(static_cast<double>(Burst[0].Begun), 0.7 * Capacity * 20);
  std::vector<Source> After = {{"a", 0, 8}};
  run(After, Seconds(3));
  std::vector<Source> Later = {{"a", 0, 8}};
  run(Later, Seconds(20));
  EXPECT_EQ(Later[0].Begun, Later[0].Asked);
}

// Guards against refusals on a route whose queries always take long, and after
// one slow query.
TEST_F(QueryAdmissionTest, UsualProgressIsNoCongestion) {
  Source Only{"a", 0, 8};
  for (int I = 0; I < 2000; ++I) {
    Now += Milliseconds(100);
    bool Refused = Admission.refuse(offer(Only), Now).has_value();
    // What is usual is known after a minute.
    EXPECT_FALSE(Refused && Now > Start + Seconds(60)) << I;
    if (Refused)
      continue;
    Duration Time = I < 900 ? SlowTime : I % 50 == 0 ? SlowTime * 4 : UsualTime;
    Admission.recordProgress(offer(Only), Time, false, Now);
  }
}

// Guards against a team that asks for 8 times its usual rate, or retries at
// once, and thereby takes what other teams of its priority usually get.
TEST_F(QueryAdmissionTest, GreedyTeamHarmsNoOther) {
  std::vector<Source> Sources = {
      {"greedy", 1, 16}, {"b", 1, 1.2}, {"c", 1, 1.2}, {"small", 1, 0.5}};
  run(Sources, Seconds(10));
  for (Source &Each : Sources)
    Each.Asked = Each.Begun = 0;
  run(Sources, Seconds(30));
  EXPECT_GT(Sources[1].begunShare(), 0.95);
  EXPECT_GT(Sources[2].begunShare(), 0.95);
  EXPECT_GT(Sources[3].begunShare(), 0.95);
  EXPECT_LT(Sources[0].begunShare(), 0.5);
}

// Guards against a class that is served less often than a less urgent one.
TEST_F(QueryAdmissionTest, UrgentQueriesAreServedFirst) {
  std::vector<Source> Sources = {{"a", 0, 3}, {"a", 1, 8}, {"b", 2, 8}};
  run(Sources, Seconds(10));
  for (Source &Each : Sources)
    Each.Asked = Each.Begun = 0;
  run(Sources, Seconds(30));
  EXPECT_GT(Sources[0].begunShare(), 0.95);
  EXPECT_GT(Sources[0].begunShare(), Sources[1].begunShare());
  EXPECT_GT(Sources[1].begunShare(), Sources[2].begunShare());
}

// Guards against refused callers that all return at the same moment, or so late
// that capacity is left unused.
TEST_F(QueryAdmissionTest, RefusedCallersReturnAtTheRateOfTheLimit) {
  constexpr uint32_t Hosts = 16;
  Admission.setHostCount(Hosts);
  std::vector<Source> Sources = {{"a", 0, 20}};
  run(Sources, Seconds(10));
  std::optional<double> Limit = Admission.limit(ServiceId("shard-1"));
  ASSERT_TRUE(Limit);
  std::vector<Duration> Times;
  for (int I = 0; I < 60; ++I)
    if (auto ReturnAfter = Admission.refuse(offer(Sources[0]), Now))
      Times.push_back(*ReturnAfter);
  ASSERT_GT(Times.size(), 5u);
  for (size_t I = 1; I < Times.size(); ++I)
    EXPECT_NEAR(inSeconds(Times[I] - Times[I - 1]), 1 / (*Limit * Hosts), 1e-5);
}

} // namespace
} // namespace mimosa
