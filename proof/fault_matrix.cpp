#include "proof/fault_matrix.h"

#include "proof/config_rig.h"
#include "proof/recovery_waits.h"
#include "proof/service_rig.h"

#include <algorithm>

namespace mimosa {

namespace {

using P = Property;

/// Crashes that one request may cause (docs/design.md, section 4.10).
constexpr int MaxCrashesPerRequest = 2;

struct FlowProperties {
  const char *Name;
  std::vector<Property> Properties;
};

/// ServiceRig runs queries in all of its flows, so the properties of answers
/// and of load are checked in each of them.
const FlowProperties &flowProperties(Flow F) {
  static const std::vector<FlowProperties> Rules = {
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

/// Returns why \p F does not apply to the flow \p In; empty if it applies.
std::string exclusionReason(Flow In, Fault F) {
  bool IsBackendFault = F == Fault::Straggle || F == Fault::ReplicaLost ||
                        F == Fault::Repartition || F == Fault::TurnsCold ||
                        F == Fault::CrashingRequest;
  if (In == Flow::Config && IsBackendFault)
    return "no backend server takes part in a configuration change";
  if (F == Fault::TwoOperators && In != Flow::Config && In != Flow::Zone)
    return "no configuration changes in this flow; the change of two operators "
           "is met in the flows of the configuration and of the zone";
  return "";
}

Cell makeCell(Step At, std::vector<Fault> Faults) {
  Cell Out;
  Out.AtStep = At;
  for (Fault F : Faults)
    if (Out.ExclusionReason.empty())
      Out.ExclusionReason = exclusionReason(flowOf(At), F);
  Out.Faults = std::move(Faults);
  if (Out.ExclusionReason.empty())
    Out.Properties = flowProperties(flowOf(At)).Properties;
  return Out;
}

std::string propertyNames(const std::vector<Property> &Properties) {
  std::string Out;
  for (Property Each : Properties)
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

const char *flowName(Flow F) { return flowProperties(F).Name; }

Flow flowOf(Step S) {
  if (S <= Step::Answered)
    return Flow::Query;
  if (S <= Step::RequestRetried)
    return Flow::NonIdempotentRequest;
  if (S <= Step::ConfigPropagation)
    return Flow::Config;
  return S <= Step::Releasing ? Flow::Host : Flow::Zone;
}

std::string Cell::name() const {
  std::string Out =
      std::string(flowName(flowOf(AtStep))) + "/" + stepName(AtStep);
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
                    [](const Cell &C) { return C.ExclusionReason.empty(); });
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
      if (C.Faults.size() == 1 && flowOf(C.AtStep) == static_cast<Flow>(F))
        Out += std::string("| ") + stepName(C.AtStep) + " | " +
               faultName(C.Faults[0]) + " | " +
               (C.ExclusionReason.empty()
                    ? propertyNames(C.Properties)
                    : "does not apply: " + C.ExclusionReason) +
               " |\n";
  }
  return Out + printRecoveryWaits();
}

CellResult runCell(const Cell &C, InjectedBug Bug) {
  CellResult Out;
  if (flowOf(C.AtStep) == Flow::Config) {
    ConfigRig Rig(Bug);
    Out.StepReached = Rig.runChange(C.AtStep, C.Faults);
    Out.Log = std::move(Rig.Log);
  } else {
    ServiceRig Rig(Bug);
    Out.StepReached = Rig.runFlow(C.AtStep, C.Faults);
    Out.Log = std::move(Rig.Log);
  }
  for (Property Each : C.Properties)
    for (const std::string &Line : check(Each, Out.Log))
      Out.Violations.push_back(propertyName(Each) + ": " + Line);
  if (Out.Log.Crashes > MaxCrashesPerRequest)
    Out.Violations.push_back("4.10: one request crashed " +
                             std::to_string(Out.Log.Crashes) +
                             " backend servers");
  return Out;
}

} // namespace mimosa
