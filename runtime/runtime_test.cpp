#include "base/message_codec.h"
#include "runtime/child_process_test_util.h"
#include "runtime/fiber_loop.h"
#include "runtime/hostile_server_test_util.h"
#include "runtime/http.h"
#include "runtime/loopback_socket_test_util.h"
#include "runtime/metrics.h"
#include "runtime/peer.h"
#include "runtime/settings.h"

#include <arpa/inet.h>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mimosa {
namespace {

constexpr const char *HttpAddress = "127.0.0.1:18471";
constexpr const char *PeerAddress = "127.0.0.1:18472";

// Guards against a lost wake-up: a fiber that keeps waiting although its event
// has been set.
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

// Guards against a wait that continues after its deadline, or that ends
// although the event is not set.
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

// Guards against a wait without a deadline that never lets other fibers run.
// Hosts without an entry in the store stood still in this way.
TEST(FiberEvent, WaitUntilTheEndOfTimeLetsOthersRun) {
  runInChildProcess([](FiberLoop &Loop) {
    FiberEvent Event;
    ScopedTimer Timer = Loop.after(Milliseconds(20), [&] { Event.set(); });
    EXPECT_TRUE(Event.waitUntil(MonotonicTime::max()));
  });
}

// Guards against an exception, such as std::bad_alloc, that ends the process,
// or that stops a timer or a task of the process for good.
TEST(FiberLoop, ExceptionsEndOnlyWhatThrows) {
  runInChildProcess([](FiberLoop &Loop) {
    int Calls = 0;
    int Starts = 0;
    FiberEvent Restarted;
    Loop.spawn([] { throw std::bad_alloc(); });
    ScopedTimer Timer = Loop.every(Milliseconds(5), [&] {
      ++Calls;
      throw std::runtime_error("timer");
    });
    Loop.spawnService([&] {
      if (++Starts < 3)
        throw std::bad_alloc();
      Restarted.set();
    });
    EXPECT_TRUE(Restarted.waitUntil(Loop.now() + Seconds(5)));
    EXPECT_EQ(Starts, 3);
    EXPECT_GE(Calls, 2);
    EXPECT_GE(caughtExceptions(), 5u);
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
      ++Disconnects;
      Disconnected.set();
    });
    Disconnected.waitUntil(Loop.now() + Seconds(5));
    return {200, "text/plain", ""};
  }
  FiberLoop &Loop;
  int Disconnects = 0;
  FiberEvent Disconnected;
};

HttpServerOptions testOptions() {
  HttpServerOptions Options;
  Options.Address = HttpAddress;
  Options.MaxBodyBytes = 1000;
  Options.RequestTimeout = Milliseconds(200);
  return Options;
}

// Guards against lost responses, and against responses to another request, on
// connections that are reused.
TEST(Http, ManyConnectionsExchangeManyRequests) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testOptions(), Handler);
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
          auto Response =
              valueOf(Opened)->exchange({"POST", "/", Body, false}, Seconds(2));
          ASSERT_TRUE(ok(Response));
          EXPECT_EQ(valueOf(Response).Body, "POST " + Body);
        }
        if (++Finished == Clients)
          AllFinished.set();
      });
    EXPECT_TRUE(AllFinished.waitUntil(Loop.now() + Seconds(20)));
  });
}

// Guards against an oversized request that gets no response or ends the server.
TEST(Http, LargeBodyIsRefusedAndTheNextRequestIsServed) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testOptions(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    auto First = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    auto Refused = valueOf(First)->exchange(
        {"POST", "/", std::string(2000, 'x'), false}, Seconds(2));
    ASSERT_TRUE(ok(Refused));
    EXPECT_EQ(valueOf(Refused).Status, 413);
    auto Second = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    auto Served =
        valueOf(Second)->exchange({"POST", "/", "x", false}, Seconds(2));
    ASSERT_TRUE(ok(Served));
    EXPECT_EQ(valueOf(Served).Status, 200);
  });
}

// Guards against a caller's disconnect that is not detected, or that is
// reported to the handler more than once.
TEST(Http, DisconnectOfCallerIsReportedOnce) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testOptions(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    auto Opened = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    MonotonicTime Start = Loop.now();
    auto Response = valueOf(Opened)->exchange({"GET", "/wait", "", false},
                                              Milliseconds(50));
    EXPECT_FALSE(ok(Response));
    EXPECT_TRUE(Handler.Disconnected.waitUntil(Start + Seconds(2)));
    FiberLoop::sleepFor(Milliseconds(20));
    EXPECT_EQ(Handler.Disconnects, 1);
  });
}

