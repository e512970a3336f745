#include "gather/gather_query.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(1000)};

Route route(size_t Shards, double Coverage) {
  Route R;
  R.Shards.resize(Shards);
  R.MinCoverage = Coverage;
  R.TopK = 3;
  R.TargetLatency = Milliseconds(150);
  return R;
}

CallResult answered(const std::string &Signature) {
  CallResult R;
  R.Outcome = CallOutcome::Answered;
  R.Answer.Status = 200;
  R.Answer.Signature = Signature;
  R.Answer.Body = std::string(RecordBytes, 'r');
  return R;
}

CallResult notRun() { return {CallOutcome::NotRun, CallReason::Overloaded}; }

class GatherQueryTest : public testing::Test {
protected:
  GatherQueryTest()
      : SearchRoute(route(10, 0.89)),
        Times(gatherTimes(SearchRoute, Start, Start + Milliseconds(788), {})),
        Query(SearchRoute, Times) {}
  void addAnswers(int Count) {
    for (int I = 0; I < Count; ++I)
      Query.addResult(answered("s" + std::to_string(Answers++)));
  }
  Route SearchRoute;
  GatherTimes Times;
  GatherQuery Query;
  int Answers = 0;
};

// Guards against a partial answer while a complete one can still be in time.
TEST_F(GatherQueryTest, WaitsForTheLastShardUntilTheTargetIsNear) {
  addAnswers(9);
  EXPECT_EQ(Query.decide(Start), GatherDecision::Wait);
  EXPECT_EQ(Query.nextWakeUp(Start), Times.PartialFrom);
  EXPECT_LE(Times.PartialFrom, Start + SearchRoute.TargetLatency);
  EXPECT_EQ(Query.decide(Times.PartialFrom), GatherDecision::Answer);
  EXPECT_EQ(Query.missingShards(), 1u);
}

// Guards against partial answers of urgent queries that arrive just late: the
// way of the caller was not counted, or taken to be the same for all.
TEST(GatherTimes, PartialAnswersArriveWithinTheTarget) {
  Route Urgent = route(36, 0.85);
  Urgent.TargetLatency = Milliseconds(50);
  MonotonicTime Deadline = Start + Milliseconds(988);
  struct Case {
    CallerPath Path;
    int64_t PartialAfterMs;
  };
  const Case Cases[] = {
      {{Milliseconds(6), true}, 33},   {{Milliseconds(6), false}, 39},
      {{Milliseconds(2), true}, 41},   {{Milliseconds(2), false}, 43},
      {{Duration(0), true}, 33},       {{Seconds(3), true}, 25},
      {{Milliseconds(12), false}, 33},
  };
  for (const Case &C : Cases)
    EXPECT_EQ(
        inMilliseconds(
            gatherTimes(Urgent, Start, Deadline, C.Path).PartialFrom - Start),
        C.PartialAfterMs);
  EXPECT_EQ(gatherTimes(Urgent, Start, Start + Milliseconds(9), {}).PartialFrom,
            Start + Milliseconds(9));
}

// Guards against a wait after the last shard has answered.
TEST_F(GatherQueryTest, AnswersAtOnceWhenAllShardsHaveAnswered) {
  addAnswers(10);
  EXPECT_EQ(Query.decide(Start), GatherDecision::Answer);
  EXPECT_EQ(Query.missingShards(), 0u);
}

// Guards against a caller that waits although the minimum coverage can no
// longer be reached.
TEST_F(GatherQueryTest, FailsWhenTheMinCoverageIsOutOfReach) {
  Query.addResult(notRun());
  EXPECT_EQ(Query.decide(Start), GatherDecision::Wait);
  Query.addResult(notRun());
  EXPECT_EQ(Query.decide(Start), GatherDecision::Fail);
  EXPECT_FALSE(Query.mayHaveRun());
}

// Guards against an answer below the minimum coverage, at any time.
TEST_F(GatherQueryTest, NeverAnswersBelowTheMinCoverage) {
  addAnswers(8);
  EXPECT_EQ(Query.decide(Times.PartialFrom), GatherDecision::Wait);
  EXPECT_EQ(Query.decide(Times.Deadline), GatherDecision::Fail);
  EXPECT_TRUE(Query.mayHaveRun());
}

// Guards against counting a backend server's failure as a shard result.
TEST_F(GatherQueryTest, FailureIsNotAShardResult) {
  CallResult Failed = answered("x");
  Failed.Answer.Status = 500;
  Query.addResult(Failed);
  CallResult Encoded = answered("y");
  Encoded.Answer.UnexpectedEncoding = true;
  Query.addResult(Encoded);
  EXPECT_EQ(Query.missingShards(), 10u);
}

// Guards against wrong, missing or duplicate records in a merged answer.
RC_GTEST_PROP(TopRecords, AreTheGreatestOfAllShardResults,
              (const std::vector<std::vector<uint8_t>> &ShardResults)) {
  size_t Limit = *rc::gen::inRange<size_t>(0, 8);
  TopRecords Top(Limit);
  std::vector<std::string> All;
  for (const auto &Bytes : ShardResults) {
    std::string ShardResult;
    for (uint8_t Byte : Bytes)
      ShardResult.append(RecordBytes - 1, 'a')
          .push_back(static_cast<char>(Byte));
    // The bytes at the end are too few for a record.
    Top.add(ShardResult + "short");
    for (size_t Offset = 0; Offset < ShardResult.size(); Offset += RecordBytes)
      All.push_back(ShardResult.substr(Offset, RecordBytes));
  }
  std::sort(All.rbegin(), All.rend());
  All.resize(std::min(All.size(), Limit));
  std::string Expected;
  for (const std::string &Record : All)
    Expected += Record;
  RC_ASSERT(Top.sorted() == Expected);
}

} // namespace
} // namespace mimosa
