#include "proof/config_rig.h"
#include "proof/service_rig.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace mimosa {
namespace {

/// Returns the requests that have a search sent in the 4 ms before the first
/// event of \p Kind, so that those in flight then are included, or in the
/// \p Time after it.
std::set<std::string> requestsNear(const EventLog &Log, EventKind Kind,
                                   Duration Time) {
  std::set<std::string> Out;
  for (const Event &Mark : Log.Events) {
    if (Mark.Kind != Kind)
      continue;
    for (const Event &E : Log.Events)
      if (E.Kind == EventKind::SearchSent && E.At + Milliseconds(4) > Mark.At &&
          E.At < Mark.At + Time)
        Out.insert(E.Request);
    break;
  }
  return Out;
}

std::string serviceSession(Step At, const std::vector<Fault> &Faults,
                           const std::set<std::string> &Requests) {
  ServiceRig Rig(InjectedBug::None);
  Rig.runFlow(At, Faults);
  return Rig.Log.print(Requests);
}

std::string hedgedQuery() {
  return serviceSession(Step::Hedged, {}, {"subject"});
}

std::string partialAnswer() {
  ServiceRig Rig(InjectedBug::None);
  // The only other replica of shards 2 and 3 is draining.
  Rig.Time.after(Milliseconds(8070), [&] {
    for (size_t B : {1, 3})
      Rig.Backends.kill(B, Seconds(2));
  });
  Rig.runFlow(Step::Plan, {});
  return Rig.Log.print({"subject"});
}

std::string lostReply() {
  return serviceSession(Step::ReplyLost, {}, {"subject", "again", "third"});
}

std::string configConflict() {
  ConfigRig Rig(InjectedBug::None);
  Rig.runChange(Step::ConfigWrite, {Fault::TwoOperators});
  return Rig.Log.print({});
}

std::string gracefulStop() {
  ServiceRig Rig(InjectedBug::None);
  Rig.runFlow(Step::Releasing, {});
  return Rig.Log.print(
      requestsNear(Rig.Log, EventKind::StopRequested, Duration(0)));
}

std::string zoneOutAndBack() {
  ServiceRig Rig(InjectedBug::None);
  Rig.runFlow(Step::ZoneReturned, {});
  auto Requests = requestsNear(Rig.Log, EventKind::ZoneOut, Milliseconds(20));
  Requests.merge(requestsNear(Rig.Log, EventKind::ZoneIn, Milliseconds(20)));
  return Rig.Log.print(Requests);
}

std::string storeOutage() {
  return serviceSession(Step::ClaimRequested, {Fault::StoreDown},
                        {"subject", "again", "third"});
}

struct GoldenCase {
  const char *Name;
  std::string (*Run)();
  /// Text of the event that the session demonstrates.
  const char *MustContain;
};

// Guards against an unintended change of the events of a run that no other test
// detects. MIMOSA_UPDATE_GOLDEN=1 rewrites the files.
TEST(Golden, SessionsAreAsCommitted) {
  const GoldenCase Cases[] = {
      {"hedged_query", hedgedQuery, "subject v1 ok ran 4/4/4 complete"},
      {"partial_answer", partialAnswer, "subject v1 partial ran 2/"},
      {"lost_reply", lostReply, "reply lost"},
      {"config_conflict", configConflict, "ends: conflict"},
      {"graceful_stop", gracefulStop, "stop-done h0"},
      {"zone_out_and_back", zoneOutAndBack, "zone-in z3"},
      {"store_outage", storeOutage, "not_run"},
  };
  const char *Update = std::getenv("MIMOSA_UPDATE_GOLDEN");
  for (const GoldenCase &Case : Cases) {
    std::string Path =
        std::string(MIMOSA_SOURCE_DIR) + "/proof/golden/" + Case.Name + ".txt";
    std::string Actual = Case.Run();
    EXPECT_NE(Actual.find(Case.MustContain), std::string::npos)
        << Case.Name << " does not contain: " << Case.MustContain;
    if (Update && std::string(Update) == "1") {
      std::ofstream(Path) << Actual;
      continue;
    }
    std::stringstream Expected;
    Expected << std::ifstream(Path).rdbuf();
    EXPECT_EQ(Expected.str(), Actual) << Path;
  }
}

} // namespace
} // namespace mimosa