/// Takes 300 ms for each request and keeps the time at which it arrived.
class SlowHandler : public HttpHandler {
public:
  static constexpr Duration WorkTime = Milliseconds(300);
  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &) override {
    Arrivals.push_back(Request.ArrivedAt);
    FiberLoop::sleepFor(WorkTime);
    return {200, "text/plain", ""};
  }
  std::vector<MonotonicTime> Arrivals;
};

// Guards against a deadline that is counted from the end of the request before
// on the same connection.
TEST(Http, PipelinedRequestArrivesBeforeTheFirstIsAnswered) {
  runInChildProcess([](FiberLoop &Loop) {
    SlowHandler Handler;
    HttpServer Server(Loop, testOptions(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    int Client = connectTo(HttpAddress);
    const std::string Request = "GET /q HTTP/1.1\r\nHost: h\r\n\r\n";
    for (bool Together : {false, true}) {
      Handler.Arrivals.clear();
      MonotonicTime Begin = Loop.now();
      std::string First = Together ? Request + Request : Request;
      ASSERT_GT(send(Client, First.data(), First.size(), 0), 0);
      FiberLoop::sleepFor(Milliseconds(50));
      if (!Together) {
        ASSERT_GT(send(Client, Request.data(), Request.size(), 0), 0);
      }
      FiberLoop::sleepFor(2 * SlowHandler::WorkTime);
      ASSERT_EQ(Handler.Arrivals.size(), 2u);
      EXPECT_LT(Handler.Arrivals[1] - Begin, Duration(Milliseconds(150)))
          << (Together ? "in one packet" : "50 ms later");
    }
    close(Client);
  });
}

/// Sends \p Bytes to the server of this thread, as far as it reads them.
void sendPatiently(int Socket, const std::string &Bytes) {
  size_t Sent = 0;
  for (int Tries = 0; Sent < Bytes.size() && Tries < 200;) {
    ssize_t Count = send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                         MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<size_t>(Count);
      continue;
    }
    ++Tries;
    FiberLoop::sleepFor(Milliseconds(1));
  }
}

/// The status of the response that has arrived; 0 if there is none.
int receivedStatus(int Socket) {
  char Bytes[256] = {};
  ssize_t Count = recv(Socket, Bytes, sizeof(Bytes) - 1, MSG_DONTWAIT);
  constexpr size_t StatusOffset = 9;
  return Count > 0 ? std::atoi(Bytes + StatusOffset) : 0;
}

// Guards against a caller that fills the memory of a host with the extension of
// a chunk, or with a trailer, that has no end.
TEST(Http, ChunkHeadersWithoutEndAreRefused) {
  for (const char *Begin : {"4;", "0\r\nX: "})
    runInChildProcess([Begin](FiberLoop &Loop) {
      EchoHandler Handler(Loop);
      HttpServer Server(Loop, testOptions(), Handler);
      ASSERT_TRUE(ok(Server.start()));
      int Client = connectTo(HttpAddress);
      sendPatiently(Client, std::string("POST /q HTTP/1.1\r\nHost: h\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n") +
                                Begin + std::string(64 * 1024, 'x'));
      FiberLoop::sleepFor(Milliseconds(20));
      EXPECT_EQ(receivedStatus(Client), 431);
      close(Client);
    });
}

// Guards against a host that reserves the length that a caller announces, and
// against body bytes that are parsed as further header fields: with the head in
// one segment with them, the parser lost the error.
TEST(Http, AnnouncedLengthsBeyondTheLimitAreRefused) {
  for (const char *Length : {"2000000", "9999999999999"})
    runInChildProcess([Length](FiberLoop &Loop) {
      EchoHandler Handler(Loop);
      HttpServer Server(Loop, testOptions(), Handler);
      ASSERT_TRUE(ok(Server.start()));
      int Client = connectTo(HttpAddress);
      sendPatiently(Client, std::string("POST /q HTTP/1.1\r\nHost: h\r\n"
                                        "Content-Length: ") +
                                Length + "\r\n\r\nX-Field: body\r\n");
      FiberLoop::sleepFor(Milliseconds(20));
      EXPECT_EQ(receivedStatus(Client), 413);
      close(Client);
    });
}

/// The status of the next response; 0 if there is none within 5 s.
int awaitStatus(FiberLoop &Loop, int Socket) {
  MonotonicTime End = Loop.now() + Seconds(5);
  int Status = 0;
  while (Status == 0 && Loop.now() < End) {
    FiberLoop::sleepFor(Milliseconds(5));
    Status = receivedStatus(Socket);
  }
  return Status;
}

/// Throws for some paths, and answers others with an undefined status.
class FailingHandler : public HttpHandler {
public:
  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &) override {
    if (Request.path() == "/throw")
      throw std::bad_alloc();
    return {Request.path() == "/odd" ? 42 : 200, "text/plain", "x"};
  }
};

