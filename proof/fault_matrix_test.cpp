#include "proof/fault_matrix.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace mimosa {
namespace {

std::string readFile(const std::string &Name) {
  std::ifstream In(std::string(MIMOSA_SOURCE_DIR) + "/" + Name);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

// Guards against a property that is violated when one or two faults start at
// any step. Failures of cells listed in KNOWN-RED.txt as `cell: NAME` are only
// printed.
TEST(FaultMatrix, EveryCellHolds) {
  std::string KnownRed = readFile("KNOWN-RED.txt");
  size_t Ran = 0, Inapplicable = 0, Failed = 0, KnownFailures = 0;
  for (const Cell &C : allCells()) {
    if (!C.ExclusionReason.empty()) {
      ++Inapplicable;
      continue;
    }
    ++Ran;
    CellResult Result = runCell(C, InjectedBug::None);
    EXPECT_TRUE(Result.StepReached) << C.name();
    bool IsKnownRed =
        KnownRed.find("cell: " + C.name() + "\n") != std::string::npos;
    if (Result.Violations.empty()) {
      if (IsKnownRed)
        std::printf("known red holds again: %s\n", C.name().c_str());
      continue;
    }
    ++Failed;
    if (IsKnownRed) {
      ++KnownFailures;
      std::printf("known red: %s: %s\n", C.name().c_str(),
                  Result.Violations[0].c_str());
      continue;
    }
    ADD_FAILURE() << C.name() << ": " << Result.Violations.size()
                  << " violations, the first: " << Result.Violations[0];
  }
  std::printf("fault matrix: %zu cells run, %zu do not apply, %zu failed "
              "(%zu of them known)\n",
              Ran, Inapplicable, Failed, KnownFailures);
}

// Guards against a checker that cannot fail: each injected bug must be detected
// as a violation of its own property.
TEST(FaultMatrix, EveryInjectedBugIsDetected) {
  const std::pair<InjectedBug, Cell> Cases[] = {
      {InjectedBug::SnapshotUnchecked, {Step::Sent, {Fault::Repartition}}},
      {InjectedBug::CoverageFabricated, {Step::Sent, {Fault::CrashingRequest}}},
      {InjectedBug::LimitIgnored, {Step::Sent, {Fault::TurnsCold}}},
      {InjectedBug::ZoneIgnored, {Step::ZoneEvacuated, {Fault::Straggle}}},
      {InjectedBug::RepliesSwapped, {Step::Sent, {Fault::Straggle}}},
      {InjectedBug::LossReportedAsNotRun,
       {Step::Sent, {Fault::CrashingRequest}}},
      {InjectedBug::ClaimNotAwaited, {Step::RequestRetried, {Fault::Straggle}}},
      {InjectedBug::DrainIgnored, {Step::Sent, {Fault::Straggle}}},
      {InjectedBug::StopWithoutDraining, {Step::Serving, {Fault::Straggle}}},
      {InjectedBug::AnyRevisionApplied,
       {Step::ConfigPropagation, {Fault::StoreSlow}}},
  };
  for (size_t I = 0; I < PropertyCount; ++I) {
    Cell C = Cases[I].second;
    Property Violated = static_cast<Property>(I);
    ASSERT_EQ(static_cast<size_t>(Cases[I].first), I);
    C.Properties = {Violated};
    EXPECT_TRUE(runCell(C, InjectedBug::None).Violations.empty()) << C.name();
    std::vector<std::string> Found = runCell(C, Cases[I].first).Violations;
    ASSERT_FALSE(Found.empty()) << propertyName(Violated);
    EXPECT_EQ(Found[0].rfind(propertyName(Violated) + ":", 0), 0u) << Found[0];
    std::printf("%s\n", Found[0].c_str());
  }
}

// Guards against a page that differs from the cells that are run.
TEST(FaultMatrix, PageIsCurrent) {
  EXPECT_EQ(readFile("docs/fault-matrix.md"), printMatrix())
      << "run build/mimosa-matrix > docs/fault-matrix.md";
}

} // namespace
} // namespace mimosa
