#include "proof/service_rig.h"

#include "backend/shard_ranges.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration Hop = Milliseconds(1);
constexpr Duration PauseTime = Milliseconds(2000);
constexpr Duration SlowReply = Milliseconds(400);
constexpr Duration AddressLifetimeOver = Seconds(5);
constexpr uint32_t PartitionCount = 2;
const char *const SeatKey = "seats";

BackendState stateOf(const SchedulerSummary &Summary) {
  if (!Summary.IncarnationKnown || !Summary.Reachable)
    return BackendState::Unknown;
  if (Summary.State == ReportedState::Draining)
    return BackendState::Draining;
  return Summary.State == ReportedState::Cold ? BackendState::Cold
                                              : BackendState::Serving;
}

} // namespace

/// As the daemon's refusalOf().
Refusal ServiceRig::refusalFor(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Draining:
  case RefusalReason::ZoneOut:
    return Refusal::Draining;
  case RefusalReason::Cold:
    return Refusal::Cold;
  case RefusalReason::UnknownSnapshot:
    return Refusal::UnknownSnapshot;
  case RefusalReason::Deadline:
  case RefusalReason::Cancelled:
    return Refusal::Dropped;
  case RefusalReason::NotOwner:
  case RefusalReason::Unreachable:
    return Refusal::NotSent;
  case RefusalReason::None:
  case RefusalReason::Shed:
  case RefusalReason::Overloaded:
    break;
  }
  return Refusal::Shed;
}

HostId ServiceRig::hostName(size_t I) {
  return HostId("h" + std::to_string(I));
}

size_t ServiceRig::hostIndex(const HostId &Host) {
  return static_cast<size_t>(std::stoi(Host.text().substr(1)));
}

Config ServiceRig::firstConfig() const {
  Config Out;
  Out.ConfigRevision = Revision(1);
  Out.ChangeId = "first";
  Region North{RegionId("north"), {}};
  for (size_t Z = 0; Z < 3; ++Z)
    North.Zones.push_back({FakeBackends::zone(Z)});
  Out.Regions.push_back(std::move(North));
  return Out;
}

void ServiceRig::configure(const Config &Document) {
  std::vector<ConfiguredBackendServer> Listed;
  Settings.clear();
  for (size_t B = 0; B < FakeBackends::Count; ++B) {
    BackendSettings S;
    S.Backend = FakeBackends::name(B);
    S.InPartition = FakeBackends::partition(B);
    S.Slots = FakeBackends::Slots;
    S.Connections = 6;
    S.ZoneOut = !Document.isZoneIn(FakeBackends::zone(B)) &&
                Broken != Break::ZoneIgnored;
    Listed.push_back({S.Backend, FakeBackends::zone(B), S.InPartition.number(),
                      false, S.ZoneOut, false});
    Settings.push_back(std::move(S));
  }
  Directory.setBackendServers(Listed, Time.Now);
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I]->Up)
      onGates(I, [this](Dispatcher &D, DispatchActions &Out) {
        D.configure(Settings, Time.Now, Out);
      });
}

void ServiceRig::boot(size_t I) {
  Host &H = *Hosts[I];
  H.Up = true;
  ++H.Life;
  OwnershipOptions Options;
  Options.Service = ServiceId("storm");
  Options.Region = RegionId("north");
  Options.Self = hostName(I);
  Options.SelfIncarnation = Incarnation(H.Life);
  H.Owner = std::make_unique<Ownership>(Options, Rand, Time.Now);
  H.Gates = std::make_unique<Dispatcher>(H);
  onGates(I, [this](Dispatcher &D, DispatchActions &Out) {
    D.configure(Settings, Time.Now, Out);
  });
  view();
  Time.every(Seconds(1), [this, I] { publish(I); });
}

