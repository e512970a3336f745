// A peer in trouble may stop at any byte of a message and close the connection,
// in its head or in its body. No part of a message may be taken for a whole
// one.

#include "runtime/child_process_test_util.h"
#include "runtime/hostile_server_test_util.h"
#include "runtime/http.h"
#include "runtime/http_channel.h"
#include "runtime/peer.h"

#include <optional>

namespace mimosa {
namespace {

const std::string WholeBody = "whole answer";

/// A response, and how its end is recognized.
struct FramedResponse {
  const char *Name;
  std::string Head;
  std::string Rest;
  /// The body ends with the connection.
  bool EndsWithConnection = false;
  bool AnswersHeadRequest = false;

  std::string bytes() const { return Head + Rest; }
};

std::vector<FramedResponse> framedResponses() {
  const std::string Start = "HTTP/1.1 200 OK\r\nServer-Stamp: signed\r\n"
                            "Attempt-Id: cut\r\n";
  const std::string Length =
      "Content-Length: " + std::to_string(WholeBody.size()) + "\r\n\r\n";
  const std::string LateCopy =
      "HTTP/1.1 200 OK\r\nServer-Stamp: signed\r\nAttempt-Id: other\r\n"
      "Content-Length: 4\r\n\r\ncopy";
  return {
      {"length", Start + Length, WholeBody},
      {"length before the other fields",
       "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nServer-Stamp: signed\r\n"
       "Attempt-Id: cut\r\n\r\n",
       WholeBody},
      {"chunks", Start + "Transfer-Encoding: chunked\r\n\r\n",
       "5;x=y\r\nwhole\r\n7\r\n answer\r\n0\r\nX-Sum: 1\r\n\r\n"},
      {"no length", Start + "\r\n", WholeBody, true},
      {"no length, closing", Start + "Connection: close\r\n\r\n", WholeBody,
       true},
      {"informational head",
       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + Start + Length,
       WholeBody},
      {"late copy of another answer", LateCopy + Start + Length, WholeBody},
      {"answer to a HEAD request", Start + Length, "", false, true},
  };
}

/// How the connection ends after the bytes.
enum class CutBy { Close, Reset };

/// Answers requests with the id "cut" with the first bytes of a response, and
/// others completely.
class CuttingServer {
public:
  CuttingServer()
      : Server([this](const HostileExchange &E) { return answer(E); }) {}

  const std::string &address() const { return Server.address(); }

  std::string Bytes;
  /// The bytes after this one follow in a segment of their own.
  size_t SplitAt = 0;
  CutBy How = CutBy::Close;

private:
  static constexpr useconds_t SegmentPauseUs = 300;

  bool answer(const HostileExchange &Exchange) {
    if (Exchange.Id != "cut")
      return writeBytes(Exchange, answerTo(Exchange.Id));
    writeBytes(Exchange, Bytes.substr(0, SplitAt));
    if (SplitAt > 0)
      usleep(SegmentPauseUs);
    writeBytes(Exchange, Bytes.substr(SplitAt));
    if (How == CutBy::Reset) {
      linger Immediately{1, 0};
      setsockopt(Exchange.Socket, SOL_SOCKET, SO_LINGER, &Immediately,
                 sizeof(Immediately));
    }
    return false;
  }

  HostileServer Server;
};

/// Records how exchanges on a channel end.
class ChannelRecorder : public HttpChannelEvents {
public:
  bool onResponse(HttpChannel &, ReceivedHttpResponse NewResponse,
                  bool) override {
    for (const HttpHeader &Field : NewResponse.Headers)
      if (Field.Name == "Attempt-Id" && Field.Value != Id)
        return false;
    Response = std::move(NewResponse);
    Ended.set();
    return true;
  }
  void onClosed(HttpChannel &, ChannelCloseReason NewReason) override {
    Reason = NewReason;
    Ended.set();
  }

  /// Runs one exchange; the request carries \p NewId.
  void exchange(HttpChannel &Channel, const std::string &NewId, bool IsHead) {
    Id = NewId;
    Response.reset();
    Reason.reset();
    Ended.clear();
    Channel.exchange(
        [NewId] {
          return EncodedRequest{
              "GET /q HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + NewId + "\r\n\r\n",
              nullptr};
        },
        IsHead, 1 << 20);
    Ended.wait();
  }

