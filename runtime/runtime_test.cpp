#include "base/message_codec.h"
#include "runtime/child_process_test_util.h"
#include "runtime/fiber_loop.h"
#include "runtime/http.h"
#include "runtime/metrics.h"
#include "runtime/peer.h"
#include "runtime/settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace mimosa {
namespace {

constexpr const char *HttpAddress = "127.0.0.1:18471";
constexpr const char *PeerAddress = "127.0.0.1:18472";

// Guards against a lost wake-up: a fiber that waits although its event was set.
TEST(FiberLoop, EveryWakeUpArrives) {
  runInChildProcess([](FiberLoop &Loop) {
    constexpr int Fibers = 200;
    constexpr int Rounds = 50;
    int Finished = 0;
    FiberEvent AllFinished;
    for (int I = 0; I < Fibers; ++I)
      Loop.spawn([&, I] {
        for (int Round = 0; Round < Rounds; ++Round) {
          FiberEvent Event;
          ScopedTimer Timer =
              Loop.after(Duration((I * 7 + Round) % 300), [&] { Event.set(); });
          Event.wait();
        }
        if (++Finished == Fibers)
          AllFinished.set();
      });
    EXPECT_TRUE(AllFinished.waitUntil(Loop.now() + Seconds(20)));
  });
}

// Guards against a wait that outlives its deadline or ends without its event.
TEST(FiberEvent, WaitEndsAtItsDeadline) {
  runInChildProcess([](FiberLoop &Loop) {
    FiberEvent Event;
    MonotonicTime Start = Loop.now();
    EXPECT_FALSE(Event.waitUntil(Start + Milliseconds(20)));
    EXPECT_GE(Loop.now() - Start, Milliseconds(20));
    Event.set();
    EXPECT_TRUE(Event.waitUntil(Loop.now() + Seconds(5)));
  });
}

class EchoHandler : public HttpHandler {
public:
  explicit EchoHandler(FiberLoop &Loop) : Loop(Loop) {}
  HttpResponse
  handle(const HttpRequest &Request,
         const std::shared_ptr<CallerConnection> &Caller) override {
    if (Request.path() != "/wait")
      return {200, "text/plain", Request.Method + " " + Request.Body};
    Caller->onDisconnect([this](DisconnectReason) {
      ++Lost;
      LossSeen.set();
    });
    LossSeen.waitUntil(Loop.now() + Seconds(5));
    return {200, "text/plain", ""};
  }
  FiberLoop &Loop;
  int Lost = 0;
  FiberEvent LossSeen;
};

HttpServerOptions testServer() {
  HttpServerOptions Options;
  Options.Address = HttpAddress;
  Options.MaxBodyBytes = 1000;
  Options.RequestTimeout = Milliseconds(200);
  return Options;
}

// Guards against mixed-up or lost answers on connections that are used again.
TEST(Http, ManyConnectionsExchangeManyRequests) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testServer(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    constexpr int Clients = 32;
    constexpr int Requests = 200;
    int Finished = 0;
    FiberEvent AllFinished;
    for (int I = 0; I < Clients; ++I)
      Loop.spawn([&, I] {
        auto Opened = HttpConnection::open(Loop, HttpAddress, Seconds(2));
        ASSERT_TRUE(ok(Opened));
        for (int R = 0; R < Requests; ++R) {
          std::string Body = std::to_string(I) + "/" + std::to_string(R);
          auto Answer =
              valueOf(Opened)->exchange({"POST", "/", Body, false}, Seconds(2));
          ASSERT_TRUE(ok(Answer));
          EXPECT_EQ(valueOf(Answer).Body, "POST " + Body);
        }
        if (++Finished == Clients)
          AllFinished.set();
      });
    EXPECT_TRUE(AllFinished.waitUntil(Loop.now() + Seconds(20)));
  });
}

