#include "rollout/rollout_review.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Part of the bounds that is used, since evidence is up to 400 ms old and
/// hosts act on a grant for up to 1.2 s.
constexpr double UsedExposure = 0.5;
/// Part of the used share that is granted; the rest covers requests that are
/// sent until a burst has ended at all hosts.
constexpr double GrantedShare = 0.85;
/// Time from the move of the traffic to the end of the ramp.
constexpr Duration MoveTime = Seconds(3);
constexpr double MinTestShare = 0.6;
/// The same if the test takes as long as possible. With signs of a fault, all
/// of the ramp is used.
constexpr Duration LateMoveTime = Seconds(1);
/// Part of the time until traffic may be moved in which the version must have
/// been granted requests.
constexpr double MinTestedShare = 0.4;
/// Score from which a version is bad, before and at the end of the test. The
/// first takes nine equal slots (2.25 s) and the second six, more than a fault
/// of 1 s.
constexpr double EarlyScore = 3;
constexpr double FinalScore = 2.3;
/// Bad answers above the expected ones, as a share of the answers, from which
/// the lower score is sufficient at once.
constexpr double SevereExcessShare = 0.4;
/// The time of a rollback counts from the 50th bad answer. Fewer are counted
/// here, since some are seen late or are not recognized as slow. Then the part
/// of that time that is left to find out more: hosts learn the decision in 0.4
/// s.
constexpr uint64_t CountedBadAnswers = 40;
constexpr double DecisionTimeShare = 0.3;
/// Score and excess from which a version is tested until the end of the ramp.
constexpr double SuspiciousScore = 1.4;
constexpr double SuspiciousExcess = 2;
/// Answers below which a version is tested until the end of the ramp.
constexpr uint64_t MinAnswers = 30;
constexpr uint64_t MinRouteAnswers = 8;
/// Answers below which the requests between bursts go on for the sake of the
/// route.
constexpr uint64_t RareRouteAnswers = 12;
/// Requests without any answer that make a version bad: it declines them.
constexpr uint64_t MaxUnanswered = 5;
/// Share of the requests between bursts, and the least rate, per second.
constexpr double BaseShare = 0.01;
constexpr double MinBaseRate = 1.5;
constexpr double MaxBaseShare = 0.2;
/// Largest share in a burst, so that it lasts for several slots.
constexpr double MaxBurstShare = 0.34;
/// Share and least rate, per second, for some time after the first signs of a
/// fault: enough for some answers in each slot. Afterwards the budget is saved
/// for another burst, since the fault may need load to show. The budget may be
/// exceeded for it by this number and share of the requests.
constexpr double CheckShare = 0.04;
constexpr double MinCheckRate = 10;
constexpr double CheckSlack = 8;
constexpr double CheckSlackShare = 0.005;
constexpr Duration CheckTime = Seconds(1);
constexpr Duration DecisionCheckTime = Seconds(2);
constexpr Duration BurstTime = Seconds(1);
/// Bursts are shorter from this part of the time until traffic may be moved,
/// and after signs of a fault, since several are needed to confirm them. None
/// begins before the version has had some requests.
constexpr double ShortBurstFrom = 0.4;
constexpr double ShortBurst = 0.5;
constexpr double ShortestBurst = 0.33;
constexpr double FirstBurstFrom = 0.15;
constexpr Duration BurstEvidenceTime = Milliseconds(600);
constexpr Duration LastBurstWait = Seconds(1);
constexpr Duration RateWindow = Seconds(2);
/// Reports that are older are not a basis for a decision in favour.
constexpr Duration FreshReport = Milliseconds(1500);
/// Hosts that have reported within this time are expected to do so.
constexpr Duration KnownHost = Seconds(10);
/// Longer pauses between two steps mean that this host stood still.
constexpr Duration MaxStepGap = Milliseconds(1000);
/// Shortest observation of moved traffic: five slots.
constexpr Duration MinMovingTime = Milliseconds(1250);
constexpr size_t MinWorseSlots = 4;
/// A listed host that does not report is waited for as long as its lease lasts.
constexpr Duration SilentHostWait = Seconds(6);
/// Backend servers that are all gone for this long do not return.
constexpr Duration NoServersWait = Milliseconds(1500);

} // namespace

RolloutReview::RolloutReview(RolloutOrder Order, RolloutLimits Limits,
                             MonotonicTime SeenAt)
    : Order(std::move(Order)), Limits(Limits), OrderAt(SeenAt),
      LastStepAt(SeenAt), FreshSince(SeenAt - MaxStepGap) {}

Duration RolloutReview::moveAfter() const {
  return std::max(scaled(Order.Ramp, MinTestShare),
                  Order.Ramp - Duration(MoveTime));
}

Duration RolloutReview::testEnd() const {
  Duration Margin = Suspicious ? Duration(0) : Duration(LateMoveTime);
  return std::max(moveAfter(), Order.Ramp - Margin);
}

