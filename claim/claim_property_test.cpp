#include "claim/claim_simulation_test_util.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosa {
namespace {

constexpr size_t HostCount = 3;

/// One random step. With \p OneOwner a host stops before the next one starts.
void step(ClaimSimulation &World, Random &Rng, bool OneOwner) {
  size_t Any = Rng.below(HostCount);
  switch (Rng.below(48)) {
  case 0:
  case 1:
    // Few keys at a time, so that attempts meet; new ones as time goes on, so
    // that not all are used up.
    World.request(
        Any,
        "key" + std::to_string(inMilliseconds(World.Now.time_since_epoch()) /
                                   3000 * 2 +
                               Rng.below(2)),
        Milliseconds(100 + Rng.below(4000)));
    break;
  case 2:
    World.Store.setDown(Rng.below(4) == 0);
    break;
  case 3:
    World.Store.loseReplies(static_cast<int>(Rng.below(3)));
    break;
  case 4:
    World.Store.delayWrites(static_cast<int>(Rng.below(2)));
    break;
  case 5:
    World.Store.applyDelayedWrites();
    break;
  case 6:
    if (Rng.below(4) != 0)
      break;
    if (OneOwner)
      for (size_t I = 0; I < HostCount; ++I)
        if (World.owning(I))
          World.stopOwner(I);
    World.startOwner(Any);
    break;
  case 7:
    if (Rng.below(3) == 0)
      World.stopOwner(Any);
    break;
  case 8:
    // Most often the view is right.
    for (size_t I = 0; I < HostCount; ++I)
      if (World.owning(I))
        World.setView(Any, I);
    if (Rng.below(4) == 0)
      World.setView(Any, Rng.below(HostCount));
    break;
  case 9:
    if (Rng.below(4) == 0)
      World.restart(Any);
    break;
  case 10:
    if (World.messages() > 0)
      World.drop(Rng.below(World.messages()));
    break;
  case 11:
    if (World.messages() > 0)
      World.deliver(Rng.below(World.messages()), true);
    break;
  case 12:
    if (!World.Running.empty())
      World.finish(*World.Running.begin(), Rng.below(2) == 0);
    break;
  case 13:
  case 14:
    World.advance(Milliseconds(1 + Rng.below(150)));
    break;
  case 15:
  case 16:
  case 17:
  case 18:
  case 19:
  case 20:
  case 21:
  case 22:
    if (World.Store.heldReplies() > 0)
      World.Store.deliverNext();
    break;
  default:
    if (World.messages() > 0)
      World.deliver(Rng.below(World.messages()));
    break;
  }
}

/// Ends all faults and lets host 0 own the claims.
void heal(ClaimSimulation &World) {
  World.Store.setDown(false);
  World.Store.loseReplies(0);
  World.Store.delayWrites(0);
  World.Store.applyDelayedWrites();
  for (size_t I = 1; I < HostCount; ++I)
    World.stopOwner(I);
  World.startOwner(0);
  for (size_t I = 0; I < HostCount; ++I)
    World.setView(I, 0);
  World.run(Seconds(5));
}

void checkRun(uint64_t Seed, bool OneOwner) {
  SeededRandom Rng(Seed);
  ClaimSimulation World(HostCount);
  World.CheckRefusals = OneOwner;
  World.startOwner(0);
  for (int I = 0; I < 5000 && World.BrokenInvariant.empty(); ++I)
    step(World, Rng, OneOwner);
  RC_ASSERT(World.BrokenInvariant == "");
  RC_CLASSIFY(World.Grants > 0, "granted");
  RC_CLASSIFY(World.Grants > 5, "granted often");
  heal(World);
  RC_ASSERT(World.BrokenInvariant == "");
  for (size_t I = 0; I < HostCount; ++I)
    RC_ASSERT(World.client(I).waiting() == 0u);
  ClaimSimulation::Attempt First = World.request(1, "fresh", Seconds(2));
  World.run(Seconds(1));
  RC_ASSERT(World.decision(First).Kind == ClaimDecisionKind::Granted);
}

// Guards against a request that runs twice, a second decision for one attempt,
// a refusal with not_run of a key that was granted, and a claim that is never
// answered, while one host at a time owns the claims and hosts crash, messages
// and replies are lost, repeated and late, and the store is down or slow.
RC_GTEST_PROP(Claims, NeverTwoGrantsAndNoFalseRefusal, (uint64_t Seed)) {
  checkRun(Seed, true);
}

// Guards against two grants of one key by hosts that all believe that they are
// the owner.
RC_GTEST_PROP(Claims, NeverTwoGrantsByTwoOwners, (uint64_t Seed)) {
  checkRun(Seed, false);
}

// Guards against a decoder that crashes on what another program stored.
RC_GTEST_PROP(ClaimRecord, AnyTextGivesARecordOrAnError,
              (const std::string &Text)) {
  Result<ClaimRecord> Read = parseClaimRecord(Text);
  if (ok(Read))
    RC_ASSERT(ok(parseClaimRecord(printClaimRecord(valueOf(Read)))));
}

// Guards against records that change on their way through the store.
RC_GTEST_PROP(ClaimRecord, IsReadAsItWasPrinted,
              (uint64_t High, uint64_t Low, uint32_t Code)) {
  ClaimRecord Record;
  Record.Owner = HostId("10.0.0.1:7000");
  Record.Batch = Low >> 1;
  Record.Claimed = {{{High, Low}, {Low, High}}};
  Record.Released = {{{Low, Low}, {High, High}}};
  Record.Outcomes = {{{{High, 0}, {0, Low}}, static_cast<int>(Code % 600)}};
  std::string Text = printClaimRecord(Record);
  Result<ClaimRecord> Read = parseClaimRecord(Text);
  RC_ASSERT(ok(Read));
  RC_ASSERT(printClaimRecord(valueOf(Read)) == Text);
  RC_ASSERT((valueOf(Read).Claimed[0].Key == Digest{High, Low}));
}

} // namespace
} // namespace mimosa