// Guards against bad input that goes unanswered or ends the server.
TEST(Http, LargeBodyIsRefusedAndTheServerGoesOn) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testServer(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    auto Large = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    auto Refused = valueOf(Large)->exchange(
        {"POST", "/", std::string(2000, 'x'), false}, Seconds(2));
    ASSERT_TRUE(ok(Refused));
    EXPECT_EQ(valueOf(Refused).Status, 413);
    auto Small = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    auto Served =
        valueOf(Small)->exchange({"POST", "/", "x", false}, Seconds(2));
    ASSERT_TRUE(ok(Served));
    EXPECT_EQ(valueOf(Served).Status, 200);
  });
}

// Guards against a caller who closes its connection and is not noticed.
TEST(Http, CallerThatClosesIsReportedOnce) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testServer(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    auto Opened = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    MonotonicTime Start = Loop.now();
    auto Answer = valueOf(Opened)->exchange({"GET", "/wait", "", false},
                                            Milliseconds(50));
    EXPECT_FALSE(ok(Answer));
    EXPECT_TRUE(Handler.LossSeen.waitUntil(Start + Seconds(2)));
    FiberLoop::sleepFor(Milliseconds(20));
    EXPECT_EQ(Handler.Lost, 1);
  });
}

class EchoPeer : public PeerHandler {
public:
  bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) override {
    if (Frame.Type != MessageType::Probe)
      return false;
    Reply(MessageType::ProbeReply, Frame.Body);
    return true;
  }
};

// Guards against replies that reach another request, and against a request
// that never ends because its peer is gone or does not know its type.
TEST(Peer, RequestsEndWithTheirReplyOrAnError) {
  runInChildProcess([](FiberLoop &Loop) {
    PeerTraffic Traffic;
    EchoPeer Handler;
    auto Server =
        std::make_unique<PeerServer>(Loop, PeerAddress, Handler, Traffic);
    ASSERT_TRUE(ok(Server->start()));
    PeerClient Client(Loop, Traffic);
    HostId To(PeerAddress);
    for (int I = 0; I < 500; ++I) {
      std::string Body = packBody(std::to_string(I));
      auto Reply = Client.call(To, MessageType::Probe, Body, Seconds(1));
      ASSERT_TRUE(ok(Reply));
      EXPECT_EQ(valueOf(Reply).Body, Body);
    }
    auto Unknown =
        Client.call(To, MessageType::StrikeAck, packBody(1), Milliseconds(60));
    ASSERT_FALSE(ok(Unknown));
    EXPECT_EQ(errorOf(Unknown).Code, ResultCode::Timeout);
    EXPECT_EQ(Traffic.UnknownTypes, 1u);
    Server->stop();
    FiberLoop::sleepFor(Milliseconds(20));
    auto Gone = Client.call(To, MessageType::Probe, packBody(1), Seconds(1));
    ASSERT_FALSE(ok(Gone));
    EXPECT_EQ(errorOf(Gone).Code, ResultCode::PeerUnreachable);
  });
}

// Guards against a crash on a hostile frame.
RC_GTEST_PROP(PeerFrame, AnyBytesGiveAFrameOrAnError,
              (const std::string &Bytes)) {
  Result<PeerFrame> Frame = decodeFrame(Bytes);
  if (!ok(Frame))
    RC_ASSERT(errorOf(Frame).Code == ResultCode::BadFrame);
}

RC_GTEST_PROP(PeerFrame, DecodesWhatWasEncoded,
              (uint64_t RequestId, const std::string &Text)) {
  PeerFrame Sent{MessageType::Dispatch, RequestId, packBody(Text)};
  std::string Bytes = encodeFrame(Sent);
  Result<PeerFrame> Read = decodeFrame(std::string_view(Bytes).substr(4));
  RC_ASSERT(ok(Read));
  RC_ASSERT(valueOf(Read).RequestId == RequestId);
  RC_ASSERT(valueOf(Read).Body == Sent.Body);
}

struct SettingCase {
  std::vector<const char *> Arguments;
  const char *Variable;
  std::optional<int> Exit;
  int64_t Value;
};