void RolloutReview::applyEvidence(const HostId &Sender,
                                  Incarnation SenderIncarnation,
                                  const ServiceEvidence &Evidence,
                                  MonotonicTime Now) {
  OrderAt = std::min(OrderAt, Now - Evidence.OrderAge);
  Table.apply(Sender, SenderIncarnation, Evidence, Now);
}

ReviewDecision RolloutReview::condemn(std::string Reason) {
  Bad = true;
  BadReason = std::move(Reason);
  return {ReviewStep::RollBack, BadReason};
}

ReviewDecision RolloutReview::step(const ReviewState &State,
                                   MonotonicTime Now) {
  if (Now - LastStepAt > MaxStepGap)
    FreshSince = Now;
  if (Share > 0)
    TestedTime += Now - LastStepAt;
  LastStepAt = Now;
  if (!State.TargetServers.empty())
    NoServersSince.reset();
  else if (!NoServersSince)
    NoServersSince = Now;
  updateShare(State, Now);
  if (isDecided(State.Phase))
    return {};
  if (!State.HasStatus)
    return {ReviewStep::Start, "ordered"};
  if (Bad)
    return {ReviewStep::RollBack, BadReason};
  Comparison C = Table.compare();
  // The bound on the time of a rollback counts from this many bad answers.
  if (!ManyBadSince && C.TargetFailures + C.TargetSlow >= CountedBadAnswers)
    ManyBadSince = Now;
  bool MustDecide =
      ManyBadSince &&
      Now - *ManyBadSince >= scaled(Limits.RollbackTime, DecisionTimeShare);
  bool IsSevere = C.ExcessShare >= SevereExcessShare;
  if (C.isWorse(MustDecide || IsSevere ? FinalScore : EarlyScore))
    return condemn("worse");
  HasRareRoute = C.LeastRouteAnswers < RareRouteAnswers;
  bool WasSuspicious = Suspicious;
  Suspicious = C.Score >= SuspiciousScore && C.Excess >= SuspiciousExcess;
  if (Suspicious && !WasSuspicious)
    SuspiciousSince = Now;
  if (State.Phase == RolloutPhase::Moving)
    return reviewMove(State, Now);
  MovingSince.reset();
  return reviewTest(State, C, Now);
}

ReviewDecision RolloutReview::reviewTest(const ReviewState &State,
                                         const Comparison &C,
                                         MonotonicTime Now) {
  if (age(Now) < moveAfter() || !State.StoreFresh || !evidenceIsFresh(Now))
    return {};
  // Answers of a burst that has just ended are still under way.
  bool InBurst = BurstUntil || Now - LastBurstAt < BurstEvidenceTime;
  bool AtEnd = age(Now) >= testEnd() + Duration(LastBurstWait) ||
               (age(Now) >= testEnd() && !InBurst);
  if (NoServersSince)
    return AtEnd && Now - *NoServersSince >= NoServersWait
               ? condemn("no_servers")
               : ReviewDecision{};
  if (!State.HasOtherServers)
    return {ReviewStep::Move, "only_version"};
  bool HasTraffic = Table.sent() > 0;
  bool Suspicious = C.Score >= SuspiciousScore && C.Excess >= SuspiciousExcess;
  // Backend servers that came late, or an outage of the store, left no time.
  // If the other versions were gone meanwhile, the budget is used up instead.
  bool HasWaited = age(Now) >= Order.Ramp * 2 && C.TargetAnswers >= MinAnswers;
  if (HasTraffic && !HasWaited &&
      TestedTime < scaled(moveAfter(), MinTestedShare))
    return {};
  bool TooLittle = C.TargetAnswers < MinAnswers ||
                   C.LeastRouteAnswers < MinRouteAnswers || BurstsDone == 0;
  if (!AtEnd && HasTraffic && (Suspicious || TooLittle))
    return {};
  if (AtEnd && C.isWorse(FinalScore))
    return condemn("worse");
  if (C.TargetAnswers == 0 && Table.sentToTarget() >= MaxUnanswered)
    return condemn("no_answers");
  return {ReviewStep::Move, HasTraffic ? "not_worse" : "no_traffic"};
}

ReviewDecision RolloutReview::reviewMove(const ReviewState &State,
                                         MonotonicTime Now) {
  if (!MovingSince)
    MovingSince = Now;
  if (NoServersSince && Now - *NoServersSince >= NoServersWait)
    return condemn("servers_gone");
  if (Table.worseThanBefore(*MovingSince, MinWorseSlots))
    return condemn("worse_when_moved");
  if (Now - *MovingSince < MinMovingTime || NoServersSince ||
      !State.StoreFresh || !evidenceIsFresh(Now) || !allMoved(State, Now))
    return {};
  return {ReviewStep::Complete, "moved"};
}

bool RolloutReview::evidenceIsFresh(MonotonicTime Now) const {
  if (Now - FreshSince < MaxStepGap)
    return false;
  size_t Known = 0;
  size_t Fresh = 0;
  for (const auto &[Host, Source] : Table.sources()) {
    Known += Now - Source.ReportedAt < KnownHost ? 1 : 0;
    Fresh += Now - Source.ReportedAt < FreshReport ? 1 : 0;
  }
  return Fresh > 0 && Fresh * 2 >= Known;
}

