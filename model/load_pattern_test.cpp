#include "model/load_pattern.h"

#include "base/json_fields.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

Json validPattern() {
  return Json::parse(R"({
    "length_ms": 1000,
    "services": [{"name": "shard", "count": 3, "servers": 2}],
    "routes": [{"name": "search", "shards": ["shard"], "work_us": 1000,
                "target_ms": 150, "deadline_ms": 800}],
    "callers": [{"route": "search", "rate_per_s": 10}],
    "events": [{"at_ms": 10, "kind": "slow", "service": "shard"}]})");
}

TEST(LoadPattern, CountMakesThatManyServices) {
  auto Parsed = parseLoadPattern(validPattern().dump());
  ASSERT_TRUE(ok(Parsed));
  const LoadPattern &Pattern = valueOf(Parsed);
  ASSERT_EQ(Pattern.Services.size(), 3u);
  EXPECT_EQ(Pattern.Services[2].Id, ServiceId("shard-3"));
  EXPECT_EQ(Pattern.Routes[0].Definition.Shards.size(), 3u);
}

TEST(LoadPattern, ErrorsNameTheField) {
  struct {
    const char *Path;
    Json Value;
    const char *Message;
  } const Cases[] = {
      {"/length_ms", 0, "pattern.length_ms"},
      {"/services/0/servers", 0, "services[0].servers"},
      {"/services/0/pause_ms", 5, "services[0].pause_interval_ms"},
      {"/routes/0/shards/0", "other", "routes[0] names \"other\""},
      {"/routes/0/min_coverage", 2, "routes[0].min_coverage"},
      {"/callers/0/route", "other", "callers[0].route"},
      {"/callers/0/closed_loop", 3, "callers[0] needs either"},
      {"/events/0/kind", "flood", "events[0].kind"},
      {"/events/0/service", "other", "events[0] names \"other\""},
  };
  for (const auto &Case : Cases) {
    Json Changed = validPattern();
    Changed[Json::json_pointer(Case.Path)] = Case.Value;
    auto Parsed = parseLoadPattern(Changed.dump());
    ASSERT_FALSE(ok(Parsed)) << Case.Path;
    EXPECT_NE(errorOf(Parsed).Message.find(Case.Message), std::string::npos)
        << errorOf(Parsed).Message;
  }
  EXPECT_FALSE(ok(parseLoadPattern("{")));
}

} // namespace
} // namespace mimosa
