#include "entry/host_directory.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

constexpr MonotonicTime Start{Seconds(1000)};

EntryHost host(const std::string &Name) {
  EntryHost Out;
  Out.Name = Name;
  Out.CallerAddress = Name + ":80";
  Out.Zone = AvailabilityZoneId("z1");
  return Out;
}

HttpRequest addressRequest() {
  HttpRequest Request;
  Request.Target = "/resolve?name=h";
  return Request;
}

class HostDirectoryTest : public testing::Test {
protected:
  SeededRandom Rng{7};
  HostDirectory Directory{host("own"), Seconds(2), Rng};
};

// Guards against callers that are sent to a host which cannot serve them yet,
// although another host could name one that can (inc-8c60 of
// saules-recherche-large: 189 refusals after a loss of power).
TEST_F(HostDirectoryTest, HostWithoutAConfigurationNamesNoAddress) {
  EXPECT_EQ(Directory.answer(addressRequest()).Status, 503);
}

TEST_F(HostDirectoryTest, ConfiguredHostWithoutAListingNamesItself) {
  Directory.setConfigured();
  HttpResponse Answer = Directory.answer(addressRequest());
  EXPECT_EQ(Answer.Status, 200);
  EXPECT_NE(Answer.Body.find("own:80"), std::string::npos);
}

TEST_F(HostDirectoryTest, HostThatServesNoCallersNamesTheOthers) {
  Directory.setConfigured();
  Directory.setHosts({host("a"), host("b")}, Start);
  EXPECT_FALSE(Directory.hasCallers(0, Start));
  std::string Body = Directory.answer(addressRequest()).Body;
  EXPECT_NE(Body.find("a:80"), std::string::npos);
  EXPECT_EQ(Body.find("own:80"), std::string::npos);
  EXPECT_EQ(Directory.sharingHosts(Start), 2u);
}

// Guards against a restarted host, not in the serving set, that opens up to 135
// connections for each query of the callers that still have its address.
TEST_F(HostDirectoryTest, RestartedHostWithRequestsHasCallers) {
  Directory.setHosts({host("a")}, Start);
  EXPECT_FALSE(Directory.hasCallers(2, Start));
  EXPECT_TRUE(Directory.hasCallers(135, Start));
}

// Guards against a host that gives up its connections because its entry expired
// while the store was unreachable.
TEST_F(HostDirectoryTest, HostThatServedAMomentAgoStillServes) {
  Directory.setHosts({host("own")}, Start);
  Directory.setHosts({host("a")}, Start + Seconds(5));
  EXPECT_TRUE(Directory.hasCallers(0, Start + Seconds(6)));
  EXPECT_FALSE(Directory.hasCallers(0, Start + Seconds(36)));
}

} // namespace
} // namespace mimosa
