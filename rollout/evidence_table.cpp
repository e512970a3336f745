#include "rollout/evidence_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mimosa {

namespace {

constexpr Duration FirstBucketEnd = Duration(500);
/// An answer is slow if it is more than this many buckets above the median of
/// the other versions: two to three times as long.
constexpr size_t SlowBuckets = 2;
/// A slow answer also takes this much longer than the median: a round trip to
/// another zone, and one to open the connection.
constexpr Duration SlowMargin = Milliseconds(4);
/// Answers of the other versions from which their median is known.
constexpr uint64_t MinMedianAnswers = 10;
/// Bad answers above the expected number that count in one slot, so that slots
/// with many requests do not outweigh all others.
constexpr double MaxSlotDifference = 2;
/// Answers from which a route counts for LeastRouteAnswers.
constexpr uint64_t MinRouteTraffic = 30;
/// Slots are compared together until they have this many answers of the other
/// versions, for at most MaxGroupSlots: that is still about the same time.
constexpr uint64_t MinGroupAnswers = 4;
constexpr uint64_t MaxGroupSlots = 8;
/// A version is not worse because of fewer bad answers than this, or a smaller
/// share: single failures have other causes.
constexpr double MinExcess = 4;
constexpr double MinExcessShare = 0.04;
/// If the other versions have bad answers too, the share in excess must be this
/// many times theirs, up to a share that is sufficient in any case.
constexpr double MinExcessFactor = 1.5;
constexpr double SufficientExcessShare = 0.3;
/// For worseThanBefore(): a slot counts if the share of bad answers is higher
/// than before by this much.
constexpr double ClearlyWorseShare = 0.2;
constexpr uint64_t MinClearlyWorseAnswers = 12;
/// Bounds on what a report may claim.
constexpr size_t MaxCellsPerReport = 20000;
constexpr uint32_t MaxCount = 1 << 24;
constexpr size_t MaxSources = 2048;
constexpr size_t MaxRouteBytes = 256;

} // namespace

size_t latencyBucket(Duration Latency) {
  if (Latency < FirstBucketEnd)
    return 0;
  double Ratio = inSeconds(Latency) / inSeconds(FirstBucketEnd);
  auto Bucket = static_cast<size_t>(2 * std::log2(Ratio)) + 1;
  return std::min(Bucket, LatencyBuckets - 1);
}

Duration latencyBucketStart(size_t Bucket) {
  if (Bucket == 0)
    return Duration(0);
  return scaled(FirstBucketEnd, std::exp2(static_cast<double>(Bucket - 1) / 2));
}

uint64_t evidenceSlot(MonotonicTime Time) {
  return static_cast<uint64_t>(Time.time_since_epoch() / EvidenceSlot);
}

uint64_t AnswerCounts::answers() const {
  return std::accumulate(Latencies.begin(), Latencies.end(),
                         static_cast<uint64_t>(Failures));
}

uint64_t AnswerCounts::bad(size_t SlowAbove) const {
  uint64_t Out = Failures;
  for (size_t I = SlowAbove + 1; I < LatencyBuckets; ++I)
    Out += Latencies[I];
  return Out;
}

void AnswerCounts::add(const AnswerCounts &Other) {
  Failures += Other.Failures;
  for (size_t I = 0; I < LatencyBuckets; ++I)
    Latencies[I] += Other.Latencies[I];
}

void AnswerCounts::subtract(const AnswerCounts &Other) {
  Failures -= Other.Failures;
  for (size_t I = 0; I < LatencyBuckets; ++I)
    Latencies[I] -= Other.Latencies[I];
}

bool Comparison::isWorse(double MinScore) const {
  double MinShare = std::clamp(ExpectedShare * MinExcessFactor, MinExcessShare,
                               SufficientExcessShare);
  return Score >= MinScore && Excess >= MinExcess && ExcessShare >= MinShare;
}

std::string Comparison::text() const {
  auto Decimal = [](double Value) {
    std::string Out = std::to_string(Value);
    return Out.substr(0, Out.find('.') + 3);
  };
  return "target: " + std::to_string(TargetAnswers) + " answers, " +
         std::to_string(TargetFailures) + " failures, " +
         std::to_string(TargetSlow) +
         " slow; others: " + std::to_string(OtherAnswers) + " answers, " +
         std::to_string(OtherFailures) + " failures, " +
         std::to_string(OtherSlow) + " slow; score " + Decimal(Score) +
         (WorstRoute.empty() ? "" : " on route " + WorstRoute.text()) +
         ", excess " + Decimal(Excess);
}