/// All hosts learn who is alive.
void ServiceRig::view() {
  std::vector<HostId> Live;
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I]->Up && !Hosts[I]->Leaving)
      Live.push_back(hostName(I));
  for (size_t I = 0; I < Hosts.size(); ++I) {
    if (!Hosts[I]->Up)
      continue;
    with(I, [&](Ownership &O) {
      for (size_t Other = 0; Other < Hosts.size(); ++Other)
        if (std::find(Live.begin(), Live.end(), hostName(Other)) == Live.end())
          O.removeAliveHost(hostName(Other));
        else
          O.addAliveHost(hostName(Other), Time.Now);
      O.setHostSet(Live);
      O.setVoterCandidates(Live, Time.Now);
      std::vector<PreferredOwner> All;
      for (uint32_t P = 0; P < PartitionCount; ++P)
        All.push_back({Partition(P), Live[P % Live.size()]});
      O.setPartitions(All, Time.Now, Out);
    });
  }
}

void ServiceRig::stopHost(size_t I) {
  Seen.add({Time.Now, EventKind::StopAsked, hostName(I).text()});
  if (Broken == Break::StopAtOnce) {
    endHost(I);
    return;
  }
  Hosts[I]->Leaving = true;
  view();
  onHost(I, [this, I] {
    with(I, [this](Ownership &O) { O.leave(Time.Now, Out); });
  });
  Time.after(AddressLifetimeOver, [this, I] { awaitRelease(I); });
}

void ServiceRig::awaitRelease(size_t I) {
  bool Ended = Time.Now >= Hosts[I]->PausedUntil &&
               Hosts[I]->Owner->ownsNothing() && Hosts[I]->Ending.empty();
  if (Ended)
    endHost(I);
  else
    Time.after(Milliseconds(10), [this, I] { awaitRelease(I); });
}

void ServiceRig::endHost(size_t I) {
  Event Done{Time.Now, EventKind::StopDone, hostName(I).text()};
  // Those that have reached the host and were not replied to.
  for (const auto &[Id, Sent] : BySubRequest)
    Done.Count += Sent.Owner == I && Sent.Arrived;
  Seen.add(std::move(Done));
  Hosts[I]->Up = false;
}

void ServiceRig::pause(size_t I) {
  Host &H = *Hosts[I];
  H.PausedUntil = std::max(H.PausedUntil, Time.Now + PauseTime);
  // The membership sees the claim owner as gone for the time.
  if (I == 0) {
    Claims.startOwner(2);
    Claims.setView(1, 2);
    Claims.setView(2, 2);
  }
  Time.after(H.PausedUntil - Time.Now, [this, I] {
    Host &Woken = *Hosts[I];
    if (Time.Now < Woken.PausedUntil)
      return;
    if (I == 0) {
      Claims.owner(0).markUnsynced();
      Claims.setView(1, 0);
      Time.after(Milliseconds(300), [this] {
        Claims.setView(2, 0);
        Claims.stopOwner(2);
      });
    }
    if (!Woken.Up)
      return;
    with(I, [this](Ownership &O) { O.onPause(Time.Now, Out); });
    auto Inbox = std::move(Woken.Inbox);
    Woken.Inbox.clear();
    for (auto &Do : Inbox)
      Do();
  });
}

void ServiceRig::onHost(size_t I, const std::function<void()> &Do) {
  Host &H = *Hosts[I];
  if (!H.Up)
    return;
  if (Time.Now < H.PausedUntil)
    H.Inbox.push_back(Do);
  else
    Do();
}

void ServiceRig::onGates(size_t I, const FakeBackends::HostCall &Call) {
  onHost(I, [this, I, Call] {
    DispatchActions Actions;
    Call(*Hosts[I]->Gates, Actions);
    carryOut(I, Actions);
  });
}

void ServiceRig::with(size_t I, const std::function<void(Ownership &)> &What) {
  OwnershipActions Before = std::move(Out);
  Out.clear();
  What(*Hosts[I]->Owner);
  OwnershipActions Actions = std::move(Out);
  Out = std::move(Before);
  for (OwnershipAction &A : Actions)
    std::visit([&](auto &Action) { act(I, Action); }, A);
}

