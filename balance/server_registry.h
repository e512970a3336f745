// The backend servers of all services, as listed by service discovery. Chooses
// the backend server for each request.
//
//   Registry.update(Entry, Now);            // from service discovery
//   Registry.setEvacuatedZones(Zones);      // from the operators
//   Registry.choose(Service, Criteria, Now);
//
// What a backend server has asked for in its answers lasts as long as its
// process. So it is kept for a while when the entry is removed, which may only
// mean that service discovery has lost it.
//
// Entries of one backend server are ordered by the start of its process and by
// their sequence number, so that an entry that arrives late has no effect.

#ifndef MIMOSA_BALANCE_SERVER_REGISTRY_H
#define MIMOSA_BALANCE_SERVER_REGISTRY_H

#include "balance/backend_server.h"
#include "balance/server_filter.h"
#include "base/random.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace mimosa {

using BackendServerPtr = std::shared_ptr<BackendServer>;

/// One process of a backend server.
struct BackendProcess {
  BackendServerId Server;
  int64_t StartedAtMs = 0;
};

/// Requirements on the backend server for one request.
struct ServerCriteria {
  /// Typical latency of the route.
  Duration TypicalLatency = Milliseconds(20);
  /// Backend servers that must not be chosen; null if there are none.
  const std::vector<BackendServerPtr> *TriedServers = nullptr;
  /// If above 0, only a backend server that is not ejected and whose expected
  /// latency is at most this many typical latencies.
  double MaxCost = 0;
  /// Route of the request, for ServerFilter.
  RouteId Route;
};

/// Whether a service can take a request now.
enum class ServiceState {
  /// No backend server is usable, or all are ejected and not due for a trial.
  Unavailable,
  /// Each backend server that could take it is at its limit of requests.
  Full,
  Available,
};

/// See the head of this file.
class ServerRegistry {
public:
  ServerRegistry(AvailabilityZoneId OwnZone, Random &Rng)
      : OwnZone(std::move(OwnZone)), Rng(Rng) {}

  /// Adds or updates a backend server; false if \p Entry is older than its
  /// current entry.
  bool update(BackendServerEntry Entry, MonotonicTime Now);
  /// Removes a backend server; false if there is none with this id.
  bool remove(const BackendServerId &Id);
  /// Sets the zones that operators have evacuated: their backend servers get no
  /// requests.
  void setEvacuatedZones(std::set<AvailabilityZoneId> Zones);

  /// Sets which backend servers of a service may be chosen. \p NewFilters must
  /// outlive this; null if all may be.
  void setFilters(const ServerFilters *NewFilters) { Filters = NewFilters; }

  /// Sets the number of entry hosts that share the backend servers, at least 1.
  void setHostCount(uint32_t Count) { HostCount = Count; }
  uint32_t hostCount() const { return HostCount; }
  /// Sets the limits of one backend server of \p Service for all hosts
  /// together: connections, and requests per second while cold (0: not
  /// limited).
  void setLimits(const ServiceId &Service, uint32_t MaxConnections,
                 double ColdRate);
  /// Sets the number of requests that all hosts together may send to a cold
  /// backend server in a second: its rate times \p Overage plus \p Slack.
  void setColdAllowance(double Overage, double Slack);

  /// Records that a request is sent to \p Server.
  void recordSend(BackendServer &Server, MonotonicTime Now) const;
  /// Records what \p Server says of itself in the answer to a request that was
  /// sent at \p SentAt.
  void recordNotice(BackendServer &Server, const ServerNotice &Notice,
                    MonotonicTime SentAt, MonotonicTime Now);
  /// Records that \p Server has declined a request that was sent at \p SentAt
  /// and whose typical latency is \p Latency.
  void recordDecline(BackendServer &Server, MonotonicTime SentAt,
                     Duration Latency, MonotonicTime Now) const;
  /// The processes whose answers have lifted their limits since the last call.
  std::vector<BackendProcess> takeLiftedLimits();
  /// Records that \p Process has lifted its limit in an answer to another host;
  /// returns whether it was limited here.
  bool liftLimit(const BackendProcess &Process, MonotonicTime Now);
  /// Whether \p Server has asked for a pause, or one more request would exceed
  /// this host's share of the rate that it has asked for.
  bool heldBack(const BackendServer &Server, MonotonicTime Now) const;
  /// Number of backend servers that limit the rate of requests, and that have
  /// asked this host to pause.
  size_t limitedServers() const;
  size_t pausedServers(MonotonicTime Now) const;
  /// Why backend servers of \p Service are held back, for logs:
  /// "SERVICE[:SERVER/WORD/AGE]...", see ServerPushback::reasonHeldBack().
  std::string describeHeldBack(const ServiceId &Service,
                               MonotonicTime Now) const;
  /// Must be called about once a second.
  void expirePushback(MonotonicTime Now);

