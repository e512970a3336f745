#include "query/request.h"

#include "base/json_fields.h"
#include "query/merger.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

std::string withFields(const std::string &Fields) {
  return R"({"service":"storm","caller":"c1","class":"batch",)" + Fields + "}";
}

struct InvalidCase {
  std::string Body;
  ResultCode Code;
  /// Part of the message.
  const char *Mentions;
};

// Guards against an invalid request that is accepted, or rejected with a
// message that does not name the field to correct.
TEST(ParseQuery, ErrorsHaveACodeAndNameTheField) {
  const std::string Query = R"("query":{"text":"a"})";
  const InvalidCase Cases[] = {
      {"{", ResultCode::BadJson, "JSON"},
      {"[1]", ResultCode::BadJson, "query"},
      {std::string(1000, '['), ResultCode::BadJson, "nested"},
      {R"({"caller":"c","class":"batch"})", ResultCode::MissingField,
       "service"},
      {R"({"service":"s","class":"batch"})", ResultCode::MissingField,
       "caller"},
      {R"({"service":"s","caller":"c"})", ResultCode::MissingField, "class"},
      {R"({"service":"s","caller":"c","class":"fast"})", ResultCode::BadClass,
       "class"},
      {withFields(R"("limit":1)"), ResultCode::MissingField, "query.query"},
      {withFields(R"("query":"a")"), ResultCode::BadField, "query.query"},
      {withFields(Query + R"(,"deadline_ms":0)"), ResultCode::BadDeadline,
       "deadline_ms"},
      {withFields(Query + R"(,"deadline_ms":10001)"), ResultCode::BadDeadline,
       "deadline_ms"},
      {withFields(Query + R"(,"deadline_ms":"5")"), ResultCode::BadDeadline,
       "deadline_ms"},
      {withFields(Query + R"(,"limit":0)"), ResultCode::BadField, "limit"},
      {withFields(Query + R"(,"idempotent":0)"), ResultCode::BadField,
       "idempotent"},
      {withFields(Query + R"(,"idempotent":false)"),
       ResultCode::MissingRequestKey, "request_key"},
      {withFields(Query + R"(,"idempotant":false)"), ResultCode::BadField,
       "idempotant"},
      {withFields(Query + R"(,"request_key":")" + std::string(257, 'k') + '"'),
       ResultCode::BadField, "request_key"},
  };
  for (const InvalidCase &Case : Cases) {
    Result<QueryRequest> Parsed = parseQuery(Case.Body);
    ASSERT_FALSE(ok(Parsed)) << Case.Body;
    EXPECT_EQ(errorOf(Parsed).Code, Case.Code) << Case.Body;
    EXPECT_NE(errorOf(Parsed).Message.find(Case.Mentions), std::string::npos)
        << errorOf(Parsed).Message;
  }
}

// Guards against fields that are lost or mixed up, and against query texts that
// depend on white space or the order of keys, since fingerprints are computed
// from them.
TEST(ParseQuery, FieldsAndDefaults) {
  Result<QueryRequest> Least =
      parseQuery(withFields(R"("query":{ "b":1, "a":"x" })"));
  ASSERT_TRUE(ok(Least));
  EXPECT_TRUE(valueOf(Least).Idempotent);
  EXPECT_FALSE(valueOf(Least).Deadline);
  EXPECT_FALSE(valueOf(Least).Limit);
  EXPECT_EQ(valueOf(Least).Query, R"({"a":"x","b":1})");
  Result<QueryRequest> Full = parseQuery(withFields(
      R"("query":{},"deadline_ms":160,"idempotent":false,"request_key":"k",)"
      R"("limit":5)"));
  ASSERT_TRUE(ok(Full));
  EXPECT_EQ(valueOf(Full).Class, QueryClass::Batch);
  EXPECT_EQ(valueOf(Full).Deadline, Duration(Milliseconds(160)));
  EXPECT_FALSE(valueOf(Full).Idempotent);
  EXPECT_EQ(valueOf(Full).Key, RequestKey("k"));
  EXPECT_EQ(valueOf(Full).Limit, 5U);
}

