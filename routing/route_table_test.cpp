#include "routing/route_table.h"
#include "routing/weighted_round_robin.h"

#include <gtest/gtest.h>

#include <cmath>

namespace mimosa {
namespace {

RouteTable table() {
  RoutingConfig Config;
  Config.Version = 7;
  for (auto [Name, Host, Prefix] : {std::tuple{"short", "a.example", "/x/"},
                                    std::tuple{"long", "a.example", "/x/y/"},
                                    std::tuple{"other", "b.example", "/x/"}}) {
    Route R;
    R.Id = RouteId(Name);
    R.Host = Host;
    R.PathPrefix = Prefix;
    Config.Routes.push_back(R);
  }
  return RouteTable(std::move(Config));
}

// Guards against a request that is assigned to a wrong route.
TEST(RouteTable, LongestPathPrefixOfTheHostWins) {
  RouteTable Table = table();
  struct Case {
    const char *Host;
    const char *Path;
    const char *Route;
  };
  for (const Case &C :
       {Case{"a.example", "/x/1", "short"}, Case{"a.example", "/x/y/1", "long"},
        Case{"A.Example:8080", "/x/y/", "long"},
        Case{"a.example", "/x/y", "short"}, Case{"a.example", "/xy/", ""},
        Case{"a.example", "/x", ""}, Case{"b.example", "/x/y/1", "other"},
        Case{"c.example", "/x/1", ""}, Case{"", "", ""}}) {
    const Route *Found = Table.find(C.Host, C.Path);
    EXPECT_EQ(Found ? Found->Id.text() : "", C.Route) << C.Host << C.Path;
  }
}

// Guards against an answer below the minimum coverage, and against a needless
// failure if the coverage times the number of shards is a whole number.
TEST(Route, MinShardResultsAreRoundedUp) {
  struct Case {
    size_t Shards;
    double Coverage;
    size_t MinResults;
  };
  for (const Case &C : {Case{10, 0.89, 9}, Case{10, 0.9, 9}, Case{15, 0.89, 14},
                        Case{15, 0.75, 12}, Case{3, 0, 1}, Case{3, 1, 3}}) {
    Route R;
    R.Shards.resize(C.Shards);
    R.MinCoverage = C.Coverage;
    EXPECT_EQ(R.minShardResults(), C.MinResults)
        << C.Shards << " " << C.Coverage;
  }
}

// Guards against a target of a split route that gets more or fewer requests
// than its weight, even over few requests.
TEST(WeightedRoundRobin, SharesMatchTheWeights) {
  std::vector<WeightedService> Targets = {
      {ServiceId("a"), 5}, {ServiceId("b"), 2}, {ServiceId("c"), 0}};
  WeightedRoundRobin RoundRobin;
  std::unordered_map<ServiceId, int> Count;
  for (int I = 0; I < 70; ++I)
    ++Count[*RoundRobin.next(Targets)];
  EXPECT_EQ(Count[ServiceId("a")], 50);
  EXPECT_EQ(Count[ServiceId("b")], 20);
  EXPECT_EQ(Count.count(ServiceId("c")), 0u);
}

} // namespace
} // namespace mimosa
