#include "entry/rollout_driver.h"

#include "base/rendezvous.h"
#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

constexpr Duration TickInterval = Milliseconds(200);
/// Interval of reports without new evidence, which keep the grants valid.
constexpr Duration IdleReportInterval = Milliseconds(800);
/// Repeated part of the evidence: some reports in a row may be lost.
constexpr Duration RepeatedEvidence = Seconds(3);
constexpr Duration ReplyTimeout = Milliseconds(1000);
/// A reviewer without a reply for this long does not act.
constexpr Duration ReviewerTimeout = Milliseconds(1000);
/// Decisions are left to hosts whose copy of the store is at most this old;
/// longer than the usual time between two confirmations.
constexpr Duration FreshStoreAge = Milliseconds(2400);
constexpr size_t ReviewerCount = 3;
/// A write is repeated if the store does not show it within this time.
constexpr Duration WriteRetryDelay = Milliseconds(1500);
constexpr Duration WriteTimeout = Milliseconds(3000);
constexpr size_t MaxPreviousOrders = 4;

std::string describe(const RolloutStatus &Status) {
  return "service=" + Status.Service.text() +
         " version=" + Status.TargetVersion.text() +
         " order=" + std::to_string(Status.Order.number()) +
         " phase=" + rolloutPhaseName(Status.Phase) +
         " by=" + Status.DecidedBy + " reason=" + Status.Reason +
         " evidence=\"" + Status.Evidence + "\"";
}

RolloutPhase phaseAfter(ReviewStep Step) {
  switch (Step) {
  case ReviewStep::Move:
    return RolloutPhase::Moving;
  case ReviewStep::Complete:
    return RolloutPhase::Completed;
  case ReviewStep::RollBack:
    return RolloutPhase::RolledBack;
  case ReviewStep::None:
  case ReviewStep::Start:
    break;
  }
  return RolloutPhase::Testing;
}

} // namespace

std::vector<HostId> rolloutReviewers(const std::vector<EntryHost> &Listed,
                                     const HostId &Self) {
  std::vector<const EntryHost *> Ranked;
  Ranked.reserve(Listed.size());
  for (const EntryHost &Host : Listed)
    Ranked.push_back(&Host);
  std::sort(
      Ranked.begin(), Ranked.end(), [](const EntryHost *A, const EntryHost *B) {
        return std::make_pair(rendezvousWeight("rollout", A->Name), A->Name) >
               std::make_pair(rendezvousWeight("rollout", B->Name), B->Name);
      });
  std::vector<HostId> Out;
  std::set<AvailabilityZoneId> Zones;
  auto Add = [&](bool NewZonesOnly) {
    for (const EntryHost *Host : Ranked) {
      bool IsKnown =
          std::find(Out.begin(), Out.end(), Host->PeerAddress) != Out.end();
      if (Out.size() < ReviewerCount && !IsKnown &&
          (!NewZonesOnly || Zones.insert(Host->Zone).second))
        Out.push_back(Host->PeerAddress);
    }
  };
  Add(true);
  Add(false);
  if (Out.empty())
    Out.push_back(Self);
  return Out;
}

RolloutDriver::RolloutDriver(FiberLoop &Loop, ServerRegistry &Registry,
                             CallScheduler &Scheduler, PlatformFeed &Feed,
                             MetadataStore &Store, MetricsRegistry &Metrics,
                             Random &Rng, const EntryHost &Self,
                             Incarnation OwnIncarnation, RolloutLimits Limits)
    : Loop(Loop), Registry(Registry), Feed(Feed), Store(Store),
      Metrics(Metrics), Self(Self.PeerAddress), HostName(Self.Name),
      OwnIncarnation(OwnIncarnation), Limits(Limits),
      Rollouts(Rng), Reviewers{Self.PeerAddress} {
  Registry.setFilters(&Rollouts);
  Scheduler.onAttemptEnded([this](const AttemptReport &Report) {
    if (Rollouts.find(Report.Server.entry().Service))
      Rollouts.get(Report.Server.entry().Service).record(Report);
  });
  Metrics.gauge("mimosa_rollouts_undecided", {}, [this] {
    return static_cast<double>(std::count_if(
        Rollouts.all().begin(), Rollouts.all().end(),
        [](const auto &Entry) { return Entry.second.undecided(); }));
  });
}

void RolloutDriver::start() {
  Timer = Loop.every(TickInterval, [this] { tick(); });
}

