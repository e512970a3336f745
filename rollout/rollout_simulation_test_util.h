// A fleet of hosts that carries out a roll-out in virtual time: each host has a
// ServiceRollout, the first three have a RolloutReview too. Requests, answers,
// reports and the store are simulated.

#ifndef MIMOSA_ROLLOUT_ROLLOUT_SIMULATION_TEST_UTIL_H
#define MIMOSA_ROLLOUT_ROLLOUT_SIMULATION_TEST_UTIL_H

#include "balance/server_registry.h"
#include "rollout/rollout_review.h"
#include "rollout/service_rollout.h"

#include <functional>
#include <memory>

namespace mimosa {

/// What a backend server answers to one request.
struct SimulatedAnswer {
  bool Failure = false;
  Duration Latency = Milliseconds(20);
};

/// Conditions of one request.
struct SimulatedRequest {
  bool ToTarget = false;
  /// Number of the backend server within its version.
  size_t Server = 0;
  bool RareRoute = false;
  /// Time since the order.
  Duration Age{0};
  /// Requests that the backend server got in the last 250 ms.
  size_t RecentRequests = 0;
  Random &Rng;
};

struct SimulationOptions {
  double RequestsPerSecond = 120;
  size_t Hosts = 4;
  size_t ServersPerVersion = 3;
  Duration Ramp = Seconds(12);
  uint64_t Seed = 1;
  std::function<SimulatedAnswer(const SimulatedRequest &)> Answer;
};

class RolloutSimulation {
public:
  static constexpr size_t Reviewers = 3;
  static constexpr Duration Step = Milliseconds(10);
  static constexpr Duration ReportInterval = Milliseconds(200);
  static constexpr Duration StoreDelay = Milliseconds(100);
  static constexpr Duration ResumedHostDelay = Milliseconds(600);

  struct Host {
    Host(const ServiceId &Service, Random &Rng)
        : Rollouts(Rng), Registry(AvailabilityZoneId("z"), Rng) {
      Registry.setFilters(&Rollouts);
      Rollouts.get(Service);
    }
    ServiceRollouts Rollouts;
    ServerRegistry Registry;
    std::optional<RolloutReview> Review;
    /// Lost or frozen: it neither sends requests nor reports.
    bool Down = false;
    bool Listed = true;
    /// Reports and grants do not get through.
    bool CutOff = false;
  };

  explicit RolloutSimulation(SimulationOptions NewOptions)
      : Options(std::move(NewOptions)), Rng(Options.Seed) {
    for (size_t I = 0; I < Options.Hosts; ++I)
      Hosts.push_back(std::make_unique<Host>(Service, Rng));
    addServers("v1");
    order("v2");
  }

  /// Starts the backend servers of a version.
  void addServers(const std::string &Version) {
    for (size_t I = 0; I < Options.ServersPerVersion; ++I) {
      BackendServerEntry Entry;
      Entry.Id = BackendServerId(Version + "-" + std::to_string(I));
      Entry.Service = Service;
      Entry.Version = VersionId(Version);
      Entry.Zone = AvailabilityZoneId("z");
      Entry.Slots = 1000;
      for (auto &Each : Hosts) {
        Each->Registry.setLimits(Service, 100000, 0);
        Each->Registry.update(Entry, Now);
      }
    }
  }
  void removeServers(const std::string &Version) {
    for (size_t I = 0; I < Options.ServersPerVersion; ++I)
      for (auto &Each : Hosts)
        Each->Registry.remove(
            BackendServerId(Version + "-" + std::to_string(I)));
  }
  void order(const std::string &Version) {
    addServers(Version);
    Revision = Revision.next();
    Order = RolloutOrder{Service, VersionId(Version), Options.Ramp, Revision};
    OrderedAt = Now;
    publish();
  }
  void withdraw() {
    Order.reset();
    publish();
  }

  /// Lets a host go on, which learns what the store holds some time later.
  void resume(size_t Number) {
    Hosts[Number]->Down = false;
    PublishAt = Now + ResumedHostDelay;
  }

