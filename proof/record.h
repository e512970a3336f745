// What a rig of the fault matrix saw, in time order, and one checker for each
// property of docs/design.md, section 1.1. The checkers read only the record,
// which the fakes write at their own side, so that a decision class cannot
// vouch for itself.
//
//   Record Seen;
//   Seen.add({Now, EventKind::Send, "b0", "q1"});
//   std::vector<std::string> Broken = check(Property::P4, Seen);

#ifndef MIMOSA_PROOF_RECORD_H
#define MIMOSA_PROOF_RECORD_H

#include "base/time.h"
#include "query/request.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosa {

/// The properties of docs/design.md, section 1.1; P1 is 0.
enum class Property { P1, P2, P3, P4, P5, P6, P7, P8, P9, P10 };
inline constexpr size_t PropertyCount = 10;

/// "P1" to "P10".
std::string propertyName(Property P);

/// Behaviour that a rig breaks on purpose, to show that the checks can fail;
/// each stands for the property of the same number.
enum class Break {
  /// The snapshot of a reply is taken to be the one that was asked.
  SnapshotUnchecked,
  /// The answer claims that every shard answered.
  CoverageInvented,
  /// Sub-requests go to the backend server past its gate.
  LimitIgnored,
  /// The configuration of zones does not reach the directory and the gates.
  ZoneIgnored,
  /// A reply is handed to another query.
  RepliesCrossed,
  /// A lost sub-request is reported as refused.
  LossCalledNotRun,
  /// A non-idempotent request is sent before its claim is granted.
  ClaimNotAwaited,
  /// The word of a backend server that it is draining is dropped.
  DrainIgnored,
  /// A host ends without waiting for its sub-requests.
  StopAtOnce,
  /// A host puts every document in force that it hears of.
  AnyRevisionTaken,
  None,
};

enum class EventKind {
  Query,
  /// A sub-request leaves the root for an owner.
  Ask,
  /// An owner writes a search to a backend server.
  Send,
  /// A backend server begins to run a search.
  Start,
  Answer,
  ZoneOut,
  ZoneIn,
  Draining,
  StopAsked,
  StopDone,
  Accepted,
  InForce,
  /// For readers only.
  Note,
};

/// One observation. Fields that a kind does not need stay empty.
struct Event {
  MonotonicTime At{};
  EventKind Kind = EventKind::Note;
  /// Backend server, availability zone or host.
  std::string Who{};
  /// The attempt of a caller.
  std::string Request{};
  std::string Text{};
  std::string Snapshot{};
  std::vector<ShardId> Shards{};
  /// In flight, left over, or the revision.
  uint64_t Count = 0;
  /// Most that may be in flight.
  uint64_t Limit = 0;
  std::optional<QueryAnswer> Answer{};
};

/// The events of one run.
struct Record {
  std::vector<Event> Events;
  /// The availability zone of each backend server.
  std::map<std::string, std::string> Zones;
  /// Shards of each snapshot.
  std::map<std::string, uint32_t> Totals;
  /// The request key of each non-idempotent attempt.
  std::map<std::string, std::string> Keys;
  /// Hosts that must follow the configuration.
  std::vector<std::string> Hosts;
  MonotonicTime End;
  /// The first claim invariant that broke; empty while all hold.
  std::string ClaimBreach;
  /// Backend servers that the request "crash" has brought down.
  int Crashes = 0;

  void add(Event Seen) { Events.push_back(std::move(Seen)); }
  bool has(EventKind Kind) const;
  /// Readable lines; with \p Request only the lines about it or about no
  /// request.
  std::string print(const std::set<std::string> &Requests) const;
};

/// One line per breach of \p P in \p Seen.
std::vector<std::string> check(Property P, const Record &Seen);

/// Events at fake times.
class Timeline {
public:
  MonotonicTime Now{Seconds(1)};

  void after(Duration Delay, std::function<void()> Do) {
    Due.emplace(Now + Delay, std::move(Do));
  }
  void every(Duration Interval, const std::function<void()> &Do) {
    after(Interval, [=] {
      Do();
      every(Interval, Do);
    });
  }
  void run(Duration Time) {
    MonotonicTime End = Now + Time;
    while (!Due.empty() && Due.begin()->first <= End) {
      auto Next = Due.extract(Due.begin());
      Now = Next.key();
      Next.mapped()();
    }
    Now = End;
  }

private:
  std::multimap<MonotonicTime, std::function<void()>> Due;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_RECORD_H
