#include "proof/service_rig.h"

#include "backend/shard_ranges.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration NetworkDelay = Milliseconds(1);
constexpr Duration PauseTime = Milliseconds(2000);
constexpr Duration SlowStoreReplyInterval = Milliseconds(400);
constexpr Duration AddressLifetime = Seconds(5);
constexpr uint32_t PartitionCount = 2;
const char *const VoterSetKey = "seats";

BackendState stateOf(const SchedulerSummary &Summary) {
  if (!Summary.IncarnationKnown || !Summary.Reachable)
    return BackendState::Unknown;
  if (Summary.State == ReportedState::Draining)
    return BackendState::Draining;
  return Summary.State == ReportedState::Cold ? BackendState::Cold
                                              : BackendState::Serving;
}

} // namespace

/// Same mapping as toRefusal() in daemon/query_runner.h.
Refusal ServiceRig::toRefusal(RefusalReason Reason) {
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
  std::vector<ConfiguredBackendServer> Servers;
  Settings.clear();
  for (size_t B = 0; B < FakeBackends::Count; ++B) {
    BackendSettings S;
    S.Backend = FakeBackends::name(B);
    S.InPartition = FakeBackends::partition(B);
    S.Slots = FakeBackends::Slots;
    S.Connections = 6;
    S.ZoneOut = !Document.isZoneIn(FakeBackends::zone(B)) &&
                Bug != InjectedBug::ZoneIgnored;
    Servers.push_back({S.Backend, FakeBackends::zone(B), S.InPartition.number(),
                       false, S.ZoneOut, false});
    Settings.push_back(std::move(S));
  }
  Directory.setBackendServers(Servers, Time.Now);
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I]->Up)
      onDispatcher(I, [this](Dispatcher &D, DispatchActions &Out) {
        D.configure(Settings, Time.Now, Out);
      });
}

void ServiceRig::startHost(size_t I) {
  Host &H = *Hosts[I];
  H.Up = true;
  ++H.IncarnationNumber;
  OwnershipOptions Options;
  Options.Service = ServiceId("storm");
  Options.Region = RegionId("north");
  Options.Self = hostName(I);
  Options.SelfIncarnation = Incarnation(H.IncarnationNumber);
  H.Owner = std::make_unique<Ownership>(Options, Rand, Time.Now);
  H.Dispatch = std::make_unique<Dispatcher>(H);
  onDispatcher(I, [this](Dispatcher &D, DispatchActions &Out) {
    D.configure(Settings, Time.Now, Out);
  });
  updateMembership();
  Time.every(Seconds(1), [this, I] { publishState(I); });
}

