#include "balance/server_registry.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace mimosa {

namespace {

/// Share of a backend server's connections that the current hosts divide among
/// themselves. The rest is for hosts that have just been added.
constexpr double ConnectionShare = 0.9;
/// Limit on the requests of all hosts at a backend server, per slot. Further
/// requests wait at the hosts, where they are ordered by priority.
constexpr double RequestsPerSlot = 2;
/// Every host may have this many requests in flight, so that one request at a
/// paused backend server does not block the next one.
constexpr uint32_t MinInFlight = 2;
/// A backend server with this relative latency is slow or has a queue. Each
/// host then has at most its share of the slots there, so that most requests
/// wait at the hosts, where they can still be ordered by priority or refused.
constexpr double CongestedLatency = 2;
/// Crossing zones costs latency and traffic: a backend server in another zone
/// is chosen only if it is better by this factor and the round trip.
constexpr double CrossZoneFactor = 1.15;
constexpr Duration CrossZoneRoundTrip = Milliseconds(2);
/// Backend servers whose costs differ by at most this factor count as equally
/// good. Averages of a few latencies scatter by a tenth, and choosing the least
/// one sends each host's requests to one backend server at a time.
constexpr double EqualCost = 1.25;
/// Share of the limit on requests to a cold backend server that is used,
/// because the hosts do not count the same seconds.
constexpr double ColdLimitShare = 0.8;

/// Removed backend servers that are remembered; more than service discovery
/// loses at once.
constexpr size_t MaxRemovedServers = 2048;

bool contains(const std::vector<BackendServerPtr> *List,
              const BackendServerPtr &Server) {
  return List && std::find(List->begin(), List->end(), Server) != List->end();
}

} // namespace

bool ServerRegistry::update(BackendServerEntry Entry, MonotonicTime Now) {
  auto Found = ById.find(Entry.Id);
  if (Found != ById.end()) {
    const BackendServerEntry &Current = Found->second->entry();
    bool Older = Entry.StartedAtMs < Current.StartedAtMs ||
                 (Entry.StartedAtMs == Current.StartedAtMs &&
                  Entry.Sequence < Current.Sequence);
    if (Older)
      return false;
    bool MustReplace = Current.Address != Entry.Address ||
                       Current.Service != Entry.Service ||
                       Current.StartedAtMs != Entry.StartedAtMs;
    if (!MustReplace) {
      Found->second->update(std::move(Entry), Now);
      return true;
    }
    removeFromService(Found->second);
    ById.erase(Found);
  }
  auto Server = std::make_shared<BackendServer>(Entry);
  if (BackendServerPtr Former = findRemoved(Entry))
    Server->sharePushback(*Former);
  ByService[Entry.Service].push_back(Server);
  BackendServerId Id = Entry.Id;
  Server->update(std::move(Entry), Now);
  ById.emplace(std::move(Id), std::move(Server));
  return true;
}

BackendServerPtr
ServerRegistry::findRemoved(const BackendServerEntry &Entry) const {
  auto Found = RemovedServers.find(Entry.Id);
  bool SameProcess = Found != RemovedServers.end() &&
                     Found->second->entry().StartedAtMs == Entry.StartedAtMs;
  return SameProcess ? Found->second : nullptr;
}

std::string ServerRegistry::describeHeldBack(const ServiceId &Service,
                                             MonotonicTime Now) const {
  std::string Out = Service.text();
  for (const BackendServerPtr &Server : servers(Service)) {
    std::string Reason = Server->pushback().reasonHeldBack(HostCount, Now);
    if (!Reason.empty())
      Out += ":" + Server->entry().Id.text() + "/" + Reason;
  }
  return Out;
}

void ServerRegistry::expirePushback(MonotonicTime Now) {
  for (const auto &[Id, Server] : ById)
    Server->pushback().expire(Now);
}

void ServerRegistry::removeFromService(const BackendServerPtr &Server) {
  Server->remove();
  const BackendServerId &Id = Server->entry().Id;
  RemovedServers[Id] = Server;
  RemovalOrder.push_back(Id);
  if (RemovalOrder.size() > MaxRemovedServers) {
    RemovedServers.erase(RemovalOrder.front());
    RemovalOrder.pop_front();
  }
  auto &List = ByService[Server->entry().Service];
  List.erase(std::remove(List.begin(), List.end(), Server), List.end());
}