  /// Runs until a decision about the current order, at most for \p Limit.
  void runUntilDecided(Duration Limit) {
    MonotonicTime End = Now + Limit;
    while (Now < End && !decided())
      advance();
  }
  void run(Duration Time) {
    MonotonicTime End = Now + Time;
    while (Now < End)
      advance();
  }
  bool decided() const {
    return Order && Stored && Stored->Order == Order->Revision &&
           isDecided(Stored->Phase);
  }
  RolloutPhase phase() const {
    return decided() ? Stored->Phase : RolloutPhase::Testing;
  }
  Duration age() const { return Now - OrderedAt; }

  std::vector<std::unique_ptr<Host>> Hosts;
  std::optional<RolloutStatus> Stored;
  uint64_t Requests = 0;
  uint64_t ToTarget = 0;
  uint64_t BadAnswers = 0;
  MonotonicTime FiftiethBadAt;
  MonotonicTime LastToTargetAt;

private:
  struct PendingAnswer {
    size_t Host;
    BackendServerPtr Server;
    RouteId Route;
    MonotonicTime SentAt;
    SimulatedAnswer Answer;
  };

  ServiceRollout &rolloutOf(Host &H) { return H.Rollouts.get(Service); }

  /// Passes the items in the store to all hosts that are up.
  void publish() {
    for (auto &Each : Hosts) {
      if (Each->Down)
        continue;
      rolloutOf(*Each).setOrder(Order, Now);
      rolloutOf(*Each).setStatus(Stored, Now);
      Each->Rollouts.update(Now);
      if (Each->Review && Order &&
          Each->Review->order().Revision != Order->Revision)
        Each->Review.reset();
    }
  }

  void advance() {
    Now += Step;
    Due += Options.RequestsPerSecond * inSeconds(Step);
    for (; Due >= 1; Due -= 1)
      request();
    while (!Pending.empty() && Pending.begin()->first <= Now) {
      answered(Pending.begin()->second);
      Pending.erase(Pending.begin());
    }
    if (PublishAt && Now >= *PublishAt) {
      PublishAt.reset();
      publish();
    }
    if (Now - ReportedAt >= ReportInterval) {
      ReportedAt = Now;
      report();
    }
  }

  void request() {
    size_t Number = Rng.below(Hosts.size());
    Host &H = *Hosts[Number];
    if (H.Down)
      return;
    ServerCriteria Criteria;
    bool RareRoute = Rng.below(10) == 0;
    Criteria.Route = RouteId(RareRoute ? "rare" : "usual");
    BackendServerPtr Server = H.Registry.choose(Service, Criteria, Now);
    if (!Server)
      return;
    H.Registry.recordSend(*Server, Now);
    ++Requests;
    std::string Id = Server->entry().Id.text();
    auto &Recent = RecentSends[Id];
    Recent.push_back(Now);
    while (Recent.front() + Milliseconds(250) < Now)
      Recent.erase(Recent.begin());
    // The version of an order that was replaced counts, too.
    bool IsTarget = Server->entry().Version != VersionId("v1");
    SimulatedAnswer Answer =
        Options.Answer({IsTarget, static_cast<size_t>(Id.back() - '0'),
                        RareRoute, age(), Recent.size(), Rng});
    if (IsTarget) {
      ++ToTarget;
      LastToTargetAt = Now;
      BadAnswers += Answer.Failure || Answer.Latency > Milliseconds(50) ? 1 : 0;
      if (BadAnswers == 50 && FiftiethBadAt == MonotonicTime())
        FiftiethBadAt = Now + Answer.Latency;
    }
    Pending.emplace(Now + Answer.Latency,
                    PendingAnswer{Number, Server, Criteria.Route, Now, Answer});
  }

  void answered(const PendingAnswer &P) {
    P.Server->recordEnd(P.SentAt);
    rolloutOf(*Hosts[P.Host])
        .record({*P.Server, P.Route, P.SentAt,
                 P.Answer.Failure ? AttemptEnd::Failed : AttemptEnd::Succeeded,
                 Now});
  }