// Guards against a handler's exception that ends the process or counts its
// request as in flight for ever, and against an undefined status that is sent.
TEST(Http, FailingHandlersAreAnsweredWithAnError) {
  runInChildProcess([](FiberLoop &Loop) {
    FailingHandler Handler;
    HttpServer Server(Loop, testOptions(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    auto Client = HttpConnection::open(Loop, HttpAddress, Seconds(2));
    for (auto [Path, Status] :
         {std::pair("/throw", 500), {"/odd", 502}, {"/", 200}}) {
      auto Response =
          valueOf(Client)->exchange({"GET", Path, "", false}, Seconds(2));
      ASSERT_TRUE(ok(Response));
      EXPECT_EQ(valueOf(Response).Status, Status);
    }
    EXPECT_EQ(Server.inFlight(), 0u);
  });
}

// Guards against heads whose fields take more memory than their bytes, and
// against requests that keep others out by holding memory.
TEST(Http, FieldsOfAllRequestsStayWithinTheBudget) {
  runInChildProcess([](FiberLoop &Loop) {
    constexpr int Clients = 40;
    EchoHandler Handler(Loop);
    IngressBudget Budget({4 << 20, 100});
    IngressAddress Address(Budget, 0);
    HttpServerOptions Options = testOptions();
    Options.RequestTimeout = Seconds(5);
    Options.Ingress = &Address;
    HttpServer Server(Loop, Options, Handler);
    ASSERT_TRUE(ok(Server.start()));
    std::string Fields;
    for (int I = 0; I < 4000; ++I)
      Fields += "a:\r\n";
    std::vector<int> Sockets;
    for (int I = 0; I < Clients; ++I) {
      Sockets.push_back(connectTo(HttpAddress));
      sendPatiently(Sockets.back(), "POST /q HTTP/1.1\r\nHost: h\r\n" + Fields +
                                        "Content-Length: 2\r\n\r\nx");
      FiberLoop::sleepFor(Milliseconds(2));
      EXPECT_LE(Budget.used().Bytes, size_t(4 << 20));
    }
    MonotonicTime End = Loop.now() + Seconds(5);
    while (Budget.evictions() < Clients / 2 && Loop.now() < End)
      FiberLoop::sleepFor(Milliseconds(5));
    EXPECT_GE(Budget.evictions(), uint64_t(Clients / 2));
    EXPECT_EQ(awaitStatus(Loop, Sockets.front()), 503);
    // The request that came last has held its memory for the least time.
    sendPatiently(Sockets.back(), "x");
    EXPECT_EQ(awaitStatus(Loop, Sockets.back()), 200);
    for (int Socket : Sockets)
      close(Socket);
    End = Loop.now() + Seconds(5);
    while (Budget.used().Bytes > 0 && Loop.now() < End)
      FiberLoop::sleepFor(Milliseconds(5));
    EXPECT_EQ(Budget.used().Bytes, 0u);
  });
}

// Guards against callers whose bodies, each within its limit, fill the memory
// of a host together.
TEST(Http, BodiesOfAllRequestsStayWithinTheirLimit) {
  runInChildProcess([](FiberLoop &Loop) {
    constexpr size_t BodyBytes = 400 * 1024;
    constexpr int Clients = 8;
    EchoHandler Handler(Loop);
    HttpServerOptions Options = testOptions();
    Options.MaxBodyBytes = 1 << 20;
    Options.MaxBodyBytesTotal = 1 << 20;
    Options.RequestTimeout = Seconds(5);
    HttpServer Server(Loop, Options, Handler);
    ASSERT_TRUE(ok(Server.start()));
    std::vector<int> Sockets;
    for (int I = 0; I < Clients; ++I) {
      Sockets.push_back(connectTo(HttpAddress));
      sendPatiently(Sockets.back(), "POST /q HTTP/1.1\r\nHost: h\r\n"
                                    "Content-Length: " +
                                        std::to_string(BodyBytes) + "\r\n\r\n" +
                                        std::string(BodyBytes - 1, 'x'));
    }
    FiberLoop::sleepFor(Milliseconds(50));
    int Refused = 0;
    int Answered = 0;
    for (int Socket : Sockets) {
      Refused += receivedStatus(Socket) == 503 ? 1 : 0;
      sendPatiently(Socket, "x");
    }
    FiberLoop::sleepFor(Milliseconds(50));
    for (int Socket : Sockets) {
      Answered += receivedStatus(Socket) == 200 ? 1 : 0;
      close(Socket);
    }
    EXPECT_EQ(Refused, Clients - 2);
    EXPECT_EQ(Answered, 2);
    EXPECT_EQ(Server.counters().RefusedBodies, 6u);
  });
}

// Guards against a request that has been read, behind another one, and is lost
// when the server closes its connections after their responses.
TEST(Http, PipelinedRequestsAreLostWhenConnectionsClose) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServer Server(Loop, testOptions(), Handler);
    ASSERT_TRUE(ok(Server.start()));
    Server.closeAfterResponses();
    int Client = connectTo(HttpAddress);
    const std::string Request = "GET /q HTTP/1.1\r\nHost: h\r\n\r\n";
    sendPatiently(Client, Request + Request + Request);
    FiberLoop::sleepFor(Milliseconds(50));
    char Bytes[4096] = {};
    ssize_t Count = recv(Client, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    ASSERT_GT(Count, 0);
    std::string Received(Bytes, static_cast<size_t>(Count));
    size_t Responses = 0;
    for (size_t At = 0;
         (At = Received.find("HTTP/1.1 200", At)) != std::string::npos; ++At)
      ++Responses;
    EXPECT_EQ(Responses, 3u);
    EXPECT_EQ(recv(Client, Bytes, sizeof(Bytes), MSG_DONTWAIT), 0);
    close(Client);
  });
}

