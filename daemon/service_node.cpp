#include "daemon/service_node.h"

#include "backend/shard_ranges.h"
#include "base/rendezvous.h"
#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Interval of reports without a change, for hosts that missed one.
constexpr Duration OwnershipReportInterval = Seconds(2);
constexpr Duration FullReportInterval = Seconds(10);
/// The highest number of backend servers that one host is preferred for, as a
/// multiple of the mean.
constexpr double MaxOwnerLoadFactor = 1.25;

/// Window for the 99th percentile of service times, from which silent
/// connections are detected.
LatencyWindowOptions silenceWindow() {
  LatencyWindowOptions Out;
  Out.Quantile = 0.99;
  return Out;
}

BackendState summaryState(const SchedulerSummary &Summary) {
  if (!Summary.IncarnationKnown || !Summary.Reachable)
    return BackendState::Unknown;
  switch (Summary.State) {
  case ReportedState::Serving:
    return BackendState::Serving;
  case ReportedState::Cold:
    return BackendState::Cold;
  case ReportedState::Draining:
    return BackendState::Draining;
  }
  return BackendState::Unknown;
}

BackendSummary summaryMessage(const SchedulerSummary &Summary) {
  BackendSummary Out;
  Out.Backend = Summary.Backend;
  Out.BackendIncarnation = Summary.BackendIncarnation;
  Out.State = summaryState(Summary);
  Out.Limit = Summary.Limit;
  Out.QueueLength = Summary.QueueLength;
  for (const ReportedSnapshot &Reported : Summary.Snapshots) {
    std::vector<uint32_t> Shards;
    for (ShardId Shard : Reported.Shards)
      Shards.push_back(Shard.number());
    Out.Snapshots.push_back({Reported.Snapshot, 0, Reported.TotalShards,
                             packShards(std::move(Shards))});
  }
  return Out;
}

BackendSettings backendSettings(const BackendServer &Server,
                                const Config &Document,
                                const Service &Settings) {
  BackendSettings Out;
  Out.Backend = Server.Name;
  Out.InPartition = partitionOf(Server.Name);
  Out.Slots = Server.Slots;
  Out.Connections = Server.Connections;
  Out.ColdLimit = Server.ColdLimit;
  Out.Draining = Server.State == BackendAdminState::Draining;
  Out.ZoneOut = !Document.isZoneIn(Server.Zone);
  Out.SubRequestLimit = Settings.SubRequestLimit;
  return Out;
}

/// All regions, with this host's first, so that the indices of its partitions
/// never change.
std::vector<RegionId> regionsOf(const Config &Document, const RegionId &Own) {
  std::vector<RegionId> Out{Own};
  for (const Region &One : Document.Regions)
    if (One.Name != Own)
      Out.push_back(One.Name);
  return Out;
}

} // namespace

ServiceNode::ServiceNode(NodeContext &Context, KeyValueStore &Store,
                         ServiceId Service,
                         BackendConnections::ResultCallback OnResult)
    : Context(Context), Store(Store), Name(std::move(Service)),
      Baseline(Directory), Dispatch(*this),
      Connections(
          Context.Loop, Dispatch,
          Context.Self.Host.text() + "-" +
              std::to_string(Context.Self.HostIncarnation.number()) + "/" +
              Name.text(),
          [this, OnResult = std::move(OnResult)](SubRequestResult Message) {
            recordServiceTime(Message);
            OnResult(std::move(Message));
          },
          [this](SchedulerId Id) { ChangedSchedulers.insert(Id); }),
      ServiceTimes(silenceWindow()) {}

ServiceNode::~ServiceNode() = default;

ReplicaSource &ServiceNode::replicaSource() {
  if (Context.Policy == QueryPolicy::Baseline)
    return Baseline;
  return Directory;
}

void ServiceNode::configure(const Config &Document,
                            const Placement &HostPlacement) {
  Settings = *Document.service(Name);
  configureBackends(Document);
  applyPlacement(Document, HostPlacement);
}

void ServiceNode::configureBackends(const Config &Document) {
  MonotonicTime Now = Context.Loop.now();
  std::vector<RegionId> Regions = regionsOf(Document, Context.Self.Region);
  std::vector<BackendSettings> OwnBackends;
  std::vector<ConfiguredBackendServer> Configured;
  std::unordered_map<BackendServerId, std::string> Addresses;
  BackendCounts.clear();
  PartitionIndexes.clear();
  for (const BackendServer &Server : Settings.BackendServers) {
    BackendSettings Backend = backendSettings(Server, Document, Settings);
    const Region *ServerRegion = Document.regionOfZone(Server.Zone);
    auto Position =
        std::find(Regions.begin(), Regions.end(), ServerRegion->Name);
    auto RegionIndex = static_cast<uint32_t>(Position - Regions.begin());
    uint32_t Index =
        RegionIndex * PartitionCount + Backend.InPartition.number();
    PartitionIndexes[Server.Name] = Index;
    Configured.push_back({Server.Name, Server.Zone, Index, Backend.Draining,
                          Backend.ZoneOut, RegionIndex != 0});
    if (RegionIndex != 0)
      continue;
    Addresses[Server.Name] = Server.Address;
    ++BackendCounts[Backend.InPartition];
    OwnBackends.push_back(std::move(Backend));
  }
  Owners.setRegions(Regions);
  Directory.setBackendServers(Configured, Now);
  Directory.setOwners(Owners.owners(), Now);
  Connections.setAddresses(std::move(Addresses));
  DispatchActions Actions;
  Dispatch.configure(OwnBackends, Now, Actions);
  Connections.perform(Actions);
}