  void report() {
    HostId Acting;
    for (size_t R = 0; R < std::min(Reviewers, Hosts.size()); ++R) {
      Host &Reviewer = *Hosts[R];
      ServiceRollout &Own = rolloutOf(Reviewer);
      if (Reviewer.Down || !Own.undecided())
        continue;
      if (!Reviewer.Review)
        Reviewer.Review.emplace(*Own.order(), RolloutLimits{}, OrderedAt);
      for (size_t I = 0; I < Hosts.size(); ++I)
        exchange(*Reviewer.Review, *Hosts[I], idOf(I),
                 I != R && Reviewer.CutOff, Acting.empty());
      ReviewDecision Next = Reviewer.Review->step(stateOf(Reviewer), Now);
      if (Acting.empty() && !Reviewer.CutOff)
        apply(Next, Own);
      if (!Reviewer.CutOff)
        Acting = idOf(R);
    }
    if (!Order && Stored && !isDecided(Stored->Phase)) {
      Stored->Phase = RolloutPhase::RolledBack;
      PublishAt = Now + StoreDelay;
    }
  }

  void exchange(RolloutReview &Review, Host &H, const HostId &Id, bool IsCutOff,
                bool IsActing) {
    ServiceRollout &Rollout = rolloutOf(H);
    if (H.Down || H.CutOff || IsCutOff || !Rollout.undecided())
      return;
    uint64_t InFlight = 0;
    for (const BackendServerPtr &Server : H.Registry.servers(Service))
      if (Server->entry().Version != Rollout.targetVersion())
        InFlight += Server->inFlight();
    Review.applyEvidence(Id, Incarnation(1),
                         Rollout.makeReport(Now, MonotonicTime(), InFlight),
                         Now);
    RolloutGrant Grant = Review.grant(Now);
    Rollout.applyGrants(IsActing ? &Grant : nullptr, Grant.Stop, Now);
  }

  ReviewState stateOf(Host &Reviewer) {
    ReviewState Out;
    Out.Phase = rolloutOf(Reviewer).phase();
    Out.HasStatus = rolloutOf(Reviewer).hasStatus();
    for (const BackendServerPtr &Server : Reviewer.Registry.servers(Service))
      if (Server->entry().Version == rolloutOf(Reviewer).targetVersion())
        Out.TargetServers.push_back(Server->entry().Id);
    Out.HasOtherServers =
        Reviewer.Registry.servers(Service).size() > Out.TargetServers.size();
    for (size_t I = 0; I < Hosts.size(); ++I)
      if (Hosts[I]->Listed)
        Out.ListedHosts.push_back(idOf(I));
    return Out;
  }

  void apply(const ReviewDecision &Next, const ServiceRollout &Own) {
    if (Next.Step == ReviewStep::None || PublishAt || !Order)
      return;
    Revision = Revision.next();
    RolloutStatus Status;
    Status.Service = Service;
    Status.TargetVersion = Order->TargetVersion;
    Status.Order = Order->Revision;
    Status.Excluded = Own.excludedVersions();
    Status.Reason = Next.Reason;
    Status.Phase = Next.Step == ReviewStep::Start  ? RolloutPhase::Testing
                   : Next.Step == ReviewStep::Move ? RolloutPhase::Moving
                   : Next.Step == ReviewStep::Complete
                       ? RolloutPhase::Completed
                       : RolloutPhase::RolledBack;
    Status.Revision = Revision;
    Stored = Status;
    PublishAt = Now + StoreDelay;
  }

  static HostId idOf(size_t I) { return HostId("h" + std::to_string(I)); }

  const ServiceId Service{"shop"};
  SimulationOptions Options;
  SeededRandom Rng;
  MonotonicTime Now{Seconds(1000)};
  MonotonicTime OrderedAt;
  MonotonicTime ReportedAt = Now;
  std::optional<MonotonicTime> PublishAt;
  StoreRevision Revision{10};
  std::optional<RolloutOrder> Order;
  double Due = 0;
  std::multimap<MonotonicTime, PendingAnswer> Pending;
  std::map<std::string, std::vector<MonotonicTime>> RecentSends;
};

} // namespace mimosa

#endif // MIMOSA_ROLLOUT_ROLLOUT_SIMULATION_TEST_UTIL_H
