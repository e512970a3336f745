#include "entry/serving_status.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

ServingFacts servingHost() {
  ServingFacts Out;
  Out.Configured = true;
  Out.BackendServers = 3;
  return Out;
}

// Guards against a host that is up and refuses all requests of teams while no
// metric says so (2026-12-08-reserved-shares.md).
TEST(ServingStatus, NamesWhyTeamsAreRefused) {
  ServingFacts Facts = servingHost();
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::None);
  Facts.Quota = TokenObstacle::Reserved;
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::NoQuota);
  Facts.Quota = TokenObstacle::NotSharing;
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::None);
}

TEST(ServingStatus, NamesTheObstacleThatStopsMostRequests) {
  ServingFacts Facts = servingHost();
  Facts.Quota = TokenObstacle::Reserved;
  Facts.BackendServers = 0;
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::NoBackendServers);
  Facts.KeysConfirmed = false;
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::KeysUnconfirmed);
  Facts.Configured = false;
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::Unconfigured);
  Facts.Stopping = true;
  EXPECT_EQ(servingObstacle(Facts), ServingObstacle::Stopping);
}

} // namespace
} // namespace mimosa