bool RolloutReview::allMoved(const ReviewState &State,
                             MonotonicTime Now) const {
  std::map<HostId, EvidenceSource> Sources = Table.sources();
  bool WaitsForSilent = Now - *MovingSince < SilentHostWait;
  for (const HostId &Host : State.ListedHosts)
    if (!Sources.count(Host) && WaitsForSilent)
      return false;
  std::set<HostId> Listed(State.ListedHosts.begin(), State.ListedHosts.end());
  return std::all_of(Sources.begin(), Sources.end(), [&](const auto &Entry) {
    const auto &[Host, Source] = Entry;
    if (Now - Source.ReportedAt < FreshReport)
      return Source.Moved && Source.InFlightElsewhere == 0;
    return !Listed.count(Host) || !WaitsForSilent;
  });
}

double RolloutReview::allowance(MonotonicTime Now) const {
  double Progress = std::min(1.0, inSeconds(age(Now)) / inSeconds(moveAfter()));
  double Allowed = UsedExposure * (GrantedShare * Limits.ExposureShare *
                                       static_cast<double>(Table.sent()) +
                                   Limits.ExposureSlack * Progress);
  return Allowed - static_cast<double>(Table.sentToTarget());
}

double RolloutReview::requestRate(MonotonicTime Now) {
  SentHistory.emplace_back(Now, Table.sent());
  while (SentHistory.size() > 2 && SentHistory[1].first <= Now - RateWindow)
    SentHistory.pop_front();
  Duration Span = Now - SentHistory.front().first;
  if (Span <= Duration(0))
    return 0;
  return static_cast<double>(SentHistory.back().second -
                             SentHistory.front().second) /
         inSeconds(Span);
}

void RolloutReview::updateShare(const ReviewState &State, MonotonicTime Now) {
  double Rate = requestRate(Now);
  double Left = allowance(Now);
  const std::vector<BackendServerId> &Servers = State.TargetServers;
  // After standing still, this host may not know that the order was decided.
  bool MayBeOutdated = !State.StoreFresh || Now - FreshSince < MaxStepGap;
  if (Servers.empty() || Bad || MayBeOutdated ||
      State.Phase != RolloutPhase::Testing) {
    Share = 0;
    BurstUntil.reset();
    return;
  }
  if (std::find(Servers.begin(), Servers.end(), Server) == Servers.end())
    Server = Servers[NextServer % Servers.size()];
  // The load that one backend server would get if all traffic was moved.
  double BurstShare =
      std::min(MaxBurstShare, 1.0 / static_cast<double>(Servers.size()));
  if (BurstUntil && (Now >= *BurstUntil || Left <= 0)) {
    BurstUntil.reset();
    LastBurstAt = Now;
    ++BurstsDone;
  }
  double Cost = Rate * BurstShare * inSeconds(BurstTime);
  double Progress = inSeconds(age(Now)) / inSeconds(moveAfter());
  double Part = Suspicious                   ? ShortestBurst
                : Progress >= ShortBurstFrom ? ShortBurst
                                             : 1;
  bool MayBurst = Progress >= FirstBurstFrom && Rate > 0 && Left >= Cost * Part;
  if (!BurstUntil && MayBurst) {
    BurstUntil = Now + BurstTime;
    Server = Servers[NextServer++ % Servers.size()];
  }
  double Base = std::clamp(MinBaseRate / std::max(Rate, MinBaseRate), BaseShare,
                           MaxBaseShare);
  // From many bad answers on, the decision cannot wait for another burst.
  bool Checks = Now - SuspiciousSince < CheckTime ||
                (ManyBadSince && Now - *ManyBadSince < DecisionCheckTime);
  if (Suspicious && !Checks) {
    // A burst adds few slots for a route with few requests.
    Base = HasRareRoute ? Base : 0;
  } else if (Suspicious) {
    Base = std::max(CheckShare, MinCheckRate / std::max(Rate, MinCheckRate));
    Left += CheckSlack + CheckSlackShare * static_cast<double>(Table.sent());
  }
  Share = Left <= 0 ? 0 : BurstUntil ? BurstShare : std::min(Base, BurstShare);
}

RolloutGrant RolloutReview::grant(MonotonicTime Now) const {
  RolloutGrant Out;
  Out.Service = Order.Service;
  Out.Order = Order.Revision;
  Out.OrderAge = age(Now);
  // This host stood still and has not looked at the store since.
  Out.Share = Now - LastStepAt > MaxStepGap ? 0 : Share;
  Out.Server = Server;
  Out.Stop = Bad;
  return Out;
}

std::string RolloutReview::evidenceText() const {
  return Table.compare().text() + "; sent " + std::to_string(Table.sent()) +
         ", to target " + std::to_string(Table.sentToTarget());
}

} // namespace mimosa