void EvidenceTable::apply(const HostId &Sender, Incarnation SenderIncarnation,
                          const ServiceEvidence &Evidence, MonotonicTime Now) {
  auto Key = std::make_pair(Sender, SenderIncarnation);
  if (Evidence.Cells.size() > MaxCellsPerReport ||
      (Sources.size() >= MaxSources && !Sources.count(Key)))
    return;
  Source &From = Sources[Key];
  EvidenceSource &State = From.State;
  // A report that was overtaken has lower counts.
  if (Evidence.Sent >= State.Sent) {
    State.InFlightElsewhere = Evidence.InFlightElsewhere;
    State.Moved = State.Moved || Evidence.Moved;
  }
  State.ReportedAt = Now;
  State.Sent = std::max(State.Sent, Evidence.Sent);
  State.SentToTarget = std::max(State.SentToTarget, Evidence.SentToTarget);
  for (const RolloutCell &Cell : Evidence.Cells)
    applyCell(From, Cell, Now);
}

void EvidenceTable::applyCell(Source &From, const RolloutCell &Cell,
                              MonotonicTime Now) {
  if (Cell.Latencies.size() > LatencyBuckets || Cell.Age < Duration(0) ||
      Cell.Age > EvidenceSlot * MaxEvidenceSlots ||
      Cell.Route.size() > MaxRouteBytes)
    return;
  RouteId Route(Cell.Route);
  AnswerCounts Counts;
  Counts.Failures = std::min(Cell.Failures, MaxCount);
  for (size_t I = 0; I < Cell.Latencies.size(); ++I)
    Counts.Latencies[I] = std::min(Cell.Latencies[I], MaxCount);
  auto [It, IsNew] =
      From.Cells.try_emplace(CellKey{Cell.Slot, Route, Cell.Target});
  SourceCell &Known = It->second;
  if (IsNew)
    Known.LocalSlot = evidenceSlot(Now - Cell.Age + EvidenceSlot / 2);
  // A report that was overtaken has lower counts.
  else if (Counts.answers() <= Known.Counts.answers())
    return;
  SlotCounts &Slot = Routes[Route][Known.LocalSlot];
  AnswerCounts &Sum = Cell.Target ? Slot.Target : Slot.Other;
  Sum.subtract(Known.Counts);
  Sum.add(Counts);
  Known.Counts = Counts;
  if (From.Cells.size() > MaxCellsPerReport)
    From.Cells.erase(From.Cells.begin());
}

AnswerCounts EvidenceTable::total(const RouteSlots &Slots, bool Target) {
  AnswerCounts Out;
  for (const auto &[Number, Counts] : Slots)
    Out.add(Target ? Counts.Target : Counts.Other);
  return Out;
}

size_t EvidenceTable::usualBucketLimit(const RouteSlots &Slots) {
  AnswerCounts Other = total(Slots, false);
  uint64_t Successes = Other.answers() - Other.Failures;
  if (Successes < MinMedianAnswers)
    return LatencyBuckets;
  size_t Median = 0;
  for (uint64_t Below = Other.Latencies[0]; Below * 2 < Successes;)
    Below += Other.Latencies[++Median];
  size_t Limit = Median + SlowBuckets;
  while (Limit + 1 < LatencyBuckets &&
         latencyBucketStart(Limit + 1) <
             latencyBucketStart(Median) + SlowMargin)
    ++Limit;
  return Limit;
}

void EvidenceTable::compareRoute(const RouteId &Route, const RouteSlots &Slots,
                                 Comparison *Out) {
  size_t Limit = usualBucketLimit(Slots);
  AnswerCounts Target = total(Slots, true);
  AnswerCounts Other = total(Slots, false);
  Out->TargetAnswers += Target.answers();
  Out->TargetFailures += Target.Failures;
  Out->TargetSlow += Target.bad(Limit) - Target.Failures;
  Out->OtherAnswers += Other.answers();
  Out->OtherFailures += Other.Failures;
  Out->OtherSlow += Other.bad(Limit) - Other.Failures;
  if (Other.answers() >= MinRouteTraffic)
    Out->LeastRouteAnswers = std::min(Out->LeastRouteAnswers, Target.answers());

  // Many slow answers of both versions must not hide failures of one.
  Out->useWorse(scoreOf(Route, Slots, LatencyBuckets));
  Out->useWorse(scoreOf(Route, Slots, Limit));
}

