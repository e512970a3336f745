// Whether a response has a body, and how its end is recognized, follows from
// the request and the status. Bytes beyond the end stand where the caller
// expects its next response.

#include "runtime/child_process_test_util.h"
#include "runtime/http.h"
#include "runtime/loopback_socket_test_util.h"

#include <string>

namespace mimosa {
namespace {

constexpr const char *Address = "127.0.0.1:18473";
constexpr Duration RequestTimeout = Milliseconds(60);
constexpr size_t MaxHeaderBytes = 1024;
constexpr Duration PollInterval = Milliseconds(1);
/// By then a response has arrived, also on a busy machine.
constexpr Duration ResponseLimit = Seconds(5);

/// Answers with the status and length that the target names, "/STATUS".
class StatusHandler : public HttpHandler {
public:
  HttpResponse handle(const HttpRequest &Request,
                      const std::shared_ptr<CallerConnection> &) override {
    HttpResponse Out{std::stoi(Request.Target.substr(1)), "text/plain", Body};
    Out.LengthForHead = LengthForHead;
    return Out;
  }
  std::string Body = "body";
  std::optional<uint64_t> LengthForHead;
};

class RawCaller {
public:
  RawCaller() : Socket(connectTo(Address)) {}
  ~RawCaller() { close(Socket); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  void write(const std::string &Bytes) const {
    EXPECT_EQ(send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Bytes.size()));
  }
  /// Returns the bytes that have arrived after the end of a head has, or after
  /// \p Limit.
  std::string read(Duration Limit = ResponseLimit) {
    std::string Out;
    for (Duration Waited{0}; Waited < Limit && Out.find("\r\n\r\n") == Out.npos;
         Waited += PollInterval) {
      FiberLoop::sleepFor(PollInterval);
      receive(&Out);
    }
    return Out;
  }
  /// Whether the server closes the connection without further bytes.
  bool isClosed() {
    std::string More;
    for (Duration Waited{0}; Waited < ResponseLimit; Waited += PollInterval) {
      if (receive(&More))
        return More.empty();
      FiberLoop::sleepFor(PollInterval);
    }
    return false;
  }

private:
  /// Returns whether the connection is at its end.
  bool receive(std::string *Out) const {
    char Bytes[4096];
    ssize_t Count = 0;
    while ((Count = recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT)) > 0)
      Out->append(Bytes, static_cast<size_t>(Count));
    return Count == 0;
  }

