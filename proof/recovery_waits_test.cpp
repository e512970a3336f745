#include "proof/recovery_waits.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

// Guards against waits that do not fit the recovery time of any deployment.
TEST(RecoveryWaits, FitTheRecoveryTarget) {
  EXPECT_LE(longestTotal(HeldBack::Service), RecoveryTarget);
  EXPECT_LE(longestTotal(HeldBack::Quotas), RecoveryTarget);
}

} // namespace
} // namespace mimosa
