#include "proof/record.h"

#include <algorithm>
#include <cstdio>

namespace mimosa {

namespace {

constexpr Duration MostLeaveTime = Seconds(3);
constexpr Duration MostSpreadTime = Seconds(5);

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

/// The parts of a hit's id, "snapshot/request/shard".
struct HitOrigin {
  std::string Snapshot;
  std::string Request;
};

HitOrigin originOf(const Hit &H) {
  size_t First = H.Id.find('/');
  size_t Last = H.Id.rfind('/');
  return {H.Id.substr(0, First), H.Id.substr(First + 1, Last - First - 1)};
}

template <typename Do>
void eachAnswer(const Record &Seen, const Do &WithAnswer) {
  for (const Event &E : Seen.Events)
    if (E.Kind == EventKind::Answer)
      WithAnswer(E, *E.Answer);
}

Lines checkSnapshot(const Record &Seen) {
  Lines Out;
  eachAnswer(Seen, [&](const Event &E, const QueryAnswer &A) {
    for (const Hit &H : A.Hits)
      if (originOf(H).Snapshot != A.Snapshot.text())
        Out.push_back(E.Request + ": hit " + H.Id + " in an answer from " +
                      A.Snapshot.text());
  });
  return Out;
}

using ShardsOfRequests =
    std::map<std::pair<std::string, std::string>, std::set<ShardId>>;

/// Shards in events of \p Kind by request and snapshot.
ShardsOfRequests shardsIn(const Record &Seen, EventKind Kind) {
  ShardsOfRequests Out;
  for (const Event &E : Seen.Events)
    if (E.Kind == Kind)
      Out[{E.Request, E.Snapshot}].insert(E.Shards.begin(), E.Shards.end());
  return Out;
}

Lines checkCoverage(const Record &Seen) {
  Lines Out;
  ShardsOfRequests Starts = shardsIn(Seen, EventKind::Start);
  ShardsOfRequests Asks = shardsIn(Seen, EventKind::Ask);
  eachAnswer(Seen, [&](const Event &E, const QueryAnswer &A) {
    std::set<ShardId> Found;
    for (const Hit &H : A.Hits)
      Found.insert(H.Shard);
    std::string Snapshot = A.Snapshot.text();
    auto Total = Seen.Totals.find(Snapshot);
    size_t Ran = Starts[{E.Request, Snapshot}].size();
    size_t Asked = Asks[{E.Request, Snapshot}].size();
    bool Whole = !Snapshot.empty() && A.Shards.Answered == A.Shards.Total;
    if (A.Shards.Answered != Found.size() || A.Complete != Whole ||
        A.Shards.Total != (Total == Seen.Totals.end() ? 0 : Total->second) ||
        A.Shards.Asked > Asked || A.Shards.Asked < Ran ||
        A.Shards.Asked < A.Shards.Answered)
      Out.push_back(E.Request + ": coverage " + E.Text + ", but " +
                    std::to_string(Asked) + " asked, " + std::to_string(Ran) +
                    " ran, " + std::to_string(Found.size()) + " found");
  });
  return Out;
}

Lines checkLimit(const Record &Seen) {
  Lines Out;
  for (const Event &E : Seen.Events)
    if (E.Kind == EventKind::Send && E.Count > E.Limit)
      Out.push_back(secondsText(E.At) + " " + E.Who + " got " +
                    std::to_string(E.Count) + " at once and bears " +
                    std::to_string(E.Limit));
  return Out;
}

/// Sends to what left over MostLeaveTime ago. \p NameOf gives what left.
template <typename Name>
Lines checkLeft(const Record &Seen, EventKind Leaves, const Name &NameOf) {
  Lines Out;
  std::map<std::string, MonotonicTime> Left;
  for (const Event &E : Seen.Events) {
    if (E.Kind == Leaves)
      Left.emplace(E.Who, E.At);
    if (E.Kind == EventKind::ZoneIn)
      Left.erase(E.Who);
    if (E.Kind != EventKind::Send)
      continue;
    auto Found = Left.find(NameOf(E));
    if (Found != Left.end() && E.At > Found->second + MostLeaveTime)
      Out.push_back(secondsText(E.At) + " " + E.Who + " got " + E.Request +
                    " after " + Found->first + " left");
  }
  return Out;
}

Lines checkOwnAnswer(const Record &Seen) {
  Lines Out;
  std::map<std::string, int> Answers;
  for (const Event &E : Seen.Events)
    if (E.Kind == EventKind::Query)
      Answers[E.Request] = 0;
  eachAnswer(Seen, [&](const Event &E, const QueryAnswer &A) {
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

Lines checkNotRun(const Record &Seen) {
  Lines Out;
  // By request key, or by attempt if there is none.
  std::set<std::string> Ran;
  // A search that starts after the answer belongs to the attempt alone.
  std::set<std::string> Refused;
  for (const Event &E : Seen.Events) {
    auto Key = Seen.Keys.find(E.Request);
    const std::string &Name = Key == Seen.Keys.end() ? E.Request : Key->second;
    if (E.Kind == EventKind::Start) {
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

Lines checkOnce(const Record &Seen) {
  Lines Out;
  if (!Seen.ClaimBreach.empty())
    Out.push_back(Seen.ClaimBreach);
  std::map<std::pair<std::string, ShardId>, int> Runs;
  for (const Event &E : Seen.Events) {
    auto Key = Seen.Keys.find(E.Request);
    if (E.Kind != EventKind::Start || Key == Seen.Keys.end())
      continue;
    for (ShardId Shard : E.Shards)
      if (++Runs[{Key->second, Shard}] > 1)
        Out.push_back(secondsText(E.At) + " " + Key->second +
                      " runs again on " + E.Who + ", shard " +
                      std::to_string(Shard.number()));
  }
  return Out;
}

Lines checkStop(const Record &Seen) {
  Lines Out;
  bool Asked = false;
  for (const Event &E : Seen.Events) {
    Asked |= E.Kind == EventKind::StopAsked;
    if (E.Kind == EventKind::StopDone && E.Count > 0)
      Out.push_back(E.Who + " stopped with " + std::to_string(E.Count) +
                    " sub-requests in flight");
  }
  if (Asked && !Seen.has(EventKind::StopDone))
    Out.push_back("a planned stop did not end");
  return Out;
}

Lines checkConfig(const Record &Seen) {
  Lines Out;
  std::map<std::string, uint64_t> Held;
  for (const Event &E : Seen.Events) {
    if (E.Kind != EventKind::InForce)
      continue;
    if (E.Count < Held[E.Who])
      Out.push_back(E.Who + " went back to revision " +
                    std::to_string(E.Count));
    Held[E.Who] = E.Count;
  }
  for (const Event &A : Seen.Events)
    for (const std::string &Host : Seen.Hosts) {
      if (A.Kind != EventKind::Accepted || A.At + MostSpreadTime > Seen.End)
        continue;
      bool There = std::any_of(
          Seen.Events.begin(), Seen.Events.end(), [&](const Event &E) {
            return E.Kind == EventKind::InForce && E.Who == Host &&
                   E.Count >= A.Count && E.At <= A.At + MostSpreadTime;
          });
      if (!There)
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

bool Record::has(EventKind Kind) const {
  return std::any_of(Events.begin(), Events.end(),
                     [&](const Event &E) { return E.Kind == Kind; });
}

std::string Record::print(const std::set<std::string> &Requests) const {
  std::string Out;
  for (const Event &E : Events) {
    if (!E.Request.empty() && Requests.count(E.Request) == 0)
      continue;
    Out += secondsText(E.At) + " " + kindName(E.Kind);
    for (const std::string *Part : {&E.Who, &E.Request, &E.Snapshot})
      if (!Part->empty())
        Out += " " + *Part;
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

std::vector<std::string> check(Property P, const Record &Seen) {
  switch (P) {
  case Property::P1:
    return checkSnapshot(Seen);
  case Property::P2:
    return checkCoverage(Seen);
  case Property::P3:
    return checkLimit(Seen);
  case Property::P4:
    return checkLeft(Seen, EventKind::ZoneOut, [&](const Event &E) {
      auto Zone = Seen.Zones.find(E.Who);
      return Zone == Seen.Zones.end() ? std::string() : Zone->second;
    });
  case Property::P5:
    return checkOwnAnswer(Seen);
  case Property::P6:
    return checkNotRun(Seen);
  case Property::P7:
    return checkOnce(Seen);
  case Property::P8:
    return checkLeft(Seen, EventKind::Draining,
                     [](const Event &E) { return E.Who; });
  case Property::P9:
    return checkStop(Seen);
  case Property::P10:
    return checkConfig(Seen);
  }
  return {};
}

} // namespace mimosa
