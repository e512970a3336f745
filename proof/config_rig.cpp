#include "proof/config_rig.h"

namespace mimosa {

namespace {

constexpr size_t HostCount = 4;
constexpr Duration NetworkDelay = Milliseconds(1);
constexpr Duration FaultTime = Milliseconds(2000);
constexpr Duration MessageLossTime = Milliseconds(1000);
constexpr Duration OperatorPause = Milliseconds(300);
constexpr Duration SlowStore = Milliseconds(400);
constexpr Duration GossipInterval = Milliseconds(200);
constexpr Duration WatchRetry = Milliseconds(500);
/// Delay after a change at which each host receives the first document again.
constexpr Duration StaleDocumentDelay = Milliseconds(2500);

std::optional<StoredConfig> storedConfigOf(const StoredValue &Value) {
  if (Value.Version == StoreVersion())
    return std::nullopt;
  return StoredConfig{Value.Value, Value.Version.number()};
}

Config firstDocument() {
  Config Out;
  Out.ConfigRevision = Revision(1);
  Out.ChangeId = "first";
  return Out;
}

} // namespace

ConfigRig::ConfigRig(InjectedBug Bug)
    : Bug(Bug), Log(OwnLog), Time(OwnTime), First(firstDocument()) {
  start();
}

ConfigRig::ConfigRig(InjectedBug Bug, EventLog &Log, Timeline &Time,
                     Config First)
    : Bug(Bug), Log(Log), Time(Time), First(std::move(First)) {
  start();
}

void ConfigRig::start() {
  Store.compareAndSwap(ConfigStoreKey, printConfig(First), StoreVersion(),
                       [](const Result<SwapReply> &) {});
  std::vector<HostId> Ids;
  for (size_t I = 0; I < HostCount; ++I)
    Ids.emplace_back("c" + std::to_string(I));
  for (size_t I = 0; I < HostCount; ++I) {
    Host H;
    H.Id = Ids[I];
    H.Holder = std::make_unique<ConfigHolder>(Ids[I], AvailabilityZoneId("z1"));
    H.Holder->setZoneHosts(Ids);
    H.ActiveConfig = H.Holder->config();
    Hosts.push_back(std::move(H));
    Log.ConfigHosts.push_back(Ids[I].text());
    applyIfNewer(I, First, ConfigSource::Store);
    startWatch(I);
  }
  Time.every(GossipInterval, [this] { gossip(); });
  Time.every(Milliseconds(100), [this] {
    for (size_t I = 0; I < HostCount; ++I)
      if (Time.Now >= Hosts[I].PausedUntil)
        performPull(I, Hosts[I].Holder->onTick(Time.Now));
  });
}

bool ConfigRig::runChange(Step At, const std::vector<Fault> &Faults) {
  TargetStep = At;
  PendingFaults = Faults;
  Time.run(Seconds(1));
  change(0, "operator-a/1", [](Config &C) {
    C.Regions.push_back({RegionId("north"), {{AvailabilityZoneId("z1")}}});
  });
  Time.run(Seconds(12));
  Log.End = Time.Now;
  return StepReached;
}

void ConfigRig::reachStep(Step S) {
  if (StepReached || TargetStep != S)
    return;
  StepReached = true;
  for (size_t I = 0; I < PendingFaults.size(); ++I) {
    Fault F = PendingFaults[I];
    if (I > 0 && F == PendingFaults[0])
      Time.after(RepeatDelay, [this, F] { inject(F); });
    else
      inject(F);
  }
}

void ConfigRig::inject(Fault F) {
  Log.add({Time.Now, EventKind::Note, "", "", faultName(F)});
  if (F == Fault::StoreDown) {
    Store.setDown(true);
    Time.after(FaultTime, [this] { Store.setDown(false); });
  } else if (F == Fault::StoreSlow) {
    StoreSlowUntil = Time.Now + FaultTime;
  } else if (F == Fault::StoreReplyLost) {
    Store.loseReplies(1);
  } else if (F == Fault::LeaseLapses) {
    // After its pause, host 1 catches up through its watch or a peer.
    Hosts[1].PausedUntil = Time.Now + FaultTime;
  } else if (F == Fault::SilentConnection) {
    Hosts[2].MessagesLostUntil = Time.Now + MessageLossTime;
  } else if (F == Fault::TwoOperators) {
    change(3, "operator-b/" + std::to_string(++SecondOperatorChanges),
           [](Config &C) {
             Service Added;
             Added.Name = ServiceId("other");
             C.Services.push_back(std::move(Added));
           });
  }
}

void ConfigRig::change(size_t ThroughHost, const std::string &ChangeId,
                       const std::function<void(Config &)> &Edit) {
  Config Document = *Hosts[ThroughHost].Holder->config();
  Revision Expected = Document.ConfigRevision;
  Edit(Document);
  auto Op = std::make_shared<Operation>();
  Op->ThroughHost = ThroughHost;
  Op->ChangeId = ChangeId;
  Op->Edit = Edit;
  Op->Before = *Hosts[ThroughHost].Holder->config();
  Op->Writer = std::make_unique<ConfigWriter>(
      ConfigChange{Expected, ChangeId, std::move(Document)});
  Log.add({Time.Now, EventKind::Note, "", "", ChangeId + " asks"});
  performStep(Op, Op->Writer->start());
}

void ConfigRig::performStep(const OperationPtr &Op, WriteStep Next) {
  std::visit([&](const auto &Action) { perform(Op, Action); }, Next);
}

Duration ConfigRig::storeDelay() const {
  return Time.Now < StoreSlowUntil ? Duration(SlowStore)
                                   : Duration(NetworkDelay);
}

void ConfigRig::perform(const OperationPtr &Op, const ReadStoredConfig &Read) {
  Time.after(Read.Delay + NetworkDelay, [this, Op] {
    reachStep(Step::ConfigRead);
    Store.read(ConfigStoreKey, [this, Op](const Result<StoredValue> &Reply) {
      Time.after(storeDelay(), [this, Op, Reply] {
        if (ok(Reply))
          performStep(Op, Op->Writer->onRead(storedConfigOf(valueOf(Reply))));
        else if (errorOf(Reply).Code == ResultCode::NotFound)
          performStep(Op, Op->Writer->onRead(std::nullopt));
        else
          performStep(Op, Op->Writer->onReadFailed());
      });
    });
  });
}

void ConfigRig::perform(const OperationPtr &Op,
                        const CompareAndSwapConfig &Write) {
  reachStep(Step::ConfigWrite);
  Log.add({Time.Now, EventKind::Note, "", "", Op->ChangeId + " writes"});
  auto OnReply = [this, Op](const Result<SwapReply> &Reply) {
    reachStep(Step::ConfigReply);
    Time.after(storeDelay(), [this, Op, Reply] {
      if (!ok(Reply))
        performStep(Op, errorOf(Reply).Code == ResultCode::StoreUnavailable
                            ? Op->Writer->onWriteFailed()
                            : Op->Writer->onWriteReplyLost());
      else if (valueOf(Reply).Swapped)
        performStep(Op, Op->Writer->onWritten());
      else
        performStep(Op, Op->Writer->onVersionConflict(
                            storedConfigOf(valueOf(Reply).Current)));
    });
  };
  Store.compareAndSwap(ConfigStoreKey, Write.Value,
                       StoreVersion(Write.ExpectedVersion), OnReply);
}

void ConfigRig::perform(const OperationPtr &Op,
                        const ConfigChangeResult &Finished) {
  Log.add({Time.Now, EventKind::Note, "", "",
           Op->ChangeId + " ends: " + resultCodeName(Finished.Code)});
  if (Finished.Code != ResultCode::Ok) {
    Time.after(OperatorPause,
               [this, Op] { change(Op->ThroughHost, Op->ChangeId, Op->Edit); });
    return;
  }
  Event Accepted{Time.Now, EventKind::ConfigAccepted, Op->ChangeId};
  Accepted.Count = Finished.StoredDocument->ConfigRevision.number();
  Log.add(std::move(Accepted));
  recordZoneChanges(Op->Before, *Finished.StoredDocument);
  reachStep(Step::ConfigPropagation);
  onHost(Op->ThroughHost, [this, Op, Document = *Finished.StoredDocument] {
    applyIfNewer(Op->ThroughHost, Document, ConfigSource::Store);
  });
  // A watch reply that was sent before the change and arrives late.
  for (size_t I = 0; I < HostCount; ++I)
    Time.after(StaleDocumentDelay,
               [this, I] { applyIfNewer(I, First, ConfigSource::Watch); });
}

void ConfigRig::recordZoneChanges(const Config &Old, const Config &New) {
  for (const Region &R : New.Regions)
    for (const AvailabilityZone &Z : R.Zones)
      if (Old.zone(Z.Name) && Old.zone(Z.Name)->State != Z.State)
        Log.add(
            {Time.Now,
             Z.State == ZoneState::Out ? EventKind::ZoneOut : EventKind::ZoneIn,
             Z.Name.text()});
}

void ConfigRig::startWatch(size_t I) {
  if (!Hosts[I].Holder->isWatcher())
    return;
  // Only this rig writes the document, so its store version equals its
  // revision.
  StoreVersion From(Hosts[I].Holder->revision().number());
  Store.watch(
      ConfigStoreKey, From, Seconds(10),
      [this, I](const Result<std::optional<StoredValue>> &Reply) {
        bool Changed = ok(Reply) && valueOf(Reply);
        if (Changed)
          Time.after(storeDelay(), [this, I, Text = valueOf(Reply)->Value] {
            onHost(I, [this, I, Text] {
              Result<Config> Parsed = parseConfig(Text);
              if (ok(Parsed))
                applyIfNewer(I, valueOf(Parsed), ConfigSource::Watch);
            });
          });
        Time.after(storeDelay() + WatchRetry, [this, I] { startWatch(I); });
      });
}

void ConfigRig::gossip() {
  for (size_t I = 0; I < HostCount; ++I) {
    size_t To = (I + 1 + Rand.below(HostCount - 1)) % HostCount;
    if (Time.Now < Hosts[I].PausedUntil ||
        Time.Now < Hosts[To].MessagesLostUntil)
      continue;
    Revision PeerRevision = Hosts[I].ActiveConfig->ConfigRevision;
    Time.after(NetworkDelay, [this, I, To, PeerRevision] {
      onHost(To, [this, I, To, PeerRevision] {
        performPull(To, Hosts[To].Holder->onAnnouncement(
                            Hosts[I].Id, PeerRevision, Time.Now));
      });
    });
  }
}

void ConfigRig::performPull(size_t I,
                            const std::optional<SendConfigPull> &From) {
  if (!From)
    return;
  HostId Peer = From->Peer;
  size_t Source = static_cast<size_t>(std::stoi(Peer.text().substr(1)));
  onHost(Source, [this, I, Source, Peer] {
    if (Time.Now < Hosts[I].MessagesLostUntil ||
        Time.Now < Hosts[Source].MessagesLostUntil)
      return;
    Config Document = *Hosts[Source].ActiveConfig;
    Time.after(2 * NetworkDelay, [this, I, Peer, Document] {
      onHost(I, [this, I, Peer, Document] {
        auto Next = Hosts[I].Holder->onPullReply(Peer, Document, Time.Now);
        applyIfNewer(I, Document, ConfigSource::Peer);
        performPull(I, Next);
      });
    });
  });
}

void ConfigRig::applyIfNewer(size_t I, const Config &Document,
                             ConfigSource Source) {
  Host &H = Hosts[I];
  H.Holder->applyIfNewer(Document, Source);
  std::shared_ptr<const Config> ActiveConfig = H.Holder->config();
  if (Bug == InjectedBug::AnyRevisionApplied)
    ActiveConfig = std::make_shared<const Config>(Document);
  if (ActiveConfig->ConfigRevision == H.ActiveConfig->ConfigRevision)
    return;
  H.ActiveConfig = ActiveConfig;
  Event Now{Time.Now, EventKind::ConfigApplied, H.Id.text()};
  Now.Count = ActiveConfig->ConfigRevision.number();
  Log.add(std::move(Now));
  if (I == 2 && OnConfigApplied)
    OnConfigApplied(*ActiveConfig);
}

void ConfigRig::onHost(size_t I, const std::function<void()> &Callback) {
  if (Time.Now < Hosts[I].PausedUntil)
    Time.after(Hosts[I].PausedUntil - Time.Now, Callback);
  else
    Callback();
}

} // namespace mimosa