void RolloutDriver::setHosts(const std::vector<EntryHost> &NewHosts) {
  Listed.clear();
  for (const EntryHost &Host : NewHosts)
    Listed.push_back(Host.PeerAddress);
  Reviewers = rolloutReviewers(NewHosts, Self);
}

void RolloutDriver::orderChanged(const ServiceId &Service,
                                 std::optional<RolloutOrder> Order) {
  if (Order)
    logInfo("rollout",
            "event=ordered service=" + Service.text() +
                " version=" + Order->TargetVersion.text() +
                " order=" + std::to_string(Order->Revision.number()) +
                " ramp_ms=" + std::to_string(inMilliseconds(Order->Ramp)));
  else
    logInfo("rollout", "event=order_removed service=" + Service.text());
  Rollouts.get(Service).setOrder(std::move(Order), Loop.now());
  States[Service] = {};
  Rollouts.update(Loop.now());
}

void RolloutDriver::statusChanged(const ServiceId &Service,
                                  std::optional<RolloutStatus> Status) {
  if (Status)
    logInfo("rollout", "event=status " + describe(*Status));
  Rollouts.get(Service).setStatus(std::move(Status), Loop.now());
  States[Service].WriteAgainAt = Loop.now();
  Rollouts.update(Loop.now());
}

bool RolloutDriver::storeFresh() const {
  return Feed.cacheAge() < FreshStoreAge;
}

HostId RolloutDriver::actingReviewer(MonotonicTime Now) const {
  HostId First;
  for (const HostId &Each : Reviewers) {
    bool Fresh = storeFresh();
    if (Each != Self) {
      auto Found = ReviewerStates.find(Each);
      if (Found == ReviewerStates.end() ||
          Now - Found->second.RepliedAt >= ReviewerTimeout)
        continue;
      Fresh = Found->second.StoreFresh;
    }
    if (Fresh)
      return Each;
    if (First.empty())
      First = Each;
  }
  return First;
}

void RolloutDriver::tick() {
  MonotonicTime Now = Loop.now();
  Rollouts.update(Now);
  std::vector<ServiceId> Due = dueReports(Now);
  if (!Due.empty())
    sendEvidence(Due, Now);
  bool IsReviewer =
      std::find(Reviewers.begin(), Reviewers.end(), Self) != Reviewers.end();
  if (!IsReviewer)
    return;
  for (auto &[Service, Rollout] : Rollouts.all()) {
    if (Rollout.undecided())
      review(Service, Rollout, Now);
    else if (Rollout.withdrawnUndecided())
      rollBackWithdrawn(Service, Rollout, Now);
  }
}

std::vector<ServiceId> RolloutDriver::dueReports(MonotonicTime Now) {
  std::vector<ServiceId> Out;
  for (const auto &[Service, Rollout] : Rollouts.all()) {
    if (!Rollout.undecided())
      continue;
    ServiceState &State = States[Service];
    ServiceEvidence Summary = Rollout.makeReport(Now, Now, 0);
    // While traffic is moved, reviewers wait for the end of requests.
    bool IsIdle = Summary.Sent == State.ReportedSent &&
                  Summary.Moved == State.ReportedMoved && !Summary.Moved;
    if (IsIdle && Now - State.ReportedAt < IdleReportInterval)
      continue;
    State.ReportedSent = Summary.Sent;
    State.ReportedMoved = Summary.Moved;
    State.ReportedAt = Now;
    Out.push_back(Service);
  }
  return Out;
}

uint64_t RolloutDriver::inFlightElsewhere(const ServiceId &Service,
                                          const VersionId &Target) const {
  uint64_t Out = 0;
  for (const BackendServerPtr &Server : Registry.servers(Service))
    Out += Server->entry().Version == Target ? 0 : Server->inFlight();
  return Out;
}

RolloutEvidence
RolloutDriver::makeEvidence(const std::vector<ServiceId> &Services,
                            const HostId &To, MonotonicTime Now) const {
  RolloutEvidence Out;
  Out.Sender = Self;
  Out.SenderIncarnation = OwnIncarnation;
  Out.StoreFresh = storeFresh();
  auto State = ReviewerStates.find(To);
  for (const ServiceId &Service : Services) {
    const ServiceRollout &Rollout = Rollouts.all().at(Service);
    bool IsKnown = false;
    if (State != ReviewerStates.end()) {
      auto Known = State->second.Known.find(Service);
      IsKnown = Known != State->second.Known.end() &&
                Known->second == Rollout.order()->Revision;
    }
    Out.Services.push_back(Rollout.makeReport(
        Now, IsKnown ? Now - RepeatedEvidence : MonotonicTime(),
        inFlightElsewhere(Service, Rollout.targetVersion())));
  }
  return Out;
}

