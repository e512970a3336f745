#include "daemon/service_node.h"

#include "backend/shard_ranges.h"
#include "base/rendezvous.h"
#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

/// A host that missed a report learns the owners after this time.
constexpr Duration OwnedReportInterval = Seconds(2);
constexpr Duration FullReportInterval = Seconds(10);
/// Most backend servers of one owner, as a multiple of the mean.
constexpr double OwnerLoadBound = 1.25;

/// Window of the 99th percentile that silent connections are told by.
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
  for (const ReportedSnapshot &Held : Summary.Snapshots) {
    std::vector<uint32_t> Shards;
    for (ShardId Shard : Held.Shards)
      Shards.push_back(Shard.number());
    Out.Snapshots.push_back(
        {Held.Snapshot, 0, Held.TotalShards, packShards(std::move(Shards))});
  }
  return Out;
}

BackendSettings gateSettings(const BackendServer &Server,
                             const Config &Document, const Service &Settings) {
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

/// The regions with the own one first, so that its partitions keep their
/// indices.
std::vector<RegionId> regionsOf(const Config &Document, const RegionId &Own) {
  std::vector<RegionId> Out{Own};
  for (const Region &One : Document.Regions)
    if (One.Name != Own)
      Out.push_back(One.Name);
  return Out;
}

} // namespace

ServiceNode::ServiceNode(NodeContext &Context, KeyValueStore &Store,
                         ServiceId Service, BackendLinks::ReplyCallback OnReply)
    : Context(Context), Store(Store), Name(std::move(Service)),
      Baseline(Directory), Gates(*this),
      Links(
          Context.Loop, Gates,
          Context.Self.Host.text() + "-" +
              std::to_string(Context.Self.Life.number()) + "/" + Name.text(),
          [this, OnReply = std::move(OnReply)](SubRequestResult Message) {
            noteServiceTime(Message);
            OnReply(std::move(Message));
          },
          [this](SchedulerId Id) { Dirty.insert(Id); }),
      ServedTimes(silenceWindow()) {}

ServiceNode::~ServiceNode() = default;

ReplicaSource &ServiceNode::source() {
  if (Context.Policy == QueryPolicy::Baseline)
    return Baseline;
  return Directory;
}

void ServiceNode::configure(const Config &Document, const Placement &Placed) {
  Settings = *Document.service(Name);
  configureBackends(Document);
  place(Document, Placed);
}

void ServiceNode::configureBackends(const Config &Document) {
  MonotonicTime Now = Context.Loop.now();
  std::vector<RegionId> Regions = regionsOf(Document, Context.Self.Region);
  std::vector<BackendSettings> OwnGates;
  std::vector<ConfiguredBackendServer> Listed;
  std::unordered_map<BackendServerId, std::string> Addresses;
  BackendsIn.clear();
  IndexOf.clear();
  for (const BackendServer &Server : Settings.BackendServers) {
    BackendSettings Gate = gateSettings(Server, Document, Settings);
    const Region *In = Document.regionOfZone(Server.Zone);
    auto Where = std::find(Regions.begin(), Regions.end(), In->Name);
    auto RegionIndex = static_cast<uint32_t>(Where - Regions.begin());
    uint32_t Index = RegionIndex * PartitionCount + Gate.InPartition.number();
    IndexOf[Server.Name] = Index;
    Listed.push_back({Server.Name, Server.Zone, Index, Gate.Draining,
                      Gate.ZoneOut, RegionIndex != 0});
    if (RegionIndex != 0)
      continue;
    Addresses[Server.Name] = Server.Address;
    ++BackendsIn[Gate.InPartition];
    OwnGates.push_back(std::move(Gate));
  }
  Owners.setRegions(Regions);
  Directory.setBackendServers(Listed, Now);
  Directory.setOwners(Owners.owners(), Now);
  Links.setAddresses(std::move(Addresses));
  DispatchActions Actions;
  Gates.configure(OwnGates, Now, Actions);
  Links.carryOut(Actions);
}