std::vector<PreferredOwner>
ServiceNode::preferredOwners(const Placement &HostPlacement) const {
  const HostSet *Set = HostPlacement.hostSet(Name, Context.Self.Region);
  std::vector<PreferredOwner> Out;
  if (!Set || Set->Hosts.empty())
    return Out;
  double Total = 0;
  for (const auto &[P, Count] : BackendCounts)
    Total += Count;
  double Mean = Total / static_cast<double>(Set->Hosts.size());
  double MaxLoad = std::max(1.0, MaxOwnerLoadFactor * Mean);
  std::map<HostId, double> Load;
  for (const auto &[P, Count] : BackendCounts) {
    std::vector<HostId> Order =
        HostPlacement.ownerOrder({Name, Context.Self.Region, P.number()});
    if (Order.empty())
      continue;
    auto Chosen = std::find_if(Order.begin(), Order.end(),
                               [&, Size = Count](const HostId &Host) {
                                 return Load[Host] + Size <= MaxLoad;
                               });
    const HostId &Host = Chosen == Order.end() ? Order.front() : *Chosen;
    Load[Host] += Count;
    Out.push_back({P, Host});
  }
  return Out;
}

void ServiceNode::retire() {
  Config Empty;
  Settings.BackendServers.clear();
  configureBackends(Empty);
  Hosts.clear();
  ServedHere = false;
  leave();
}

void ServiceNode::applyPlacement(const Config &Document,
                                 const Placement &HostPlacement) {
  Hosts.clear();
  for (const Region &One : Document.Regions)
    if (const HostSet *Set = HostPlacement.hostSet(Name, One.Name))
      for (const HostInZone &Host : Set->Hosts)
        Hosts.push_back(Host.Host);
  ServedHere =
      HostPlacement.isInHostSet(Name, Context.Self.Region, Context.Self.Host);
  if (ServedHere && !LocalOwnership) {
    LocalOwnership = std::make_unique<OwnershipDriver>(
        Context, Store, static_cast<DispatchControl &>(*this), Name,
        Settings.SubRequestLimit);
    LocalOwnership->setAliveHosts(AliveHosts);
    // Only hosts that serve the service need the timer.
    Ticks = Context.Loop.every(TickInterval, [this] { tick(); });
  }
  if (LocalOwnership) {
    OwnershipPlacement Next;
    if (const HostSet *Set = HostPlacement.hostSet(Name, Context.Self.Region))
      for (const HostInZone &Host : Set->Hosts)
        Next.HostSet.push_back(Host.Host);
    Next.VoterCandidates =
        HostPlacement.voterCandidates(Name, Context.Self.Region);
    Next.Preferred = preferredOwners(HostPlacement);
    LocalOwnership->state().setSubRequestLimit(Settings.SubRequestLimit);
    LocalOwnership->setPlacement(Next);
  }
  // Hosts that are new in the host set have received no report yet.
  NextFullReport = Context.Loop.now();
}

void ServiceNode::setAliveHosts(const std::vector<HostId> &Next) {
  AliveHosts = Next;
  if (LocalOwnership)
    LocalOwnership->setAliveHosts(AliveHosts);
}

void ServiceNode::clearOwner(const HostId &Host) {
  if (Owners.clearOwner(Host))
    updateDirectoryOwners();
}

void ServiceNode::onPause() {
  if (LocalOwnership)
    LocalOwnership->onPause();
}

void ServiceNode::leave() {
  if (LocalOwnership)
    LocalOwnership->leave();
}

bool ServiceNode::ownsNothing() const {
  return !LocalOwnership || LocalOwnership->state().ownsNothing();
}

bool ServiceNode::handleFrame(const PeerFrame &Frame) {
  return LocalOwnership && LocalOwnership->handleFrame(Frame);
}

void ServiceNode::onOwnerReport(const OwnerReport &Report) {
  bool Changed = Owners.applyReport(Report);
  if (LocalOwnership && Report.Region == Context.Self.Region)
    LocalOwnership->state().onOwnerAnnounced(Report.Owner, Report.Owned);
  if (Changed)
    updateDirectoryOwners();
  for (const BackendSummary &Summary : Report.Summaries)
    Directory.onSummary(Summary, Context.Loop.now());
}

void ServiceNode::updateDirectoryOwners() {
  Directory.setOwners(Owners.owners(), Context.Loop.now());
}

