#include "tools/load_generator.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mimosa {

namespace {
constexpr Duration ConnectTimeout = Milliseconds(500);
constexpr Duration AnswerSlack = Milliseconds(2000);
constexpr Duration DefaultLifetime = Milliseconds(1000);
constexpr Duration DrainTime = Seconds(5);
constexpr int MaxConnectAttempts = 3;
constexpr double MicrosPerSecond = 1e6;
} // namespace

LoadGenerator::LoadGenerator(FiberLoop &Loop, LoadOptions Options)
    : Loop(Loop), Options(std::move(Options)),
      Rand(static_cast<uint64_t>(this->Options.Seed)),
      Addresses(this->Options.Daemons) {}

Json LoadGenerator::run() {
  StartTime = Loop.now();
  Loop.spawn([this] { refreshAddresses(); });
  // Wait for the addresses of the service, to which the queries are sent.
  FiberLoop::sleepFor(Milliseconds(100));
  StartTime = Loop.now();
  MonotonicTime End = StartTime + Seconds(Options.Seconds);
  MonotonicTime Next = StartTime;
  double MeanGap =
      MicrosPerSecond / static_cast<double>(Options.QueriesPerSecond);
  while (Next < End) {
    Duration Wait = Next - Loop.now();
    if (Wait > Duration(0))
      FiberLoop::sleepFor(Wait);
    startQuery(Next);
    Next += Duration(
        static_cast<int64_t>(-MeanGap * std::log(1.0 - Rand.uniform01())));
  }
  MonotonicTime DrainEnd = Loop.now() + DrainTime;
  while (UnfinishedQueries > 0 && Loop.now() < DrainEnd)
    FiberLoop::sleepFor(Milliseconds(10));
  return figures();
}

void LoadGenerator::refreshAddresses() {
  size_t DaemonIndex = 0;
  while (true) {
    Duration Lifetime = DefaultLifetime;
    const std::string &Daemon =
        Options.Daemons[DaemonIndex % Options.Daemons.size()];
    auto Opened = HttpConnection::open(Loop, Daemon, ConnectTimeout);
    Result<HttpResponse> Answer = Error{};
    if (ok(Opened))
      Answer = valueOf(Opened)->exchange(
          {"GET",
           "/v1/addresses?service=" + Options.Service + "&zone=" + Options.Zone,
           ""},
          AnswerSlack);
    Result<Json> Body = ok(Answer) && valueOf(Answer).Status == 200
                            ? parseJson(valueOf(Answer).Body)
                            : Result<Json>(Error{});
    if (ok(Body)) {
      std::vector<std::string> Next;
      for (const Json &One : valueOf(Body)["addresses"])
        Next.push_back(One.value("address", ""));
      if (!Next.empty())
        setAddresses(std::move(Next));
      Lifetime = Milliseconds(valueOf(Body).value("lifetime_ms", 1000));
    } else {
      ++DaemonIndex;
      Lifetime = Milliseconds(100);
    }
    FiberLoop::sleepFor(Lifetime);
  }
}

void LoadGenerator::setAddresses(std::vector<std::string> Next) {
  Addresses = std::move(Next);
  // A host whose address is no longer listed may restart, so its idle
  // connections would fail when it is listed again.
  for (auto It = IdleConnections.begin(); It != IdleConnections.end();) {
    bool Listed = std::find(Addresses.begin(), Addresses.end(), It->first) !=
                  Addresses.end();
    It = Listed ? std::next(It) : IdleConnections.erase(It);
  }
}

void LoadGenerator::startQuery(MonotonicTime ArrivedAt) {
  ++QueriesSent;
  ++UnfinishedQueries;
  Loop.spawn([this, ArrivedAt] {
    sendQuery(ArrivedAt);
    --UnfinishedQueries;
  });
}

std::string LoadGenerator::body(uint64_t Number) {
  std::string Text = Options.Text;
  if (Options.DistinctText)
    Text += " " + std::to_string(Number);
  Json Query = {{"text", Text}};
  Json Body = {
      {"service", Options.Service},       {"caller", "mimosaload"},
      {"class", Options.Class},           {"deadline_ms", Options.DeadlineMs},
      {"idempotent", Options.Idempotent}, {"limit", 10}};
  if (!Options.Idempotent) {
    std::string Key =
        std::to_string(Options.Seed) + "-" + std::to_string(Number);
    Body["request_key"] = Key;
    // The stand-ins for backend servers detect duplicate runs by this field.
    Query["key"] = Key;
  }
  Body["query"] = Query;
  return Body.dump();
}

