// Backend servers in trouble send bytes that belong to no request, or that are
// no answer, some without end. One of the two backend servers of each service
// does so. No caller may get another request's answer, wait beyond the
// deadline, or pay for it with the host's memory and processor time.

#include "entry/backend_connection_pool.h"
#include "runtime/child_process_test_util.h"
#include "runtime/hostile_server_test_util.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace mimosa {
namespace {

constexpr Duration Deadline = Milliseconds(800);
/// Delay of timers on a busy machine.
constexpr Duration TimerMargin = Milliseconds(100);
constexpr int Workers = 8;
constexpr int CallsPerWorker = 100;
/// Pause of a worker between two calls.
constexpr Duration ThinkTime = Milliseconds(5);

bool answerWell(const HostileExchange &Exchange) {
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

struct HostileCase {
  const char *Name;
  HostileServer::Script Bad;
};

const HostileCase HostileCases[] = {
    {"late copy with its id",
     [](const HostileExchange &E) {
       return (E.PreviousId.empty() || writeBytes(E, answerTo(E.PreviousId))) &&
              answerWell(E);
     }},
    {"late copy without an id",
     [](const HostileExchange &E) {
       return (E.PreviousId.empty() ||
               writeBytes(E, answerTo(E.PreviousId, false))) &&
              answerWell(E);
     }},
    {"answers without an id, and a late copy of each",
     [](const HostileExchange &E) {
       return (E.PreviousId.empty() ||
               writeBytes(E, answerTo(E.PreviousId, false))) &&
              writeBytes(E, answerTo(E.Id, false));
     }},
    {"refusals without an id",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
     }},
    {"informational heads without end",
     [](const HostileExchange &E) {
       return writeWithoutEnd(E, "HTTP/1.1 102 Processing\r\n\r\n");
     }},
    {"stray empty answers without end",
     [](const HostileExchange &E) {
       return writeWithoutEnd(E, "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                                 "Content-Length: 0\r\n\r\n");
     }},
    {"a chunked body without end",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 200 OK\r\nAttempt-Id: " + E.Id +
                                "\r\nTransfer-Encoding: chunked\r\n\r\n") &&
              writeWithoutEnd(E, "400\r\n" + std::string(1024, 'x') + "\r\n");
     }},
    {"a chunk extension without end",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 200 OK\r\nAttempt-Id: " + E.Id +
                                "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "4\r\nbody\r\n4;") &&
              writeWithoutEnd(E, std::string(1024, 'x'));
     }},
    {"a trailer without end",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 200 OK\r\nAttempt-Id: " + E.Id +
                                "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "4\r\nbody\r\n0\r\nX: ") &&
              writeWithoutEnd(E, std::string(1024, 'x'));
     }},
    {"an announced length beyond all memory, and a body without end",
     [](const HostileExchange &E) {
       // Head and body arrive in one segment, as far as there is room.
       return writeBytes(E, "HTTP/1.1 200 OK\r\nAttempt-Id: " + E.Id +
                                "\r\nContent-Length: 9999999999999\r\n\r\n" +
                                std::string(1024, 'x')) &&
              writeWithoutEnd(E, std::string(1024, 'x'));
     }},
    {"a body without length and without end",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 200 OK\r\nAttempt-Id: " + E.Id +
                                "\r\n\r\n") &&
              writeWithoutEnd(E, std::string(1024, 'x'));
     }},
    {"a head line without end",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 200 OK\r\nX: ") &&
              writeWithoutEnd(E, std::string(1024, 'x'));
     }},
    {"header lines without end",
     [](const HostileExchange &E) {
       return writeBytes(E, "HTTP/1.1 200 OK\r\n") &&
              writeWithoutEnd(E, "X-Filler: yes\r\n");
     }},
    {"bytes that are no answer, without end",
     [](const HostileExchange &E) {
       return writeWithoutEnd(E, std::string(1024, '\x07'));
     }},
};

constexpr double MinServedShare = 0.99;
constexpr int64_t MaxMemoryGrowthKb = 40 * 1024;
constexpr int MaxProcessorTimeRatio = 2;

TEST(BackendConnectionPoolTest, HostileServersHarmNoCaller) {
  for (const HostileCase &Case : HostileCases) {
    SCOPED_TRACE(Case.Name);
    runInChildProcess([&](FiberLoop &Loop) {
      HostileLoad Load(Loop, 1, Case.Bad);
      LoadFigures Figures = Load.run();
      EXPECT_EQ(Figures.Wrong, 0);
      EXPECT_GE(Figures.Served, MinServedShare * Workers * CallsPerWorker);
      EXPECT_LE(Figures.LongestWait, Deadline + TimerMargin);
      EXPECT_LE(Figures.MemoryGrowthKb, MaxMemoryGrowthKb);
    });
  }
}

