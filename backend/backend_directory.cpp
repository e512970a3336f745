#include "backend/backend_directory.h"

#include "backend/shard_ranges.h"

#include <algorithm>
#include <tuple>

namespace mimosa {
namespace {

constexpr double ServiceSampleWeight = 1.0 / 128;
// A slow sample moves the service's average by at most this many times the
// average, so that a few stragglers do not raise the bound for stragglers.
constexpr double ServiceSampleCap = 4;
constexpr size_t MaxMarks = 4;
// Owners repeat their summaries every 10 s, so an older one is of no use.
constexpr Duration KeptAsideLifetime = Seconds(10);

/// The snapshots with unpacked shards; nothing if one of them is impossible.
std::optional<std::vector<HeldSnapshot>>
unpackSnapshots(const std::vector<SnapshotSummary> &Packed) {
  std::vector<HeldSnapshot> Held;
  for (const SnapshotSummary &Summary : Packed) {
    auto Shards = unpackShards(Summary.Ranges, Summary.TotalShards);
    if (!Shards)
      return std::nullopt;
    Held.push_back({Summary.Snapshot, Summary.Order, Summary.TotalShards,
                    *std::move(Shards)});
  }
  return Held;
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
    Next[I].Listed = Listed[I];
  }
  Servers = std::move(Next);
  IndexOf.clear();
  for (size_t I = 0; I < Servers.size(); ++I)
    IndexOf.emplace(Servers[I].Listed.Backend, static_cast<uint32_t>(I));
  applyKeptAside(Now);
  rebuildMap();
}

void BackendDirectory::setOwners(std::vector<std::optional<HostId>> ByPartition,
                                 MonotonicTime Now) {
  for (size_t I = 0; I < Owners.size(); ++I)
    if (Owners[I] && I < ByPartition.size() && !ByPartition[I])
      Budget.noteFault(Now);
  Owners = std::move(ByPartition);
  applyKeptAside(Now);
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
    ++Counters.SummariesNotByOwner;
    Target->KeptAside = {Summary, Now};
    return false;
  }
  bool WasUsable = usable(*Target);
  std::vector<HeldSnapshot> Before = Target->Snapshots;
  if (!accept(*Target, Summary, Now))
    return false;
  if (usable(*Target) != WasUsable || Target->Snapshots != Before)
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
  if (!advanceMark(Target, Summary)) {
    ++Counters.SummariesOld;
    return false;
  }
  ++Counters.SummariesAccepted;
  apply(Target, Summary, *std::move(Snapshots), Now);
  return true;
}

bool BackendDirectory::advanceMark(Server &Target,
                                   const BackendSummary &Summary) {
  auto Mark = std::find_if(
      Target.Marks.begin(), Target.Marks.end(),
      [&](const SequenceMark &M) { return M.Owner == Summary.Owner; });
  if (Mark == Target.Marks.end()) {
    if (Target.Marks.size() == MaxMarks)
      Target.Marks.erase(Target.Marks.begin());
    Target.Marks.push_back(
        {Summary.Owner, Summary.OwnerIncarnation, Summary.Sequence});
    return true;
  }
  if (std::make_tuple(Summary.OwnerIncarnation, Summary.Sequence) <=
      std::make_tuple(Mark->OwnerIncarnation, Mark->Sequence))
    return false;
  Mark->OwnerIncarnation = Summary.OwnerIncarnation;
  Mark->Sequence = Summary.Sequence;
  return true;
}

void BackendDirectory::apply(Server &Target, const BackendSummary &Summary,
                             std::vector<HeldSnapshot> Snapshots,
                             MonotonicTime Now) {
  bool Restarted = Target.BackendIncarnation != Incarnation() &&
                   Target.BackendIncarnation != Summary.BackendIncarnation;
  bool Lost = Target.State != BackendState::Unknown &&
              Target.State != BackendState::Draining &&
              Summary.State == BackendState::Unknown;
  if (Restarted || Lost)
    Budget.noteFault(Now);
  Target.State = Summary.State;
  Target.BackendIncarnation = Summary.BackendIncarnation;
  Target.Limit = Summary.Limit;
  Target.Snapshots = std::move(Snapshots);
  Target.Load.onOwnerReport(Summary.QueueLength, Summary.Limit, Now);
}

void BackendDirectory::applyKeptAside(MonotonicTime Now) {
  for (Server &Target : Servers) {
    if (!Target.KeptAside || ownerOf(Target) != Target.KeptAside->Summary.Owner)
      continue;
    if (Now - Target.KeptAside->ArrivedAt <= KeptAsideLifetime)
      accept(Target, Target.KeptAside->Summary, Now);
    Target.KeptAside.reset();
  }
}

void BackendDirectory::rebuildMap() {
  std::vector<ReplicaHolder> Holders;
  for (const Server &Candidate : Servers)
    if (usable(Candidate))
      Holders.push_back({&Candidate.Listed.Backend,
                         Candidate.Listed.OtherRegion, &Candidate.Snapshots});
  Counters.SnapshotsOtherTotal += Map.rebuild(Holders);
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
    if (!takeExtra(ExtraLoad::Probe, Now))
      return std::nullopt;
    Candidate->Load.probed(Now);
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
  return Known ? Known->Load.expected(serviceMean(), Now) : serviceMean();
}

std::optional<HostId>
BackendDirectory::owner(const BackendServerId &Backend) const {
  const Server *Known = find(Backend);
  return Known ? ownerOf(*Known) : std::nullopt;
}

Duration BackendDirectory::hedgeDelay(MonotonicTime Now) const {
  return Window.hedgeDelay(Now);
}

bool BackendDirectory::takeExtra(ExtraLoad Kind, MonotonicTime) {
  if (!Budget.take(Kind)) {
    ++Counters.ExtraRefused;
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
    noteSample(*Sample, Now);
}

// The lower bounds of cancelled sub-requests are part of the window: without
// them the percentile would be taken of the fast ones only and would sink with
// each recomputation.
void BackendDirectory::noteSample(Duration Sample, MonotonicTime Now) {
  Window.record(Sample, Now);
  auto Us = static_cast<double>(Sample.count());
  ++SampleCount;
  if (SampleCount == 1) {
    ServiceMeanUs = std::max(Us, 1.0);
    return;
  }
  // The first samples are weighed equally, so that a slow first one is soon
  // outweighed.
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

const std::optional<HostId> &BackendDirectory::ownerOf(const Server &Of) const {
  static const std::optional<HostId> None;
  return Of.Listed.Partition < Owners.size() ? Owners[Of.Listed.Partition]
                                             : None;
}

bool BackendDirectory::usable(const Server &Of) const {
  bool Answers =
      Of.State == BackendState::Serving || Of.State == BackendState::Cold;
  return Answers && Of.Limit > 0 && !Of.Listed.Draining && !Of.Listed.ZoneOut &&
         ownerOf(Of).has_value();
}

std::vector<BackendServerStatus> BackendDirectory::status() const {
  std::vector<BackendServerStatus> All;
  for (const Server &Of : Servers)
    All.push_back({Of.Listed.Backend, Of.State, usable(Of), Of.Load.straggler(),
                   Of.Load.inFlight(), Of.Limit, ownerOf(Of)});
  return All;
}

} // namespace mimosa
