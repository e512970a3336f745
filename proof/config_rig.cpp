#include "proof/config_rig.h"

namespace mimosa {

namespace {

constexpr size_t HostCount = 4;
constexpr Duration Hop = Milliseconds(1);
constexpr Duration FaultTime = Milliseconds(2000);
constexpr Duration SilentTime = Milliseconds(1000);
constexpr Duration OperatorPause = Milliseconds(300);
constexpr Duration SlowStore = Milliseconds(400);
constexpr Duration GossipInterval = Milliseconds(200);
constexpr Duration WatchRetry = Milliseconds(500);
/// A copy of the first document arrives this late.
constexpr Duration StaleCopy = Milliseconds(2500);

std::optional<StoredConfig> storedOf(const StoredValue &Value) {
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

ConfigRig::ConfigRig(Break Broken)
    : Broken(Broken), Seen(OwnRecord), Time(OwnTime), First(firstDocument()) {
  boot();
}

ConfigRig::ConfigRig(Break Broken, Record &Seen, Timeline &Time, Config First)
    : Broken(Broken), Seen(Seen), Time(Time), First(std::move(First)) {
  boot();
}

void ConfigRig::boot() {
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
    H.Taken = H.Holder->config();
    Hosts.push_back(std::move(H));
    Seen.Hosts.push_back(Ids[I].text());
    offer(I, First, ConfigSource::Store);
    watch(I);
  }
  Time.every(GossipInterval, [this] { gossip(); });
  Time.every(Milliseconds(100), [this] {
    for (size_t I = 0; I < HostCount; ++I)
      if (Time.Now >= Hosts[I].PausedUntil)
        pull(I, Hosts[I].Holder->onTick(Time.Now));
  });
}

bool ConfigRig::runChange(Step At, const std::vector<Fault> &Faults) {
  Wanted = At;
  Pending = Faults;
  Time.run(Seconds(1));
  change(0, "operator-a/1", [](Config &C) {
    C.Regions.push_back({RegionId("north"), {{AvailabilityZoneId("z1")}}});
  });
  Time.run(Seconds(12));
  Seen.End = Time.Now;
  return Reached;
}

void ConfigRig::reach(Step S) {
  if (Reached || Wanted != S)
    return;
  Reached = true;
  for (size_t I = 0; I < Pending.size(); ++I) {
    Fault F = Pending[I];
    if (I > 0 && F == Pending[0])
      Time.after(RepeatDelay, [this, F] { inject(F); });
    else
      inject(F);
  }
}

void ConfigRig::inject(Fault F) {
  Seen.add({Time.Now, EventKind::Note, "", "", faultName(F)});
  if (F == Fault::StoreDown) {
    Store.setDown(true);
    Time.after(FaultTime, [this] { Store.setDown(false); });
  } else if (F == Fault::StoreSlow) {
    StoreSlowUntil = Time.Now + FaultTime;
  } else if (F == Fault::StoreReplyLost) {
    Store.loseReplies(1);
  } else if (F == Fault::LeaseLapses) {
    // Host 1 follows through its watch or a peer when it runs again.
    Hosts[1].PausedUntil = Time.Now + FaultTime;
  } else if (F == Fault::SilentConnection) {
    Hosts[2].SilentUntil = Time.Now + SilentTime;
  } else if (F == Fault::TwoOperators) {
    change(3, "operator-b/" + std::to_string(++OtherChanges), [](Config &C) {
      Service Added;
      Added.Name = ServiceId("other");
      C.Services.push_back(std::move(Added));
    });
  }
}

void ConfigRig::change(size_t Through, const std::string &ChangeId,
                       const std::function<void(Config &)> &Edit) {
  Config Document = *Hosts[Through].Holder->config();
  Revision Expected = Document.ConfigRevision;
  Edit(Document);
  auto Op = std::make_shared<Operation>();
  Op->Through = Through;
  Op->ChangeId = ChangeId;
  Op->Edit = Edit;
  Op->Before = *Hosts[Through].Holder->config();
  Op->Writer = std::make_unique<ConfigWriter>(
      ConfigChange{Expected, ChangeId, std::move(Document)});
  Seen.add({Time.Now, EventKind::Note, "", "", ChangeId + " asks"});
  follow(Op, Op->Writer->start());
}

void ConfigRig::follow(const Done &Op, WriteStep Next) {
  std::visit([&](const auto &Wish) { act(Op, Wish); }, Next);
}

Duration ConfigRig::storeDelay() const {
  return Time.Now < StoreSlowUntil ? Duration(SlowStore) : Duration(Hop);
}

void ConfigRig::act(const Done &Op, const ReadStoredConfig &Read) {
  Time.after(Read.Delay + Hop, [this, Op] {
    reach(Step::ConfigRead);
    Store.read(ConfigStoreKey, [this, Op](const Result<StoredValue> &Reply) {
      Time.after(storeDelay(), [this, Op, Reply] {
        if (ok(Reply))
          follow(Op, Op->Writer->onRead(storedOf(valueOf(Reply))));
        else if (errorOf(Reply).Code == ResultCode::NotFound)
          follow(Op, Op->Writer->onRead(std::nullopt));
        else
          follow(Op, Op->Writer->onReadFailed());
      });
    });
  });
}

void ConfigRig::act(const Done &Op, const CompareAndSwapConfig &Write) {
  reach(Step::ConfigWrite);
  Seen.add({Time.Now, EventKind::Note, "", "", Op->ChangeId + " writes"});
  auto OnReply = [this, Op](const Result<SwapReply> &Reply) {
    reach(Step::ConfigReply);
    Time.after(storeDelay(), [this, Op, Reply] {
      if (!ok(Reply))
        follow(Op, errorOf(Reply).Code == ResultCode::StoreUnavailable
                       ? Op->Writer->onWriteFailed()
                       : Op->Writer->onWriteReplyLost());
      else if (valueOf(Reply).Swapped)
        follow(Op, Op->Writer->onWritten());
      else
        follow(Op,
               Op->Writer->onVersionConflict(storedOf(valueOf(Reply).Current)));
    });
  };
  Store.compareAndSwap(ConfigStoreKey, Write.Value,
                       StoreVersion(Write.ExpectedVersion), OnReply);
}

void ConfigRig::act(const Done &Op, const ConfigChangeResult &Finished) {
  Seen.add({Time.Now, EventKind::Note, "", "",
            Op->ChangeId + " ends: " + resultCodeName(Finished.Code)});
  if (Finished.Code != ResultCode::Ok) {
    Time.after(OperatorPause,
               [this, Op] { change(Op->Through, Op->ChangeId, Op->Edit); });
    return;
  }
  Event Accepted{Time.Now, EventKind::Accepted, Op->ChangeId};
  Accepted.Count = Finished.StoredDocument->ConfigRevision.number();
  Seen.add(std::move(Accepted));
  noteZones(Op->Before, *Finished.StoredDocument);
  reach(Step::ConfigSpread);
  onHost(Op->Through, [this, Op, Document = *Finished.StoredDocument] {
    offer(Op->Through, Document, ConfigSource::Store);
  });
  // A reply that was under way since before the change.
  for (size_t I = 0; I < HostCount; ++I)
    Time.after(StaleCopy, [this, I] { offer(I, First, ConfigSource::Watch); });
}

void ConfigRig::noteZones(const Config &Old, const Config &New) {
  for (const Region &R : New.Regions)
    for (const AvailabilityZone &Z : R.Zones)
      if (Old.zone(Z.Name) && Old.zone(Z.Name)->State != Z.State)
        Seen.add(
            {Time.Now,
             Z.State == ZoneState::Out ? EventKind::ZoneOut : EventKind::ZoneIn,
             Z.Name.text()});
}

void ConfigRig::watch(size_t I) {
  if (!Hosts[I].Holder->isWatcher())
    return;
  // Only this rig writes the document, so versions and revisions agree.
  StoreVersion From(Hosts[I].Holder->revision().number());
  Store.watch(ConfigStoreKey, From, Seconds(10),
              [this, I](const Result<std::optional<StoredValue>> &Reply) {
                bool Came = ok(Reply) && valueOf(Reply);
                if (Came)
                  Time.after(
                      storeDelay(), [this, I, Text = valueOf(Reply)->Value] {
                        onHost(I, [this, I, Text] {
                          Result<Config> Parsed = parseConfig(Text);
                          if (ok(Parsed))
                            offer(I, valueOf(Parsed), ConfigSource::Watch);
                        });
                      });
                Time.after(storeDelay() + WatchRetry, [this, I] { watch(I); });
              });
}

void ConfigRig::gossip() {
  for (size_t I = 0; I < HostCount; ++I) {
    size_t To = (I + 1 + Rand.below(HostCount - 1)) % HostCount;
    if (Time.Now < Hosts[I].PausedUntil || Time.Now < Hosts[To].SilentUntil)
      continue;
    Revision Told = Hosts[I].Taken->ConfigRevision;
    Time.after(Hop, [this, I, To, Told] {
      onHost(To, [this, I, To, Told] {
        pull(To, Hosts[To].Holder->onAnnouncement(Hosts[I].Id, Told, Time.Now));
      });
    });
  }
}

void ConfigRig::pull(size_t I, const std::optional<SendConfigPull> &From) {
  if (!From)
    return;
  HostId Peer = From->Peer;
  size_t Source = static_cast<size_t>(std::stoi(Peer.text().substr(1)));
  onHost(Source, [this, I, Source, Peer] {
    if (Time.Now < Hosts[I].SilentUntil || Time.Now < Hosts[Source].SilentUntil)
      return;
    Config Document = *Hosts[Source].Taken;
    Time.after(2 * Hop, [this, I, Peer, Document] {
      onHost(I, [this, I, Peer, Document] {
        auto Next = Hosts[I].Holder->onPullReply(Peer, Document, Time.Now);
        offer(I, Document, ConfigSource::Peer);
        pull(I, Next);
      });
    });
  });
}

void ConfigRig::offer(size_t I, const Config &Document, ConfigSource Source) {
  Host &H = Hosts[I];
  H.Holder->applyIfNewer(Document, Source);
  std::shared_ptr<const Config> InForce = H.Holder->config();
  if (Broken == Break::AnyRevisionTaken)
    InForce = std::make_shared<const Config>(Document);
  if (InForce->ConfigRevision == H.Taken->ConfigRevision)
    return;
  H.Taken = InForce;
  Event Now{Time.Now, EventKind::InForce, H.Id.text()};
  Now.Count = InForce->ConfigRevision.number();
  Seen.add(std::move(Now));
  if (I == 2 && OnInForce)
    OnInForce(*InForce);
}

void ConfigRig::onHost(size_t I, const std::function<void()> &Do) {
  if (Time.Now < Hosts[I].PausedUntil)
    Time.after(Hosts[I].PausedUntil - Time.Now, Do);
  else
    Do();
}

} // namespace mimosa