TEST(BackendConnectionPoolTest, HostileServersCostLittleProcessorTime) {
  for (const HostileCase &Case : HostileCases) {
    SCOPED_TRACE(Case.Name);
    runInChildProcess([&](FiberLoop &Loop) {
      HostileLoad SoundLoad(Loop, 1, answerWell);
      LoadFigures Sound = SoundLoad.run();
      HostileLoad Load(Loop, 1, Case.Bad);
      EXPECT_LE(Load.run().ProcessorTime,
                MaxProcessorTimeRatio * Sound.ProcessorTime);
    });
  }
}

// Guards against connections of hosts that serve no callers. 295 hosts kept one
// each to a backend server that accepts 195, which reset the others' requests.
TEST(BackendConnectionPoolTest, HostsThatDoNotServeKeepNoConnections) {
  for (bool Serves : {true, false})
    runInChildProcess([Serves](FiberLoop &Loop) {
      HostileLoad Load(Loop, 1, answerWell);
      Load.pool().setKeepIdle(Serves);
      LoadFigures Figures = Load.run();
      EXPECT_EQ(Figures.Served, Workers * CallsPerWorker);
      EXPECT_EQ(Load.pool().openConnections() > 0, Serves);
    });
}

// Guards against the use of a list of idle connections after it was freed, when
// the only connection that a host may have is replaced by a new one. Fails with
// the address sanitizer only.
TEST(BackendConnectionPoolTest, OnlyConnectionIsReplaced) {
  runInChildProcess([](FiberLoop &Loop) {
    HostileLoad Load(Loop, 1, answerWell);
    Load.setMaxConnections(1);
    Load.Idempotent = false;
    for (int I = 0; I < 4; ++I) {
      std::string Id = std::to_string(I);
      CallResult Result = Load.call(ServiceId("s0"), Id);
      EXPECT_EQ(Result.Answer.Body, answerBodyFor(Id));
      // Then a request that must not run twice gets a new connection.
      FiberLoop::sleepFor(Milliseconds(500));
    }
    EXPECT_LE(Load.pool().openConnections(), 2u);
    EXPECT_EQ(Load.pool().counters().ClosedIdle, 2u);
  });
}

/// Two backend servers that decline each request once and then run it. With
/// each answer they send a late copy of the one before on the same connection.
class DecliningServers {
public:
  HostileServer::Script script(const std::string &Name) {
    return [this, Name](const HostileExchange &Exchange) {
      std::string LateCopy;
      std::string Answer;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        if (!Exchange.PreviousId.empty())
          LateCopy = LastAnswers[Exchange.Socket];
        bool IsFirst = Declined.insert(Name + "/" + Exchange.Id).second;
        if (!IsFirst)
          ++Runs[Exchange.Id];
        Answer = IsFirst ? declineOf(Exchange.Id) : answerTo(Exchange.Id);
        LastAnswers[Exchange.Socket] = Answer;
      }
      return writeBytes(Exchange, LateCopy) && writeBytes(Exchange, Answer);
    };
  }

  int runs(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Runs[Id];
  }
  int mostRuns() {
    std::lock_guard<std::mutex> Lock(Mutex);
    int Most = 0;
    for (const auto &[Id, Count] : Runs)
      Most = std::max(Most, Count);
    return Most;
  }

private:
  static std::string declineOf(const std::string &Id) {
    return "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: " + Id +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  std::mutex Mutex;
  /// By server and id.
  std::set<std::string> Declined;
  std::map<std::string, int> Runs;
  /// By socket.
  std::map<int, std::string> LastAnswers;
};

// Guards against a refusal or a second run of a request that has run: after a
// backend server had declined a request, it was sent there again on the same
// connection, and a late copy of the decline, which carries the same id, was
// taken for the second answer.
TEST(BackendConnectionPoolTest, LateCopiesOfDeclinesAreNoAnswers) {
  static constexpr int Calls = 20;
  for (uint32_t MaxConnections : {1U, 64U}) {
    SCOPED_TRACE(MaxConnections);
    runInChildProcess([MaxConnections](FiberLoop &Loop) {
      DecliningServers Servers;
      HostileLoad Load(Loop, 1, Servers.script("a"), Servers.script("b"));
      Load.setMaxConnections(MaxConnections);
      Load.Idempotent = false;
      int Served = 0;
      for (int I = 0; I < Calls; ++I) {
        std::string Id = std::to_string(I);
        CallResult Result = Load.call(ServiceId("s0"), Id);
        if (Result.Outcome == CallOutcome::NotRun) {
          EXPECT_EQ(Servers.runs(Id), 0) << Id;
        }
        if (Result.Outcome != CallOutcome::Answered)
          continue;
        ++Served;
        EXPECT_EQ(Result.Answer.Body, answerBodyFor(Id));
      }
      EXPECT_EQ(Served, Calls);
      EXPECT_EQ(Servers.mostRuns(), 1);
    });
  }
}

