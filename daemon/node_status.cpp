#include "daemon/node.h"

namespace mimosa {

namespace {

const char *backendStateText(BackendState State) {
  switch (State) {
  case BackendState::Unknown:
    return "unknown";
  case BackendState::Serving:
    return "serving";
  case BackendState::Cold:
    return "cold";
  case BackendState::Draining:
    return "draining";
  }
  return "unknown";
}

std::string bucketUpperBound(const WaitTimeBucket &Bucket) {
  if (Bucket.UpperBound == Duration::max())
    return "+Inf";
  return std::to_string(inSeconds(Bucket.UpperBound));
}

Json serviceStatus(ServiceNode &Service) {
  Json Backends = Json::array();
  for (const BackendServerStatus &One : Service.directory().status())
    Backends.push_back({{"name", One.Backend.text()},
                        {"state", backendStateText(One.State)},
                        {"usable", One.Usable},
                        {"straggler", One.Straggler},
                        {"in_flight", One.InFlight},
                        {"limit", One.Limit},
                        {"owner", One.Owner ? One.Owner->text() : ""}});
  Json Voters = Json::array();
  if (const Ownership *Owner = Service.ownership())
    for (const HostId &Host : Owner->voterSet().Current)
      Voters.push_back(Host.text());
  Json HostSet = Json::array();
  for (const HostId &Host : Service.hosts())
    HostSet.push_back(Host.text());
  return {{"served_here", Service.isServedHere()},
          {"hosts", HostSet},
          {"seats", Voters},
          {"backend_servers", Backends}};
}

} // namespace

Json Node::status() {
  Json Hosts = Json::array();
  for (const Member &One : members().members())
    Hosts.push_back({{"host", One.Host.text()},
                     {"caller_address", One.CallerAddress},
                     {"zone", One.Zone.text()},
                     {"region", One.Region.text()},
                     {"incarnation", One.HostIncarnation.number()},
                     {"state", memberStateName(One.State)}});
  Json ByService = Json::object();
  for (auto &[Name, Service] : Services)
    if (service(Name))
      ByService[Name.text()] = serviceStatus(*Service);
  return {{"host", Context.Self.Host.text()},
          {"zone", Context.Self.Zone.text()},
          {"region", Context.Self.Region.text()},
          {"incarnation", Context.Self.HostIncarnation.number()},
          {"state", Leaving ? "leaving" : "serving"},
          {"revision", Configs.revision().number()},
          {"queries_running", Queries.inProgress()},
          {"hosts", Hosts},
          {"services", ByService}};
}

void Node::registerGauges() {
  auto Gauge = [this](const char *Name, const Labels &L, auto Read) {
    Metrics.gauge(Name, L, [Read] { return static_cast<double>(Read()); });
  };
  Gauge("mimosa_config_revision", {},
        [this] { return Configs.revision().number(); });
  Gauge("mimosa_members", {}, [this] { return members().members().size(); });
  Gauge("mimosa_queries_running", {}, [this] { return Queries.inProgress(); });
  const KeyValueCallCounters &Calls = Store.counters();
  Gauge("mimosa_store_calls_total", {{"kind", "read"}},
        [&Calls] { return Calls.Reads; });
  Gauge("mimosa_store_calls_total", {{"kind", "write"}},
        [&Calls] { return Calls.Writes; });
  Gauge("mimosa_store_calls_total", {{"kind", "list"}},
        [&Calls] { return Calls.Lists; });
  Gauge("mimosa_store_calls_total", {{"kind", "watch"}},
        [&Calls] { return Calls.Watches; });
  Gauge("mimosa_store_calls_total", {{"kind", "hosts"}},
        [&Calls] { return Calls.HostLists; });
  Gauge("mimosa_store_failures_total", {}, [&Calls] { return Calls.Failures; });
  auto IsControl = [](uint32_t Type) {
    return Type < static_cast<uint32_t>(MessageType::Dispatch);
  };
  auto Sum = [IsControl](const auto &ByType, bool Control) {
    uint64_t Total = 0;
    for (uint32_t Type = 0; Type < MessageTypeLimit; ++Type)
      if (IsControl(Type) == Control)
        Total += ByType[Type];
    return Total;
  };
  for (bool Control : {true, false}) {
    Labels L = {{"kind", Control ? "control" : "query"}};
    Gauge("mimosa_peer_bytes_sent_total", L,
          [this, Sum, Control] { return Sum(Traffic.BytesSent, Control); });
    Gauge("mimosa_peer_bytes_received_total", L,
          [this, Sum, Control] { return Sum(Traffic.BytesReceived, Control); });
    Gauge("mimosa_peer_frames_sent_total", L,
          [this, Sum, Control] { return Sum(Traffic.FramesSent, Control); });
  }
  Gauge("mimosa_peer_unknown_types_total", {},
        [this] { return Traffic.UnknownTypes; });
  Gauge("mimosa_peer_bad_frames_total", {},
        [this] { return Traffic.BadFrames; });
  registerQueryGauges();
}

void Node::registerQueryGauges() {
  auto Query = [&](const char *Name, uint64_t QueryCounters::*Field) {
    Metrics.gauge(Name, {}, [this, Field] {
      return static_cast<double>(Queries.runner().counters().*Field);
    });
  };
  Query("mimosa_sub_requests_total", &QueryCounters::SubRequests);
  Query("mimosa_hedges_total", &QueryCounters::Hedges);
  Query("mimosa_hedge_wins_total", &QueryCounters::HedgeWins);
  Query("mimosa_retries_total", &QueryCounters::Retries);
  Query("mimosa_snapshot_restarts_total", &QueryCounters::Restarts);
  Query("mimosa_canaries_total", &QueryCounters::Canaries);
  Query("mimosa_backends_lost_total", &QueryCounters::BackendsLost);
  Query("mimosa_replies_dropped_late_total", &QueryCounters::DroppedLate);
  Query("mimosa_replies_dropped_wrong_snapshot_total",
        &QueryCounters::DroppedWrongSnapshot);
  auto Gauge = [this](const char *Name, auto Read) {
    Metrics.gauge(Name, {}, [Read] { return static_cast<double>(Read()); });
  };
  Gauge("mimosa_admission_limit",
        [this] { return Queries.admission().concurrencyLimit(); });
  Gauge("mimosa_admission_waiting", [this] {
    return Queries.admission().waiting(RequestClass::Interactive) +
           Queries.admission().waiting(RequestClass::Batch);
  });
  Gauge("mimosa_quarantine_refused_total",
        [this] { return Queries.quarantine().counters().Refused; });
  Gauge("mimosa_quarantine_strikes_total", [this] {
    return Queries.quarantine().counters().OwnStrikes +
           Queries.quarantine().counters().PeerStrikes;
  });
  Gauge("mimosa_hedges_denied_total",
        [this] { return Queries.runner().counters().HedgesDenied; });
  Gauge("mimosa_retries_denied_total",
        [this] { return Queries.runner().counters().RetriesDenied; });
  Gauge("mimosa_queries_forwarded_total",
        [this] { return Forwarder.forwardedQueries(); });
}

std::string Node::renderMetrics() {
  std::string Out = Metrics.render();
  const char *Name = "mimosa_callers_gave_up_seconds";
  Out += std::string("# TYPE ") + Name + " histogram\n";
  for (const AbandonmentRow &Row : Queries.abandonments().rows()) {
    std::string L = "service=\"" + Row.Service.text() + "\",class=\"" +
                    requestClassName(Row.Class) + "\",kind=\"" +
                    abandonmentKindName(Row.Kind) + "\"";
    for (const WaitTimeBucket &Bucket : Row.WaitTimes)
      Out += std::string(Name) + "_bucket{" + L + ",le=\"" +
             bucketUpperBound(Bucket) + "\"} " +
             std::to_string(Bucket.CumulativeCount) + "\n";
    Out += std::string(Name) + "_count{" + L + "} " +
           std::to_string(Row.Count) + "\n";
  }
  return Out;
}

} // namespace mimosa
