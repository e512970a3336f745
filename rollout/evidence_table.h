// Compares the answers of the target version of a roll-out with those of other
// versions, on the same route and at the same time.
//
//   EvidenceTable Table;
//   Table.apply(Sender, SenderIncarnation, Evidence, Now);
//   Comparison C = Table.compare();
//   if (C.isWorse(EarlyScore)) ...
//
// For each route and slot of time, the expected number of bad answers of the
// target version follows from all answers of the slot (Mantel and Haenszel,
// "Statistical aspects of the analysis of data from retrospective studies",
// JNCI 1959). So a fault that affects both versions says nothing about either.
// One event, such as a pause of a server, affects many answers at once: the
// score is therefore normalized by the differences themselves, so that one
// event gives at most a score of 1.

#ifndef MIMOSA_ROLLOUT_EVIDENCE_TABLE_H
#define MIMOSA_ROLLOUT_EVIDENCE_TABLE_H

#include "rollout/messages.h"
#include "routing/route.h"

#include <array>
#include <map>
#include <string>

namespace mimosa {

/// Length of a slot. Shorter than the pauses of servers, so that a version that
/// is always bad is found within a few of them.
constexpr Duration EvidenceSlot = Milliseconds(250);
/// Reported and kept slots. A longer ramp is judged by its end.
constexpr uint64_t MaxEvidenceSlots = 512;

/// Latency buckets grow by the square root of 2, from 0.5 ms to 4 s.
constexpr size_t LatencyBuckets = 28;
size_t latencyBucket(Duration Latency);
/// Lower bound of a bucket.
Duration latencyBucketStart(size_t Bucket);

/// Number of the slot that contains \p Time.
uint64_t evidenceSlot(MonotonicTime Time);

/// Answers of one version to one route in one slot.
struct AnswerCounts {
  uint32_t Failures = 0;
  std::array<uint32_t, LatencyBuckets> Latencies{};

  uint64_t answers() const;
  /// Failures, and successes above \p SlowAbove, the highest usual bucket.
  uint64_t bad(size_t SlowAbove) const;
  void add(const AnswerCounts &Other);
  void subtract(const AnswerCounts &Other);
};

/// The target version against the others.
struct Comparison {
  uint64_t TargetAnswers = 0;
  uint64_t TargetFailures = 0;
  uint64_t TargetSlow = 0;
  uint64_t OtherAnswers = 0;
  uint64_t OtherFailures = 0;
  uint64_t OtherSlow = 0;
  /// Least number of answers of the target version on any route that the other
  /// versions answer often enough.
  uint64_t LeastRouteAnswers = UINT64_MAX;
  /// Of the worst route: see the head of this file, the number of bad answers
  /// above the expected one, and as a share of the answers.
  double Score = 0;
  double Excess = 0;
  double ExcessShare = 0;
  /// The expected share of bad answers.
  double ExpectedShare = 0;
  RouteId WorstRoute;

  bool isWorse(double MinScore) const;
  /// Takes over the score of \p Other if it is a stronger sign of a fault.
  void useWorse(const Comparison &Other);
  std::string text() const;
};

/// State of one host, as last reported.
struct EvidenceSource {
  MonotonicTime ReportedAt;
  uint64_t Sent = 0;
  uint64_t SentToTarget = 0;
  uint64_t InFlightElsewhere = 0;
  bool Moved = false;
};

/// See the head of this file.
class EvidenceTable {
public:
  /// Merges a report, which may be repeated, or come after a later one.
  void apply(const HostId &Sender, Incarnation SenderIncarnation,
             const ServiceEvidence &Evidence, MonotonicTime Now);
  Comparison compare() const;
  /// Whether, in at least \p MinSlots slots that begin at \p From or later, the
  /// target version had a clearly greater share of bad answers than the others
  /// had before.
  bool worseThanBefore(MonotonicTime From, size_t MinSlots) const;

  uint64_t sent() const;
  uint64_t sentToTarget() const;
  /// The last state of each host.
  std::map<HostId, EvidenceSource> sources() const;

private:
  struct CellKey {
    uint64_t Slot;
    RouteId Route;
    bool Target;
    friend bool operator<(const CellKey &A, const CellKey &B) {
      return std::tie(A.Slot, A.Route, A.Target) <
             std::tie(B.Slot, B.Route, B.Target);
    }
  };
  struct SourceCell {
    uint64_t LocalSlot = 0;
    AnswerCounts Counts;
  };
  struct Source {
    EvidenceSource State;
    std::map<CellKey, SourceCell> Cells;
  };
  struct SlotCounts {
    AnswerCounts Target;
    AnswerCounts Other;
  };
  using RouteSlots = std::map<uint64_t, SlotCounts>;

  void applyCell(Source &From, const RolloutCell &Cell, MonotonicTime Now);
  static AnswerCounts total(const RouteSlots &Slots, bool Target);
  static size_t usualBucketLimit(const RouteSlots &Slots);
  /// The score of bad answers, see AnswerCounts::bad().
  static Comparison scoreOf(const RouteId &Route, const RouteSlots &Slots,
                            size_t Limit);
  static void compareRoute(const RouteId &Route, const RouteSlots &Slots,
                           Comparison *Out);

  std::map<std::pair<HostId, Incarnation>, Source> Sources;
  std::map<RouteId, RouteSlots> Routes;
};

} // namespace mimosa

#endif // MIMOSA_ROLLOUT_EVIDENCE_TABLE_H
