// Backend servers in trouble send bytes that belong to no request, or that are
// no answer, some without end. One of the two backend servers of each service
// does so. No caller may get another request's answer, wait beyond the
// deadline, or pay for it with the host's memory and processor time.

#include "entry/hostile_load_test_util.h"
#include "runtime/child_process_test_util.h"

#include <gtest/gtest.h>

namespace mimosa {
namespace {

/// Delay of timers on a busy machine.
constexpr Duration TimerMargin = Milliseconds(100);
/// Calls of one HostileLoad::run().
constexpr int CallCount = HostileLoad::Workers * HostileLoad::CallsPerWorker;

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
      EXPECT_GE(Figures.Served, MinServedShare * CallCount);
      EXPECT_LE(Figures.LongestWait, HostileLoad::Deadline + TimerMargin);
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
      EXPECT_EQ(Figures.Served, CallCount);
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
      EXPECT_GE(Figures.Served, MinServedShare * CallCount);
      EXPECT_LE(Figures.MemoryGrowthKb, MaxGrowthKb);
    });
  }
}

} // namespace
} // namespace mimosa
