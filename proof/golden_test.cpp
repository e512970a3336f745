#include "proof/config_rig.h"
#include "proof/service_rig.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace mimosa {
namespace {

/// Requests that were sent up to \p Time after the first event of \p Kind, or
/// were in flight then.
std::set<std::string> requestsNear(const Record &Seen, EventKind Kind,
                                   Duration Time) {
  std::set<std::string> Out;
  for (const Event &Mark : Seen.Events) {
    if (Mark.Kind != Kind)
      continue;
    for (const Event &E : Seen.Events)
      if (E.Kind == EventKind::Send && E.At + Milliseconds(4) > Mark.At &&
          E.At < Mark.At + Time)
        Out.insert(E.Request);
    break;
  }
  return Out;
}

std::string serviceSession(Step At, const std::vector<Fault> &Faults,
                           const std::set<std::string> &Requests) {
  ServiceRig Rig(Break::None);
  Rig.runFlow(At, Faults);
  return Rig.Seen.print(Requests);
}

std::string hedgedQuery() {
  return serviceSession(Step::Hedged, {}, {"subject"});
}

std::string partialAnswer() {
  ServiceRig Rig(Break::None);
  // The only other replica of shards 2 and 3 is draining.
  Rig.Time.after(Milliseconds(8070), [&] {
    for (size_t B : {1, 3})
      Rig.Backends.kill(B, Seconds(2));
  });
  Rig.runFlow(Step::Plan, {});
  return Rig.Seen.print({"subject"});
}

std::string lostReply() {
  return serviceSession(Step::ReplyLost, {}, {"subject", "again", "third"});
}

std::string configConflict() {
  ConfigRig Rig(Break::None);
  Rig.runChange(Step::ConfigWrite, {Fault::TwoOperators});
  return Rig.Seen.print({});
}

std::string gracefulStop() {
  ServiceRig Rig(Break::None);
  Rig.runFlow(Step::Releasing, {});
  return Rig.Seen.print(
      requestsNear(Rig.Seen, EventKind::StopAsked, Duration(0)));
}

std::string zoneOutAndBack() {
  ServiceRig Rig(Break::None);
  Rig.runFlow(Step::ZoneReturns, {});
  auto Requests = requestsNear(Rig.Seen, EventKind::ZoneOut, Milliseconds(20));
  Requests.merge(requestsNear(Rig.Seen, EventKind::ZoneIn, Milliseconds(20)));
  return Rig.Seen.print(Requests);
}

std::string storeOutage() {
  return serviceSession(Step::ClaimAsked, {Fault::StoreDown},
                        {"subject", "again", "third"});
}

struct GoldenCase {
  const char *Name;
  std::string (*Run)();
  /// The event that the session is about; without it the file shows nothing.
  const char *Shows;
};

// Guards against a change of what goes in and out that no other test notices.
// MIMOSA_UPDATE_GOLDEN=1 rewrites the files.
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
    std::string Got = Case.Run();
    EXPECT_NE(Got.find(Case.Shows), std::string::npos)
        << Case.Name << " does not show: " << Case.Shows;
    if (Update && std::string(Update) == "1") {
      std::ofstream(Path) << Got;
      continue;
    }
    std::stringstream Wanted;
    Wanted << std::ifstream(Path).rdbuf();
    EXPECT_EQ(Wanted.str(), Got) << Path;
  }
}

} // namespace
} // namespace mimosa