Comparison EvidenceTable::scoreOf(const RouteId &Route, const RouteSlots &Slots,
                                  size_t Limit) {
  double Sum = 0;
  double LimitedSum = 0;
  double Expected = 0;
  double SumOfSquares = 0;
  double Variance = 0;
  double Compared = 0;
  SlotCounts Group;
  uint64_t GroupStart = 0;
  auto Flush = [&] {
    auto N1 = static_cast<double>(Group.Target.answers());
    auto N2 = static_cast<double>(Group.Other.answers());
    auto B1 = static_cast<double>(Group.Target.bad(Limit));
    double Bad = B1 + static_cast<double>(Group.Other.bad(Limit));
    double N = N1 + N2;
    Group = {};
    if (N1 == 0 || N2 == 0)
      return;
    double Difference = B1 - N1 * Bad / N;
    double Limited =
        std::clamp(Difference, -MaxSlotDifference, MaxSlotDifference);
    double SlotVariance =
        N1 * N2 * Bad * (N - Bad) / (N * N * std::max(1.0, N - 1));
    Sum += Difference;
    Expected += N1 * Bad / N;
    LimitedSum += Limited;
    SumOfSquares += Limited * Limited;
    Variance += std::min(SlotVariance, MaxSlotDifference * MaxSlotDifference);
    Compared += N1;
  };
  for (const auto &[Number, Counts] : Slots) {
    if (Number >= GroupStart + MaxGroupSlots) {
      Flush();
      GroupStart = Number;
    }
    Group.Target.add(Counts.Target);
    Group.Other.add(Counts.Other);
    if (Group.Target.answers() > 0 &&
        Group.Other.answers() >= MinGroupAnswers) {
      Flush();
      GroupStart = Number + 1;
    }
  }
  Flush();
  double Scale = std::sqrt(std::max(SumOfSquares, Variance));
  Comparison Out;
  Out.Score = Scale > 0 ? LimitedSum / Scale : 0;
  Out.Excess = Sum;
  Out.ExcessShare = Compared > 0 ? Sum / Compared : 0;
  Out.ExpectedShare = Compared > 0 ? Expected / Compared : 0;
  Out.WorstRoute = Route;
  return Out;
}

void Comparison::useWorse(const Comparison &Other) {
  if (std::make_pair(Other.isWorse(0), Other.Score) <=
      std::make_pair(isWorse(0), Score))
    return;
  Score = Other.Score;
  Excess = Other.Excess;
  ExcessShare = Other.ExcessShare;
  ExpectedShare = Other.ExpectedShare;
  WorstRoute = Other.WorstRoute;
}

Comparison EvidenceTable::compare() const {
  Comparison Out;
  for (const auto &[Route, Slots] : Routes)
    compareRoute(Route, Slots, &Out);
  return Out;
}

bool EvidenceTable::worseThanBefore(MonotonicTime From, size_t MinSlots) const {
  uint64_t First = evidenceSlot(From) + 1;
  return std::any_of(Routes.begin(), Routes.end(), [&](const auto &Entry) {
    const RouteSlots &Slots = Entry.second;
    size_t Limit = usualBucketLimit(Slots);
    AnswerCounts Other = total(Slots, false);
    double Before = static_cast<double>(Other.bad(Limit)) /
                    std::max<double>(1, static_cast<double>(Other.answers()));
    size_t WorseSlots = 0;
    uint64_t Bad = 0;
    for (auto It = Slots.lower_bound(First); It != Slots.end(); ++It) {
      const AnswerCounts &Target = It->second.Target;
      auto BadHere = static_cast<double>(Target.bad(Limit));
      if (BadHere <
          (Before + ClearlyWorseShare) * static_cast<double>(Target.answers()))
        continue;
      WorseSlots += BadHere > 0 ? 1 : 0;
      Bad += Target.bad(Limit);
    }
    return WorseSlots >= MinSlots && Bad >= MinClearlyWorseAnswers;
  });
}

uint64_t EvidenceTable::sent() const {
  uint64_t Out = 0;
  for (const auto &[Key, From] : Sources)
    Out += From.State.Sent;
  return Out;
}

uint64_t EvidenceTable::sentToTarget() const {
  uint64_t Out = 0;
  for (const auto &[Key, From] : Sources)
    Out += From.State.SentToTarget;
  return Out;
}

std::map<HostId, EvidenceSource> EvidenceTable::sources() const {
  std::map<HostId, EvidenceSource> Out;
  for (const auto &[Key, From] : Sources) {
    EvidenceSource &Latest = Out[Key.first];
    if (From.State.ReportedAt > Latest.ReportedAt)
      Latest = From.State;
  }
  return Out;
}

} // namespace mimosa
