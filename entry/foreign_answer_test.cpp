// Backend servers in trouble send answers to other requests, and second copies
// of answers, on connections that are in use again. What is known of a request
// must not follow from such an answer.

#include "entry/hostile_load_test_util.h"
#include "runtime/child_process_test_util.h"

#include <gtest/gtest.h>

#include <map>
#include <mutex>
#include <set>

namespace mimosa {
namespace {

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

} // namespace
} // namespace mimosa
