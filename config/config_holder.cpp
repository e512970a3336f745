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
    ++Counters.Outdated;
    return false;
  }
  if (Document.ConfigRevision == revision()) {
    ++Counters.Duplicates;
    return false;
  }
  Current = std::make_shared<const Config>(std::move(Document));
  ++Counters.Applied[static_cast<size_t>(Source)];
  removeOutdatedSources();
  return true;
}

void ConfigHolder::removeOutdatedSources() {
  auto IsOutdated = [this](const PullSource &Source) {
    return Source.Announced <= revision();
  };
  Sources.erase(std::remove_if(Sources.begin(), Sources.end(), IsOutdated),
                Sources.end());
}

ConfigHolder::PullSource *ConfigHolder::replaceableSource(Revision Announced) {
  for (PullSource &Existing : Sources)
    if (!Existing.Eligible)
      return &Existing;
  // Even if the list is full, a peer with a newer revision must be recorded.
  for (PullSource &Existing : Sources)
    if (Existing.Announced < Announced)
      return &Existing;
  return nullptr;
}

void ConfigHolder::recordSource(const HostId &Peer, Revision Announced) {
  for (PullSource &Existing : Sources) {
    if (Existing.Peer != Peer)
      continue;
    Existing.Announced = std::max(Existing.Announced, Announced);
    Existing.Eligible = true;
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
    if (!Source.Eligible || Source.RetryAt > Now)
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
    Source.RetryAt = Now + Options.PeerRetryDelay;
    Source.Eligible = false;
  }
  Pending.reset();
}

std::optional<SendConfigPull> ConfigHolder::onAnnouncement(const HostId &Peer,
                                                           Revision Announced,
                                                           MonotonicTime Now) {
  if (Announced <= revision())
    return std::nullopt;
  recordSource(Peer, Announced);
  return startPull(Now);
}

std::optional<SendConfigPull>
ConfigHolder::onPullReply(const HostId &Peer, std::optional<Config> Document,
                          MonotonicTime Now) {
  bool Expected = Pending && Pending->Peer == Peer;
  bool Applied =
      Document && applyIfNewer(std::move(*Document), ConfigSource::Peer);
  if (!Expected)
    return std::nullopt;
  if (Applied)
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
  uint64_t OwnWeight = rendezvousWeight(Key, Self.text());
  size_t HigherRanked = 0;
  for (const HostId &Host : LiveHosts)
    if (Host != Self && rendezvousWeight(Key, Host.text()) > OwnWeight)
      ++HigherRanked;
  Watcher = HigherRanked < WatchersPerZone;
}

} // namespace mimosa
