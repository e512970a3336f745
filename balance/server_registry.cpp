#include "balance/server_registry.h"

#include <algorithm>
#include <cmath>

namespace mimosa {

namespace {

/// Share of a backend server's connections that the hosts divide among
/// themselves; the rest is for hosts that have just been added.
constexpr double ConnectionShare = 0.9;
/// All hosts together keep at most this many requests for each slot at a
/// backend server, so that what waits does so here, in order of priority.
constexpr double RequestsPerSlot = 2;
/// A host may always have so many requests in flight: a paused backend server
/// must not block the host's next request to it.
constexpr uint32_t LeastInFlight = 2;
/// A backend server this many times slower than typical has a queue of its
/// own, or is slow: each host then has one request there, so that most of what
/// waits does so at the hosts, where it can still be ordered and refused.
constexpr double CongestedSpeed = 2;
/// Crossing zones costs latency and traffic; a backend server in another zone
/// must be this much better. The constant stands for the way there and back.
constexpr double OtherZoneFactor = 1.15;
constexpr Duration OtherZoneTime = Milliseconds(2);
/// Spread of equally good choices, so that hosts do not move together.
constexpr double Jitter = 0.1;
/// Share of the bound on cold backend servers that is used; the hosts' seconds
/// are not aligned.
constexpr double ColdShare = 0.8;

bool contains(const std::vector<BackendServerPtr> *List,
              const BackendServerPtr &Server) {
  return List && std::find(List->begin(), List->end(), Server) != List->end();
}

} // namespace

bool ServerRegistry::put(BackendServerEntry Entry, MonotonicTime Now) {
  auto Found = ById.find(Entry.Id);
  if (Found != ById.end()) {
    const BackendServerEntry &Known = Found->second->entry();
    bool Older =
        Entry.BornMs < Known.BornMs ||
        (Entry.BornMs == Known.BornMs && Entry.Sequence < Known.Sequence);
    if (Older)
      return false;
    bool Moved = Known.Address != Entry.Address ||
                 Known.Service != Entry.Service || Known.BornMs != Entry.BornMs;
    if (!Moved) {
      Found->second->describe(std::move(Entry), Now);
      return true;
    }
    detach(Found->second);
    ById.erase(Found);
  }
  auto Server = std::make_shared<BackendServer>(Entry);
  ByService[Entry.Service].push_back(Server);
  BackendServerId Id = Entry.Id;
  Server->describe(std::move(Entry), Now);
  ById.emplace(std::move(Id), std::move(Server));
  return true;
}

void ServerRegistry::detach(const BackendServerPtr &Server) {
  Server->remove();
  auto &List = ByService[Server->entry().Service];
  List.erase(std::remove(List.begin(), List.end(), Server), List.end());
}

bool ServerRegistry::remove(const BackendServerId &Id) {
  auto Found = ById.find(Id);
  if (Found == ById.end())
    return false;
  detach(Found->second);
  ById.erase(Found);
  return true;
}

void ServerRegistry::setZonesOut(std::set<AvailabilityZoneId> Zones) {
  ZonesOut = std::move(Zones);
}

void ServerRegistry::setLimits(const ServiceId &Service,
                               uint32_t MaxConnections, double ColdRate) {
  ServiceLimits[Service] = {MaxConnections, ColdRate};
}

void ServerRegistry::setColdAllowance(double Overage, double Slack) {
  ColdOverage = Overage;
  ColdSlack = Slack;
}

const ServerRegistry::Limits &
ServerRegistry::limitsOf(const ServiceId &Service) const {
  static const Limits Unlisted;
  auto Found = ServiceLimits.find(Service);
  return Found == ServiceLimits.end() ? Unlisted : Found->second;
}

uint32_t ServerRegistry::connectionLimit(const BackendServer &Server) const {
  double Share =
      limitsOf(Server.entry().Service).MaxConnections * ConnectionShare / Hosts;
  return std::max(1U, static_cast<uint32_t>(Share));
}

uint32_t ServerRegistry::inFlightLimit(const BackendServer &Server,
                                       MonotonicTime Now) const {
  if (Server.speed(Now) > CongestedSpeed)
    return 1;
  double Share = std::ceil(RequestsPerSlot * Server.entry().Slots / Hosts);
  uint32_t Wanted = std::max(LeastInFlight, static_cast<uint32_t>(Share));
  return std::min(Wanted, connectionLimit(Server));
}

bool ServerRegistry::usable(const BackendServer &Server) const {
  return Server.listed() && !ZonesOut.count(Server.entry().Zone);
}

bool ServerRegistry::ready(const BackendServer &Server,
                           MonotonicTime Now) const {
  return usable(Server) && (!Server.suspect() || Server.trialDue(Now));
}

bool ServerRegistry::hasRoom(const BackendServer &Server,
                             MonotonicTime Now) const {
  if (Server.inFlight() >= inFlightLimit(Server, Now))
    return false;
  double ColdRate = limitsOf(Server.entry().Service).ColdRate;
  if (ColdRate <= 0 || !Server.cold(Now))
    return true;
  double Bound = (ColdRate * ColdOverage + ColdSlack) * ColdShare / Hosts;
  return Server.sentThisSecond(Now) + 1 <= Bound;
}

double ServerRegistry::rank(const BackendServer &Server,
                            const ServerWanted &Wanted,
                            MonotonicTime Now) const {
  double Cost = Server.cost(Wanted.Typical, Now);
  if (Server.entry().Zone != OwnZone)
    Cost = Cost * OtherZoneFactor +
           inSeconds(OtherZoneTime) / inSeconds(Wanted.Typical);
  return Cost;
}

BackendServerPtr ServerRegistry::choose(const ServiceId &Service,
                                        const ServerWanted &Wanted,
                                        MonotonicTime Now) const {
  BackendServerPtr Best;
  double BestRank = 0;
  bool BestSuspect = false;
  for (const BackendServerPtr &Server : servers(Service)) {
    if (!usable(*Server) || contains(Wanted.Tried, Server) ||
        !hasRoom(*Server, Now))
      continue;
    bool Suspect = Server->suspect();
    if (Suspect && (Wanted.MaxCost > 0 || Server->inFlight() > 0))
      continue;
    double Rank = rank(*Server, Wanted, Now);
    if (Wanted.MaxCost > 0 && Rank > Wanted.MaxCost)
      continue;
    if (Suspect && !Server->trialDue(Now))
      Rank += inSeconds(Server->retryAt() - Now) * 1000;
    Rank *= 1 + Jitter * Rng.unit();
    // A suspect whose time aside is over competes like the others: its next
    // request is hedged if it still fails.
    bool Avoided = Suspect && !Server->trialDue(Now);
    if (!Best ||
        std::make_pair(Avoided, Rank) < std::make_pair(BestSuspect, BestRank)) {
      Best = Server;
      BestRank = Rank;
      BestSuspect = Avoided;
    }
  }
  return Best;
}

ServiceState ServerRegistry::state(const ServiceId &Service,
                                   MonotonicTime Now) const {
  bool Alive = false;
  for (const BackendServerPtr &Server : servers(Service)) {
    if (!ready(*Server, Now))
      continue;
    Alive = true;
    if (hasRoom(*Server, Now))
      return ServiceState::Available;
  }
  return Alive ? ServiceState::Full : ServiceState::Unavailable;
}

bool ServerRegistry::hasUntried(const ServiceId &Service,
                                const std::vector<BackendServerPtr> &Tried,
                                MonotonicTime Now) const {
  const std::vector<BackendServerPtr> &All = servers(Service);
  return std::any_of(All.begin(), All.end(), [&](const BackendServerPtr &S) {
    return ready(*S, Now) && !contains(&Tried, S);
  });
}

const std::vector<BackendServerPtr> &
ServerRegistry::servers(const ServiceId &Service) const {
  static const std::vector<BackendServerPtr> None;
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? None : Found->second;
}

BackendServerPtr ServerRegistry::find(const BackendServerId &Id) const {
  auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

} // namespace mimosa