Result<HttpResponse> LoadGenerator::exchange(const HttpRequest &Request,
                                             Duration Limit) {
  for (int Attempt = 0; Attempt < MaxConnectAttempts; ++Attempt) {
    std::string Address = Addresses[Rand.below(Addresses.size())];
    auto &Pool = IdleConnections[Address];
    std::unique_ptr<HttpConnection> Connection;
    if (!Pool.empty()) {
      Connection = std::move(Pool.back());
      Pool.pop_back();
    } else {
      auto Opened = HttpConnection::open(Loop, Address, ConnectTimeout);
      if (!ok(Opened)) {
        ++ConnectFailures;
        continue;
      }
      Connection = valueOf(std::move(Opened));
    }
    Result<HttpResponse> Answer = Connection->exchange(Request, Limit);
    bool Listed = std::find(Addresses.begin(), Addresses.end(), Address) !=
                  Addresses.end();
    if (ok(Answer) && Connection->isOpen() && Listed)
      IdleConnections[Address].push_back(std::move(Connection));
    return Answer;
  }
  return Error{ResultCode::PeerUnreachable,
               "no address of the service accepts connections"};
}

void LoadGenerator::sendQuery(MonotonicTime ArrivedAt) {
  HttpRequest Request{"POST", "/v1/query", body(QueriesSent)};
  bool DisconnectsEarly =
      static_cast<int64_t>(Rand.below(100)) < Options.DisconnectPercent;
  Duration Limit = DisconnectsEarly
                       ? Duration(Milliseconds(Options.DisconnectAfterMs))
                       : Milliseconds(Options.DeadlineMs) + AnswerSlack;
  Result<HttpResponse> Answer = exchange(Request, Limit);
  if (DisconnectsEarly && !ok(Answer)) {
    ++Disconnects;
    return;
  }
  countAnswer(Answer, ArrivedAt);
}

void LoadGenerator::countAnswer(const Result<HttpResponse> &Answer,
                                MonotonicTime ArrivedAt) {
  Duration Time = Loop.now() - ArrivedAt;
  if (!ok(Answer)) {
    ++Unanswered;
    ++UnansweredBySecond[inMilliseconds(ArrivedAt - StartTime) / 1000];
    LastFailure = errorOf(Answer).Message;
    return;
  }
  Result<Json> Body = parseJson(valueOf(Answer).Body);
  if (!ok(Body) || !valueOf(Body).contains("result")) {
    ++Unanswered;
    LastFailure = "invalid answer: " + valueOf(Answer).Body;
    return;
  }
  const Json &Read = valueOf(Body);
  std::string Code = Read["result"].value("name", "");
  std::string Execution = Read.value("execution", "");
  ++AnswersByCode[Code];
  ++AnswersByExecution[Execution];
  if (Execution == "not_run")
    RefusalLatency.record(Time);
  else
    Latency.record(Time);
  countCoverage(Read);
}

void LoadGenerator::countCoverage(const Json &Answer) {
  if (!Answer.contains("coverage"))
    return;
  const Json &Coverage = Answer["coverage"];
  auto Answered = Coverage.value("answered", int64_t(0));
  auto Requested = Coverage.value("asked", int64_t(0));
  auto Total = Coverage.value("total", int64_t(0));
  bool Complete = Answer.value("complete", false);
  if (Complete)
    ++CompleteAnswers;
  bool Consistent = Answered <= Requested && Requested <= Total &&
                    Complete == (Total > 0 && Answered == Total);
  if (Options.ExpectedShards > 0 && Total > 0 &&
      Total != Options.ExpectedShards)
    Consistent = false;
  if (!Consistent)
    ++WrongCoverage;
}

Json LoadGenerator::figures() const {
  auto Ms = [](Duration Time) { return inSeconds(Time) * 1000; };
  Json Out = {{"sent", QueriesSent},
              {"whole", CompleteAnswers},
              {"wrong_coverage", WrongCoverage},
              {"no_answer", Unanswered},
              {"connect_failures", ConnectFailures},
              {"gave_up", Disconnects},
              {"unfinished", UnfinishedQueries},
              {"by_code", AnswersByCode},
              {"by_execution", AnswersByExecution},
              {"p50_ms", Ms(Latency.quantile(0.5))},
              {"p95_ms", Ms(Latency.quantile(0.95))},
              {"p99_ms", Ms(Latency.quantile(0.99))},
              {"p999_ms", Ms(Latency.quantile(0.999))},
              {"refusal_p99_ms", Ms(RefusalLatency.quantile(0.99))}};
  if (!LastFailure.empty())
    Out["last_failure"] = LastFailure;
  for (const auto &[Second, Count] : UnansweredBySecond)
    Out["no_answer_by_second"][std::to_string(Second)] = Count;
  return Out;
}

} // namespace mimosa
