#include "proof/service_rig.h"

namespace mimosa {

namespace {

constexpr size_t HostCount = 3;
/// Time until the three hosts are voters and own their partitions.
constexpr Duration StartUpTime = Milliseconds(7500);
constexpr Duration FaultTime = Milliseconds(2000);
constexpr Duration LoadInterval = Milliseconds(50);
constexpr size_t LoadBurst = 4;
constexpr size_t DrainedBackend = 5;

} // namespace

ServiceRig::ServiceRig(InjectedBug Bug)
    : Backends(Bug, Log, Time,
               [this](size_t Host, const FakeBackends::DispatcherCall &Call) {
                 onDispatcher(Host, Call);
               }),
      Bug(Bug) {
  for (size_t I = 0; I < HostCount; ++I) {
    Hosts.push_back(std::make_unique<Host>());
    Quarantines.emplace_back(hostName(I), Incarnation(1));
  }
  Claims.startOwner(0);
  Backends.OnSearchAnswered = [this](const std::string &Id) {
    if (Id == Subject)
      Time.after(Milliseconds(0), [this] { reachStep(Step::Merging); });
  };
  Backends.OnReplyLost = [this] { reachStep(Step::ReplyLost); };
  Configs = std::make_unique<ConfigRig>(Bug, Log, Time, firstConfig());
  Configs->OnConfigApplied = [this](const Config &Document) {
    configure(Document);
  };
  configure(firstConfig());
  Time.every(TickInterval, [this] { tickHosts(); });
  Time.every(OwnershipTick, [this] { tickControlPlane(); });
}

bool ServiceRig::runFlow(Step At, const std::vector<Fault> &Faults) {
  TargetStep = At;
  PendingFaults = Faults;
  switch (flowOf(At)) {
  case Flow::Query:
    runQueryFlow();
    break;
  case Flow::NonIdempotentRequest:
    runRequestFlow();
    break;
  case Flow::Host:
    runHostFlow();
    break;
  case Flow::Config:
  case Flow::Zone:
    runZoneFlow();
    break;
  }
  Log.End = Time.Now;
  return StepReached;
}

void ServiceRig::reachStep(Step S) {
  if (StepReached || TargetStep != S)
    return;
  StepReached = true;
  Log.add(
      {Time.Now, EventKind::Note, "", "", std::string("at ") + stepName(S)});
  for (size_t I = 0; I < PendingFaults.size(); ++I) {
    Fault F = PendingFaults[I];
    if (I > 0 && F == PendingFaults[0])
      Time.after(RepeatDelay, [this, F] { inject(F); });
    else
      inject(F);
  }
}

void ServiceRig::inject(Fault F) {
  Log.add({Time.Now, EventKind::Note, "", "", faultName(F)});
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
    StoreSlowUntil = Time.Now + FaultTime;
    Configs->inject(F);
    break;
  case Fault::StoreReplyLost:
    Claims.Store.loseReplies(1);
    Configs->Store.loseReplies(1);
    break;
  case Fault::LeaseLapses:
    pauseHost(0);
    break;
  case Fault::TwoOperators:
    Configs->inject(F);
    break;
  case Fault::CrashingRequest:
    for (int I = 0; I < 3; ++I)
      Time.after(Milliseconds(300 * I), [this, I] {
        startCrashingQuery("crash" + std::to_string(++LastCrashQueryNumber),
                           static_cast<size_t>(1 + I % 2));
      });
    break;
  case Fault::SilentConnection:
    for (size_t B : {0, 3})
      Backends.silence(B);
    break;
  }
}

void ServiceRig::startLoadBurst() {
  for (size_t I = 0; I < LoadBurst; ++I)
    startQuery("q" + std::to_string(++LastQueryNumber), 1 + I % 2, "", true);
}

void ServiceRig::runQueryFlow() {
  for (size_t I = 0; I < HostCount; ++I)
    startHost(I);
  Time.after(StartUpTime, [this] {
    Time.every(LoadInterval, [this] {
      if (Log.End == MonotonicTime())
        startLoadBurst();
    });
    Backends.drain(DrainedBackend);
  });
  Time.run(StartUpTime + Milliseconds(575));
  Subject = "subject";
  // Only a straggler causes a hedge, and not every fault makes one.
  if (TargetStep == Step::Hedged)
    for (size_t B = 0; B < FakeBackends::Count; ++B)
      Backends.straggle(B, Milliseconds(5));
  reachStep(Step::Plan);
  startQuery(Subject, 1, "", TargetStep != Step::Canary);
  Time.run(Seconds(4));
  Log.End = Time.Now;
  Time.run(Seconds(1));
}

void ServiceRig::runRequestFlow() {
  for (size_t I = 0; I < HostCount; ++I)
    startHost(I);
  Time.after(StartUpTime, [this] {
    Time.every(LoadInterval, [this] {
      if (Log.End == MonotonicTime())
        startLoadBurst();
    });
    Backends.drain(DrainedBackend);
  });
  Time.run(StartUpTime + Milliseconds(575));
  Subject = "subject";
  if (TargetStep == Step::ReplyLost)
    Backends.loseReplyOf(Subject);
  startQuery(Subject, 1, "key", true);
  reachStep(Step::ClaimRequested);
  Time.run(Milliseconds(600));
  startQuery("again", 2, "key", true);
  reachStep(Step::RequestRetried);
  Time.run(Milliseconds(3400));
  startQuery("third", 1, "key", true);
  Log.End = Time.Now;
  Time.run(Seconds(2));
}

void ServiceRig::runHostFlow() {
  for (size_t I = 1; I < HostCount; ++I)
    startHost(I);
  Time.after(Milliseconds(4000), [this] {
    Time.every(LoadInterval, [this] {
      if (Log.End == MonotonicTime())
        startLoadBurst();
    });
    Backends.drain(DrainedBackend);
  });
  Time.run(Milliseconds(4500));
  startHost(0);
  reachStep(Step::Joining);
  Time.run(Milliseconds(7500));
  reachStep(Step::Serving);
  // The host stops while a burst of queries is in flight.
  Time.run(Milliseconds(502));
  stopHost(0);
  reachStep(Step::Releasing);
  Time.run(Seconds(6));
  Log.End = Time.Now;
  Time.run(Seconds(1));
}

void ServiceRig::runZoneFlow() {
  auto SetZone = [this](ZoneState State) {
    Configs->change(
        0, "operator-a/" + std::to_string(++ConfigChanges),
        [State](Config &C) { C.Regions[0].Zones[2].State = State; });
  };
  for (size_t I = 0; I < HostCount; ++I)
    startHost(I);
  Time.after(StartUpTime, [this] {
    Time.every(LoadInterval, [this] {
      if (Log.End == MonotonicTime())
        startLoadBurst();
    });
  });
  Time.run(StartUpTime + Milliseconds(200));
  reachStep(Step::ZoneEvacuated);
  SetZone(ZoneState::Out);
  Time.run(Seconds(7));
  reachStep(Step::ZoneReturned);
  SetZone(ZoneState::In);
  Time.run(Seconds(6));
  Log.End = Time.Now;
  Time.run(Seconds(1));
}

} // namespace mimosa