// Guards against connections that a stopping server cuts while it receives a
// request.
TEST(Http, IncompleteRequestIsCutWhenTheServerStops) {
  runInChildProcess([](FiberLoop &Loop) {
    EchoHandler Handler(Loop);
    HttpServerOptions Options = testOptions();
    Options.RequestTimeout = Seconds(5);
    HttpServer Server(Loop, Options, Handler);
    ASSERT_TRUE(ok(Server.start()));
    int Idle = connectTo(HttpAddress);
    int Receiving = connectTo(HttpAddress);
    sendPatiently(Receiving, "POST /q HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 9\r\n\r\nhalf");
    FiberLoop::sleepFor(Milliseconds(20));
    Server.refuseIncompleteRequests();
    FiberLoop::sleepFor(Milliseconds(20));
    EXPECT_EQ(receivedStatus(Receiving), 503);
    char Byte = 0;
    EXPECT_EQ(recv(Idle, &Byte, 1, MSG_DONTWAIT), 0);
    EXPECT_EQ(Server.counters().OpenConnections, 0u);
    close(Idle);
    close(Receiving);
  });
}

// Guards against a server that fills the memory of its client with a chunk
// header, or with a trailer, that has no end.
TEST(Http, ClientClosesResponsesWithoutEnd) {
  for (const char *Begin : {"4;", "0\r\nX: "})
    runInChildProcess([Begin](FiberLoop &Loop) {
      HostileServer Server([Begin](const HostileExchange &E) {
        return writeBytes(E, std::string("HTTP/1.1 200 OK\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"
                                         "4\r\nbody\r\n") +
                                 Begin) &&
               writeWithoutEnd(E, std::string(1024, 'x'));
      });
      auto Opened = HttpConnection::open(Loop, Server.address(), Seconds(1));
      ASSERT_TRUE(ok(Opened));
      HttpRequest Request;
      Request.Target = "/q";
      Result<HttpResponse> Outcome =
          valueOf(Opened)->exchange(Request, Seconds(2));
      ASSERT_FALSE(ok(Outcome));
      EXPECT_EQ(errorOf(Outcome).Code, ResultCode::BackendLost);
      EXPECT_FALSE(valueOf(Opened)->isOpen());
    });
}

