#include "proof/fault_matrix.h"

#include "proof/config_rig.h"
#include "proof/service_rig.h"

#include <algorithm>

namespace mimosa {

namespace {

using P = Property;

/// Section 4.10 of docs/design.md.
constexpr int MostCrashes = 2;

struct FlowRules {
  const char *Name;
  std::vector<Property> Checked;
};

/// Queries run in every cell of the service rig, so the properties of answers
/// and of load are checked in all of them.
const FlowRules &rulesOf(Flow F) {
  static const std::vector<FlowRules> Rules = {
      {"query", {P::P1, P::P2, P::P3, P::P5, P::P6, P::P8}},
      {"non-idempotent request",
       {P::P1, P::P2, P::P3, P::P5, P::P6, P::P7, P::P8}},
      {"configuration change", {P::P10}},
      {"host's start and stop",
       {P::P1, P::P2, P::P3, P::P5, P::P6, P::P8, P::P9}},
      {"zone's leaving and return",
       {P::P1, P::P2, P::P3, P::P4, P::P5, P::P6, P::P8, P::P10}},
  };
  return Rules[static_cast<size_t>(F)];
}

/// Why \p F cannot meet a step of \p In; empty if it can.
std::string reasonAgainst(Flow In, Fault F) {
  bool OfBackends = F == Fault::Straggle || F == Fault::ReplicaLost ||
                    F == Fault::Repartition || F == Fault::TurnsCold ||
                    F == Fault::CrashingRequest;
  if (In == Flow::Config && OfBackends)
    return "no backend server takes part in a configuration change";
  if (F == Fault::TwoOperators && In != Flow::Config && In != Flow::Zone)
    return "no configuration changes in this flow; the change of two operators "
           "is met in the flows of the configuration and of the zone";
  return "";
}

Cell makeCell(Step At, std::vector<Fault> Faults) {
  Cell Out;
  Out.At = At;
  for (Fault F : Faults)
    if (Out.Reason.empty())
      Out.Reason = reasonAgainst(flowOf(At), F);
  Out.Faults = std::move(Faults);
  if (Out.Reason.empty())
    Out.Checked = rulesOf(flowOf(At)).Checked;
  return Out;
}

std::string namesOf(const std::vector<Property> &Checked) {
  std::string Out;
  for (Property Each : Checked)
    Out += (Out.empty() ? "" : " ") + propertyName(Each);
  return Out;
}

} // namespace

const char *faultName(Fault F) {
  static const char *const Names[] = {
      "shards straggle",   "replica lost",     "data repartitioned",
      "server turns cold", "store down",       "store slow",
      "store reply lost",  "lease lapses",     "two operators",
      "crashing request",  "silent connection"};
  return Names[static_cast<size_t>(F)];
}

const char *stepName(Step S) {
  static const char *const Names[] = {
      "plan",         "canary",     "sent",        "hedged",
      "merging",      "answered",   "claim asked", "claim granted",
      "request sent", "reply lost", "sent again",  "read",
      "write",        "reply",      "spread",      "joining",
      "taking over",  "serving",    "releasing",   "leaving",
      "return"};
  return Names[static_cast<size_t>(S)];
}

const char *flowName(Flow F) { return rulesOf(F).Name; }

Flow flowOf(Step S) {
  if (S <= Step::Answered)
    return Flow::Query;
  if (S <= Step::SentAgain)
    return Flow::Request;
  if (S <= Step::ConfigSpread)
    return Flow::Config;
  return S <= Step::Releasing ? Flow::Host : Flow::Zone;
}

std::string Cell::name() const {
  std::string Out = std::string(flowName(flowOf(At))) + "/" + stepName(At);
  for (size_t I = 0; I < Faults.size(); ++I)
    Out += std::string(I == 0 ? ": " : " + ") + faultName(Faults[I]);
  return Out;
}

std::vector<Cell> allCells() {
  std::vector<Cell> Out;
  for (size_t S = 0; S < StepCount; ++S) {
    Step At = static_cast<Step>(S);
    for (size_t F = 0; F < FaultCount; ++F)
      Out.push_back(makeCell(At, {static_cast<Fault>(F)}));
    for (size_t F = 0; F < FaultCount; ++F)
      for (size_t G = F; G < FaultCount; ++G)
        Out.push_back(
            makeCell(At, {static_cast<Fault>(F), static_cast<Fault>(G)}));
  }
  return Out;
}

std::string printMatrix() {
  std::vector<Cell> Cells = allCells();
  size_t Applying =
      std::count_if(Cells.begin(), Cells.end(),
                    [](const Cell &C) { return C.Reason.empty(); });
  std::string Out =
      "# Fault matrix\n\n"
      "Printed by `mimosa-matrix` from the table in proof/fault_matrix.cpp; do "
      "not edit.\n\n"
      "Each cell begins a fault at a step and checks the named properties of "
      "docs/design.md, section 1.1. Besides the cells below, each step is run "
      "with every pair of its faults at once and with each fault twice, 700 ms "
      "apart; a pair applies if both of its faults do.\n\n" +
      std::to_string(Cells.size()) + " cells, of which " +
      std::to_string(Applying) + " are run and " +
      std::to_string(Cells.size() - Applying) + " do not apply.\n";
  for (size_t F = 0; F <= static_cast<size_t>(Flow::Zone); ++F) {
    Out += std::string("\n## ") + flowName(static_cast<Flow>(F)) + "\n\n" +
           "| step | fault | checked |\n| --- | --- | --- |\n";
    for (const Cell &C : Cells)
      if (C.Faults.size() == 1 && flowOf(C.At) == static_cast<Flow>(F))
        Out += std::string("| ") + stepName(C.At) + " | " +
               faultName(C.Faults[0]) + " | " +
               (C.Reason.empty() ? namesOf(C.Checked)
                                 : "does not apply: " + C.Reason) +
               " |\n";
  }
  return Out;
}

Outcome runCell(const Cell &C, Break Broken) {
  Outcome Out;
  if (flowOf(C.At) == Flow::Config) {
    ConfigRig Rig(Broken);
    Out.Reached = Rig.runChange(C.At, C.Faults);
    Out.Seen = std::move(Rig.Seen);
  } else {
    ServiceRig Rig(Broken);
    Out.Reached = Rig.runFlow(C.At, C.Faults);
    Out.Seen = std::move(Rig.Seen);
  }
  for (Property Each : C.Checked)
    for (const std::string &Line : check(Each, Out.Seen))
      Out.Breaches.push_back(propertyName(Each) + ": " + Line);
  if (Out.Seen.Crashes > MostCrashes)
    Out.Breaches.push_back("4.10: one request brought down " +
                           std::to_string(Out.Seen.Crashes) +
                           " backend servers");
  return Out;
}

} // namespace mimosa