// Guards against settings out of range and against the wrong precedence.
TEST(Settings, FlagsWinOverVariablesAndAreChecked) {
  const SettingCase Cases[] = {
      {{"p"}, nullptr, std::nullopt, 5},
      {{"p"}, "7", std::nullopt, 7},
      {{"p", "--test-size=8"}, "7", std::nullopt, 8},
      {{"p", "--test-size=11"}, nullptr, 2, 5},
      {{"p", "--test-size=x"}, nullptr, 2, 5},
      {{"p", "--unknown=1"}, nullptr, 2, 5},
      {{"p", "extra"}, nullptr, 2, 5},
      {{"p", "--version"}, nullptr, 0, 5},
      {{"p"}, "zero", 2, 5},
  };
  for (const SettingCase &Case : Cases) {
    if (Case.Variable)
      setenv("MIMOSA_TEST_SIZE", Case.Variable, 1);
    else
      unsetenv("MIMOSA_TEST_SIZE");
    int64_t Value = 5;
    Settings Parser("p", "test");
    Parser.number("test-size", "size", &Value, 1, 10);
    EXPECT_EQ(Parser.parse(static_cast<int>(Case.Arguments.size()),
                           Case.Arguments.data()),
              Case.Exit)
        << Case.Arguments.back();
    EXPECT_EQ(Value, Case.Value) << Case.Arguments.back();
  }
}

/// Writes \p Text to a file of this process and returns its path.
std::string fileWith(const std::string &Text) {
  std::string Path =
      testing::TempDir() + "settings-" + std::to_string(getpid()) + ".conf";
  std::ofstream(Path) << Text;
  return Path;
}

// Guards against a file that is not read because a flag names it, and against
// one that wins over a flag.
TEST(Settings, AFlagNamesTheFile) {
  unsetenv("MIMOSA_TEST_SIZE");
  unsetenv("MIMOSA_OTHER_SIZE");
  int64_t Size = 5;
  int64_t Other = 5;
  std::string Path;
  Settings Parser("p", "test");
  Parser.fileSetting(&Path);
  Parser.number("test-size", "size", &Size, 1, 10);
  Parser.number("other-size", "size", &Other, 1, 10);
  std::string File =
      "--settings-file=" + fileWith("test-size=7\nother-size=8\n");
  const char *Arguments[] = {"p", File.c_str(), "--other-size=9"};
  EXPECT_EQ(Parser.parse(3, Arguments), std::nullopt);
  EXPECT_EQ(Size, 7);
  EXPECT_EQ(Other, 9);
}

// Guards against a file with a misspelt name or a bad value that is not told,
// and against a template whose placeholders count as bad values.
TEST(Settings, ProblemsOfAFileAreAllTold) {
  int64_t Size = 5;
  Settings Parser("p", "test");
  Parser.number("test-size", "size", &Size, 1, 10);
  EXPECT_TRUE(Parser.validateFile(fileWith("test-size={{x.y}}\n\n")).empty());
  std::vector<std::string> Problems =
      Parser.validateFile(fileWith("test-sise=4\ntest-size=11\nnonsense\n"));
  ASSERT_EQ(Problems.size(), 3u);
  EXPECT_NE(Problems[0].find(":1: 'test-sise=4'"), std::string::npos);
  EXPECT_NE(Problems[1].find("from 1 to 10"), std::string::npos);
  EXPECT_NE(Problems[2].find(":3: 'nonsense'"), std::string::npos);
}

// Guards against quantiles that miss the recorded values.
TEST(LatencyHistogram, QuantileIsWithinOneBucket) {
  LatencyHistogram Histogram;
  for (int I = 1; I <= 1000; ++I)
    Histogram.record(Milliseconds(I));
  EXPECT_NEAR(inSeconds(Histogram.quantile(0.5)), 0.5, 0.07);
  EXPECT_NEAR(inSeconds(Histogram.quantile(0.99)), 0.99, 0.13);
}

} // namespace
} // namespace mimosa
