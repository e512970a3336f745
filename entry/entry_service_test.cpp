// The ends of callers' requests: whatever backend servers do, what a caller is
// told of its request must be true.

#include "entry/entry_service.h"
#include "entry/team_quota.h"
#include "platform/backend_wire.h"
#include "runtime/child_process_test_util.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mimosa {
namespace {

constexpr Duration Timeout = Milliseconds(120);
/// From the arrival of a request at a backend server until its end.
constexpr Duration RunTime = Milliseconds(1);
const std::string StampHeader = "Server-Stamp";
constexpr int Statuses[] = {200, 204, 206, 300, 304, 400, 401, 403, 404,
                            408, 409, 413, 421, 425, 429, 431, 500, 501,
                            502, 503, 504, 505, 507, 511, 599};

/// Statuses that promise that the request has not run and never will.
bool isPromise(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// How backend servers end the requests that they get.
struct Ending {
  enum class Kind { Answer, Lost, Malformed, NotSent, Silent };
  Kind How = Kind::Answer;
  int Status = 0;
  /// The answer has the header Not-Executed.
  bool Declines = false;
  bool HasStamp = true;
  bool HasId = true;

  bool runs() const {
    return How != Kind::NotSent && !Declines && Status != 421;
  }
  std::string describe() const {
    return "ending " + std::to_string(static_cast<int>(How)) + ", status " +
           std::to_string(Status) + (Declines ? ", declined" : "") +
           (HasStamp ? ", signed" : "") + (HasId ? "" : ", without id");
  }
};

/// Backend servers that all end their requests in the same way.
class ScriptedBackends : public BackendTransport {
public:
  explicit ScriptedBackends(FiberLoop &Loop) : Loop(Loop) {}

  void send(AttemptId Id, const BackendServerPtr &, const CallRequest &Request,
            bool) override {
    Runs += Script.runs() ? 1 : 0;
    Loop.spawn([this, Id, Message = Request.Message] {
      FiberLoop::sleepFor(RunTime);
      end(Id, *Message);
    });
  }
  void cancel(AttemptId) override {}

  Ending Script;
  int Runs = 0;
  CallScheduler *Calls = nullptr;

private:
  void end(AttemptId Id, const CallerRequest &Request) {
    switch (Script.How) {
    case Ending::Kind::Answer:
      return Calls->onAnswered(Id, answer(Request), Loop.now());
    case Ending::Kind::Lost:
      return Calls->onLost(Id, false, Loop.now());
    case Ending::Kind::Malformed:
      return Calls->onLost(Id, true, Loop.now());
    case Ending::Kind::NotSent:
      return Calls->onNotSent(Id, Loop.now());
    case Ending::Kind::Silent:
      break;
    }
  }

  BackendAnswer answer(const CallerRequest &Request) const {
    ReceivedHttpResponse Raw;
    Raw.Status = Script.Status;
    Raw.Headers = {{"Retry-After", "0.05"}};
    if (Script.HasId)
      Raw.Headers.push_back({"Attempt-Id", Request.Id.text()});
    if (Script.HasStamp)
      Raw.Headers.push_back({StampHeader, "signature"});
    if (Script.Declines)
      Raw.Headers.push_back({"Not-Executed", "1"});
    Raw.Body = std::string(RecordBytes, 'x');
    return decodeBackendAnswer(std::move(Raw), Request.Id).Answer;
  }

  FiberLoop &Loop;
};

/// The routes of a service and of a query over two shards.
std::shared_ptr<const RouteTable> makeRoutes() {
  RoutingConfig Config;
  Config.Version = 1;
  auto AddRoute = [&](const char *Name, bool Idempotent) -> Route & {
    Route &Out = Config.Routes.emplace_back();
    Out.Id = RouteId(Name);
    Out.Host = "h";
    Out.PathPrefix = std::string("/") + Name + "/";
    Out.Idempotent = Idempotent;
    Out.Timeout = Timeout;
    Out.TargetLatency = Timeout / 2;
    Out.MaxAttempts = 2;
    return Out;
  };
  AddRoute("once", false).Targets = {{ServiceId("s1"), 1}};
  AddRoute("safe", true).Targets = {{ServiceId("s1"), 1}};
  Route &Gather = AddRoute("gather", true);
  Gather.Shards = {ServiceId("s1"), ServiceId("s2")};
  Gather.TopK = 1;
  return std::make_shared<const RouteTable>(std::move(Config));
}

/// A host with two backend servers of each of two services.
class TestHost {
public:
  explicit TestHost(FiberLoop &Loop)
      : Backends(Loop), Registry(AvailabilityZoneId("z1"), Rng),
        Calls(Registry, Backends), Crashes(HostId("h1"), Incarnation(1)),
        Service(Loop, Calls, Crashes, Metrics, Rng), Loop(Loop) {
    Backends.Calls = &Calls;
    Calls.setRetryBudget({0.2, 50, Seconds(10)});
    Service.setRoutes(makeRoutes());
    for (const char *Name : {"s1", "s2"}) {
      Registry.setLimits(ServiceId(Name), 64, 0);
      for (const char *Suffix : {"a", "b"}) {
        BackendServerEntry Entry;
        Entry.Id = BackendServerId(std::string(Name) + Suffix);
        Entry.Service = ServiceId(Name);
        Entry.Address = "127.0.0.1:1";
        Entry.Zone = AvailabilityZoneId("z1");
        Entry.Slots = 4;
        Registry.update(Entry, Loop.now());
      }
    }
  }

  HttpResponse request(const std::string &Path, const char *Method = "POST") {
    HttpRequest Request;
    Request.Method = Method;
    Request.Target = Path;
    Request.Headers = {
        {"Host", "h"}, {"Attempt-Id", "a1"}, {"Authorization", "Token key"}};
    Request.ArrivedAt = Loop.now();
    std::optional<HttpResponse> Response;
    Loop.spawn([&] {
      Response = Service.handle(Request, std::make_shared<CallerConnection>());
    });
    while (!Response) {
      FiberLoop::sleepFor(Milliseconds(1));
      Calls.onTimer(Loop.now());
    }
    return std::move(*Response);
  }

  SeededRandom Rng{7};
  ScriptedBackends Backends;
  ServerRegistry Registry;
  CallScheduler Calls;
  CrashWatch Crashes;
  MetricsRegistry Metrics;
  EntryService Service;
  FiberLoop &Loop;
};

std::vector<Ending> allEndings() {
  std::vector<Ending> Out;
  for (int Status : Statuses)
    for (bool Declines : {false, true})
      for (bool HasStamp : {false, true})
        for (bool HasId : {false, true})
          // A success that states that it has not run contradicts itself.
          if (!Declines || Status >= 300)
            Out.push_back(
                {Ending::Kind::Answer, Status, Declines, HasStamp, HasId});
  for (Ending::Kind How : {Ending::Kind::Lost, Ending::Kind::Malformed,
                           Ending::Kind::NotSent, Ending::Kind::Silent})
    Out.push_back({How});
  return Out;
}

void checkResponse(const HttpResponse &Response, const Ending &Script,
                   bool HasRun) {
  // 0 closes the connection.
  EXPECT_TRUE(Response.Status == 0 ||
              (Response.Status >= 200 && Response.Status < 600));
  if (isPromise(Response.Status)) {
    EXPECT_FALSE(HasRun);
    EXPECT_FALSE(findHeader(Response.Headers, StampHeader));
  }
  // That of a backend server is not meant for callers.
  EXPECT_EQ(findHeader(Response.Headers, "Retry-After") != nullptr,
            isPromise(Response.Status));
  // A caller that may send the request again has to be told so.
  if (!HasRun) {
    EXPECT_TRUE(isPromise(Response.Status));
  }
  // A success is proved by the signature of the backend server that ran it.
  if (Response.Status >= 200 && Response.Status < 300) {
    EXPECT_TRUE(HasRun && Script.HasStamp);
  }
  // A signature stands only with the status that was signed.
  if (findHeader(Response.Headers, StampHeader)) {
    EXPECT_EQ(Response.Status, Script.Status);
  }
}

// Guards against a status that promises that a request has not run, although a
// backend server has run it, or may have done so.
TEST(EntryService, PromisesOnlyWhatIsKnownOfARequest) {
  for (const char *Path : {"/once/", "/safe/", "/gather/"})
    runInChildProcess([Path](FiberLoop &Loop) {
      for (const Ending &Script : allEndings()) {
        SCOPED_TRACE(Path + Script.describe());
        TestHost Host(Loop);
        Host.Backends.Script = Script;
        HttpResponse Response = Host.request(std::string(Path) + "1");
        checkResponse(Response, Script, Host.Backends.Runs > 0);
        EXPECT_LE(Host.Backends.Runs, Path == std::string("/once/") ? 1 : 4);
        Loop.sleepFor(2 * RunTime);
      }
    });
}

// Guards against a request that all callers send, and that is refused for
// minutes because a few answers to it were lost (review case 14).
TEST(EntryService, AnsweredRequestsAreNotQuarantinedForLostAnswers) {
  runInChildProcess([](FiberLoop &Loop) {
    TestHost Host(Loop);
    const Ending Answer{Ending::Kind::Answer, 200};
    const Ending Loss{Ending::Kind::Lost};
    for (const Ending &Each :
         {Answer, Loss, Answer, Loss, Loss, Answer, Loss, Answer}) {
      Host.Backends.Script = Each;
      int Status = Host.request("/once/popular").Status;
      EXPECT_EQ(Status, Each.How == Ending::Kind::Lost ? 502 : 200);
    }
  });
}

// Guards against a request that crashes one backend server after the other,
// also if it was answered before.
TEST(EntryService, RequestsThatCrashBackendServersAreQuarantined) {
  for (int Answers : {0, 3})
    runInChildProcess([Answers](FiberLoop &Loop) {
      TestHost Host(Loop);
      Host.Backends.Script = {Ending::Kind::Answer, 200};
      for (int I = 0; I < Answers; ++I)
        EXPECT_EQ(Host.request("/once/bad").Status, 200);
      Host.Backends.Script = {Ending::Kind::Lost};
      Host.Backends.Runs = 0;
      for (int I = 0; I < 10; ++I) {
        Host.request("/once/bad");
        FiberLoop::sleepFor(Milliseconds(60));
      }
      EXPECT_EQ(Host.Backends.Runs, Answers > 0 ? 5 : 2);
      EXPECT_EQ(Host.request("/once/bad").Status, 503);
    });
}

/// A host whose callers belong to a team with a quota.
class HostWithQuota : public TestHost {
public:
  explicit HostWithQuota(FiberLoop &Loop)
      : TestHost(Loop), Peers(Loop, Traffic),
        Quota(Loop, Peers, HostId("h1"), Incarnation(1), {}, Metrics,
              [] { return Duration(0); }) {
    RoutingConfig Config = makeRoutes()->config();
    Config.Teams.emplace();
    Team &Callers = Config.Teams->Teams.emplace_back();
    Callers.Id = TeamId("t");
    Callers.RatePerSecond = 10000;
    Callers.Burst = 100;
    Config.Teams->Keys.add(digestOf(KeySalt{}, "key"), 0);
    Quota.setTeams(&*Config.Teams);
    Quota.setHosts({HostId("h1")});
    Service.setRoutes(std::make_shared<const RouteTable>(std::move(Config)));
    Service.setQuota(Quota);
    // The quota starts empty.
    FiberLoop::sleepFor(Milliseconds(20));
  }

  /// Tokens that are used.
  int used() {
    constexpr std::string_view Name =
        "mimosa_team_quota_used_total{team=\"t\"} ";
    std::string Text = Metrics.render();
    return std::stoi(Text.substr(Text.find(Name) + Name.size()));
  }

private:
  PeerTraffic Traffic;
  PeerClient Peers;
  TeamQuota Quota;
};

// Guards against callers who pay for a request that has not run, and against
// one that may have run for nothing.
TEST(EntryService, QuotasAreUsedByRequestsThatMayHaveRun) {
  for (const char *Path : {"/once/", "/safe/", "/gather/"})
    runInChildProcess([Path](FiberLoop &Loop) {
      for (const Ending &Script : allEndings()) {
        SCOPED_TRACE(Path + Script.describe());
        HostWithQuota Host(Loop);
        Host.Backends.Script = Script;
        HttpResponse Response = Host.request(std::string(Path) + "1");
        EXPECT_EQ(Host.used(), isPromise(Response.Status) ? 0 : 1);
        if (Host.Backends.Runs > 0) {
          EXPECT_EQ(Host.used(), 1);
        }
        Loop.sleepFor(2 * RunTime);
      }
    });
}

} // namespace
} // namespace mimosa