bool ServerRegistry::remove(const BackendServerId &Id) {
  auto Found = ById.find(Id);
  if (Found == ById.end())
    return false;
  removeFromService(Found->second);
  ById.erase(Found);
  return true;
}

void ServerRegistry::setEvacuatedZones(std::set<AvailabilityZoneId> Zones) {
  EvacuatedZones = std::move(Zones);
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
  static const Limits DefaultLimits;
  auto Found = ServiceLimits.find(Service);
  return Found == ServiceLimits.end() ? DefaultLimits : Found->second;
}

uint32_t ServerRegistry::connectionLimit(const BackendServer &Server) const {
  double Share = limitsOf(Server.entry().Service).MaxConnections *
                 ConnectionShare / HostCount;
  return std::max(1U, static_cast<uint32_t>(Share));
}

uint32_t ServerRegistry::inFlightLimit(const BackendServer &Server,
                                       MonotonicTime Now) const {
  bool Congested = Server.relativeLatency(Now) > CongestedLatency;
  double Share = std::ceil((Congested ? 1 : RequestsPerSlot) *
                           Server.entry().Slots / HostCount);
  uint32_t Limit =
      std::max(Congested ? 1 : MinInFlight, static_cast<uint32_t>(Share));
  Limit = std::min(Limit, connectionLimit(Server));
  if (Server.declineLimit() < Limit)
    Limit = std::max(1U, static_cast<uint32_t>(Server.declineLimit()));
  return Limit;
}

void ServerRegistry::recordDecline(BackendServer &Server, MonotonicTime SentAt,
                                   Duration Latency, MonotonicTime Now) const {
  Server.recordDecline(SentAt, inFlightLimit(Server, Now), Latency, Now);
}

double ServerRegistry::expectedRuns(const BackendServer &Server,
                                    Duration Latency, MonotonicTime Now) const {
  if (!usable(Server) || Server.ejected())
    return 0;
  double Runs =
      std::min<double>(inFlightLimit(Server, Now), Server.declineLimit()) /
      std::max(1.0, Server.relativeLatency(Now));
  Duration Interval = Server.pushback().sendInterval(HostCount);
  if (Interval > Duration(0))
    Runs = std::min(Runs, inSeconds(Latency) / inSeconds(Interval));
  return Runs;
}

void ServerRegistry::recordSend(BackendServer &Server,
                                MonotonicTime Now) const {
  Server.recordSend(Now);
  if (ServerFilter *F =
          Filters ? Filters->find(Server.entry().Service) : nullptr)
    F->recordSend(Server);
  Server.pushback().recordSend(HostCount, Now);
}

void ServerRegistry::recordNotice(BackendServer &Server,
                                  const ServerNotice &Notice,
                                  MonotonicTime SentAt, MonotonicTime Now) {
  double Phase = Notice.Limit ? Rng.uniform01() : 0;
  bool WasLimited = Server.pushback().limit().has_value();
  Server.pushback().record(Notice, SentAt, HostCount, Phase, Now);
  if (WasLimited && !Server.pushback().limit())
    LiftedLimits.push_back({Server.entry().Id, Server.entry().StartedAtMs});
}

std::vector<BackendProcess> ServerRegistry::takeLiftedLimits() {
  return std::exchange(LiftedLimits, {});
}

bool ServerRegistry::liftLimit(const BackendProcess &Process,
                               MonotonicTime Now) {
  auto Found = ById.find(Process.Server);
  return Found != ById.end() &&
         Found->second->entry().StartedAtMs == Process.StartedAtMs &&
         Found->second->pushback().liftLimit(Now);
}

bool ServerRegistry::heldBack(const BackendServer &Server,
                              MonotonicTime Now) const {
  return Now < Server.pushback().nextSendAt(HostCount);
}