void ServiceRig::carryOut(size_t I, DispatchActions &Actions) {
  Dispatcher &D = *Hosts[I]->Gates;
  for (DispatchAction &Each : Actions) {
    if (auto *R = std::get_if<SubRequestResult>(&Each)) {
      onReply(*R);
      continue;
    }
    std::visit(
        [&](const auto &A) {
          using Kind = std::decay_t<decltype(A)>;
          if constexpr (!std::is_same_v<Kind, SubRequestResult>) {
            BackendScheduler *Scheduler = D.scheduler(A.Scheduler);
            if (!Scheduler)
              return;
            if constexpr (std::is_same_v<Kind, SummaryChanged>)
              report(I, Scheduler->summary());
            else
              Backends.act(
                  I, FakeBackends::index(Scheduler->settings().Backend), A);
          }
        },
        Each);
  }
}

void ServiceRig::tickHosts() {
  for (size_t I = 0; I < Hosts.size(); ++I) {
    if (!Hosts[I]->Up || Time.Now < Hosts[I]->PausedUntil)
      continue;
    onGates(I, [this](Dispatcher &D, DispatchActions &Out) {
      D.tick(Time.Now, Out);
    });
    finishReleases(I);
  }
}

void ServiceRig::finishReleases(size_t I) {
  auto Ending = Hosts[I]->Ending;
  for (Partition P : Ending)
    if (Hosts[I]->Gates->isReleased(P)) {
      Hosts[I]->Ending.erase(P);
      with(I, [this, P](Ownership &O) { O.onDispatchEnded(P, Time.Now, Out); });
    }
}

/// Ticks the ownership, the claims and the store.
void ServiceRig::tickClaims() {
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I]->Up && Time.Now >= Hosts[I]->PausedUntil)
      with(I, [this](Ownership &O) { O.tick(Time.Now, Out); });
  if (Time.Now < SlowUntil && Time.Now < NextSlowReply) {
    while (Claims.messages() > 0)
      Claims.deliver(0);
    Claims.advance(OwnershipTick);
  } else {
    NextSlowReply = Time.Now + SlowReply;
    Claims.run(OwnershipTick);
  }
  if (!Claims.BrokenInvariant.empty() && !ClaimBreachNoted) {
    ClaimBreachNoted = true;
    Seen.ClaimBreach = Claims.BrokenInvariant;
  }
  auto Undecided = std::move(Waiting);
  Waiting.clear();
  for (const Query &Q : Undecided)
    if (Claims.Decisions.count(Q->Claim) > 0)
      awaitClaim(Q);
    else
      Waiting.push_back(Q);
  std::vector<std::optional<HostId>> Owners;
  for (uint32_t P = 0; P < PartitionCount; ++P)
    Owners.push_back(Hosts[2]->Up
                         ? Hosts[2]->Owner->lastKnownOwner(Partition(P))
                         : std::nullopt);
  if (Owners != KnownOwners) {
    KnownOwners = Owners;
    Directory.setOwners(Owners, Time.Now);
  }
}

void ServiceRig::report(size_t I, const SchedulerSummary &Summary) {
  BackendSummary Told;
  Told.Backend = Summary.Backend;
  Told.Owner = hostName(I);
  Told.OwnerIncarnation = Incarnation(Hosts[I]->Life);
  Told.Sequence = ++Hosts[I]->Sequence;
  Told.BackendIncarnation = Summary.BackendIncarnation;
  Told.State = stateOf(Summary);
  Told.Limit = Summary.Limit;
  Told.QueueLength = Summary.QueueLength;
  for (const ReportedSnapshot &Held : Summary.Snapshots) {
    std::vector<uint32_t> Shards;
    for (ShardId Shard : Held.Shards)
      Shards.push_back(Shard.number());
    Told.Snapshots.push_back(
        {Held.Snapshot, 0, Held.TotalShards, packShards(std::move(Shards))});
  }
  Time.after(Hop, [this, Told] { Directory.onSummary(Told, Time.Now); });
}

