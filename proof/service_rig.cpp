#include "proof/service_rig.h"

namespace mimosa {

namespace {

constexpr size_t HostCount = 3;
/// Time after which the three hosts have the seats and their partitions.
constexpr Duration Settled = Milliseconds(7500);
constexpr Duration FaultTime = Milliseconds(2000);
constexpr Duration LoadInterval = Milliseconds(50);
constexpr size_t LoadBurst = 4;
constexpr size_t Drained = 5;

} // namespace

ServiceRig::ServiceRig(Break Broken)
    : Backends(Broken, Seen, Time,
               [this](size_t Host, const FakeBackends::HostCall &Call) {
                 onGates(Host, Call);
               }),
      Broken(Broken) {
  for (size_t I = 0; I < HostCount; ++I) {
    Hosts.push_back(std::make_unique<Host>());
    Guards.emplace_back(hostName(I), Incarnation(1));
  }
  Claims.startOwner(0);
  Backends.OnAnswered = [this](const std::string &Id) {
    if (Id == Subject)
      Time.after(Milliseconds(0), [this] { reach(Step::Merging); });
  };
  Backends.OnReplyLost = [this] { reach(Step::ReplyLost); };
  Configs = std::make_unique<ConfigRig>(Broken, Seen, Time, firstConfig());
  Configs->OnInForce = [this](const Config &Document) { configure(Document); };
  configure(firstConfig());
  Time.every(TickInterval, [this] { tickHosts(); });
  Time.every(OwnershipTick, [this] { tickClaims(); });
}

bool ServiceRig::runFlow(Step At, const std::vector<Fault> &Faults) {
  Wanted = At;
  Pending = Faults;
  switch (flowOf(At)) {
  case Flow::Query:
    runQueries();
    break;
  case Flow::Request:
    runRequest();
    break;
  case Flow::Host:
    runHost();
    break;
  case Flow::Config:
  case Flow::Zone:
    runZone();
    break;
  }
  Seen.End = Time.Now;
  return Reached;
}

void ServiceRig::reach(Step S) {
  if (Reached || Wanted != S)
    return;
  Reached = true;
  Seen.add(
      {Time.Now, EventKind::Note, "", "", std::string("at ") + stepName(S)});
  for (size_t I = 0; I < Pending.size(); ++I) {
    Fault F = Pending[I];
    if (I > 0 && F == Pending[0])
      Time.after(RepeatDelay, [this, F] { inject(F); });
    else
      inject(F);
  }
}

void ServiceRig::inject(Fault F) {
  Seen.add({Time.Now, EventKind::Note, "", "", faultName(F)});
  switch (F) {
  case Fault::Straggle:
    for (size_t B : {0, 3})
      Backends.straggle(B, FaultTime);
    break;
  case Fault::ReplicaLost:
    Backends.kill(LostReplicas++ % 2 == 0 ? 1 : 0, FaultTime);
    break;
  case Fault::Repartition:
    Backends.repartition();
    break;
  case Fault::TurnsCold:
    for (size_t B : {0, 1})
      Backends.turnCold(B);
    break;
  case Fault::StoreDown:
    Claims.Store.setDown(true);
    Configs->Store.setDown(true);
    Time.after(FaultTime, [this] {
      Claims.Store.setDown(false);
      Configs->Store.setDown(false);
    });
    break;
  case Fault::StoreSlow:
    SlowUntil = Time.Now + FaultTime;
    Configs->inject(F);
    break;
  case Fault::StoreReplyLost:
    Claims.Store.loseReplies(1);
    Configs->Store.loseReplies(1);
    break;
  case Fault::LeaseLapses:
    pause(0);
    break;
  case Fault::TwoOperators:
    Configs->inject(F);
    break;
  case Fault::CrashingRequest:
    for (int I = 0; I < 3; ++I)
      Time.after(Milliseconds(300 * I), [this, I] {
        beginCrash("crash" + std::to_string(++CrashBursts),
                   static_cast<size_t>(1 + I % 2));
      });
    break;
  case Fault::SilentConnection:
    for (size_t B : {0, 3})
      Backends.silence(B);
    break;
  }
}

void ServiceRig::load() {
  for (size_t I = 0; I < LoadBurst; ++I)
    begin("q" + std::to_string(++LastQuery), 1 + I % 2, "", true);
}

void ServiceRig::runQueries() {
  for (size_t I = 0; I < HostCount; ++I)
    boot(I);
  Time.after(Settled, [this] {
    Time.every(LoadInterval, [this] {
      if (Seen.End == MonotonicTime())
        load();
    });
    Backends.drain(Drained);
  });
  Time.run(Settled + Milliseconds(575));
  Subject = "subject";
  // A hedge needs a straggler, as far as the fault brings none.
  if (Wanted == Step::Hedged)
    for (size_t B = 0; B < FakeBackends::Count; ++B)
      Backends.straggle(B, Milliseconds(5));
  reach(Step::Plan);
  begin(Subject, 1, "", Wanted != Step::Canary);
  Time.run(Seconds(4));
  Seen.End = Time.Now;
  Time.run(Seconds(1));
}

void ServiceRig::runRequest() {
  for (size_t I = 0; I < HostCount; ++I)
    boot(I);
  Time.after(Settled, [this] {
    Time.every(LoadInterval, [this] {
      if (Seen.End == MonotonicTime())
        load();
    });
    Backends.drain(Drained);
  });
  Time.run(Settled + Milliseconds(575));
  Subject = "subject";
  if (Wanted == Step::ReplyLost)
    Backends.loseReplyOf(Subject);
  begin(Subject, 1, "key", true);
  reach(Step::ClaimAsked);
  Time.run(Milliseconds(600));
  begin("again", 2, "key", true);
  reach(Step::SentAgain);
  Time.run(Milliseconds(3400));
  begin("third", 1, "key", true);
  Seen.End = Time.Now;
  Time.run(Seconds(2));
}

void ServiceRig::runHost() {
  for (size_t I = 1; I < HostCount; ++I)
    boot(I);
  Time.after(Milliseconds(4000), [this] {
    Time.every(LoadInterval, [this] {
      if (Seen.End == MonotonicTime())
        load();
    });
    Backends.drain(Drained);
  });
  Time.run(Milliseconds(4500));
  boot(0);
  reach(Step::Joining);
  Time.run(Milliseconds(7500));
  reach(Step::Serving);
  // In the middle of a burst of queries.
  Time.run(Milliseconds(502));
  stopHost(0);
  reach(Step::Releasing);
  Time.run(Seconds(6));
  Seen.End = Time.Now;
  Time.run(Seconds(1));
}

void ServiceRig::runZone() {
  auto SetZone = [this](ZoneState State) {
    Configs->change(
        0, "operator-a/" + std::to_string(++ConfigChanges),
        [State](Config &C) { C.Regions[0].Zones[2].State = State; });
  };
  for (size_t I = 0; I < HostCount; ++I)
    boot(I);
  Time.after(Settled, [this] {
    Time.every(LoadInterval, [this] {
      if (Seen.End == MonotonicTime())
        load();
    });
  });
  Time.run(Settled + Milliseconds(200));
  reach(Step::ZoneLeaves);
  SetZone(ZoneState::Out);
  Time.run(Seconds(7));
  reach(Step::ZoneReturns);
  SetZone(ZoneState::In);
  Time.run(Seconds(6));
  Seen.End = Time.Now;
  Time.run(Seconds(1));
}

} // namespace mimosa
