#include "backend/backend_directory.h"

#include "backend/shard_ranges.h"

#include <algorithm>
#include <tuple>

namespace mimosa {
namespace {

constexpr double ServiceSampleWeight = 1.0 / 128;
// Samples are capped at this many times the service's average, so that a few
// stragglers do not raise the bound above which a sample is slow.
constexpr double ServiceSampleCap = 4;
// Owners of a backend server whose last sequence numbers are kept.
constexpr size_t MaxTrackedOwners = 4;
// Owners repeat their summaries every 10 s, so an older one is superseded.
constexpr Duration PendingSummaryLifetime = Seconds(10);

/// The snapshots with unpacked shards; empty if the shard ranges of one of them
/// are invalid.
std::optional<std::vector<BackendSnapshot>>
unpackSnapshots(const std::vector<SnapshotSummary> &Packed) {
  std::vector<BackendSnapshot> Unpacked;
  for (const SnapshotSummary &Summary : Packed) {
    auto Shards = unpackShards(Summary.Ranges, Summary.TotalShards);
    if (!Shards)
      return std::nullopt;
    Unpacked.push_back({Summary.Snapshot, Summary.Order, Summary.TotalShards,
                        *std::move(Shards)});
  }
  return Unpacked;
}

} // namespace

BackendDirectory::BackendDirectory(BackendDirectoryOptions Options)
    : Window(Options.Latency), Budget(Options.Extra) {}

void BackendDirectory::setBackendServers(
    const std::vector<ConfiguredBackendServer> &Listed, MonotonicTime Now) {
  std::vector<Server> Next(Listed.size());
  for (size_t I = 0; I < Listed.size(); ++I) {
    if (Server *Known = find(Listed[I].Backend))
      Next[I] = std::move(*Known);
    Next[I].Config = Listed[I];
  }
  Servers = std::move(Next);
  IndexOf.clear();
  for (size_t I = 0; I < Servers.size(); ++I)
    IndexOf.emplace(Servers[I].Config.Backend, static_cast<uint32_t>(I));
  applyPendingSummaries(Now);
  rebuildMap();
}

void BackendDirectory::setOwners(std::vector<std::optional<HostId>> ByPartition,
                                 MonotonicTime Now) {
  for (size_t I = 0; I < Owners.size(); ++I)
    if (Owners[I] && I < ByPartition.size() && !ByPartition[I])
      Budget.recordFault(Now);
  Owners = std::move(ByPartition);
  applyPendingSummaries(Now);
  rebuildMap();
}

bool BackendDirectory::onSummary(const BackendSummary &Summary,
                                 MonotonicTime Now) {
  Server *Target = find(Summary.Backend);
  if (!Target) {
    ++Counters.SummariesUnknownBackend;
    return false;
  }
  if (ownerOf(*Target) != Summary.Owner) {
    ++Counters.SummariesFromNonOwner;
    Target->Pending = {Summary, Now};
    return false;
  }
  bool WasUsable = isUsable(*Target);
  std::vector<BackendSnapshot> Before = Target->Snapshots;
  if (!accept(*Target, Summary, Now))
    return false;
  if (isUsable(*Target) != WasUsable || Target->Snapshots != Before)
    rebuildMap();
  return true;
}

bool BackendDirectory::accept(Server &Target, const BackendSummary &Summary,
                              MonotonicTime Now) {
  auto Snapshots = unpackSnapshots(Summary.Snapshots);
  if (!Snapshots) {
    ++Counters.SummariesMalformed;
    return false;
  }
  if (!advanceSequence(Target, Summary)) {
    ++Counters.SummariesStale;
    return false;
  }
  ++Counters.SummariesAccepted;
  apply(Target, Summary, *std::move(Snapshots), Now);
  return true;
}

bool BackendDirectory::advanceSequence(Server &Target,
                                       const BackendSummary &Summary) {
  auto Last = std::find_if(
      Target.LastSequences.begin(), Target.LastSequences.end(),
      [&](const LastSequence &L) { return L.Owner == Summary.Owner; });
  if (Last == Target.LastSequences.end()) {
    if (Target.LastSequences.size() == MaxTrackedOwners)
      Target.LastSequences.erase(Target.LastSequences.begin());
    Target.LastSequences.push_back(
        {Summary.Owner, Summary.OwnerIncarnation, Summary.Sequence});
    return true;
  }
  if (std::make_tuple(Summary.OwnerIncarnation, Summary.Sequence) <=
      std::make_tuple(Last->OwnerIncarnation, Last->Sequence))
    return false;
  Last->OwnerIncarnation = Summary.OwnerIncarnation;
  Last->Sequence = Summary.Sequence;
  return true;
}

void BackendDirectory::apply(Server &Target, const BackendSummary &Summary,
                             std::vector<BackendSnapshot> Snapshots,
                             MonotonicTime Now) {
  bool Restarted = Target.BackendIncarnation != Incarnation() &&
                   Target.BackendIncarnation != Summary.BackendIncarnation;
  bool StatusLost = Target.State != BackendState::Unknown &&
                    Target.State != BackendState::Draining &&
                    Summary.State == BackendState::Unknown;
  if (Restarted || StatusLost)
    Budget.recordFault(Now);
  Target.State = Summary.State;
  Target.BackendIncarnation = Summary.BackendIncarnation;
  Target.Limit = Summary.Limit;
  Target.Snapshots = std::move(Snapshots);
  Target.Load.onOwnerReport(Summary.QueueLength, Summary.Limit, Now);
}

void BackendDirectory::applyPendingSummaries(MonotonicTime Now) {
  for (Server &Target : Servers) {
    if (!Target.Pending || ownerOf(Target) != Target.Pending->Summary.Owner)
      continue;
    if (Now - Target.Pending->ArrivedAt <= PendingSummaryLifetime)
      accept(Target, Target.Pending->Summary, Now);
    Target.Pending.reset();
  }
}

void BackendDirectory::rebuildMap() {
  std::vector<UsableBackend> Backends;
  for (const Server &Candidate : Servers)
    if (isUsable(Candidate))
      Backends.push_back({&Candidate.Config.Backend,
                          Candidate.Config.OtherRegion, &Candidate.Snapshots});
  Counters.ShardCountMismatches += Map.rebuild(Backends);
}

void BackendDirectory::onOwnerReport(const BackendServerId &Backend,
                                     uint32_t QueueLength, uint32_t Limit,
                                     MonotonicTime Now) {
  if (Server *Target = find(Backend))
    Target->Load.onOwnerReport(QueueLength, Limit, Now);
}

std::optional<BackendServerId>
BackendDirectory::takeProbe(const SnapshotId &Snapshot, ShardId Shard,
                            MonotonicTime Now) {
  for (const BackendServerId &Backend : replicas(Snapshot, Shard)) {
    Server *Candidate = find(Backend);
    if (!Candidate->Load.probeDue(Now))
      continue;
    if (!tryTakeExtra(ExtraLoad::Probe, Now))
      return std::nullopt;
    Candidate->Load.onProbeSent(Now);
    return Backend;
  }
  return std::nullopt;
}

std::optional<SnapshotChoice>
BackendDirectory::chooseSnapshot(const std::vector<SnapshotId> &Excluded,
                                 MonotonicTime) const {
  return Map.choose(Excluded);
}

const std::vector<BackendServerId> &
BackendDirectory::replicas(const SnapshotId &Snapshot, ShardId Shard) const {
  return Map.replicas(Snapshot, Shard);
}

Duration BackendDirectory::expectedLatency(const BackendServerId &Backend,
                                           MonotonicTime Now) const {
  const Server *Known = find(Backend);
  return Known ? Known->Load.expectedLatency(serviceMean(), Now)
               : serviceMean();
}

std::optional<HostId>
BackendDirectory::owner(const BackendServerId &Backend) const {
  const Server *Known = find(Backend);
  return Known ? ownerOf(*Known) : std::nullopt;
}

Duration BackendDirectory::hedgeDelay(MonotonicTime Now) const {
  return Window.hedgeDelay(Now);
}

bool BackendDirectory::tryTakeExtra(ExtraLoad Kind, MonotonicTime) {
  if (!Budget.tryTake(Kind)) {
    ++Counters.ExtraDenied;
    return false;
  }
  Counters.HedgesTaken += Kind == ExtraLoad::Hedge;
  Counters.RetriesTaken += Kind == ExtraLoad::Retry;
  Counters.ProbesTaken += Kind == ExtraLoad::Probe;
  return true;
}

void BackendDirectory::onSubRequestSent(const BackendServerId &Backend,
                                        MonotonicTime Now) {
  Budget.onSubRequestSent(Now);
  if (Server *Target = find(Backend))
    Target->Load.onSubRequestSent(Now);
}

void BackendDirectory::onSubRequestEnded(const BackendServerId &Backend,
                                         std::optional<Duration> Latency,
                                         MonotonicTime Now) {
  Server *Target = find(Backend);
  if (!Target)
    return;
  const ServiceLatency Service = {serviceMean(), Window.hedgeDelay(Now)};
  if (auto Sample = Target->Load.onSubRequestEnded(Latency, Service, Now))
    recordSample(*Sample, Now);
}

// The lower bounds of cancelled sub-requests are part of the window: without
// them it would hold only fast sub-requests, and the percentile would fall with
// each recomputation.
void BackendDirectory::recordSample(Duration Sample, MonotonicTime Now) {
  Window.record(Sample, Now);
  auto Us = static_cast<double>(Sample.count());
  ++SampleCount;
  if (SampleCount == 1) {
    ServiceMeanUs = std::max(Us, 1.0);
    return;
  }
  // The first samples have equal weights, so that a slow first one soon loses
  // its influence.
  double Weight =
      std::max(ServiceSampleWeight, 1 / static_cast<double>(SampleCount));
  Us = std::min(Us, ServiceSampleCap * ServiceMeanUs);
  ServiceMeanUs = std::max(1.0, ServiceMeanUs + (Us - ServiceMeanUs) * Weight);
}

BackendDirectory::Server *
BackendDirectory::find(const BackendServerId &Backend) {
  auto Found = IndexOf.find(Backend);
  return Found == IndexOf.end() ? nullptr : &Servers[Found->second];
}

const BackendDirectory::Server *
BackendDirectory::find(const BackendServerId &Backend) const {
  auto Found = IndexOf.find(Backend);
  return Found == IndexOf.end() ? nullptr : &Servers[Found->second];
}

const std::optional<HostId> &
BackendDirectory::ownerOf(const Server &Target) const {
  static const std::optional<HostId> None;
  return Target.Config.Partition < Owners.size()
             ? Owners[Target.Config.Partition]
             : None;
}

bool BackendDirectory::isUsable(const Server &Target) const {
  bool ServingOrCold = Target.State == BackendState::Serving ||
                       Target.State == BackendState::Cold;
  return ServingOrCold && Target.Limit > 0 && !Target.Config.Draining &&
         !Target.Config.ZoneOut && ownerOf(Target).has_value();
}

std::vector<BackendServerStatus> BackendDirectory::status() const {
  std::vector<BackendServerStatus> All;
  for (const Server &Each : Servers)
    All.push_back({Each.Config.Backend, Each.State, isUsable(Each),
                   Each.Load.straggler(), Each.Load.inFlight(), Each.Limit,
                   ownerOf(Each)});
  return All;
}

} // namespace mimosa