// Guards against a client that reserves the length that a server announces.
TEST(Http, ClientClosesResponsesThatAnnounceTooMuch) {
  runInChildProcess([](FiberLoop &Loop) {
    HostileServer Server([](const HostileExchange &E) {
      return writeBytes(E, "HTTP/1.1 200 OK\r\n"
                           "Content-Length: 9999999999999\r\n\r\nbody");
    });
    auto Opened = HttpConnection::open(Loop, Server.address(), Seconds(1));
    ASSERT_TRUE(ok(Opened));
    HttpRequest Request;
    Request.Target = "/q";
    Result<HttpResponse> Outcome =
        valueOf(Opened)->exchange(Request, Seconds(2));
    ASSERT_FALSE(ok(Outcome));
    EXPECT_EQ(errorOf(Outcome).Code, ResultCode::BackendLost);
    EXPECT_FALSE(valueOf(Opened)->isOpen());
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

// Guards against replies that are delivered to another request, and against
// requests that never end because the peer is unreachable or does not support
// their type.
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
    auto Unsupported =
        Client.call(To, MessageType::StrikeAck, packBody(1), Milliseconds(60));
    ASSERT_FALSE(ok(Unsupported));
    EXPECT_EQ(errorOf(Unsupported).Code, ResultCode::Timeout);
    EXPECT_EQ(Traffic.UnknownTypes, 1u);
    Server->stop();
    FiberLoop::sleepFor(Milliseconds(20));
    auto Unreachable =
        Client.call(To, MessageType::Probe, packBody(1), Seconds(1));
    ASSERT_FALSE(ok(Unreachable));
    EXPECT_EQ(errorOf(Unreachable).Code, ResultCode::PeerUnreachable);
  });
}

// Guards against a crash or a wrong error on a malformed frame.
RC_GTEST_PROP(PeerFrame, AnyBytesDecodeToAFrameOrAnError,
              (const std::string &Bytes)) {
  Result<PeerFrame> Frame = decodeFrame(Bytes);
  if (!ok(Frame))
    RC_ASSERT(errorOf(Frame).Code == ResultCode::BadFrame);
}

// Guards against an encoder and a decoder that do not match.
RC_GTEST_PROP(PeerFrame, EncodedFrameIsDecoded,
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

// Guards against invalid values that are accepted, and against variables that
// take precedence over flags.
TEST(Settings, FlagsOverrideVariablesAndValuesAreChecked) {
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

/// Writes \p Text to a temporary file and returns its path.
std::string writeTempFile(const std::string &Text) {
  std::string Path =
      testing::TempDir() + "settings-" + std::to_string(getpid()) + ".conf";
  std::ofstream(Path) << Text;
  return Path;
}

// Guards against a settings file that is ignored if a flag names it, and
// against one that takes precedence over a flag.
TEST(Settings, FileNamedByAFlagIsReadAndFlagsOverrideIt) {
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
      "--settings-file=" + writeTempFile("test-size=7\nother-size=8\n");
  const char *Arguments[] = {"p", File.c_str(), "--other-size=9"};
  EXPECT_EQ(Parser.parse(3, Arguments), std::nullopt);
  EXPECT_EQ(Size, 7);
  EXPECT_EQ(Other, 9);
}

// Guards against misspelled names and invalid values in a settings file that
// are not reported, and against placeholders that are reported as invalid
// values.
TEST(Settings, ValidateFileReportsAllProblems) {
  int64_t Size = 5;
  Settings Parser("p", "test");
  Parser.number("test-size", "size", &Size, 1, 10);
  EXPECT_TRUE(
      Parser.validateFile(writeTempFile("test-size={{x.y}}\n\n")).empty());
  std::vector<std::string> Problems = Parser.validateFile(
      writeTempFile("test-sise=4\ntest-size=11\nnonsense\n"));
  ASSERT_EQ(Problems.size(), 3u);
  EXPECT_NE(Problems[0].find(":1: 'test-sise=4'"), std::string::npos);
  EXPECT_NE(Problems[1].find("from 1 to 10"), std::string::npos);
  EXPECT_NE(Problems[2].find(":3: 'nonsense'"), std::string::npos);
}

// Guards against quantiles that differ from the exact ones by over a bucket.
TEST(LatencyHistogram, QuantileIsWithinOneBucket) {
  LatencyHistogram Histogram;
  for (int I = 1; I <= 1000; ++I)
    Histogram.record(Milliseconds(I));
  EXPECT_NEAR(inSeconds(Histogram.quantile(0.5)), 0.5, 0.07);
  EXPECT_NEAR(inSeconds(Histogram.quantile(0.99)), 0.99, 0.13);
}

} // namespace
} // namespace mimosa