/// Gives all hosts the list of live hosts.
void ServiceRig::updateMembership() {
  std::vector<HostId> Live;
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I]->Up && !Hosts[I]->Leaving)
      Live.push_back(hostName(I));
  for (size_t I = 0; I < Hosts.size(); ++I) {
    if (!Hosts[I]->Up)
      continue;
    callOwnership(I, [&](Ownership &O) {
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
  Log.add({Time.Now, EventKind::StopRequested, hostName(I).text()});
  if (Bug == InjectedBug::StopWithoutDraining) {
    endHost(I);
    return;
  }
  Hosts[I]->Leaving = true;
  updateMembership();
  onHost(I, [this, I] {
    callOwnership(I, [this](Ownership &O) { O.leave(Time.Now, Out); });
  });
  Time.after(AddressLifetime, [this, I] { endHostWhenReleased(I); });
}

void ServiceRig::endHostWhenReleased(size_t I) {
  bool Ended = Time.Now >= Hosts[I]->PausedUntil &&
               Hosts[I]->Owner->ownsNothing() &&
               Hosts[I]->ReleasingPartitions.empty();
  if (Ended)
    endHost(I);
  else
    Time.after(Milliseconds(10), [this, I] { endHostWhenReleased(I); });
}

void ServiceRig::endHost(size_t I) {
  Event Done{Time.Now, EventKind::StopDone, hostName(I).text()};
  // Sub-requests that have reached the host and have no reply yet.
  for (const auto &[Id, Sent] : OutstandingSubRequests)
    Done.Count += Sent.Owner == I && Sent.ReachedOwner;
  Log.add(std::move(Done));
  Hosts[I]->Up = false;
}

void ServiceRig::pauseHost(size_t I) {
  Host &H = *Hosts[I];
  H.PausedUntil = std::max(H.PausedUntil, Time.Now + PauseTime);
  // For the length of the pause, host 2 is the claim owner instead of host 0.
  if (I == 0) {
    Claims.startOwner(2);
    Claims.setView(1, 2);
    Claims.setView(2, 2);
  }
  Time.after(H.PausedUntil - Time.Now, [this, I] {
    Host &Resumed = *Hosts[I];
    if (Time.Now < Resumed.PausedUntil)
      return;
    if (I == 0) {
      Claims.owner(0).markUnsynced();
      Claims.setView(1, 0);
      Time.after(Milliseconds(300), [this] {
        Claims.setView(2, 0);
        Claims.stopOwner(2);
      });
    }
    if (!Resumed.Up)
      return;
    callOwnership(I, [this](Ownership &O) { O.onPause(Time.Now, Out); });
    auto Inbox = std::move(Resumed.Inbox);
    Resumed.Inbox.clear();
    for (auto &Callback : Inbox)
      Callback();
  });
}

void ServiceRig::onHost(size_t I, const std::function<void()> &Callback) {
  Host &H = *Hosts[I];
  if (!H.Up)
    return;
  if (Time.Now < H.PausedUntil)
    H.Inbox.push_back(Callback);
  else
    Callback();
}

void ServiceRig::onDispatcher(size_t I,
                              const FakeBackends::DispatcherCall &Call) {
  onHost(I, [this, I, Call] {
    DispatchActions Actions;
    Call(*Hosts[I]->Dispatch, Actions);
    performActions(I, Actions);
  });
}

void ServiceRig::callOwnership(size_t I,
                               const std::function<void(Ownership &)> &Call) {
  OwnershipActions Before = std::move(Out);
  Out.clear();
  Call(*Hosts[I]->Owner);
  OwnershipActions Actions = std::move(Out);
  Out = std::move(Before);
  for (OwnershipAction &A : Actions)
    std::visit([&](auto &Action) { perform(I, Action); }, A);
}

void ServiceRig::performActions(size_t I, DispatchActions &Actions) {
  Dispatcher &D = *Hosts[I]->Dispatch;
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
              reportSummary(I, Scheduler->summary());
            else
              Backends.perform(
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
    onDispatcher(I, [this](Dispatcher &D, DispatchActions &Out) {
      D.tick(Time.Now, Out);
    });
    finishReleases(I);
  }
}

void ServiceRig::finishReleases(size_t I) {
  auto ReleasingPartitions = Hosts[I]->ReleasingPartitions;
  for (Partition P : ReleasingPartitions)
    if (Hosts[I]->Dispatch->isReleased(P)) {
      Hosts[I]->ReleasingPartitions.erase(P);
      callOwnership(
          I, [this, P](Ownership &O) { O.onDispatchEnded(P, Time.Now, Out); });
    }
}

/// Advances ownership, claims and the store by one tick, records the first
/// violated claim invariant, starts requests whose claim was decided, and
/// updates the owners in the directory.
void ServiceRig::tickControlPlane() {
  for (size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I]->Up && Time.Now >= Hosts[I]->PausedUntil)
      callOwnership(I, [this](Ownership &O) { O.tick(Time.Now, Out); });
  if (Time.Now < StoreSlowUntil && Time.Now < NextSlowStoreReply) {
    while (Claims.messages() > 0)
      Claims.deliver(0);
    Claims.advance(OwnershipTick);
  } else {
    NextSlowStoreReply = Time.Now + SlowStoreReplyInterval;
    Claims.run(OwnershipTick);
  }
  if (!Claims.BrokenInvariant.empty() && !ClaimViolationRecorded) {
    ClaimViolationRecorded = true;
    Log.ViolatedClaimInvariant = Claims.BrokenInvariant;
  }
  auto Undecided = std::move(AwaitingClaim);
  AwaitingClaim.clear();
  for (const QueryPtr &Q : Undecided)
    if (Claims.Decisions.count(Q->Claim) > 0)
      onClaimDecided(Q);
    else
      AwaitingClaim.push_back(Q);
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

void ServiceRig::reportSummary(size_t I, const SchedulerSummary &Summary) {
  BackendSummary Report;
  Report.Backend = Summary.Backend;
  Report.Owner = hostName(I);
  Report.OwnerIncarnation = Incarnation(Hosts[I]->IncarnationNumber);
  Report.Sequence = ++Hosts[I]->Sequence;
  Report.BackendIncarnation = Summary.BackendIncarnation;
  Report.State = stateOf(Summary);
  Report.Limit = Summary.Limit;
  Report.QueueLength = Summary.QueueLength;
  for (const ReportedSnapshot &Reported : Summary.Snapshots) {
    std::vector<uint32_t> Shards;
    for (ShardId Shard : Reported.Shards)
      Shards.push_back(Shard.number());
    Report.Snapshots.push_back({Reported.Snapshot, 0, Reported.TotalShards,
                                packShards(std::move(Shards))});
  }
  Time.after(NetworkDelay,
             [this, Report] { Directory.onSummary(Report, Time.Now); });
}

void ServiceRig::publishState(size_t I) {
  if (!Hosts[I]->Up || Time.Now < Hosts[I]->PausedUntil)
    return;
  for (const SchedulerSummary &Summary : Hosts[I]->Dispatch->summaries())
    reportSummary(I, Summary);
  announceOwnership(I, Hosts[I]->Owner->ownedPartitions(Time.Now));
}

void ServiceRig::announceOwnership(size_t I,
                                   const std::vector<Partition> &Owned) {
  for (size_t Other = 0; Other < Hosts.size(); ++Other)
    Time.after(NetworkDelay, [this, I, Other, Owned] {
      onHost(Other, [this, I, Other, Owned] {
        if (Other != I)
          Hosts[Other]->Owner->onOwnerAnnounced(hostName(I), Owned);
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
  Time.after(NetworkDelay, [=] {
    onHost(Target, [=] {
      callOwnership(Target, [&](Ownership &O) {
        (O.*Handler)(valueOf(unpackBody<T>(Body)), Time.Now, Out);
      });
    });
  });
}

void ServiceRig::perform(size_t I, SendVoteRequest &A) {
  send(I, A.To, A.Message, &Ownership::onVoteRequest);
}
void ServiceRig::perform(size_t I, SendVoteReply &A) {
  send(I, A.To, A.Message, &Ownership::onVoteReply);
}
void ServiceRig::perform(size_t I, SendOwnershipRelease &A) {
  send(I, A.To, A.Message, &Ownership::onRelease);
}

void ServiceRig::perform(size_t I, ReadVoterSet &) {
  Claims.Store.read(VoterSetKey, [this, I](const Result<StoredValue> &Reply) {
    onHost(I, [this, I, Reply] {
      callOwnership(I, [&](Ownership &O) {
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

void ServiceRig::perform(size_t I, WriteVoterSet &A) {
  auto OnReply = [this, I](const Result<SwapReply> &Reply) {
    onHost(I, [this, I, Reply] {
      callOwnership(I, [&](Ownership &O) {
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
  Claims.Store.compareAndSwap(VoterSetKey, packBody(A.Voters),
                              StoreVersion(A.ExpectedVersion), OnReply);
}

void ServiceRig::perform(size_t I, StartDispatch &A) {
  Event Starts{Time.Now, EventKind::Note, hostName(I).text()};
  Starts.Text = "owns partition " + std::to_string(A.P.number());
  Log.add(std::move(Starts));
  onDispatcher(I, [this, P = A.P](Dispatcher &D, DispatchActions &Out) {
    D.own(P, Time.Now, Out);
  });
  announceOwnership(I, {A.P});
  if (I == 0)
    reachStep(Step::TakingOver);
}

void ServiceRig::perform(size_t I, StopDispatch &A) {
  Event Stops{Time.Now, EventKind::Note, hostName(I).text()};
  Stops.Text = "gives up partition " + std::to_string(A.P.number());
  Log.add(std::move(Stops));
  Hosts[I]->ReleasingPartitions.insert(A.P);
  onDispatcher(I, [this, P = A.P](Dispatcher &D, DispatchActions &Out) {
    D.release(P, Time.Now, Out);
  });
}

} // namespace mimosa
