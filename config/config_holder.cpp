#include "config/config_holder.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace mimosa {

ConfigHolder::ConfigHolder(HostId Self, AvailabilityZoneId Zone,
                           ConfigHolderOptions Options)
    : Self(std::move(Self)), Zone(std::move(Zone)), Options(Options),
      Current(std::make_shared<const Config>()) {}

bool ConfigHolder::applyIfNewer(Config Document, ConfigSource Source) {
  if (Document.ConfigRevision < revision()) {
    ++Counters.RefusedOld;
    return false;
  }
  if (Document.ConfigRevision == revision()) {
    ++Counters.Repeated;
    return false;
  }
  Current = std::make_shared<const Config>(std::move(Document));
  ++Counters.Adopted[static_cast<size_t>(Source)];
  dropUselessSources();
  return true;
}

void ConfigHolder::dropUselessSources() {
  auto IsUseless = [this](const PullSource &Source) {
    return Source.Announced <= revision();
  };
  Sources.erase(std::remove_if(Sources.begin(), Sources.end(), IsUseless),
                Sources.end());
}

ConfigHolder::PullSource *ConfigHolder::replaceableSource(Revision Announced) {
  for (PullSource &Known : Sources)
    if (!Known.Answers)
      return &Known;
  // A full list must still learn of a newer revision.
  for (PullSource &Known : Sources)
    if (Known.Announced < Announced)
      return &Known;
  return nullptr;
}

void ConfigHolder::rememberSource(const HostId &Peer, Revision Announced) {
  for (PullSource &Known : Sources) {
    if (Known.Peer != Peer)
      continue;
    Known.Announced = std::max(Known.Announced, Announced);
    Known.Answers = true;
    return;
  }
  PullSource New{Peer, Announced, MonotonicTime(), true};
  if (Sources.size() < Options.MaxSources)
    Sources.push_back(New);
  else if (PullSource *Replaced = replaceableSource(Announced))
    *Replaced = New;
}

std::optional<SendConfigPull> ConfigHolder::startPull(MonotonicTime Now) {
  if (Pending)
    return std::nullopt;
  const PullSource *Best = nullptr;
  for (const PullSource &Source : Sources) {
    if (!Source.Answers || Source.NotBefore > Now)
      continue;
    if (!Best || Best->Announced < Source.Announced)
      Best = &Source;
  }
  if (!Best)
    return std::nullopt;
  Pending = PendingPull{Best->Peer, Now + Options.PullTimeout};
  ++Counters.Pulls;
  return SendConfigPull{Best->Peer};
}

void ConfigHolder::failPull(MonotonicTime Now) {
  ++Counters.FailedPulls;
  for (PullSource &Source : Sources) {
    if (Source.Peer != Pending->Peer)
      continue;
    Source.NotBefore = Now + Options.PeerRetryDelay;
    Source.Answers = false;
  }
  Pending.reset();
}

std::optional<SendConfigPull> ConfigHolder::onAnnouncement(const HostId &Peer,
                                                           Revision Announced,
                                                           MonotonicTime Now) {
  if (Announced <= revision())
    return std::nullopt;
  rememberSource(Peer, Announced);
  return startPull(Now);
}

std::optional<SendConfigPull>
ConfigHolder::onPullReply(const HostId &Peer, std::optional<Config> Document,
                          MonotonicTime Now) {
  bool Expected = Pending && Pending->Peer == Peer;
  bool Useful =
      Document && applyIfNewer(std::move(*Document), ConfigSource::Peer);
  if (!Expected)
    return std::nullopt;
  if (Useful)
    Pending.reset();
  else
    failPull(Now);
  return startPull(Now);
}

std::optional<SendConfigPull> ConfigHolder::onTick(MonotonicTime Now) {
  if (Pending && Now >= Pending->Deadline)
    failPull(Now);
  return startPull(Now);
}

void ConfigHolder::setZoneHosts(const std::vector<HostId> &LiveHosts) {
  std::string Key = std::string(ConfigStoreKey) + "/" + Zone.text();
  uint64_t Own = rendezvousWeight(Key, Self.text());
  size_t Ahead = 0;
  for (const HostId &Host : LiveHosts)
    if (Host != Self && rendezvousWeight(Key, Host.text()) > Own)
      ++Ahead;
  Watcher = Ahead < WatchersPerZone;
}

} // namespace mimosa
