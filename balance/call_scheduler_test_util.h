// Fixture for tests of CallScheduler: simulated backend servers and a recorder
// of results, in virtual time.

#ifndef MIMOSA_BALANCE_CALL_SCHEDULER_TEST_UTIL_H
#define MIMOSA_BALANCE_CALL_SCHEDULER_TEST_UTIL_H

#include "balance/call_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace mimosa {

inline constexpr MonotonicTime Start{Seconds(1000)};
inline const ServiceId Shard{"shard"};
inline const AvailabilityZoneId OwnZone{"z1"};

/// Simulates backend servers that each have a queue, slots and a service time.
class FakeBackends : public BackendTransport {
public:
  struct Server {
    uint32_t Slots = 4;
    Duration ServiceTime = Milliseconds(16);
    MonotonicTime PausedUntil = Start;
    bool Silent = false;
    bool ShedsRequests = false;
    bool LosesRequests = false;
    /// Another backend server has its address.
    bool Replaced = false;
    uint64_t Arrivals = 0;
    uint64_t Runs = 0;
    std::vector<MonotonicTime> FreeAt;
  };

  void send(AttemptId Id, const BackendServerPtr &To, const CallRequest &,
            bool FreshConnection) override {
    Server &Target = Servers[To->entry().Id.text()];
    ++Target.Arrivals;
    FreshConnections += FreshConnection ? 1 : 0;
    if (Target.Silent)
      return;
    if (Target.ShedsRequests || Target.LosesRequests) {
      Target.Runs += Target.LosesRequests ? 1 : 0;
      Events.push({Now + Milliseconds(1), Id,
                   Target.LosesRequests ? EventKind::Lost : EventKind::Shed});
      return;
    }
    if (Target.Replaced) {
      Events.push({Now + Milliseconds(1), Id, EventKind::Misdirected});
      return;
    }
    ++Target.Runs;
    Target.FreeAt.resize(Target.Slots, Start);
    auto Slot = std::min_element(Target.FreeAt.begin(), Target.FreeAt.end());
    *Slot = std::max({*Slot, Now, Target.PausedUntil}) + Target.ServiceTime;
    Events.push({*Slot, Id, EventKind::Answer});
  }
  void cancel(AttemptId Id) override { Cancelled.push_back(Id); }

  /// Advances the time to \p To; reports answers and calls onTimer().
  void advance(CallScheduler &Calls, MonotonicTime To) {
    while (true) {
      MonotonicTime Next = Calls.nextWakeUp();
      if (!Events.empty())
        Next = std::min(Next, Events.top().At);
      if (Next > To)
        break;
      Now = std::max(Now, Next);
      if (!Events.empty() && Events.top().At <= Now)
        report(Calls);
      else
        Calls.onTimer(Now);
    }
    Now = To;
  }

  std::map<std::string, Server> Servers;
  MonotonicTime Now = Start;
  std::vector<AttemptId> Cancelled;
  uint64_t FreshConnections = 0;

private:
  enum class EventKind { Answer, Shed, Lost, Misdirected };
  struct Event {
    MonotonicTime At;
    AttemptId Id;
    EventKind Kind;
    friend bool operator<(const Event &A, const Event &B) {
      return std::make_pair(B.At, B.Id.number()) <
             std::make_pair(A.At, A.Id.number());
    }
  };

  void report(CallScheduler &Calls) {
    Event Next = Events.top();
    Events.pop();
    BackendAnswer Answer;
    Answer.Status = Next.Kind == EventKind::Shed          ? 503
                    : Next.Kind == EventKind::Misdirected ? 421
                                                          : 200;
    Answer.NotRun = Next.Kind == EventKind::Shed;
    Answer.Misdirected = Next.Kind == EventKind::Misdirected;
    Answer.Signature = "signed";
    if (Next.Kind == EventKind::Lost)
      Calls.onLost(Next.Id, false, Now);
    else
      Calls.onAnswered(Next.Id, Answer, Now);
  }

  std::priority_queue<Event> Events;
};

class ResultRecorder : public CallObserver {
public:
  void callEnded(CallId Id, CallResult Result) override {
    Outcomes[Id] = Result.Outcome;
    Results.push_back(std::move(Result));
    EndedAt[Id] = Backends->Now;
  }
  CallOutcome outcome(CallId Id) const { return Outcomes.at(Id); }
  size_t count(CallOutcome Outcome) const {
    return static_cast<size_t>(
        std::count_if(Results.begin(), Results.end(), [&](const CallResult &R) {
          return R.Outcome == Outcome;
        }));
  }
  FakeBackends *Backends = nullptr;
  std::vector<CallResult> Results;
  std::map<CallId, MonotonicTime> EndedAt;

private:
  std::map<CallId, CallOutcome> Outcomes;
};

class CallSchedulerTest : public testing::Test {
protected:
  CallSchedulerTest() : Registry(OwnZone, Rng), Calls(Registry, Backends) {
    Recorder.Backends = &Backends;
    Registry.setLimits(Shard, 36, 0);
    Calls.setRetryBudget({0.2, 50, Seconds(10)});
  }

  void addServer(const std::string &Name, const std::string &Zone = "z1") {
    BackendServerEntry Entry;
    Entry.Id = BackendServerId(Name);
    Entry.Service = Shard;
    Entry.Address = "10.0.0.1:80";
    Entry.Zone = AvailabilityZoneId(Zone);
    Entry.Slots = 4;
    Registry.update(Entry, Backends.Now);
    Backends.Servers[Name];
  }

  CallRequest request(Duration UsefulTime = Milliseconds(136)) const {
    CallRequest Request;
    Request.Service = Shard;
    Request.Route = RouteId("search");
    Request.Idempotent = true;
    Request.MaxAttempts = 2;
    Request.Priority = 1;
    Request.TargetLatency = Milliseconds(150);
    Request.Deadline = Backends.Now + Milliseconds(788);
    Request.UsefulUntil = Backends.Now + UsefulTime;
    Request.Message = std::make_shared<CallerRequest>();
    return Request;
  }

  CallId begin(CallRequest Request) {
    return Calls.begin(std::move(Request), Recorder, Backends.Now);
  }

  /// Begins one call every \p Interval for \p Length.
  void beginCalls(Duration Interval, Duration Length) {
    for (MonotonicTime End = Backends.Now + Length; Backends.Now < End;) {
      begin(request());
      Backends.advance(Calls, Backends.Now + Interval);
    }
  }

  SeededRandom Rng{7};
  FakeBackends Backends;
  ServerRegistry Registry;
  CallScheduler Calls;
  ResultRecorder Recorder;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_CALL_SCHEDULER_TEST_UTIL_H
