// The backend servers that discovery knows, by service, and the choice among
// them.
//
//   Registry.put(Entry, Now);             // from discovery
//   Registry.setZoneOut(Zone, true);      // operators evacuate a zone
//   Registry.choose(Service, Wanted, Now);
//
// Reports of one process are ordered by its start and its sequence: a report
// that arrives late changes nothing.

#ifndef MIMOSA_BALANCE_SERVER_REGISTRY_H
#define MIMOSA_BALANCE_SERVER_REGISTRY_H

#include "balance/backend_server.h"
#include "base/random.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace mimosa {

using BackendServerPtr = std::shared_ptr<BackendServer>;

/// What is asked of a backend server.
struct ServerCriteria {
  /// Typical latency of the route.
  Duration TypicalLatency = Milliseconds(20);
  /// Backend servers that have been tried.
  const std::vector<BackendServerPtr> *TriedServers = nullptr;
  /// Only a backend server that is not suspect and is expected to answer within
  /// so many typical latencies; 0 for any.
  double MaxCost = 0;
};

/// Whether a service can take a request now.
enum class ServiceState {
  /// No backend server is listed, or all failed and are set aside.
  Unavailable,
  /// All that could take it have as many requests as they may have.
  Full,
  Available,
};

class ServerRegistry {
public:
  ServerRegistry(AvailabilityZoneId OwnZone, Random &Rng)
      : OwnZone(std::move(OwnZone)), Rng(Rng) {}

  /// Takes over \p Entry; false if it is older than what is known.
  bool update(BackendServerEntry Entry, MonotonicTime Now);
  /// The backend server is gone; false if it was not known.
  bool remove(const BackendServerId &Id);
  void setZonesOut(std::set<AvailabilityZoneId> Zones);

  /// Entry hosts that share the backend servers, at least 1.
  void setHostCount(uint32_t Count) { HostCount = Count; }
  uint32_t hostCount() const { return HostCount; }
  void setLimits(const ServiceId &Service, uint32_t MaxConnections,
                 double ColdRate);
  /// Sends to a cold backend server within a second, from all hosts, beyond
  /// its rate: factor and constant.
  void setColdAllowance(double Overage, double Slack);

  /// The backend server for one more request; null if there is none now.
  BackendServerPtr choose(const ServiceId &Service,
                          const ServerCriteria &Criteria,
                          MonotonicTime Now) const;
  ServiceState state(const ServiceId &Service, MonotonicTime Now) const;
  /// Whether a backend server that is not among \p Tried may take a request
  /// once it has room.
  bool hasUntriedServer(const ServiceId &Service,
                        const std::vector<BackendServerPtr> &Tried,
                        MonotonicTime Now) const;

  /// Requests that this host may have in flight to \p Server.
  uint32_t inFlightLimit(const BackendServer &Server, MonotonicTime Now) const;
  /// Connections that this host may hold to \p Server.
  uint32_t connectionLimit(const BackendServer &Server) const;
  /// May be sent requests: listed, and its zone is not taken out.
  bool usable(const BackendServer &Server) const;

  const std::vector<BackendServerPtr> &servers(const ServiceId &Service) const;
  size_t size() const { return ById.size(); }
  BackendServerPtr find(const BackendServerId &Id) const;

private:
  struct Limits {
    uint32_t MaxConnections = 1;
    double ColdRate = 0;
  };

  const Limits &limitsOf(const ServiceId &Service) const;
  bool belowLimits(const BackendServer &Server, MonotonicTime Now) const;
  /// Usable, and not set aside after failures.
  bool selectable(const BackendServer &Server, MonotonicTime Now) const;
  double selectionCost(const BackendServer &Server,
                       const ServerCriteria &Criteria, MonotonicTime Now) const;
  void removeFromService(const BackendServerPtr &Server);

  AvailabilityZoneId OwnZone;
  Random &Rng;
  uint32_t HostCount = 1;
  double ColdOverage = 1.5;
  double ColdSlack = 5;
  std::unordered_map<BackendServerId, BackendServerPtr> ById;
  std::unordered_map<ServiceId, std::vector<BackendServerPtr>> ByService;
  std::unordered_map<ServiceId, Limits> ServiceLimits;
  std::set<AvailabilityZoneId> ZonesOut;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_SERVER_REGISTRY_H
