#include "tools/request_timeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace mimosa {
namespace {

// Lines of a recorded run.
constexpr const char *Log = R"(
-9.78 front-1 2026-10-13 22:29:39.020 INFO  node: event=started host=front-1 zone=z1
   6.63 front-1 2026-10-13 22:29:55.584 WARN  node: event=store_lost reason="reading from 10.200.1.7:8189 failed: The socket was closed"
   9.10 front-1 2026-10-13 22:29:58.000 INFO  node: event=server_gone server=i-other
  10.23 front-1 2026-10-13 22:29:59.100 INFO  node: event=server_listed server=i-aec3b56ba0 service=ticu43j draining=1 cold_ms=0 sequence=8
  10.23 front-1 2026-10-13 22:29:59.202 INFO  request: request=4e9b08975fa2ae72 route=r-pxqi5fb version=6 outcome=partial elapsed_us=186235 shards=10 missing=2 reason=overloaded unfinished=ticu43j:i-aec3b56ba0:no_hedge_server,yeno19f:waiting
  10.30 front-2 2026-10-13 22:29:59.250 INFO  node: event=store_lost reason="another host"
no line of a log
)";

std::string joined(const std::vector<std::string> &Lines) {
  std::string Out;
  for (const std::string &Line : Lines)
    Out += Line + "\n";
  return Out;
}

// Guards against a report that lacks events of the request's host, or that
// shows events of other hosts or other backend servers.
TEST(RequestTimeline, ReportsRelatedEventsOfTheHost) {
  RequestTimeline Timeline("4e9b08975fa2ae72");
  std::istringstream In(Log);
  Timeline.read(In, "file");
  ASSERT_TRUE(Timeline.found());
  std::vector<std::string> Report = Timeline.report();
  std::string Text = joined(Report);
  ASSERT_EQ(Report.size(), 7u) << Text;
  EXPECT_NE(Report[0].find("front-1 2026-10-13 22:29:55.584 WARN"),
            std::string::npos);
  EXPECT_NE(Report[1].find("server_listed server=i-aec3b56ba0"),
            std::string::npos);
  EXPECT_NE(Report[2].find("outcome=partial"), std::string::npos);
  EXPECT_NE(Text.find("cause: the request was answered without some "
                      "shards, after 186235 us"),
            std::string::npos);
  EXPECT_NE(Text.find("cause: shard ticu43j: sent to i-aec3b56ba0, no answer "
                      "yet; no other backend server"),
            std::string::npos);
  EXPECT_NE(Text.find("cause: shard yeno19f: not sent; it waited"),
            std::string::npos);
}

// Guards against an outcome or reason without an explanation.
TEST(RequestTimeline, ExplainsEveryOutcome) {
  struct Case {
    const char *Fields;
    const char *Explanation;
  };
  const Case Cases[] = {
      {"outcome=refused reason=unconfigured", "had no configuration yet"},
      {"outcome=refused reason=shards_held_back "
       "held_back=s1:i-1/limited/3200:i-2/paused/90",
       "service s1: i-1 limited (heard 3200 ms before), i-2 paused (heard 90 "
       "ms before)"},
      {"outcome=partial held_back=s1:i-1/leaving/7,s2", "i-1 leaving"},
      {"outcome=refused reason=stopping", "planned stop"},
      {"outcome=refused reason=shards_unavailable", "minimum coverage"},
      {"outcome=refused reason=unavailable", "could be reached"},
      {"outcome=refused reason=overloaded", "queue was too long"},
      {"outcome=refused reason=shed", "declined"},
      {"outcome=refused reason=crashes_backend_servers", "earlier attempts"},
      {"outcome=refused reason=no_target", "weights"},
      {"outcome=answered reason=none", "answered completely"},
      {"outcome=lost reason=lost", "may have run"},
      {"outcome=timeout reason=deadline", "did not answer before the deadline"},
      {"outcome=backend_failure reason=none", "answered with a failure"},
      {"outcome=caller_left", "closed the connection"},
      {"outcome=no_route", "no route"},
      {"outcome=bad_request reason=\"no host\"", "not valid"},
  };
  for (const Case &C : Cases) {
    auto Line = parseLogLine(
        std::string("2026-10-13 22:29:59.202 INFO  request: request=a ") +
        C.Fields);
    ASSERT_TRUE(Line) << C.Fields;
    std::string Text = joined(causesOf(*Line));
    EXPECT_NE(Text.find(C.Explanation), std::string::npos)
        << C.Fields << ": " << Text;
    EXPECT_EQ(Text.find("unknown"), std::string::npos) << Text;
  }
}

// Guards against lines that are attributed to the wrong host, or to none.
TEST(RequestTimeline, HostOfALine) {
  RequestTimeline Timeline("a");
  std::istringstream Unnamed(
      "2026-10-13 22:29:59.202 INFO  request: request=a outcome=answered\n");
  Timeline.read(Unnamed, "h7");
  std::istringstream Named(
      "2026-10-13 22:29:58.000 INFO  node: event=started host=h8\n"
      "2026-10-13 22:29:59.202 INFO  request: request=a outcome=answered\n");
  Timeline.read(Named, "file");
  std::string Text = joined(Timeline.report());
  EXPECT_NE(Text.find("h7 2026"), std::string::npos) << Text;
  EXPECT_NE(Text.find("h8 2026-10-13 22:29:59"), std::string::npos) << Text;
}

} // namespace
} // namespace mimosa