std::vector<PreferredOwner>
ServiceNode::preferredOwners(const Placement &Placed) const {
  const HostSet *Set = Placed.hostSet(Name, Context.Self.Region);
  std::vector<PreferredOwner> Out;
  if (!Set || Set->Hosts.empty())
    return Out;
  double Total = 0;
  for (const auto &[P, Count] : BackendsIn)
    Total += Count;
  double Mean = Total / static_cast<double>(Set->Hosts.size());
  double Bound = std::max(1.0, OwnerLoadBound * Mean);
  std::map<HostId, double> Load;
  for (const auto &[P, Count] : BackendsIn) {
    std::vector<HostId> Order =
        Placed.ownerOrder({Name, Context.Self.Region, P.number()});
    if (Order.empty())
      continue;
    auto Chosen = std::find_if(Order.begin(), Order.end(),
                               [&, Size = Count](const HostId &Host) {
                                 return Load[Host] + Size <= Bound;
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

void ServiceNode::place(const Config &Document, const Placement &Placed) {
  Hosts.clear();
  for (const Region &One : Document.Regions)
    if (const HostSet *Set = Placed.hostSet(Name, One.Name))
      for (const HostInZone &Host : Set->Hosts)
        Hosts.push_back(Host.Host);
  ServedHere = Placed.isInHostSet(Name, Context.Self.Region, Context.Self.Host);
  if (ServedHere && !Owner) {
    Owner = std::make_unique<OwnershipDriver>(
        Context, Store, static_cast<DispatchControl &>(*this), Name,
        Settings.SubRequestLimit);
    Owner->setAliveHosts(Alive);
    // A host that does not serve the service pays nothing for it.
    Ticks = Context.Loop.every(TickInterval, [this] { tick(); });
  }
  if (Owner) {
    OwnershipPlacement Next;
    if (const HostSet *Set = Placed.hostSet(Name, Context.Self.Region))
      for (const HostInZone &Host : Set->Hosts)
        Next.HostSet.push_back(Host.Host);
    Next.SeatCandidates = Placed.voterCandidates(Name, Context.Self.Region);
    Next.Preferred = preferredOwners(Placed);
    Owner->state().setSubRequestLimit(Settings.SubRequestLimit);
    Owner->place(Next);
  }
  // Hosts that are new to the set know nothing yet.
  NextFullReport = Context.Loop.now();
}

void ServiceNode::setAliveHosts(const std::vector<HostId> &Next) {
  Alive = Next;
  if (Owner)
    Owner->setAliveHosts(Alive);
}

void ServiceNode::hostGone(const HostId &Host) {
  if (Owners.hostGone(Host))
    ownersChanged();
}

void ServiceNode::paused() {
  if (Owner)
    Owner->paused();
}

void ServiceNode::leave() {
  if (Owner)
    Owner->leave();
}

bool ServiceNode::ownsNothing() const {
  return !Owner || Owner->state().ownsNothing();
}

bool ServiceNode::handleFrame(const PeerFrame &Frame) {
  return Owner && Owner->handleFrame(Frame);
}

void ServiceNode::reported(const OwnerReport &Report) {
  bool Changed = Owners.reported(Report);
  if (Owner && Report.Region == Context.Self.Region)
    Owner->state().onOwnerReport(Report.Owner, Report.Owned);
  if (Changed)
    ownersChanged();
  for (const BackendSummary &Summary : Report.Summaries)
    Directory.onSummary(Summary, Context.Loop.now());
}

void ServiceNode::ownersChanged() {
  Directory.setOwners(Owners.owners(), Context.Loop.now());
}

void ServiceNode::ownerDenied(const BackendServerId &Backend,
                              const HostId &Host) {
  auto Found = IndexOf.find(Backend);
  if (Found == IndexOf.end())
    return;
  if (Owner && Found->second < PartitionCount)
    Owner->state().onNotOwner(Partition(Found->second), Host);
  if (Owners.denied(Found->second, Host))
    ownersChanged();
}

bool ServiceNode::mayDispatch(Partition P, MonotonicTime Now) const {
  return Owner && Owner->state().mayDispatch(P, Now);
}

void ServiceNode::startDispatch(Partition P) {
  Ending.erase(P);
  DispatchActions Actions;
  Gates.own(P, Context.Loop.now(), Actions);
  Links.carryOut(Actions);
  OwnedChanged = true;
}

void ServiceNode::stopDispatch(Partition P) {
  DispatchActions Actions;
  Gates.release(P, Context.Loop.now(), Actions);
  Links.carryOut(Actions);
  Ending.insert(P);
  OwnedChanged = true;
}

void ServiceNode::submit(const BackendServerId &Backend, SubRequest Work) {
  DispatchActions Actions;
  Gates.submit(Backend, std::move(Work), Context.Loop.now(), Actions);
  Links.carryOut(Actions);
}

void ServiceNode::cancel(const BackendServerId &Backend,
                         const SubRequestKey &Key) {
  DispatchActions Actions;
  Gates.cancel(Backend, Key, Context.Loop.now(), Actions);
  Links.carryOut(Actions);
}

void ServiceNode::noteServiceTime(const SubRequestResult &Ended) {
  if (Ended.Outcome == DispatchOutcome::Answered)
    ServedTimes.record(Ended.ServiceTime, Context.Loop.now());
}

void ServiceNode::tick() {
  DispatchActions Actions;
  Gates.setServiceP99(ServedTimes.hedgeDelay(Context.Loop.now()));
  Gates.tick(Context.Loop.now(), Actions);
  Links.carryOut(Actions);
  finishReleases();
  publishIfDue();
}

void ServiceNode::finishReleases() {
  std::vector<Partition> Ended;
  for (Partition P : Ending)
    if (Gates.isReleased(P))
      Ended.push_back(P);
  for (Partition P : Ended) {
    Ending.erase(P);
    if (Owner)
      Owner->dispatchEnded(P);
  }
}

void ServiceNode::publishIfDue() {
  MonotonicTime Now = Context.Loop.now();
  bool Changed = OwnedChanged || !Dirty.empty();
  bool Due = Now >= NextOwnedReport || Now >= NextFullReport;
  if (!Owner || (!Changed && !Due))
    return;
  if (Changed || !Owner->state().ownedPartitions(Now).empty()) {
    publish(Now >= NextFullReport);
    return;
  }
  NextOwnedReport = Now + OwnedReportInterval;
  NextFullReport = Now + FullReportInterval;
}

OwnerReport ServiceNode::makeReport(bool All) {
  MonotonicTime Now = Context.Loop.now();
  OwnerReport Out;
  Out.Service = Name;
  Out.Region = Context.Self.Region;
  Out.Owner = Context.Self.Host;
  Out.OwnerIncarnation = Context.Self.Life;
  Out.Sequence = ++ReportSequence;
  Out.Owned = Owner->state().ownedPartitions(Now);
  if (All) {
    for (const SchedulerSummary &Summary : Gates.summaries())
      Out.Summaries.push_back(summaryMessage(Summary));
  } else {
    for (SchedulerId Id : Dirty)
      if (const BackendScheduler *Found = Gates.scheduler(Id))
        Out.Summaries.push_back(summaryMessage(Found->summary()));
  }
  for (BackendSummary &Summary : Out.Summaries) {
    Summary.Owner = Out.Owner;
    Summary.OwnerIncarnation = Out.OwnerIncarnation;
    Summary.Sequence = Out.Sequence;
  }
  return Out;
}

void ServiceNode::publish(bool All) {
  MonotonicTime Now = Context.Loop.now();
  OwnerReport Report = makeReport(All);
  Dirty.clear();
  OwnedChanged = false;
  NextOwnedReport = Now + OwnedReportInterval;
  if (All)
    NextFullReport = Now + FullReportInterval;
  reported(Report);
  std::string Body = packBody(Report);
  std::set<HostId> Receivers(Hosts.begin(), Hosts.end());
  Receivers.insert(LeavingHosts.begin(), LeavingHosts.end());
  Receivers.erase(Context.Self.Host);
  for (const HostId &Host : Receivers)
    Context.Peers.send(Host, MessageType::BackendSummary, Body);
}

} // namespace mimosa