  /// The backend server for one more request; null if none can take it now.
  BackendServerPtr choose(const ServiceId &Service,
                          const ServerCriteria &Criteria,
                          MonotonicTime Now) const;
  ServiceState state(const ServiceId &Service, MonotonicTime Now) const;
  /// When the pauses and rate limits of the backend servers of \p Service that
  /// are not in \p Tried allow one more request; the latest of all times if
  /// none of them is selectable.
  MonotonicTime earliestSendAt(const ServiceId &Service,
                               const std::vector<BackendServerPtr> &Tried,
                               MonotonicTime Now) const;
  /// When the next backend server of \p Service that is held back, paused after
  /// declines or at its limit while cold ceases to be so; the latest of all
  /// times if none is.
  MonotonicTime nextReleaseAt(const ServiceId &Service,
                              MonotonicTime Now) const;
  /// Whether a backend server that is not in \p Tried can take a request once
  /// it is below its limits.
  bool hasUntriedServer(const ServiceId &Service,
                        const std::vector<BackendServerPtr> &Tried,
                        MonotonicTime Now) const;

  /// Maximum number of requests in flight from this host to \p Server.
  uint32_t inFlightLimit(const BackendServer &Server, MonotonicTime Now) const;
  /// Requests that \p Server can be expected to run for this host within a
  /// typical latency of \p Latency.
  double expectedRuns(const BackendServer &Server, Duration Latency,
                      MonotonicTime Now) const;
  /// Maximum number of connections from this host to \p Server.
  uint32_t connectionLimit(const BackendServer &Server) const;
  /// Whether \p Server is in service and its zone is not evacuated.
  bool usable(const BackendServer &Server) const;

  /// The least relative latency among the usable backend servers of \p Service
  /// that are not ejected; the highest double if there are none.
  double leastRelativeLatency(const ServiceId &Service,
                              MonotonicTime Now) const;

  const std::vector<BackendServerPtr> &servers(const ServiceId &Service) const;
  size_t size() const { return ById.size(); }
  BackendServerPtr find(const BackendServerId &Id) const;

private:
  struct Limits {
    uint32_t MaxConnections = 1;
    double ColdRate = 0;
  };

  /// The backend servers of one service that a choice is restricted to.
  class Eligible {
  public:
    /// Regular ones, or those that stand in if none of them is usable.
    Eligible(const ServerRegistry &Registry, const ServiceId &Service);
    bool operator()(const BackendServer &Server) const;
    ServerFilter *filter() const { return Filter; }

  private:
    ServerFilter *Filter;
    bool AnyRegular = true;
  };

  /// The best server among those that \p IsEligible accepts.
  template <typename Predicate>
  BackendServerPtr
  chooseAmong(const ServiceId &Service, const ServerCriteria &Criteria,
              const Predicate &IsEligible, MonotonicTime Now) const;
  /// A backend server that could take a request in choose().
  struct Candidate {
    const BackendServerPtr *Server;
    bool IsAvoided;
    double Cost;
  };

  const Limits &limitsOf(const ServiceId &Service) const;
  /// Requests that this host may send to \p Server in a second while it is
  /// cold; the highest double if that is not limited.
  double coldSendLimit(const BackendServer &Server) const;
  /// When limits other than that on requests in flight allow one more request
  /// to \p Server; not after \p Now if they do.
  MonotonicTime nextSendAt(const BackendServer &Server,
                           MonotonicTime Now) const;
  /// Whether \p Server may get one more request from this host now.
  bool belowLimits(const BackendServer &Server, MonotonicTime Now) const;
  /// Whether \p Server is usable and either not ejected or due for a trial.
  bool selectable(const BackendServer &Server, MonotonicTime Now) const;
  /// BackendServer::cost(), with the cost of crossing zones.
  double selectionCost(const BackendServer &Server,
                       const ServerCriteria &Criteria, MonotonicTime Now) const;
  /// The object of the same process as \p Entry that was removed; null if it is
  /// not known.
  BackendServerPtr findRemoved(const BackendServerEntry &Entry) const;
  /// Removes \p Server from the list of its service, and remembers it.
  void removeFromService(const BackendServerPtr &Server);

  /// Used within choose() only; kept to save an allocation for each request.
  mutable std::vector<Candidate> Candidates;
  AvailabilityZoneId OwnZone;
  Random &Rng;
  const ServerFilters *Filters = nullptr;
  uint32_t HostCount = 1;
  double ColdOverage = 1.5;
  double ColdSlack = 5;
  std::unordered_map<BackendServerId, BackendServerPtr> ById;
  std::unordered_map<ServiceId, std::vector<BackendServerPtr>> ByService;
  /// The backend servers that were removed last, and their ids in the order of
  /// removal, oldest first. An id that was removed twice is there twice.
  std::unordered_map<BackendServerId, BackendServerPtr> RemovedServers;
  std::deque<BackendServerId> RemovalOrder;
  std::unordered_map<ServiceId, Limits> ServiceLimits;
  std::set<AvailabilityZoneId> EvacuatedZones;
  std::vector<BackendProcess> LiftedLimits;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_SERVER_REGISTRY_H