void ServiceNode::onNotOwner(const BackendServerId &Backend,
                             const HostId &Host) {
  auto Found = PartitionIndexes.find(Backend);
  if (Found == PartitionIndexes.end())
    return;
  if (LocalOwnership && Found->second < PartitionCount)
    LocalOwnership->state().onNotOwner(Partition(Found->second), Host);
  if (Owners.clearOwner(Found->second, Host))
    updateDirectoryOwners();
}

bool ServiceNode::mayDispatch(Partition P, MonotonicTime Now) const {
  return LocalOwnership && LocalOwnership->state().mayDispatch(P, Now);
}

void ServiceNode::startDispatch(Partition P) {
  ReleasingPartitions.erase(P);
  DispatchActions Actions;
  Dispatch.own(P, Context.Loop.now(), Actions);
  Connections.perform(Actions);
  OwnershipChanged = true;
}

void ServiceNode::stopDispatch(Partition P) {
  DispatchActions Actions;
  Dispatch.release(P, Context.Loop.now(), Actions);
  Connections.perform(Actions);
  ReleasingPartitions.insert(P);
  OwnershipChanged = true;
}

void ServiceNode::submit(const BackendServerId &Backend, SubRequest Request) {
  DispatchActions Actions;
  Dispatch.submit(Backend, std::move(Request), Context.Loop.now(), Actions);
  Connections.perform(Actions);
}

void ServiceNode::cancel(const BackendServerId &Backend,
                         const SubRequestKey &Key) {
  DispatchActions Actions;
  Dispatch.cancel(Backend, Key, Context.Loop.now(), Actions);
  Connections.perform(Actions);
}

void ServiceNode::recordServiceTime(const SubRequestResult &Result) {
  if (Result.Outcome == DispatchOutcome::Answered)
    ServiceTimes.record(Result.ServiceTime, Context.Loop.now());
}

void ServiceNode::tick() {
  DispatchActions Actions;
  Dispatch.setServiceP99(ServiceTimes.hedgeDelay(Context.Loop.now()));
  Dispatch.tick(Context.Loop.now(), Actions);
  Connections.perform(Actions);
  finishReleases();
  publishIfDue();
}

void ServiceNode::finishReleases() {
  std::vector<Partition> Ended;
  for (Partition P : ReleasingPartitions)
    if (Dispatch.isReleased(P))
      Ended.push_back(P);
  for (Partition P : Ended) {
    ReleasingPartitions.erase(P);
    if (LocalOwnership)
      LocalOwnership->onDispatchEnded(P);
  }
}

void ServiceNode::publishIfDue() {
  MonotonicTime Now = Context.Loop.now();
  bool Changed = OwnershipChanged || !ChangedSchedulers.empty();
  bool Due = Now >= NextOwnershipReport || Now >= NextFullReport;
  if (!LocalOwnership || (!Changed && !Due))
    return;
  if (Changed || !LocalOwnership->state().ownedPartitions(Now).empty()) {
    publish(Now >= NextFullReport);
    return;
  }
  NextOwnershipReport = Now + OwnershipReportInterval;
  NextFullReport = Now + FullReportInterval;
}

OwnerReport ServiceNode::makeReport(bool IncludeAll) {
  MonotonicTime Now = Context.Loop.now();
  OwnerReport Out;
  Out.Service = Name;
  Out.Region = Context.Self.Region;
  Out.Owner = Context.Self.Host;
  Out.OwnerIncarnation = Context.Self.HostIncarnation;
  Out.Sequence = ++ReportSequence;
  Out.Owned = LocalOwnership->state().ownedPartitions(Now);
  if (IncludeAll) {
    for (const SchedulerSummary &Summary : Dispatch.summaries())
      Out.Summaries.push_back(summaryMessage(Summary));
  } else {
    for (SchedulerId Id : ChangedSchedulers)
      if (const BackendScheduler *Found = Dispatch.scheduler(Id))
        Out.Summaries.push_back(summaryMessage(Found->summary()));
  }
  for (BackendSummary &Summary : Out.Summaries) {
    Summary.Owner = Out.Owner;
    Summary.OwnerIncarnation = Out.OwnerIncarnation;
    Summary.Sequence = Out.Sequence;
  }
  return Out;
}

void ServiceNode::publish(bool IncludeAll) {
  MonotonicTime Now = Context.Loop.now();
  OwnerReport Report = makeReport(IncludeAll);
  ChangedSchedulers.clear();
  OwnershipChanged = false;
  NextOwnershipReport = Now + OwnershipReportInterval;
  if (IncludeAll)
    NextFullReport = Now + FullReportInterval;
  onOwnerReport(Report);
  std::string Body = packBody(Report);
  std::set<HostId> Receivers(Hosts.begin(), Hosts.end());
  Receivers.insert(LeavingHosts.begin(), LeavingHosts.end());
  Receivers.erase(Context.Self.Host);
  for (const HostId &Host : Receivers)
    Context.Peers.send(Host, MessageType::BackendSummary, Body);
}

} // namespace mimosa
