// Fixture for tests of BackendConnectionPool: calls to backend servers that
// answer as a script says, on real connections.

#ifndef MIMOSA_ENTRY_HOSTILE_LOAD_TEST_UTIL_H
#define MIMOSA_ENTRY_HOSTILE_LOAD_TEST_UTIL_H

#include "entry/backend_connection_pool.h"
#include "runtime/hostile_server_test_util.h"

#include <sys/resource.h>

#include <algorithm>
#include <optional>

namespace mimosa {

inline bool answerWell(const HostileExchange &Exchange) {
  return writeBytes(Exchange, answerTo(Exchange.Id));
}

struct LoadFigures {
  int Served = 0;
  int Wrong = 0;
  Duration LongestWait{0};
  Duration ProcessorTime{0};
  int64_t MemoryGrowthKb = 0;
};

class CallWaiter : public CallObserver {
public:
  void callEnded(CallId, CallResult NewResult) override {
    Result = std::move(NewResult);
    Ended.set();
  }
  std::optional<CallResult> Result;
  FiberEvent Ended;
};

/// Services of two backend servers each, of which one is bad.
class HostileLoad {
public:
  static constexpr Duration Deadline = Milliseconds(800);
  static constexpr int Workers = 8;
  static constexpr int CallsPerWorker = 100;
  /// Pause of a worker between two calls.
  static constexpr Duration ThinkTime = Milliseconds(5);

  HostileLoad(FiberLoop &Loop, int Services, const HostileServer::Script &Bad,
              const HostileServer::Script &Good = answerWell)
      : Loop(Loop), Rng(7), Registry(AvailabilityZoneId("z1"), Rng),
        Pool(Loop, Registry, Budget), Scheduler(Registry, Pool) {
    Pool.setScheduler(Scheduler);
    // The test is about connections, not about the retry budget.
    Scheduler.setRetryBudget({1, 1000, Seconds(10)});
    Scheduler.onEarlierWakeUp([this] { TimerChanged.set(); });
    Loop.spawn([this] { runTimers(); });
    for (int I = 0; I < Services; ++I) {
      ServiceIds.push_back(ServiceId("s" + std::to_string(I)));
      Registry.setLimits(ServiceIds.back(), 64, 0);
      addServer(ServiceIds.back(), "good", HostileServer(Good));
      addServer(ServiceIds.back(), "bad", HostileServer(Bad));
    }
  }

  /// Limit on the body of an answer.
  size_t MaxAnswerBytes = 64 * 1024;

  /// Whether the requests may run more than once.
  bool Idempotent = true;

  BackendConnectionPool &pool() { return Pool; }

  /// Sets the connections that each service accepts.
  void setMaxConnections(uint32_t Count) {
    for (const ServiceId &Service : ServiceIds)
      Registry.setLimits(Service, Count, 0);
  }

  /// Runs one request with the id \p Id to its end.
  CallResult call(const ServiceId &Service, const std::string &Id) {
    auto Message = std::make_shared<CallerRequest>();
    Message->Id = CallerRequestId(Id);
    Message->Head = "GET /q HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + Id + "\r\n";
    CallRequest Request;
    Request.Service = Service;
    Request.Route = RouteId("search");
    Request.Idempotent = Idempotent;
    Request.MaxAttempts = 2;
    Request.TargetLatency = Milliseconds(150);
    Request.Deadline = Loop.now() + Deadline;
    Request.UsefulUntil = Request.Deadline;
    Request.MaxAnswerBytes = MaxAnswerBytes;
    Request.Message = Message;
    CallWaiter Waiter;
    Scheduler.begin(std::move(Request), Waiter, Loop.now());
    Waiter.Ended.wait();
    return std::move(*Waiter.Result);
  }

  LoadFigures run() {
    rusage Before{};
    getrusage(RUSAGE_THREAD, &Before);
    int Running = Workers;
    FiberEvent Finished;
    for (int W = 0; W < Workers; ++W)
      Loop.spawn([this, W, &Running, &Finished] {
        for (int I = 0; I < CallsPerWorker; ++I) {
          runCall(W, I);
          FiberLoop::sleepFor(ThinkTime);
        }
        if (--Running == 0)
          Finished.set();
      });
    Finished.wait();
    rusage After{};
    getrusage(RUSAGE_THREAD, &After);
    Figures.MemoryGrowthKb = After.ru_maxrss - Before.ru_maxrss;
    Figures.ProcessorTime = processorTime(After) - processorTime(Before);
    return Figures;
  }

private:
  static Duration processorTime(const rusage &Used) {
    return Seconds(Used.ru_utime.tv_sec + Used.ru_stime.tv_sec) +
           Duration(Used.ru_utime.tv_usec + Used.ru_stime.tv_usec);
  }

  void addServer(const ServiceId &Service, const std::string &Name,
                 const HostileServer &Server) {
    BackendServerEntry Entry;
    Entry.Id = BackendServerId(Service.text() + Name);
    Entry.Service = Service;
    Entry.Address = Server.address();
    Entry.Zone = AvailabilityZoneId("z1");
    Entry.Slots = 4;
    Registry.update(Entry, Loop.now());
  }

  void runTimers() {
    while (true) {
      MonotonicTime At = Scheduler.nextWakeUp();
      TimerChanged.clear();
      TimerChanged.waitUntil(At);
      Scheduler.onTimer(Loop.now());
    }
  }

  void runCall(int Worker, int Index) {
    std::string Id = std::to_string(Worker) + "-" + std::to_string(Index);
    MonotonicTime Begin = Loop.now();
    CallResult Result = call(
        ServiceIds[static_cast<size_t>(Worker + Index) % ServiceIds.size()],
        Id);
    Figures.LongestWait =
        std::max<Duration>(Figures.LongestWait, Loop.now() - Begin);
    if (Result.Outcome != CallOutcome::Answered || !Result.Answer.success())
      return;
    ++Figures.Served;
    Figures.Wrong += Result.Answer.Body == answerBodyFor(Id) ? 0 : 1;
  }

  FiberLoop &Loop;
  SeededRandom Rng;
  ServerRegistry Registry;
  ReceiveBudget Budget{10 << 20};
  BackendConnectionPool Pool;
  CallScheduler Scheduler;
  FiberEvent TimerChanged;
  std::vector<ServiceId> ServiceIds;
  LoadFigures Figures;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_HOSTILE_LOAD_TEST_UTIL_H