/// Backend servers that run each request. On a connection that was used before
/// they first send a second answer without a length, which ends with the
/// connection, so that their answer to the request is a part of its body.
class RepeatingServers {
public:
  explicit RepeatingServers(bool SecondAnswerHasId)
      : SecondAnswerHasId(SecondAnswerHasId) {}

  bool answer(const HostileExchange &Exchange) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Runs[Exchange.Id];
    }
    if (Exchange.PreviousId.empty())
      return writeBytes(Exchange, answerTo(Exchange.Id));
    std::string Second =
        "HTTP/1.1 200 OK\r\nServer-Stamp: signed\r\n" +
        (SecondAnswerHasId ? "Attempt-Id: " + Exchange.PreviousId + "\r\n"
                           : std::string()) +
        "\r\n" + answerBodyFor(Exchange.PreviousId);
    writeBytes(Exchange, Second + answerTo(Exchange.Id));
    return false;
  }

  int runs(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Runs[Id];
  }

private:
  const bool SecondAnswerHasId;
  std::mutex Mutex;
  std::map<std::string, int> Runs;
};

// Guards against a second run, or a refusal, of a request whose connection ends
// with an answer to another one: it counted as not sent (review case 6).
TEST(BackendConnectionPoolTest, AnswersThatEndTheirConnectionLeaveTheRequest) {
  static constexpr int Calls = 20;
  for (bool SecondAnswerHasId : {true, false})
    for (bool Idempotent : {false, true})
      runInChildProcess([=](FiberLoop &Loop) {
        SCOPED_TRACE(SecondAnswerHasId);
        RepeatingServers Servers(SecondAnswerHasId);
        auto Script = [&Servers](const HostileExchange &Exchange) {
          return Servers.answer(Exchange);
        };
        HostileLoad Load(Loop, 1, Script, Script);
        Load.Idempotent = Idempotent;
        int Unknown = 0;
        for (int I = 0; I < Calls; ++I) {
          std::string Id = std::to_string(I);
          CallResult Result = Load.call(ServiceId("s0"), Id);
          EXPECT_LE(Servers.runs(Id), Idempotent ? 2 : 1) << Id;
          EXPECT_FALSE(Result.Outcome == CallOutcome::NotRun &&
                       Servers.runs(Id) > 0)
              << Id;
          if (Result.Outcome == CallOutcome::Answered) {
            EXPECT_EQ(Result.Answer.Body, answerBodyFor(Id));
          }
          Unknown += Result.Outcome == CallOutcome::Unknown ? 1 : 0;
        }
        // Requests on connections that were used before.
        EXPECT_TRUE(Unknown > 0 || Idempotent);
      });
}

// Guards against memory for ids that grows as long as a connection is used.
TEST(BackendConnectionPoolTest, ConnectionsAreReplacedAfterManyRequests) {
  runInChildProcess([](FiberLoop &Loop) {
    constexpr int Calls = 4000;
    HostileLoad Load(Loop, 1, answerWell);
    for (int I = 0; I < Calls; ++I)
      Load.call(ServiceId("s0"), std::to_string(I));
    // Each connection carries at most 1,024 requests.
    EXPECT_GE(Load.pool().counters().Opened, 4u);
    EXPECT_LE(Load.pool().counters().Opened, 10u);
  });
}

// Answers of single backend servers may be long, so that only the budget of the
// process bounds their memory.
TEST(BackendConnectionPoolTest, ManyEndlessBodiesStayWithinTheBudget) {
  constexpr int Services = 64;
  constexpr int64_t MaxGrowthKb = 100 * 1024;
  for (const HostileCase &Case : HostileCases) {
    if (std::string(Case.Name).find("body") == std::string::npos)
      continue;
    SCOPED_TRACE(Case.Name);
    runInChildProcess([&](FiberLoop &Loop) {
      HostileLoad Load(Loop, Services, Case.Bad);
      Load.MaxAnswerBytes = CallRequest().MaxAnswerBytes;
      LoadFigures Figures = Load.run();
      EXPECT_EQ(Figures.Wrong, 0);
      EXPECT_GE(Figures.Served, MinServedShare * Workers * CallsPerWorker);
      EXPECT_LE(Figures.MemoryGrowthKb, MaxGrowthKb);
    });
  }
}

} // namespace
} // namespace mimosa