void RolloutDriver::sendEvidence(const std::vector<ServiceId> &Services,
                                 MonotonicTime Now) {
  for (const HostId &To : Reviewers) {
    RolloutEvidence Evidence = makeEvidence(Services, To, Now);
    if (To == Self) {
      applyEvidence(Evidence, Now);
      applyReply(Self, makeReply(Evidence, Now), Now);
      continue;
    }
    Feed.peers().request(
        To, MessageType::RolloutEvidence, packBody(Evidence), ReplyTimeout,
        [this, To](const Result<PeerFrame> &Frame) {
          // Another reviewer acts if this one does not reply.
          if (!ok(Frame))
            return;
          Result<RolloutEvidence> Reply =
              unpackBody<RolloutEvidence>(valueOf(Frame).Body);
          if (ok(Reply))
            applyReply(To, valueOf(Reply), Loop.now());
          else
            logWarn("rollout", "event=bad_reply host=" + To.text() +
                                   " reason=\"" + errorOf(Reply).Message +
                                   "\"");
        });
  }
}

void RolloutDriver::handleEvidence(const PeerFrame &Frame,
                                   const PeerReplier &Reply) {
  Result<RolloutEvidence> Received = unpackBody<RolloutEvidence>(Frame.Body);
  if (!ok(Received))
    return logWarn("rollout", "event=bad_evidence reason=\"" +
                                  errorOf(Received).Message + "\"");
  applyEvidence(valueOf(Received), Loop.now());
  Reply(MessageType::RolloutEvidence,
        packBody(makeReply(valueOf(Received), Loop.now())));
}

RolloutReview *RolloutDriver::reviewOf(const ServiceRollout &Rollout,
                                       const ServiceId &Service,
                                       MonotonicTime Now) {
  if (!Rollout.undecided())
    return nullptr;
  std::optional<RolloutReview> &Review = States[Service].Review;
  if (!Review || Review->order().Revision != Rollout.order()->Revision)
    Review.emplace(*Rollout.order(), Limits, Now - Rollout.orderAge(Now));
  return &*Review;
}

void RolloutDriver::applyEvidence(const RolloutEvidence &Evidence,
                                  MonotonicTime Now) {
  for (const ServiceEvidence &Each : Evidence.Services) {
    auto Found = Rollouts.all().find(Each.Service);
    if (Found == Rollouts.all().end())
      continue;
    RolloutReview *Review = reviewOf(Found->second, Each.Service, Now);
    // This host's copy of the store may be older than the sender's, or newer.
    if (Review && Review->order().Revision == Each.Order)
      Review->applyEvidence(Evidence.Sender, Evidence.SenderIncarnation, Each,
                            Now);
  }
}

RolloutEvidence RolloutDriver::makeReply(const RolloutEvidence &Evidence,
                                         MonotonicTime Now) const {
  RolloutEvidence Out;
  Out.Sender = Self;
  Out.SenderIncarnation = OwnIncarnation;
  Out.StoreFresh = storeFresh();
  for (const ServiceEvidence &Each : Evidence.Services) {
    auto Found = States.find(Each.Service);
    if (Found != States.end() && Found->second.Review &&
        Found->second.Review->order().Revision == Each.Order)
      Out.Grants.push_back(Found->second.Review->grant(Now));
  }
  return Out;
}

void RolloutDriver::applyReply(const HostId &From, const RolloutEvidence &Reply,
                               MonotonicTime Now) {
  Reviewer &State = ReviewerStates[From];
  State.RepliedAt = Now;
  State.StoreFresh = Reply.StoreFresh;
  // A reviewer that was restarted has lost the evidence.
  if (State.ReviewerIncarnation != Reply.SenderIncarnation)
    State.Known.clear();
  State.ReviewerIncarnation = Reply.SenderIncarnation;
  bool IsActing = actingReviewer(Now) == From;
  for (const RolloutGrant &Grant : Reply.Grants) {
    auto Found = Rollouts.all().find(Grant.Service);
    if (Found == Rollouts.all().end() || !Found->second.order() ||
        Found->second.order()->Revision != Grant.Order)
      continue;
    ServiceRollout &Rollout = Found->second;
    State.Known[Grant.Service] = Grant.Order;
    if (Grant.Stop && !Rollout.stopped())
      logWarn("rollout", "event=stopped service=" + Grant.Service.text() +
                             " version=" + Rollout.targetVersion().text() +
                             " order=" + std::to_string(Grant.Order.number()) +
                             " reviewer=" + From.text());
    Rollout.applyGrants(IsActing ? &Grant : nullptr, Grant.Stop, Now);
  }
}