  std::string Id;
  std::optional<ReceivedHttpResponse> Response;
  std::optional<ChannelCloseReason> Reason;
  FiberEvent Ended;
};

void cutOneResponse(FiberLoop &Loop, const CuttingServer &Server,
                    const FramedResponse &Framed, size_t Bytes, bool Reused) {
  SCOPED_TRACE(std::string(Framed.Name) + ", " + std::to_string(Bytes) +
               " bytes, split at " + std::to_string(Server.SplitAt) + ", " +
               (Reused ? "reused" : "new") + " connection, " +
               (Server.How == CutBy::Close ? "closed" : "reset"));
  ReceiveBudget Budget(10 << 20);
  ChannelRecorder Recorder;
  auto Opened = HttpChannel::open(Loop, Server.address(), Recorder, Budget);
  ASSERT_TRUE(ok(Opened));
  HttpChannel &Channel = *valueOf(Opened);
  if (Reused) {
    Recorder.exchange(Channel, "warm", false);
    ASSERT_TRUE(Recorder.Response);
  }
  Recorder.exchange(Channel, "cut", Framed.AnswersHeadRequest);
  bool Whole = Bytes == Framed.bytes().size() && !Framed.EndsWithConnection;
  // Where the connection ends the body, a body that is cut cannot be told.
  bool MayLookWhole = Framed.EndsWithConnection && Server.How == CutBy::Close &&
                      Bytes >= Framed.Head.size();
  if (Recorder.Response) {
    EXPECT_TRUE(Whole || MayLookWhole);
  } else {
    // It may have run.
    EXPECT_TRUE(Recorder.Reason == ChannelCloseReason::Lost ||
                Recorder.Reason == ChannelCloseReason::Malformed);
  }
  if (Whole && Server.How == CutBy::Close) {
    ASSERT_TRUE(Recorder.Response);
    EXPECT_EQ(Recorder.Response->Body,
              Framed.AnswersHeadRequest ? "" : WholeBody);
  }
  Channel.close();
}

// Guards against a part of a backend server's answer that is passed on as a
// whole one, with an empty or a short body, and against a request that counts
// as not sent although its answer has begun.
TEST(CutMessage, PartsOfResponsesAreNoResponses) {
  for (const FramedResponse &Framed : framedResponses())
    runInChildProcess([&](FiberLoop &Loop) {
      CuttingServer Server;
      for (CutBy How : {CutBy::Close, CutBy::Reset})
        for (size_t Bytes = 0; Bytes <= Framed.bytes().size(); ++Bytes)
          for (size_t SplitAt : {size_t(0), Bytes / 2, Bytes}) {
            Server.How = How;
            Server.SplitAt = SplitAt;
            Server.Bytes = Framed.bytes().substr(0, Bytes);
            for (bool Reused : {false, true})
              cutOneResponse(Loop, Server, Framed, Bytes, Reused);
          }
    });
}

// Guards against a part of the store's response that is taken for a whole one.
TEST(CutMessage, PartsOfTheStoresResponsesAreNoResponses) {
  for (const FramedResponse &Framed : framedResponses()) {
    // Responses of the store are not answered by id.
    if (Framed.AnswersHeadRequest ||
        Framed.Head.find("copy") != std::string::npos)
      continue;
    SCOPED_TRACE(Framed.Name);
    runInChildProcess([&](FiberLoop &Loop) {
      for (size_t Bytes = 0; Bytes <= Framed.bytes().size(); ++Bytes)
        for (bool Reused : {false, true}) {
          std::string Begin = Framed.bytes().substr(0, Bytes);
          int Exchanges = Reused ? 0 : 1;
          HostileServer Server([&](const HostileExchange &E) {
            return ++Exchanges == 1 ? writeBytes(E, answerTo("warm"))
                                    : writeBytes(E, Begin) && false;
          });
          auto Opened =
              HttpConnection::open(Loop, Server.address(), Seconds(1));
          ASSERT_TRUE(ok(Opened));
          HttpRequest Request;
          Request.Target = "/kv-key";
          if (Reused) {
            ASSERT_TRUE(ok(valueOf(Opened)->exchange(Request, Seconds(2))));
          }
          auto Outcome = valueOf(Opened)->exchange(Request, Seconds(2));
          bool Whole =
              Bytes == Framed.bytes().size() ||
              (Framed.EndsWithConnection && Bytes >= Framed.Head.size());
          EXPECT_EQ(ok(Outcome), Whole) << Bytes << " bytes, reused " << Reused;
        }
    });
  }
}

/// Answers the first bytes on each connection with \c Bytes and closes it.
class RawServer {
public:
  explicit RawServer(std::string Bytes)
      : Listener(listenOnLoopback(&Endpoint)) {
    std::thread([Socket = Listener, Bytes = std::move(Bytes)] {
      HostileExchange Exchange;
      while ((Exchange.Socket = accept(Socket, nullptr, nullptr)) >= 0) {
        char Received[4096];
        recv(Exchange.Socket, Received, sizeof(Received), 0);
        writeBytes(Exchange, Bytes);
        close(Exchange.Socket);
      }
    }).detach();
  }

