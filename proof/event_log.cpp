#include "proof/event_log.h"

#include <algorithm>
#include <cstdio>

namespace mimosa {

namespace {

/// Time within which owners must stop sending to a zone or backend server that
/// leaves.
constexpr Duration MaxLeaveTime = Seconds(3);
/// Time within which each host must apply an accepted configuration change.
constexpr Duration MaxPropagationTime = Seconds(5);

using Lines = std::vector<std::string>;

std::string secondsText(MonotonicTime At) {
  char Out[32];
  std::snprintf(Out, sizeof(Out), "%9.4f", inSeconds(At.time_since_epoch()));
  return Out;
}

std::string shardsText(const std::vector<ShardId> &Shards) {
  std::string Out;
  for (ShardId Shard : Shards)
    Out += (Out.empty() ? "" : ",") + std::to_string(Shard.number());
  return Out;
}

/// The snapshot and the request of a hit's id, "snapshot/request/shard".
struct HitOrigin {
  std::string Snapshot;
  std::string Request;
};

HitOrigin originOf(const Hit &H) {
  size_t First = H.Id.find('/');
  size_t Last = H.Id.rfind('/');
  return {H.Id.substr(0, First), H.Id.substr(First + 1, Last - First - 1)};
}

template <typename Callback>
void forEachAnswer(const EventLog &Log, const Callback &Visit) {
  for (const Event &E : Log.Events)
    if (E.Kind == EventKind::Answer)
      Visit(E, *E.Answer);
}

Lines checkSnapshot(const EventLog &Log) {
  Lines Out;
  forEachAnswer(Log, [&](const Event &E, const QueryAnswer &A) {
    for (const Hit &H : A.Hits)
      if (originOf(H).Snapshot != A.Snapshot.text())
        Out.push_back(E.Request + ": hit " + H.Id + " in an answer from " +
                      A.Snapshot.text());
  });
  return Out;
}

using ShardsOfRequests =
    std::map<std::pair<std::string, std::string>, std::set<ShardId>>;

/// Returns the shards in events of \p Kind by request and snapshot.
ShardsOfRequests shardsIn(const EventLog &Log, EventKind Kind) {
  ShardsOfRequests Out;
  for (const Event &E : Log.Events)
    if (E.Kind == Kind)
      Out[{E.Request, E.Snapshot}].insert(E.Shards.begin(), E.Shards.end());
  return Out;
}

Lines checkCoverage(const EventLog &Log) {
  Lines Out;
  ShardsOfRequests Starts = shardsIn(Log, EventKind::SearchStarted);
  ShardsOfRequests SubRequests = shardsIn(Log, EventKind::SubRequestSent);
  forEachAnswer(Log, [&](const Event &E, const QueryAnswer &A) {
    std::set<ShardId> Found;
    for (const Hit &H : A.Hits)
      Found.insert(H.Shard);
    std::string Snapshot = A.Snapshot.text();
    auto Total = Log.ShardCounts.find(Snapshot);
    size_t Ran = Starts[{E.Request, Snapshot}].size();
    size_t Requested = SubRequests[{E.Request, Snapshot}].size();
    bool Complete = !Snapshot.empty() && A.Shards.Answered == A.Shards.Total;
    if (A.Shards.Answered != Found.size() || A.Complete != Complete ||
        A.Shards.Total !=
            (Total == Log.ShardCounts.end() ? 0 : Total->second) ||
        A.Shards.Asked > Requested || A.Shards.Asked < Ran ||
        A.Shards.Asked < A.Shards.Answered)
      Out.push_back(E.Request + ": coverage " + E.Text + ", but " +
                    std::to_string(Requested) + " requested, " +
                    std::to_string(Ran) + " ran, " +
                    std::to_string(Found.size()) + " found");
  });
  return Out;
}

Lines checkLimit(const EventLog &Log) {
  Lines Out;
  for (const Event &E : Log.Events)
    if (E.Kind == EventKind::SearchSent && E.Count > E.Limit)
      Out.push_back(secondsText(E.At) + " " + E.Entity + " has " +
                    std::to_string(E.Count) +
                    " searches in flight, above its capacity of " +
                    std::to_string(E.Limit));
  return Out;
}

/// One line per search sent more than MaxLeaveTime after the backend server or
/// zone left (event \p Leaves). \p NameOf gives that server's or zone's name
/// for a search.
template <typename Name>
Lines checkNoSendAfterLeaving(const EventLog &Log, EventKind Leaves,
                              const Name &NameOf) {
  Lines Out;
  std::map<std::string, MonotonicTime> Left;
  for (const Event &E : Log.Events) {
    if (E.Kind == Leaves)
      Left.emplace(E.Entity, E.At);
    if (E.Kind == EventKind::ZoneIn)
      Left.erase(E.Entity);
    if (E.Kind != EventKind::SearchSent)
      continue;
    auto Found = Left.find(NameOf(E));
    if (Found != Left.end() && E.At > Found->second + MaxLeaveTime)
      Out.push_back(secondsText(E.At) + " " + E.Entity + " got " + E.Request +
                    " after " + Found->first + " left");
  }
  return Out;
}

Lines checkOneOwnAnswer(const EventLog &Log) {
  Lines Out;
  std::map<std::string, int> Answers;
  for (const Event &E : Log.Events)
    if (E.Kind == EventKind::Query)
      Answers[E.Request] = 0;
  forEachAnswer(Log, [&](const Event &E, const QueryAnswer &A) {
    ++Answers[E.Request];
    std::set<ShardId> Found;
    for (const Hit &H : A.Hits) {
      if (originOf(H).Request != E.Request)
        Out.push_back(E.Request + ": got hit " + H.Id);
      if (!Found.insert(H.Shard).second)
        Out.push_back(E.Request + ": hit " + H.Id + " came twice");
    }
  });
  for (const auto &[Request, Count] : Answers)
    if (Count != 1)
      Out.push_back(Request + ": " + std::to_string(Count) + " answers");
  return Out;
}

Lines checkNotRun(const EventLog &Log) {
  Lines Out;
  // Request keys, or ids of attempts without a key.
  std::set<std::string> Ran;
  // Checked by attempt, since another attempt with the key may run later.
  std::set<std::string> Refused;
  for (const Event &E : Log.Events) {
    auto Key = Log.RequestKeys.find(E.Request);
    const std::string &Name =
        Key == Log.RequestKeys.end() ? E.Request : Key->second;
    if (E.Kind == EventKind::SearchStarted) {
      Ran.insert(Name);
      if (Refused.count(E.Request) > 0)
        Out.push_back(E.Request + ": not_run, but it ran later");
    }
    if (E.Kind != EventKind::Answer || E.Answer->Outcome != Execution::NotRun)
      continue;
    Refused.insert(E.Request);
    if (Ran.count(Name) > 0)
      Out.push_back(E.Request + ": not_run, but it ran");
  }
  return Out;
}

Lines checkAtMostOnce(const EventLog &Log) {
  Lines Out;
  if (!Log.ViolatedClaimInvariant.empty())
    Out.push_back(Log.ViolatedClaimInvariant);
  std::map<std::pair<std::string, ShardId>, int> Runs;
  for (const Event &E : Log.Events) {
    auto Key = Log.RequestKeys.find(E.Request);
    if (E.Kind != EventKind::SearchStarted || Key == Log.RequestKeys.end())
      continue;
    for (ShardId Shard : E.Shards)
      if (++Runs[{Key->second, Shard}] > 1)
        Out.push_back(secondsText(E.At) + " " + Key->second +
                      " runs again on " + E.Entity + ", shard " +
                      std::to_string(Shard.number()));
  }
  return Out;
}

Lines checkStop(const EventLog &Log) {
  Lines Out;
  bool StopRequested = false;
  for (const Event &E : Log.Events) {
    StopRequested |= E.Kind == EventKind::StopRequested;
    if (E.Kind == EventKind::StopDone && E.Count > 0)
      Out.push_back(E.Entity + " stopped with " + std::to_string(E.Count) +
                    " sub-requests in flight");
  }
  if (StopRequested && !Log.has(EventKind::StopDone))
    Out.push_back("a planned stop did not end");
  return Out;
}

Lines checkConfig(const EventLog &Log) {
  Lines Out;
  std::map<std::string, uint64_t> CurrentRevision;
  for (const Event &E : Log.Events) {
    if (E.Kind != EventKind::ConfigApplied)
      continue;
    if (E.Count < CurrentRevision[E.Entity])
      Out.push_back(E.Entity + " went back to revision " +
                    std::to_string(E.Count));
    CurrentRevision[E.Entity] = E.Count;
  }
  for (const Event &A : Log.Events)
    for (const std::string &Host : Log.ConfigHosts) {
      if (A.Kind != EventKind::ConfigAccepted ||
          A.At + MaxPropagationTime > Log.End)
        continue;
      bool Applied = std::any_of(
          Log.Events.begin(), Log.Events.end(), [&](const Event &E) {
            return E.Kind == EventKind::ConfigApplied && E.Entity == Host &&
                   E.Count >= A.Count && E.At <= A.At + MaxPropagationTime;
          });
      if (!Applied)
        Out.push_back(Host + " did not get revision " +
                      std::to_string(A.Count) + " in time");
    }
  return Out;
}

const char *kindName(EventKind Kind) {
  static const char *const Names[] = {
      "query",    "ask",      "send",     "start",      "answer",
      "zone-out", "zone-in",  "draining", "stop-asked", "stop-done",
      "accepted", "in-force", "note"};
  return Names[static_cast<size_t>(Kind)];
}

} // namespace

std::string propertyName(Property P) {
  return "P" + std::to_string(static_cast<int>(P) + 1);
}

bool EventLog::has(EventKind Kind) const {
  return std::any_of(Events.begin(), Events.end(),
                     [&](const Event &E) { return E.Kind == Kind; });
}

std::string EventLog::print(const std::set<std::string> &Requests) const {
  std::string Out;
  for (const Event &E : Events) {
    if (!E.Request.empty() && Requests.count(E.Request) == 0)
      continue;
    Out += secondsText(E.At) + " " + kindName(E.Kind);
    for (const std::string *Field : {&E.Entity, &E.Request, &E.Snapshot})
      if (!Field->empty())
        Out += " " + *Field;
    if (!E.Shards.empty())
      Out += " shards " + shardsText(E.Shards);
    if (E.Count > 0)
      Out += " " + std::to_string(E.Count);
    if (E.Limit > 0)
      Out += " of " + std::to_string(E.Limit);
    Out += (E.Text.empty() ? "" : " " + E.Text) + "\n";
  }
  return Out;
}

std::vector<std::string> check(Property P, const EventLog &Log) {
  switch (P) {
  case Property::P1:
    return checkSnapshot(Log);
  case Property::P2:
    return checkCoverage(Log);
  case Property::P3:
    return checkLimit(Log);
  case Property::P4:
    return checkNoSendAfterLeaving(
        Log, EventKind::ZoneOut, [&](const Event &E) {
          auto Zone = Log.BackendZones.find(E.Entity);
          return Zone == Log.BackendZones.end() ? std::string() : Zone->second;
        });
  case Property::P5:
    return checkOneOwnAnswer(Log);
  case Property::P6:
    return checkNotRun(Log);
  case Property::P7:
    return checkAtMostOnce(Log);
  case Property::P8:
    return checkNoSendAfterLeaving(Log, EventKind::Draining,
                                   [](const Event &E) { return E.Entity; });
  case Property::P9:
    return checkStop(Log);
  case Property::P10:
    return checkConfig(Log);
  }
  return {};
}

} // namespace mimosa