ReviewState RolloutDriver::reviewState(const ServiceId &Service,
                                       const ServiceRollout &Rollout) const {
  ReviewState Out;
  Out.Phase = Rollout.phase();
  Out.HasStatus = Rollout.hasStatus();
  Out.StoreFresh = storeFresh();
  Out.ListedHosts = Listed;
  std::vector<BackendServerId> Cold;
  Out.HasOtherServers = false;
  for (const BackendServerPtr &Server : Registry.servers(Service)) {
    if (!Registry.usable(*Server))
      continue;
    if (Server->entry().Version != Rollout.targetVersion())
      Out.HasOtherServers = true;
    else
      (Server->cold(Loop.now()) ? Cold : Out.TargetServers)
          .push_back(Server->entry().Id);
  }
  if (Out.TargetServers.empty())
    Out.TargetServers = std::move(Cold);
  std::sort(Out.TargetServers.begin(), Out.TargetServers.end());
  return Out;
}

void RolloutDriver::review(const ServiceId &Service, ServiceRollout &Rollout,
                           MonotonicTime Now) {
  RolloutReview *Review = reviewOf(Rollout, Service, Now);
  ReviewDecision Decision = Review->step(reviewState(Service, Rollout), Now);
  // At the start of an order, no reviewer has replied yet.
  bool IsTooEarly =
      Reviewers.front() != Self && Rollout.orderAge(Now) < ReviewerTimeout;
  if (Decision.Step == ReviewStep::None || actingReviewer(Now) != Self ||
      IsTooEarly || Now < States[Service].WriteAgainAt)
    return;
  RolloutStatus Next;
  Next.Service = Service;
  Next.TargetVersion = Rollout.targetVersion();
  Next.Phase = phaseAfter(Decision.Step);
  Next.Order = Rollout.order()->Revision;
  Next.Excluded = Rollout.excludedVersions();
  Next.Reason = Decision.Reason;
  Next.Evidence = Review->evidenceText();
  if (const std::optional<RolloutStatus> &Last = Rollout.status()) {
    Next.Previous = Last->Previous;
    if (!Rollout.hasStatus())
      Next.Previous.insert(Next.Previous.begin(), describe(*Last));
    if (Next.Previous.size() > MaxPreviousOrders)
      Next.Previous.resize(MaxPreviousOrders);
    Next.Revision = Last->Revision;
  }
  write(std::move(Next), Rollout.order()->Revision, Now);
}

void RolloutDriver::rollBackWithdrawn(const ServiceId &Service,
                                      const ServiceRollout &Rollout,
                                      MonotonicTime Now) {
  if (actingReviewer(Now) != Self || Now < States[Service].WriteAgainAt)
    return;
  RolloutStatus Next = *Rollout.status();
  Next.Phase = RolloutPhase::RolledBack;
  Next.Reason = "withdrawn";
  write(std::move(Next), StoreRevision(), Now);
}

void RolloutDriver::write(RolloutStatus Status, StoreRevision OrderRevision,
                          MonotonicTime Now) {
  States[Status.Service].WriteAgainAt = Now + WriteTimeout;
  Status.DecidedBy = HostName;
  Loop.spawn([this, Status, OrderRevision] {
    std::string StatusKey = RolloutStatusPrefix + Status.Service.text();
    Result<Done> Written = Store.putIf(
        {{RolloutOrderPrefix + Status.Service.text(), OrderRevision},
         {StatusKey, Status.Revision}},
        StatusKey, encodeRolloutStatus(Status));
    bool Conflicts =
        !ok(Written) && errorOf(Written).Code == ResultCode::Conflict;
    const char *Outcome = ok(Written) ? "written"
                          : Conflicts ? "conflict"
                                      : "failed";
    Metrics
        .counter(
            "mimosa_rollout_writes_total",
            {{"phase", rolloutPhaseName(Status.Phase)}, {"outcome", Outcome}})
        .add();
    States[Status.Service].WriteAgainAt = Loop.now() + WriteRetryDelay;
    std::string Line =
        std::string("event=write outcome=") + Outcome + " " + describe(Status);
    if (ok(Written))
      logInfo("rollout", Line);
    else
      logWarn("rollout", Line + " error=\"" + errorOf(Written).Message + "\"");
  });
}

} // namespace mimosa