size_t ServerRegistry::limitedServers() const {
  return static_cast<size_t>(
      std::count_if(ById.begin(), ById.end(), [](const auto &Entry) {
        return Entry.second->pushback().limit().has_value();
      }));
}

size_t ServerRegistry::pausedServers(MonotonicTime Now) const {
  return static_cast<size_t>(
      std::count_if(ById.begin(), ById.end(), [Now](const auto &Entry) {
        return Now < Entry.second->pushback().pausedUntil();
      }));
}

double ServerRegistry::leastRelativeLatency(const ServiceId &Service,
                                            MonotonicTime Now) const {
  double Least = std::numeric_limits<double>::max();
  for (const BackendServerPtr &Server : servers(Service))
    if (usable(*Server) && !Server->ejected())
      Least = std::min(Least, Server->relativeLatency(Now));
  return Least;
}

bool ServerRegistry::usable(const BackendServer &Server) const {
  return Server.inService() && !EvacuatedZones.count(Server.entry().Zone);
}

bool ServerRegistry::selectable(const BackendServer &Server,
                                MonotonicTime Now) const {
  return usable(Server) && (!Server.ejected() || Server.trialDue(Now));
}

double ServerRegistry::coldSendLimit(const BackendServer &Server) const {
  double ColdRate = limitsOf(Server.entry().Service).ColdRate;
  if (ColdRate <= 0)
    return std::numeric_limits<double>::max();
  return (ColdRate * ColdOverage + ColdSlack) * ColdLimitShare / HostCount;
}

MonotonicTime ServerRegistry::nextSendAt(const BackendServer &Server,
                                         MonotonicTime Now) const {
  return std::max({Server.pushback().nextSendAt(HostCount),
                   Server.declinePauseUntil(),
                   Server.nextColdSendAt(coldSendLimit(Server), Now)});
}

bool ServerRegistry::belowLimits(const BackendServer &Server,
                                 MonotonicTime Now) const {
  return Server.inFlight() < inFlightLimit(Server, Now) &&
         nextSendAt(Server, Now) <= Now;
}

double ServerRegistry::selectionCost(const BackendServer &Server,
                                     const ServerCriteria &Criteria,
                                     MonotonicTime Now) const {
  double Cost = Server.cost(Criteria.TypicalLatency, Now);
  if (Server.entry().Zone != OwnZone)
    Cost = Cost * CrossZoneFactor +
           inSeconds(CrossZoneRoundTrip) / inSeconds(Criteria.TypicalLatency);
  return Cost;
}

ServerRegistry::Eligible::Eligible(const ServerRegistry &Registry,
                                   const ServiceId &Service)
    : Filter(Registry.Filters ? Registry.Filters->find(Service) : nullptr) {
  if (!Filter)
    return;
  const std::vector<BackendServerPtr> &All = Registry.servers(Service);
  AnyRegular =
      std::any_of(All.begin(), All.end(), [&](const BackendServerPtr &S) {
        return Filter->role(*S) == ServerRole::Regular && Registry.usable(*S);
      });
}

bool ServerRegistry::Eligible::operator()(const BackendServer &Server) const {
  if (!Filter)
    return true;
  ServerRole Role = Filter->role(Server);
  return AnyRegular ? Role == ServerRole::Regular
                    : Role != ServerRole::Excluded;
}

BackendServerPtr ServerRegistry::choose(const ServiceId &Service,
                                        const ServerCriteria &Criteria,
                                        MonotonicTime Now) const {
  Eligible IsEligible(*this, Service);
  ServerFilter *Filter = IsEligible.filter();
  if (!Filter)
    return chooseAmong(Service, Criteria, IsEligible, Now);
  bool IsFirst = !Criteria.TriedServers || Criteria.TriedServers->empty();
  BackendServerPtr Out;
  if (IsFirst && Filter->trialDue(Criteria.Route, Now))
    Out = chooseAmong(
        Service, Criteria,
        [&](const BackendServer &S) {
          return Filter->role(S) == ServerRole::Trial;
        },
        Now);
  if (!Out)
    Out = chooseAmong(Service, Criteria, IsEligible, Now);
  if (Out && IsFirst)
    Filter->recordFirstAttempt(Criteria.Route, *Out);
  return Out;
}

