// The events of one run of a test rig, in time order, and one checker for each
// property of docs/design.md, section 1.1. The fakes write the events, not the
// classes under test, so a wrong decision cannot hide from the checkers.
//
//   EventLog Log;
//   Log.add({Now, EventKind::SearchSent, "b0", "q1"});
//   std::vector<std::string> Violations = check(Property::P4, Log);

#ifndef MIMOSA_PROOF_EVENT_LOG_H
#define MIMOSA_PROOF_EVENT_LOG_H

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

/// A bug that a rig injects to show that the checkers detect it. The bugs are
/// in the order of the properties that they violate.
enum class InjectedBug {
  /// A reply is taken to come from the requested snapshot, without a check.
  SnapshotUnchecked,
  /// The answer claims that every shard answered.
  CoverageFabricated,
  /// Sub-requests go to the backend server without its scheduler.
  LimitIgnored,
  /// The directory and the schedulers do not receive the state of the zones.
  ZoneIgnored,
  /// Replies are delivered to the wrong query.
  RepliesSwapped,
  /// A lost sub-request is reported as refused, that is, as not run.
  LossReportedAsNotRun,
  /// A non-idempotent request is sent before its claim is granted.
  ClaimNotAwaited,
  /// A backend server's report that it is draining is ignored.
  DrainIgnored,
  /// A host stops without waiting for its sub-requests.
  StopWithoutDraining,
  /// A host applies every document that it receives, also an older revision.
  AnyRevisionApplied,
  None,
};

enum class EventKind {
  Query,
  /// A root sends a sub-request to the owner of the backend server.
  SubRequestSent,
  /// An owner sends a search to a backend server.
  SearchSent,
  /// A backend server starts to run a search.
  SearchStarted,
  Answer,
  ZoneOut,
  ZoneIn,
  Draining,
  StopRequested,
  StopDone,
  ConfigAccepted,
  ConfigApplied,
  /// Shown in the printed log; no checker reads it.
  Note,
};

/// One event. Fields that its kind does not use stay empty.
struct Event {
  MonotonicTime At{};
  EventKind Kind = EventKind::Note;
  /// Backend server, availability zone or host.
  std::string Entity{};
  /// Id of the caller's attempt.
  std::string Request{};
  std::string Text{};
  std::string Snapshot{};
  std::vector<ShardId> Shards{};
  /// Searches in flight at the backend server, sub-requests in flight when a
  /// host stopped, or the configuration revision.
  uint64_t Count = 0;
  /// Capacity that the backend server has reported.
  uint64_t Limit = 0;
  std::optional<QueryAnswer> Answer{};
};

/// The events of one run, and what the checkers need to judge them.
struct EventLog {
  std::vector<Event> Events;
  /// The availability zone of each backend server.
  std::map<std::string, std::string> BackendZones;
  /// Number of shards of each snapshot.
  std::map<std::string, uint32_t> ShardCounts;
  /// The request key of each non-idempotent attempt.
  std::map<std::string, std::string> RequestKeys;
  /// Hosts that must apply each accepted configuration change.
  std::vector<std::string> ConfigHosts;
  MonotonicTime End;
  /// The first violated claim invariant; empty while all hold.
  std::string ViolatedClaimInvariant;
  /// Crashes of backend servers caused by requests named "crash...".
  int Crashes = 0;

  void add(Event E) { Events.push_back(std::move(E)); }
  bool has(EventKind Kind) const;
  /// One line per event. Of the events of a request, only those whose request
  /// is in \p Requests.
  std::string print(const std::set<std::string> &Requests) const;
};

/// Returns one line for each violation of \p P in \p Log.
std::vector<std::string> check(Property P, const EventLog &Log);

/// Runs scheduled callbacks in simulated time.
class Timeline {
public:
  MonotonicTime Now{Seconds(1)};

  void after(Duration Delay, std::function<void()> Callback) {
    Due.emplace(Now + Delay, std::move(Callback));
  }
  void every(Duration Interval, const std::function<void()> &Callback) {
    after(Interval, [=] {
      Callback();
      every(Interval, Callback);
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

#endif // MIMOSA_PROOF_EVENT_LOG_H
