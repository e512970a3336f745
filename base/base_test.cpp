#include "base/generational_map.h"
#include "base/ids.h"
#include "base/json_fields.h"
#include "base/message_codec.h"
#include "base/random.h"
#include "base/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

// Guards against a crash or an exception on input that is not JSON.
RC_GTEST_PROP(Json, AnyBytesGiveAValueOrAnError, (const std::string &Bytes)) {
  Result<Json> Parsed = parseJson(Bytes);
  if (!ok(Parsed))
    RC_ASSERT(errorOf(Parsed).Code == ResultCode::BadJson);
}

// Guards against a nested value that overflows the stack of a fiber when it is
// described, compared or copied.
TEST(Json, DeeplyNestedValuesAreRejected) {
  auto Nested = [](size_t Levels) {
    return R"({"text":"[{[{\"[","n":)" + std::string(Levels - 1, '[') +
           std::string(Levels - 1, ']') + "}";
  };
  EXPECT_TRUE(ok(parseJson(Nested(MaxJsonDepth))));
  EXPECT_FALSE(ok(parseJson(Nested(MaxJsonDepth + 1))));
  EXPECT_FALSE(ok(parseJson(Nested(100000))));
  EXPECT_FALSE(ok(parseJson(std::string(1000000, '['))));
  std::string Siblings = "[[]";
  for (size_t I = 0; I < 2 * MaxJsonDepth; ++I)
    Siblings += ",[{}]";
  EXPECT_TRUE(ok(parseJson(Siblings + "]")));
}

// Guards against an error message as long as the field that it describes.
TEST(JsonFields, ErrorsRepeatLittleOfTheField) {
  for (const Json &Value :
       {Json(std::string(100000, 'x')), Json::array({1, 2, 3}),
        Json{{"a", std::string(100000, 'x')}}}) {
    Json Object = {{"n", Value}};
    JsonFields Fields(Object, "case");
    Fields.number("n", 1, 10);
    ASSERT_TRUE(Fields.failed());
    EXPECT_LT(Fields.error().Message.size(), 200u);
  }
}

struct NumberCase {
  const char *Text;
  bool Fails;
};

// Guards against a number of the wrong type or out of range that is wrapped,
// rounded or accepted.
TEST(JsonFields, NumberIsCheckedAgainstItsRange) {
  const NumberCase Cases[] = {
      {R"({"n":1})", false},
      {R"({"n":10})", false},
      {R"({"n":0})", true},
      {R"({"n":11})", true},
      {R"({"n":1.5})", true},
      {R"({"n":"1"})", true},
      {R"({"n":18446744073709551615})", true},
      {R"({})", true},
      {R"([])", true},
  };
  for (const NumberCase &Case : Cases) {
    Json Object = Json::parse(Case.Text);
    JsonFields Fields(Object, "case");
    Fields.number("n", 1, 10);
    EXPECT_EQ(Fields.failed(), Case.Fails) << Case.Text;
  }
}

struct OldMessage {
  HostId Sender;
  Duration Wait{};
  MSGPACK_DEFINE_MAP(Sender, Wait);
};

struct NewMessage {
  HostId Sender;
  Duration Wait{};
  ShardId Shard{9};
  MSGPACK_DEFINE_MAP(Sender, Wait, Shard);
};

// Guards against hosts of two versions that reject each other's messages during
// a rolling upgrade.
TEST(MessageCodec, MissingAndUnknownFieldsAreAccepted) {
  auto ReadByNewHost =
      unpackBody<NewMessage>(packBody(OldMessage{HostId("a"), Duration(5)}));
  ASSERT_TRUE(ok(ReadByNewHost));
  EXPECT_EQ(valueOf(ReadByNewHost).Sender, HostId("a"));
  EXPECT_EQ(valueOf(ReadByNewHost).Shard, ShardId(9));
  auto ReadByOldHost = unpackBody<OldMessage>(
      packBody(NewMessage{HostId("b"), Duration(6), ShardId(1)}));
  ASSERT_TRUE(ok(ReadByOldHost));
  EXPECT_EQ(valueOf(ReadByOldHost).Wait, Duration(6));
}

// Guards against a crash or an exception on a malformed frame.
RC_GTEST_PROP(MessageCodec, AnyBytesGiveAValueOrAnError,
              (const std::string &Bytes)) {
  auto Decoded = unpackBody<NewMessage>(Bytes);
  if (!ok(Decoded))
    RC_ASSERT(errorOf(Decoded).Code == ResultCode::BadFrame);
}

// Guards against messages that take many times their length when decoded, or
// whose nesting has no end.
TEST(MessageCodec, MessagesOfManyObjectsAreRejected) {
  constexpr size_t Count = 1 << 16;
  for (char Element : {'\xc0', '\xa0', '\x80', '\x90', '\x91'}) {
    std::string Bytes("\xdd\x00\x01\x00\x00", 5);
    Bytes.append(Count, Element);
    if (Element == '\x91')
      Bytes.push_back('\xc0');
    EXPECT_FALSE(ok(unpackBody<std::vector<msgpack::object>>(Bytes)))
        << static_cast<int>(Element);
  }
  std::vector<std::string> Names(Count, "i-1");
  EXPECT_TRUE(ok(unpackBody<std::vector<std::string>>(packBody(Names))));
}

// Guards against the removal of a node that moves keys of other nodes.
TEST(Rendezvous, RemovingANodeMovesOnlyItsKeys) {
  const char *Nodes[] = {"a", "b", "c", "d"};
  auto FirstNode = [&](const std::string &Key, size_t Count) {
    size_t Best = 0;
    for (size_t I = 1; I < Count; ++I)
      if (rendezvousWeight(Key, Nodes[I]) > rendezvousWeight(Key, Nodes[Best]))
        Best = I;
    return Best;
  };
  for (int Key = 0; Key < 1000; ++Key) {
    size_t Before = FirstNode(std::to_string(Key), 4);
    if (Before == 3)
      continue;
    EXPECT_EQ(FirstNode(std::to_string(Key), 3), Before);
  }
}

// Guards against random numbers out of range and against a seed that does not
// repeat its sequence.
TEST(Random, RepeatsBySeedAndStaysInRange) {
  SeededRandom A(7);
  SeededRandom B(7);
  for (int I = 0; I < 1000; ++I) {
    uint64_t Value = A.below(10);
    EXPECT_LT(Value, 10u);
    EXPECT_EQ(Value, B.below(10));
  }
}

// Guards against a map that grows without bound, or that drops what is used.
TEST(GenerationalMap, KeepsWhatIsUsed) {
  GenerationalMap<int, int> Map(8);
  Map.put(-1, 7);
  for (int I = 0; I < 100; ++I) {
    Map.put(I, I);
    ASSERT_NE(Map.use(-1), nullptr);
    EXPECT_EQ(*Map.use(-1), 7);
    EXPECT_LE(Map.size(), 8u);
  }
  EXPECT_EQ(Map.use(0), nullptr);
  ASSERT_NE(Map.use(99), nullptr);
  Map.put(99, 5);
  EXPECT_EQ(*Map.use(99), 5);
  Map.erase(99);
  EXPECT_EQ(Map.use(99), nullptr);
}

} // namespace
} // namespace mimosa
