#include "daemon/service_node.h"

#include "backend/shard_ranges.h"
#include "base/rendezvous.h"

namespace mimosa {

namespace {

constexpr uint32_t PartitionCount = 32;

BackendState summaryState(const GateSummary &Summary) {
  if (!Summary.Known || !Summary.Reachable)
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

BackendSummary summaryMessage(const GateSummary &Summary) {
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
  Out.Owned = partitionOf(Server.Name);
  Out.Slots = Server.Slots;
  Out.Connections = Server.Connections;
  Out.ColdLimit = Server.ColdLimit;
  Out.Draining = Server.State == BackendAdminState::Draining;
  Out.ZoneOut = !Document.isZoneIn(Server.Zone);
  Out.SubRequestLimit = Settings.SubRequestLimit;
  return Out;
}

} // namespace

Partition partitionOf(const BackendServerId &Backend) {
  return Partition(
      static_cast<uint32_t>(hash64(Backend.text()) % PartitionCount));
}

ServiceNode::ServiceNode(NodeContext &Context, ServiceId Service,
                         BackendLinks::ReplyCallback OnReply)
    : Context(Context), Name(std::move(Service)), Gates(*this),
      Links(Context.Loop, Gates,
            Context.Self.Host.text() + "-" +
                std::to_string(Context.Self.Life.number()),
            std::move(OnReply), [this](GateId Gate) { publish(Gate); }) {
  Ticks = Context.Loop.every(TickInterval, [this] { tick(); });
}

ServiceNode::~ServiceNode() = default;

void ServiceNode::configure(const Config &Document) {
  Settings = *Document.service(Name);
  MonotonicTime Now = Context.Loop.now();
  std::vector<BackendSettings> AllGates;
  std::vector<ListedBackendServer> Listed;
  std::unordered_map<BackendServerId, std::string> Addresses;
  for (const BackendServer &Server : Settings.BackendServers) {
    BackendSettings Gate = gateSettings(Server, Document, Settings);
    Listed.push_back({Server.Name, Server.Zone, Gate.Owned.number(),
                      Gate.Draining, Gate.ZoneOut, false});
    Addresses[Server.Name] = Server.Address;
    AllGates.push_back(std::move(Gate));
  }
  Directory.setBackendServers(Listed, Now);
  Links.setAddresses(std::move(Addresses));
  DispatchActions Actions;
  Gates.configure(AllGates, Now, Actions);
  Links.carryOut(Actions);
  ownAll();
}

void ServiceNode::ownAll() {
  MonotonicTime Now = Context.Loop.now();
  DispatchActions Actions;
  std::vector<std::optional<HostId>> Owners(PartitionCount, Context.Self.Host);
  Directory.setOwners(Owners, Now);
  for (uint32_t P = 0; P < PartitionCount; ++P)
    if (!Gates.owns(Partition(P)))
      Gates.own(Partition(P), Now, Actions);
  Links.carryOut(Actions);
}

bool ServiceNode::mayDispatch(Partition, MonotonicTime) const { return true; }

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

void ServiceNode::publish(GateId Gate) {
  const BackendGate *Found = Gates.gate(Gate);
  if (!Found)
    return;
  BackendSummary Message = summaryMessage(Found->summary());
  Message.Owner = Context.Self.Host;
  Message.OwnerIncarnation = Context.Self.Life;
  Message.Sequence = ++SummarySequence;
  Directory.summarized(Message, Context.Loop.now());
}

void ServiceNode::tick() {
  DispatchActions Actions;
  Gates.tick(Context.Loop.now(), Actions);
  Links.carryOut(Actions);
}

} // namespace mimosa