  const std::string &address() const { return Endpoint; }

private:
  std::string Endpoint;
  int Listener;
};

/// Counts the messages that it receives.
class CountingHandler : public HttpHandler, public PeerHandler {
public:
  HttpResponse handle(const HttpRequest &,
                      const std::shared_ptr<CallerConnection> &) override {
    ++Count;
    return {200, "text/plain", "counted"};
  }
  bool handleFrame(const PeerFrame &, PeerReplier) override {
    ++Count;
    return true;
  }
  int Count = 0;
};

const std::string ServerAddress = "127.0.0.1:7391";

/// Sends each part of \p Message that is not all of it to ServerAddress, on a
/// new connection or, if \p Before is not empty, after \p Before, and closes
/// the connection. Returns the number of connections.
int sendParts(const std::string &Message, const std::string &Before) {
  for (size_t Bytes = 0; Bytes < Message.size(); ++Bytes) {
    HostileExchange Exchange;
    Exchange.Socket = connectTo(ServerAddress);
    writeBytes(Exchange, Before + Message.substr(0, Bytes));
    shutdown(Exchange.Socket, SHUT_WR);
    // Lets the server read, and answer what precedes the part.
    FiberLoop::sleepFor(Milliseconds(1));
    close(Exchange.Socket);
  }
  FiberLoop::sleepFor(Milliseconds(50));
  return static_cast<int>(Message.size());
}

// Guards against a part of a caller's request that is passed on.
TEST(CutMessage, PartsOfRequestsAreNotHandled) {
  const std::string Head = "POST /q HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n";
  for (const std::string &Request :
       {Head + "Content-Length: 5\r\n\r\nhello",
        Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        std::string("GET /q HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n")})
    runInChildProcess([&](FiberLoop &Loop) {
      CountingHandler Handler;
      HttpServerOptions Options;
      Options.Address = ServerAddress;
      HttpServer Server(Loop, Options, Handler);
      ASSERT_TRUE(ok(Server.start()));
      sendParts(Request, "");
      EXPECT_EQ(Handler.Count, 0);
      int Connections = sendParts(Request, Request);
      EXPECT_EQ(Handler.Count, Connections);
    });
}

// Guards against a part of a frame that another host handles, or that ends a
// call as its reply.
TEST(CutMessage, PartsOfFramesAreNotHandled) {
  const std::string Frame =
      encodeFrame({MessageType::Probe, 1, std::string(40, 'x')});
  runInChildProcess([&](FiberLoop &Loop) {
    CountingHandler Handler;
    PeerTraffic Traffic;
    PeerServer Server(Loop, ServerAddress, Handler, Traffic);
    ASSERT_TRUE(ok(Server.start()));
    sendParts(Frame, "");
    EXPECT_EQ(Handler.Count, 0);
    int Connections = sendParts(Frame, Frame);
    EXPECT_EQ(Handler.Count, Connections);
  });
  for (size_t Bytes = 0; Bytes <= Frame.size(); ++Bytes) {
    SCOPED_TRACE(Bytes);
    runInChildProcess([&](FiberLoop &Loop) {
      RawServer Server(Frame.substr(0, Bytes));
      PeerTraffic Traffic;
      PeerClient Client(Loop, Traffic);
      auto Reply = Client.call(HostId(Server.address()), MessageType::Probe,
                               "request", Seconds(1));
      EXPECT_EQ(ok(Reply), Bytes == Frame.size());
      if (!ok(Reply)) {
        EXPECT_EQ(errorOf(Reply).Code, ResultCode::PeerUnreachable);
      }
    });
  }
}

} // namespace
} // namespace mimosa
