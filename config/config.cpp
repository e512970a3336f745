#include "config/config.h"

namespace mimosa {

const char *zoneStateName(ZoneState State) {
  return State == ZoneState::In ? "in" : "out";
}

const char *backendStateName(BackendAdminState State) {
  return State == BackendAdminState::In ? "in" : "draining";
}

const Service *Config::service(const ServiceId &Id) const {
  for (const Service &Candidate : Services)
    if (Candidate.Name == Id)
      return &Candidate;
  return nullptr;
}

const AvailabilityZone *Config::zone(const AvailabilityZoneId &Id) const {
  for (const Region &Candidate : Regions)
    for (const AvailabilityZone &Zone : Candidate.Zones)
      if (Zone.Name == Id)
        return &Zone;
  return nullptr;
}

const Region *Config::regionOfZone(const AvailabilityZoneId &Id) const {
  for (const Region &Candidate : Regions)
    for (const AvailabilityZone &Zone : Candidate.Zones)
      if (Zone.Name == Id)
        return &Candidate;
  return nullptr;
}

bool Config::isZoneIn(const AvailabilityZoneId &Id) const {
  const AvailabilityZone *Found = zone(Id);
  return Found && Found->State == ZoneState::In;
}

size_t Config::backendServerCount() const {
  size_t Count = 0;
  for (const Service &Each : Services)
    Count += Each.BackendServers.size();
  return Count;
}

namespace {

Json regionJson(const Region &Source) {
  Json Zones = Json::array();
  for (const AvailabilityZone &Zone : Source.Zones)
    Zones.push_back(
        {{"name", Zone.Name.text()}, {"state", zoneStateName(Zone.State)}});
  return {{"name", Source.Name.text()}, {"zones", std::move(Zones)}};
}

Json backendServerJson(const BackendServer &Source) {
  return {{"name", Source.Name.text()},
          {"address", Source.Address},
          {"zone", Source.Zone.text()},
          {"slots", Source.Slots},
          {"connections", Source.Connections},
          {"cold_limit", Source.ColdLimit},
          {"state", backendStateName(Source.State)}};
}

Json serviceJson(const Service &Source) {
  Json Servers = Json::array();
  for (const BackendServer &Server : Source.BackendServers)
    Servers.push_back(backendServerJson(Server));
  return {{"name", Source.Name.text()},
          {"default_deadline_ms", inMilliseconds(Source.DefaultDeadline)},
          {"sub_request_limit_ms", inMilliseconds(Source.SubRequestLimit)},
          {"queue_limit", Source.QueueLimit},
          {"weight", Source.Weight},
          {"backend_servers", std::move(Servers)}};
}

} // namespace

Json configJson(const Config &Document) {
  Json Regions = Json::array();
  for (const Region &Each : Document.Regions)
    Regions.push_back(regionJson(Each));
  Json Services = Json::array();
  for (const Service &Each : Document.Services)
    Services.push_back(serviceJson(Each));
  return {{"revision", Document.ConfigRevision.number()},
          {"change_id", Document.ChangeId},
          {"regions", std::move(Regions)},
          {"services", std::move(Services)}};
}

std::string printConfig(const Config &Document, int Indent) {
  return configJson(Document).dump(Indent);
}

} // namespace mimosa