  int Socket;
};

void withServer(const std::function<void(HttpServer &, StatusHandler &)> &Run) {
  runInChildProcess([&Run](FiberLoop &Loop) {
    StatusHandler Handler;
    HttpServerOptions Options;
    Options.Address = Address;
    Options.RequestTimeout = RequestTimeout;
    Options.MaxHeaderBytes = MaxHeaderBytes;
    Options.MaxBodyBytes = 4;
    HttpServer Server(Loop, Options, Handler);
    ASSERT_TRUE(ok(Server.start()));
    Run(Server, Handler);
  });
}

std::string request(const char *Method, const std::string &Target,
                    const char *Version = "1.1") {
  return std::string(Method).append(" ").append(Target).append(" HTTP/").append(
             Version) +
         "\r\nHost: h\r\n\r\n";
}

/// What follows the head of the only response in \p Bytes.
std::string bodyIn(const std::string &Bytes) {
  size_t End = Bytes.find("\r\n\r\n");
  EXPECT_NE(End, std::string::npos) << Bytes;
  return End == std::string::npos ? Bytes : Bytes.substr(End + 4);
}

bool contains(const std::string &Bytes, const std::string &Text) {
  return Bytes.find(Text) != std::string::npos;
}

// Guards against a body after the head of a response that has none, which
// callers take for the beginning of their next response.
TEST(ResponseFraming, ResponsesWithoutContentHaveNoBody) {
  withServer([](HttpServer &, StatusHandler &) {
    for (const char *Method : {"GET", "POST", "HEAD"})
      for (int Status :
           {200, 204, 304, 400, 401, 404, 429, 500, 502, 503, 504}) {
        SCOPED_TRACE(std::string(Method) + " " + std::to_string(Status));
        bool HasBody =
            std::string(Method) != "HEAD" && Status != 204 && Status != 304;
        RawCaller Caller;
        std::string Target = "/" + std::to_string(Status);
        for (int Round = 0; Round < 2; ++Round) {
          Caller.write(request(Method, Target));
          std::string Received = Caller.read();
          EXPECT_TRUE(contains(Received, "HTTP/1.1 " + Target.substr(1)));
          EXPECT_EQ(bodyIn(Received), HasBody ? "body" : "");
          EXPECT_EQ(contains(Received, "Content-Length: 4\r\n"),
                    Status != 204 && Status != 304);
        }
      }
  });
}

// Guards against a length of 0 in the response to a HEAD request whose resource
// has another length, or one that is not known.
TEST(ResponseFraming, ResponsesToHeadStateTheLengthOfTheResource) {
  withServer([](HttpServer &, StatusHandler &Handler) {
    Handler.Body = "";
    RawCaller Caller;
    Caller.write(request("HEAD", "/200"));
    EXPECT_FALSE(contains(Caller.read(), "Content-Length"));
    Handler.LengthForHead = 77;
    Caller.write(request("HEAD", "/200"));
    std::string Received = Caller.read();
    EXPECT_TRUE(contains(Received, "Content-Length: 77\r\n"));
    EXPECT_EQ(bodyIn(Received), "");
    Caller.write(request("GET", "/200"));
    EXPECT_TRUE(contains(Caller.read(), "Content-Length: 0\r\n"));
  });
}

// Guards against a refusal of the server itself that has a body after a HEAD
// request, or that keeps a connection on which a part of the request follows.
TEST(ResponseFraming, RefusalsCloseAndHaveNoBodyAfterHead) {
  struct Refusal {
    const char *Name;
    std::string Rest;
    const char *Status;
  };
  const Refusal Refusals[] = {
      {"slow", "Host: h\r\n", "408"},
      {"long head", "X: " + std::string(MaxHeaderBytes, 'x') + "\r\n\r\n",
       "431"},
      {"long body", "Host: h\r\nContent-Length: 5\r\n\r\nhello", "413"},
      {"two lengths",
       "Host: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", "400"},
  };
  withServer([&](HttpServer &, StatusHandler &) {
    for (const Refusal &Each : Refusals)
      for (bool IsHead : {false, true})
        for (bool IsSplit : {false, true}) {
          SCOPED_TRACE(Each.Name + std::string(IsHead ? ", HEAD" : ", POST") +
                       (IsSplit ? ", split" : ""));
          RawCaller Caller;
          std::string Start =
              std::string(IsHead ? "HEAD" : "POST") + " /200 HTTP/1.1\r\n";
          Caller.write(IsSplit ? Start : Start + Each.Rest);
          if (IsSplit) {
            FiberLoop::sleepFor(Milliseconds(2));
            Caller.write(Each.Rest);
          }
          std::string Received = Caller.read();
          EXPECT_TRUE(
              contains(Received, std::string("HTTP/1.1 ") + Each.Status));
          EXPECT_TRUE(contains(Received, "Connection: close\r\n"));
          EXPECT_EQ(bodyIn(Received).empty(), IsHead);
          EXPECT_TRUE(Caller.isClosed());
        }
  });
}

// Guards against a refusal with a body after a HEAD request that is incomplete
// when the host stops.
TEST(ResponseFraming, RefusalsOfAStoppingHostHaveNoBodyAfterHead) {
  withServer([](HttpServer &Server, StatusHandler &) {
    RawCaller Caller;
    Caller.write("HEAD /200 HTTP/1.1\r\nHost: h\r\n");
    FiberLoop::sleepFor(Milliseconds(5));
    Server.refuseIncompleteRequests();
    std::string Received = Caller.read();
    EXPECT_TRUE(contains(Received, "HTTP/1.1 503"));
    EXPECT_EQ(bodyIn(Received), "");
  });
}

// Guards against interim responses and kept connections that callers of
// HTTP/1.0 do not know.
TEST(ResponseFraming, CallersOfHttp10GetOneResponseAndTheEnd) {
  withServer([](HttpServer &, StatusHandler &) {
    RawCaller Caller;
    Caller.write("POST /200 HTTP/1.0\r\nConnection: keep-alive\r\n"
                 "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    EXPECT_EQ(Caller.read(Milliseconds(20)), "");
    Caller.write("x");
    std::string Received = Caller.read();
    EXPECT_TRUE(contains(Received, "HTTP/1.1 200"));
    EXPECT_TRUE(contains(Received, "Connection: close\r\n"));
    EXPECT_TRUE(Caller.isClosed());
  });
}

} // namespace
} // namespace mimosa