// Guards against an exception or a crash on arbitrary input.
RC_GTEST_PROP(ParseQuery, AnyBytesGiveAQueryOrAnError,
              (const std::string &Bytes)) {
  std::string Body = withFields(R"("query":{},"limit":5,"deadline_ms":9)");
  const auto Position = *rc::gen::inRange<size_t>(0, Body.size());
  const auto Length = *rc::gen::inRange<size_t>(0, Body.size());
  Body.replace(Position, Length, Bytes);
  for (const std::string &Text : {Bytes, Body}) {
    Result<QueryRequest> Parsed = parseQuery(Text);
    if (!ok(Parsed))
      RC_ASSERT(!errorOf(Parsed).Message.empty());
  }
}

// Guards against answers that are not valid JSON (because of quotes, control
// characters or bytes that are not UTF-8) and against scores that lose
// precision.
RC_GTEST_PROP(AnswerJson, IsReadBackUnchanged,
              (const std::string &Text, double Score, uint32_t Shard)) {
  QueryAnswer Answer;
  Answer.Code = ResultCode::Partial;
  Answer.Message = Text;
  Answer.Outcome = Execution::Ran;
  Answer.Shards = {3, 2, 4};
  Answer.Snapshot = SnapshotId("v1");
  Answer.Hits = {{ShardId(Shard), Text, Score}, {ShardId(1), "b", 0.1}};
  Answer.Elapsed = Milliseconds(7);
  std::string Body = answerJson(Answer);
  const std::string End = R"(,"end":true})";
  RC_ASSERT(Body.substr(Body.size() - End.size()) == End);
  Json Read = Json::parse(Body);
  RC_ASSERT(Read["result"]["code"] == 1);
  RC_ASSERT(Read["result"]["name"] == "partial");
  RC_ASSERT(Read["execution"] == "ran");
  RC_ASSERT(Read["complete"] == false);
  RC_ASSERT(Read["coverage"] ==
            Json({{"asked", 3}, {"answered", 2}, {"total", 4}}));
  RC_ASSERT(Read["snapshot"] == "v1");
  RC_ASSERT(Read["elapsed_ms"] == 7);
  RC_ASSERT(Read["hits"].size() == 2U);
  RC_ASSERT(Read["hits"][0]["score"].get<double>() == Score);
  RC_ASSERT(Read["hits"][0]["shard"] == Shard);
  Json Expected = Json::parse(
      Json(Text).dump(-1, ' ', false, Json::error_handler_t::replace));
  RC_ASSERT(Read["hits"][0]["id"] == Expected);
}

// Guards against a limit that removes the wrong hits, a wrong order of equal
// scores and shards that are counted twice, whatever the order of the replies.
RC_GTEST_PROP(Merger, KeepsTheBestHitsOfEachShardOnce,
              (const std::vector<std::pair<uint8_t, uint8_t>> &ShardScores)) {
  const uint32_t Total = 4;
  const auto Limit = *rc::gen::inRange<uint32_t>(1, 80);
  std::vector<Hit> All;
  All.reserve(4 * ShardScores.size());
  for (int Copy = 0; Copy < 4; ++Copy)
    for (const auto &[Shard, Score] : ShardScores)
      All.push_back({ShardId((Shard + Copy) % Total),
                     std::to_string(All.size()),
                     static_cast<double>(Score % 8)});
  Merger Merged(Limit);
  Merged.reset(Total);
  for (uint32_t Reply = 0; Reply < 2 * Total; ++Reply) {
    ShardId Shard((2 * Total - 1 - Reply) % Total);
    RC_ASSERT(Merged.markAnswered(Shard, Reply) == (Reply < Total));
    std::vector<Hit> ShardHits;
    std::copy_if(All.begin(), All.end(), std::back_inserter(ShardHits),
                 [&](const Hit &H) { return H.Shard == Shard; });
    Merged.addHits(std::move(ShardHits), Reply);
  }
  RC_ASSERT(Merged.answered() == Total);
  std::sort(All.begin(), All.end(), ranksBefore);
  All.resize(std::min<size_t>(All.size(), Limit));
  std::vector<Hit> Best = Merged.takeHits();
  RC_ASSERT(Best.size() == All.size());
  for (size_t I = 0; I < All.size(); ++I)
    RC_ASSERT(Best[I].Id == All[I].Id);
}

} // namespace
} // namespace mimosa
