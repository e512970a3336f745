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

// Guards against a property that breaks under any fault, or two, at any step.
// Cells named in KNOWN-RED.txt as `cell: NAME` are passed over and printed.
TEST(FaultMatrix, EveryCellHolds) {
  std::string Red = readFile("KNOWN-RED.txt");
  size_t Ran = 0, Inapplicable = 0, Failed = 0, Known = 0;
  for (const Cell &C : allCells()) {
    if (!C.Reason.empty()) {
      ++Inapplicable;
      continue;
    }
    ++Ran;
    Outcome Result = runCell(C, Break::None);
    EXPECT_TRUE(Result.Reached) << C.name();
    bool Listed = Red.find("cell: " + C.name() + "\n") != std::string::npos;
    if (Result.Breaches.empty()) {
      if (Listed)
        std::printf("known red holds again: %s\n", C.name().c_str());
      continue;
    }
    ++Failed;
    if (Listed) {
      ++Known;
      std::printf("known red: %s: %s\n", C.name().c_str(),
                  Result.Breaches[0].c_str());
      continue;
    }
    ADD_FAILURE() << C.name() << ": " << Result.Breaches.size()
                  << " breaches, first " << Result.Breaches[0];
  }
  std::printf("fault matrix: %zu cells run, %zu do not apply, %zu failed "
              "(%zu of them known)\n",
              Ran, Inapplicable, Failed, Known);
}

// Guards against a check that cannot fail: each broken behaviour must be found
// under its own property.
TEST(FaultMatrix, EveryBreakIsCaught) {
  const std::pair<Break, Cell> Cases[] = {
      {Break::SnapshotUnchecked, {Step::Sent, {Fault::Repartition}}},
      {Break::CoverageInvented, {Step::Sent, {Fault::CrashingRequest}}},
      {Break::LimitIgnored, {Step::Sent, {Fault::TurnsCold}}},
      {Break::ZoneIgnored, {Step::ZoneLeaves, {Fault::Straggle}}},
      {Break::RepliesCrossed, {Step::Sent, {Fault::Straggle}}},
      {Break::LossCalledNotRun, {Step::Sent, {Fault::CrashingRequest}}},
      {Break::ClaimNotAwaited, {Step::SentAgain, {Fault::Straggle}}},
      {Break::DrainIgnored, {Step::Sent, {Fault::Straggle}}},
      {Break::StopAtOnce, {Step::Serving, {Fault::Straggle}}},
      {Break::AnyRevisionTaken, {Step::ConfigSpread, {Fault::StoreSlow}}},
  };
  for (size_t I = 0; I < PropertyCount; ++I) {
    Cell C = Cases[I].second;
    Property Guarded = static_cast<Property>(I);
    ASSERT_EQ(static_cast<size_t>(Cases[I].first), I);
    C.Checked = {Guarded};
    EXPECT_TRUE(runCell(C, Break::None).Breaches.empty()) << C.name();
    std::vector<std::string> Found = runCell(C, Cases[I].first).Breaches;
    ASSERT_FALSE(Found.empty()) << propertyName(Guarded);
    EXPECT_EQ(Found[0].rfind(propertyName(Guarded) + ":", 0), 0u) << Found[0];
    std::printf("%s\n", Found[0].c_str());
  }
}

// Guards against a page that does not tell what is run.
TEST(FaultMatrix, PageIsCurrent) {
  EXPECT_EQ(readFile("docs/fault-matrix.md"), printMatrix())
      << "run build/mimosa-matrix > docs/fault-matrix.md";
}

} // namespace
} // namespace mimosa
