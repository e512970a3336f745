#include "claim/claim_simulation_test_util.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

constexpr size_t HostCount = 3;

/// One random step. With \p OneOwner, the present owner is stopped before
/// another one starts.
void step(ClaimSimulation &Simulation, Random &Rng, bool OneOwner) {
  size_t HostIndex = Rng.below(HostCount);
  switch (Rng.below(48)) {
  case 0:
  case 1:
    // Two keys at a time, so that claim attempts conflict. They change every
    // 3 s, so that there are always keys that can still be granted.
    Simulation.request(
        HostIndex,
        "key" +
            std::to_string(inMilliseconds(Simulation.Now.time_since_epoch()) /
                               3000 * 2 +
                           Rng.below(2)),
        Milliseconds(100 + Rng.below(4000)));
    break;
  case 2:
    Simulation.Store.setDown(Rng.below(4) == 0);
    break;
  case 3:
    Simulation.Store.loseReplies(static_cast<int>(Rng.below(3)));
    break;
  case 4:
    Simulation.Store.delayWrites(static_cast<int>(Rng.below(2)));
    break;
  case 5:
    Simulation.Store.applyDelayedWrites();
    break;
  case 6:
    if (Rng.below(4) != 0)
      break;
    if (OneOwner)
      for (size_t I = 0; I < HostCount; ++I)
        if (Simulation.owning(I))
          Simulation.stopOwner(I);
    Simulation.startOwner(HostIndex);
    break;
  case 7:
    if (Rng.below(3) == 0)
      Simulation.stopOwner(HostIndex);
    break;
  case 8:
    // In most cases the view is correct.
    for (size_t I = 0; I < HostCount; ++I)
      if (Simulation.owning(I))
        Simulation.setView(HostIndex, I);
    if (Rng.below(4) == 0)
      Simulation.setView(HostIndex, Rng.below(HostCount));
    break;
  case 9:
    if (Rng.below(4) == 0)
      Simulation.restart(HostIndex);
    break;
  case 10:
    if (Simulation.messages() > 0)
      Simulation.drop(Rng.below(Simulation.messages()));
    break;
  case 11:
    if (Simulation.messages() > 0)
      Simulation.deliver(Rng.below(Simulation.messages()), true);
    break;
  case 12:
    if (!Simulation.Running.empty())
      Simulation.finish(*Simulation.Running.begin(), Rng.below(2) == 0);
    break;
  case 13:
  case 14:
    Simulation.advance(Milliseconds(1 + Rng.below(150)));
    break;
  case 15:
  case 16:
  case 17:
  case 18:
  case 19:
  case 20:
  case 21:
  case 22:
    if (Simulation.Store.heldReplies() > 0)
      Simulation.Store.deliverNext();
    break;
  default:
    if (Simulation.messages() > 0)
      Simulation.deliver(Rng.below(Simulation.messages()));
    break;
  }
}

/// Ends all faults and makes host 0 the claim owner.
void endFaults(ClaimSimulation &Simulation) {
  Simulation.Store.setDown(false);
  Simulation.Store.loseReplies(0);
  Simulation.Store.delayWrites(0);
  Simulation.Store.applyDelayedWrites();
  for (size_t I = 1; I < HostCount; ++I)
    Simulation.stopOwner(I);
  Simulation.startOwner(0);
  for (size_t I = 0; I < HostCount; ++I)
    Simulation.setView(I, 0);
  Simulation.run(Seconds(5));
}

void checkRun(uint64_t Seed, bool OneOwner) {
  SeededRandom Rng(Seed);
  ClaimSimulation Simulation(HostCount);
  Simulation.CheckRefusals = OneOwner;
  Simulation.startOwner(0);
  for (int I = 0; I < 5000 && Simulation.BrokenInvariant.empty(); ++I)
    step(Simulation, Rng, OneOwner);
  RC_ASSERT(Simulation.BrokenInvariant == "");
  RC_CLASSIFY(Simulation.Grants > 0, "granted");
  RC_CLASSIFY(Simulation.Grants > 5, "granted often");
  endFaults(Simulation);
  RC_ASSERT(Simulation.BrokenInvariant == "");
  for (size_t I = 0; I < HostCount; ++I)
    RC_ASSERT(Simulation.client(I).waiting() == 0u);
  ClaimSimulation::Attempt First = Simulation.request(1, "fresh", Seconds(2));
  Simulation.run(Seconds(1));
  RC_ASSERT(Simulation.decision(First).Kind == ClaimDecisionKind::Granted);
}

// Guards against a request that runs twice, a second decision on one attempt, a
// refusal (not_run) of a key that was granted, and a claim that is never
// answered. One host at a time is the claim owner, while hosts crash, messages
// and replies are lost, duplicated and delayed, and the store is down or slow.
RC_GTEST_PROP(Claims, NeverTwoGrantsAndNoFalseRefusal, (uint64_t Seed)) {
  checkRun(Seed, true);
}

// Guards against two grants of one key while several hosts act as the owner.
RC_GTEST_PROP(Claims, NeverTwoGrantsByTwoOwners, (uint64_t Seed)) {
  checkRun(Seed, false);
}

// Guards against a decoder that crashes on malformed records, such as records
// written by another program.
RC_GTEST_PROP(ClaimRecord, AnyTextGivesARecordOrAnError,
              (const std::string &Text)) {
  Result<ClaimRecord> Decoded = parseClaimRecord(Text);
  if (ok(Decoded))
    RC_ASSERT(ok(parseClaimRecord(printClaimRecord(valueOf(Decoded)))));
}

// Guards against records that differ after encoding and decoding.
RC_GTEST_PROP(ClaimRecord, IsDecodedAsItWasEncoded,
              (uint64_t High, uint64_t Low, uint32_t Code)) {
  ClaimRecord Record;
  Record.Owner = HostId("10.0.0.1:7000");
  Record.Batch = Low >> 1;
  Record.Claimed = {{{High, Low}, {Low, High}}};
  Record.Released = {{{Low, Low}, {High, High}}};
  Record.Outcomes = {{{{High, 0}, {0, Low}}, static_cast<int>(Code % 600)}};
  std::string Text = printClaimRecord(Record);
  Result<ClaimRecord> Decoded = parseClaimRecord(Text);
  RC_ASSERT(ok(Decoded));
  RC_ASSERT(printClaimRecord(valueOf(Decoded)) == Text);
  RC_ASSERT((valueOf(Decoded).Claimed[0].Key == Digest{High, Low}));
}

} // namespace
} // namespace mimosa