template <typename Predicate>
BackendServerPtr ServerRegistry::chooseAmong(const ServiceId &Service,
                                             const ServerCriteria &Criteria,
                                             const Predicate &IsEligible,
                                             MonotonicTime Now) const {
  Candidates.clear();
  auto Best = std::make_pair(true, std::numeric_limits<double>::max());
  for (const BackendServerPtr &Server : servers(Service)) {
    if (!usable(*Server) || contains(Criteria.TriedServers, Server) ||
        !IsEligible(*Server) || !belowLimits(*Server, Now))
      continue;
    bool Ejected = Server->ejected();
    if (Ejected && (Criteria.MaxCost > 0 || Server->inFlight() > 0))
      continue;
    double Cost = selectionCost(*Server, Criteria, Now);
    if (Criteria.MaxCost > 0 && Cost > Criteria.MaxCost)
      continue;
    // An ejected backend server that is due for a trial competes like the
    // others: if it still fails, its request is hedged.
    bool IsAvoided = Ejected && !Server->trialDue(Now);
    if (IsAvoided)
      Cost += inSeconds(Server->ejectedUntil() - Now) * 1000;
    Candidates.push_back({&Server, IsAvoided, Cost});
    Best = std::min(Best, std::make_pair(IsAvoided, Cost));
  }
  // Of those that are about equally good the one of the own zone that this host
  // has used least recently.
  const BackendServerPtr *Chosen = nullptr;
  auto ChosenRank = std::make_tuple(true, MonotonicTime::max(), 0.0);
  for (const Candidate &Each : Candidates) {
    if (Each.IsAvoided != Best.first || Each.Cost > Best.second * EqualCost)
      continue;
    auto Rank = std::make_tuple((*Each.Server)->entry().Zone != OwnZone,
                                (*Each.Server)->lastSentAt(), Rng.uniform01());
    if (Chosen && Rank >= ChosenRank)
      continue;
    Chosen = Each.Server;
    ChosenRank = Rank;
  }
  return Chosen ? *Chosen : nullptr;
}

ServiceState ServerRegistry::state(const ServiceId &Service,
                                   MonotonicTime Now) const {
  Eligible IsEligible(*this, Service);
  bool AnySelectable = false;
  for (const BackendServerPtr &Server : servers(Service)) {
    if (!selectable(*Server, Now) || !IsEligible(*Server))
      continue;
    AnySelectable = true;
    if (belowLimits(*Server, Now))
      return ServiceState::Available;
  }
  return AnySelectable ? ServiceState::Full : ServiceState::Unavailable;
}

MonotonicTime
ServerRegistry::earliestSendAt(const ServiceId &Service,
                               const std::vector<BackendServerPtr> &Tried,
                               MonotonicTime Now) const {
  Eligible IsEligible(*this, Service);
  MonotonicTime Earliest = MonotonicTime::max();
  for (const BackendServerPtr &Server : servers(Service))
    if (selectable(*Server, Now) && IsEligible(*Server) &&
        !contains(&Tried, Server))
      Earliest = std::min(
          Earliest, std::max(Now, Server->pushback().nextSendAt(HostCount)));
  return Earliest;
}

MonotonicTime ServerRegistry::nextReleaseAt(const ServiceId &Service,
                                            MonotonicTime Now) const {
  MonotonicTime Next = MonotonicTime::max();
  for (const BackendServerPtr &Server : servers(Service))
    if (MonotonicTime At = nextSendAt(*Server, Now);
        usable(*Server) && At > Now)
      Next = std::min(Next, At);
  return Next;
}

bool ServerRegistry::hasUntriedServer(
    const ServiceId &Service, const std::vector<BackendServerPtr> &Tried,
    MonotonicTime Now) const {
  Eligible IsEligible(*this, Service);
  const std::vector<BackendServerPtr> &All = servers(Service);
  return std::any_of(All.begin(), All.end(), [&](const BackendServerPtr &S) {
    return selectable(*S, Now) && IsEligible(*S) && !contains(&Tried, S);
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