void ServiceRig::publish(size_t I) {
  if (!Hosts[I]->Up || Time.Now < Hosts[I]->PausedUntil)
    return;
  for (const SchedulerSummary &Summary : Hosts[I]->Gates->summaries())
    report(I, Summary);
  announce(I, Hosts[I]->Owner->ownedPartitions(Time.Now));
}

void ServiceRig::announce(size_t I, const std::vector<Partition> &Owned) {
  for (size_t Other = 0; Other < Hosts.size(); ++Other)
    Time.after(Hop, [this, I, Other, Owned] {
      onHost(Other, [this, I, Other, Owned] {
        if (Other != I)
          Hosts[Other]->Owner->onOwnerReport(hostName(I), Owned);
      });
    });
}

template <typename T>
void ServiceRig::send(size_t From, const HostId &To, const T &Message,
                      void (Ownership::*Handler)(const T &, MonotonicTime,
                                                 OwnershipActions &)) {
  if (!Hosts[From]->Up)
    return;
  size_t Target = hostIndex(To);
  std::string Body = packBody(Message);
  Time.after(Hop, [=] {
    onHost(Target, [=] {
      with(Target, [&](Ownership &O) {
        (O.*Handler)(valueOf(unpackBody<T>(Body)), Time.Now, Out);
      });
    });
  });
}

void ServiceRig::act(size_t I, SendVoteRequest &A) {
  send(I, A.To, A.Message, &Ownership::onVoteRequest);
}
void ServiceRig::act(size_t I, SendVoteReply &A) {
  send(I, A.To, A.Message, &Ownership::onVoteReply);
}
void ServiceRig::act(size_t I, SendOwnershipRelease &A) {
  send(I, A.To, A.Message, &Ownership::onRelease);
}

void ServiceRig::act(size_t I, ReadVoterSet &) {
  Claims.Store.read(SeatKey, [this, I](const Result<StoredValue> &Reply) {
    onHost(I, [this, I, Reply] {
      with(I, [&](Ownership &O) {
        if (ok(Reply))
          O.onVoterSetRead(valueOf(unpackBody<VoterSet>(valueOf(Reply).Value)),
                           valueOf(Reply).Version.number(), Time.Now);
        else if (errorOf(Reply).Code == ResultCode::NotFound)
          O.onVoterSetRead(std::nullopt, 0, Time.Now);
        else
          O.onStoreFailure(Time.Now);
      });
    });
  });
}

void ServiceRig::act(size_t I, WriteVoterSet &A) {
  auto OnReply = [this, I](const Result<SwapReply> &Reply) {
    onHost(I, [this, I, Reply] {
      with(I, [&](Ownership &O) {
        if (!ok(Reply))
          O.onStoreFailure(Time.Now);
        else if (valueOf(Reply).Swapped)
          O.onVoterSetWritten(valueOf(Reply).Current.Version.number(),
                              Time.Now);
        else
          O.onVoterSetConflict(Time.Now);
      });
    });
  };
  Claims.Store.compareAndSwap(SeatKey, packBody(A.Voters),
                              StoreVersion(A.ExpectedVersion), OnReply);
}

void ServiceRig::act(size_t I, StartDispatch &A) {
  Event Starts{Time.Now, EventKind::Note, hostName(I).text()};
  Starts.Text = "owns partition " + std::to_string(A.P.number());
  Seen.add(std::move(Starts));
  onGates(I, [this, P = A.P](Dispatcher &D, DispatchActions &Out) {
    D.own(P, Time.Now, Out);
  });
  announce(I, {A.P});
  if (I == 0)
    reach(Step::TakingOver);
}

void ServiceRig::act(size_t I, StopDispatch &A) {
  Event Stops{Time.Now, EventKind::Note, hostName(I).text()};
  Stops.Text = "gives up partition " + std::to_string(A.P.number());
  Seen.add(std::move(Stops));
  Hosts[I]->Ending.insert(A.P);
  onGates(I, [this, P = A.P](Dispatcher &D, DispatchActions &Out) {
    D.release(P, Time.Now, Out);
  });
}

} // namespace mimosa
