#include "daemon/backend_links.h"

#include "daemon/backend_messages.h"

#include <optional>

namespace mimosa {

namespace {

constexpr Duration ConnectTimeout = Milliseconds(500);
// The scheduler closes connections that are silent or overdue; this only ends
// an exchange that it has lost sight of.
constexpr Duration ExchangeTimeout = Seconds(30);

} // namespace

struct BackendLinks::Link {
  enum class Kind { Search, Cancel, Status };
  struct Exchange {
    Kind Type = Kind::Status;
    HttpRequest Request;
  };

  SchedulerId Scheduler;
  ConnectionId Connection;
  std::string Address;
  std::unique_ptr<HttpConnection> Http;
  std::optional<Exchange> Next;
  FiberEvent Wake;
  bool Closed = false;

  void begin(Kind Type, HttpRequest Request) {
    Next = Exchange{Type, std::move(Request)};
    Wake.set();
  }
};

BackendLinks::BackendLinks(FiberLoop &Loop, Dispatcher &Dispatch,
                           std::string HostName, ReplyCallback OnReply,
                           SummaryCallback OnSummary)
    : Loop(Loop), Dispatch(Dispatch), HostName(std::move(HostName)),
      OnReply(std::move(OnReply)), OnSummary(std::move(OnSummary)) {}

BackendLinks::~BackendLinks() = default;

void BackendLinks::setAddresses(
    std::unordered_map<BackendServerId, std::string> ByName) {
  Addresses = std::move(ByName);
}

void BackendLinks::carryOut(DispatchActions &Actions) {
  // Carrying out one action may append others, so the list is walked by index.
  for (size_t I = 0; I < Actions.size(); ++I) {
    DispatchAction Action = std::move(Actions[I]);
    std::visit([this](auto &One) { carryOut(One); }, Action);
  }
  Actions.clear();
}

BackendLinks::Link *BackendLinks::find(SchedulerId Scheduler,
                                       ConnectionId Connection) {
  auto It = Links.find({Scheduler.number(), Connection.number()});
  return It == Links.end() ? nullptr : It->second.get();
}

std::string BackendLinks::requestId(SchedulerId Scheduler,
                                    DispatchId Id) const {
  return HostName + "/" + std::to_string(Scheduler.number()) + "/" +
         std::to_string(Id.number());
}

void BackendLinks::carryOut(OpenConnection &Action) {
  auto L = std::make_shared<Link>();
  L->Scheduler = Action.Scheduler;
  L->Connection = Action.Connection;
  if (const BackendScheduler *Scheduler =
          Dispatch.scheduler(Action.Scheduler)) {
    auto It = Addresses.find(Scheduler->settings().Backend);
    if (It != Addresses.end())
      L->Address = It->second;
  }
  Links[{Action.Scheduler.number(), Action.Connection.number()}] = L;
  Loop.spawn([this, L] { runLink(L); });
}

void BackendLinks::carryOut(CloseConnection &Action) {
  Link *L = find(Action.Scheduler, Action.Connection);
  if (!L)
    return;
  L->Closed = true;
  if (L->Http)
    L->Http->close();
  L->Wake.set();
  Links.erase({Action.Scheduler.number(), Action.Connection.number()});
}

void BackendLinks::carryOut(SendSearch &Action) {
  if (Link *L = find(Action.Scheduler, Action.Connection))
    L->begin(Link::Kind::Search,
             {"POST", "/search",
              searchBody(Action, requestId(Action.Scheduler, Action.Id))});
}

void BackendLinks::carryOut(SendCancel &Action) {
  if (Link *L = find(Action.Scheduler, Action.Connection))
    L->begin(Link::Kind::Cancel,
             {"POST", "/cancel",
              "{\"request_id\":\"" + requestId(Action.Scheduler, Action.Id) +
                  "\"}"});
}

void BackendLinks::carryOut(PollStatus &Action) {
  if (Link *L = find(Action.Scheduler, Action.Connection))
    L->begin(Link::Kind::Status, {"GET", "/status", ""});
}

void BackendLinks::carryOut(SubRequestResult &Action) {
  OnReply(std::move(Action));
}

void BackendLinks::carryOut(SummaryChanged &Action) {
  OnSummary(Action.Scheduler);
}

template <typename Event>
void BackendLinks::report(const Link &L, Event &&Tell) {
  BackendScheduler *Scheduler = Dispatch.scheduler(L.Scheduler);
  if (!Scheduler)
    return;
  DispatchActions Actions;
  Tell(*Scheduler, Loop.now(), Actions);
  carryOut(Actions);
}

void BackendLinks::reportLost(Link &L) {
  if (L.Closed)
    return;
  Links.erase({L.Scheduler.number(), L.Connection.number()});
  report(L, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                DispatchActions &Out) {
    Scheduler.connectionLost(L.Connection, Now, Out);
  });
}

void BackendLinks::runLink(const std::shared_ptr<Link> &L) {
  auto Opened = HttpConnection::open(Loop, L->Address, ConnectTimeout);
  if (!ok(Opened)) {
    reportLost(*L);
    return;
  }
  L->Http = valueOf(std::move(Opened));
  if (L->Closed)
    return;
  report(*L, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                 DispatchActions &Out) {
    Scheduler.connectionOpened(L->Connection, Now, Out);
  });
  while (!L->Closed) {
    L->Wake.wait();
    L->Wake.clear();
    if (L->Closed || !L->Next)
      continue;
    if (!exchangeNext(*L)) {
      reportLost(*L);
      return;
    }
  }
}

bool BackendLinks::exchangeNext(Link &L) {
  Link::Exchange Now = std::move(*L.Next);
  L.Next.reset();
  Result<HttpResponse> Answer = L.Http->exchange(Now.Request, ExchangeTimeout);
  if (L.Closed)
    return true;
  if (!ok(Answer))
    return false;
  const HttpResponse &Response = valueOf(Answer);
  if (Now.Type == Link::Kind::Search) {
    report(L, [&](BackendScheduler &Scheduler, MonotonicTime At,
                  DispatchActions &Out) {
      Scheduler.searchReplied(L.Connection,
                              parseSearchReply(Response.Status, Response.Body),
                              At, Out);
    });
  } else if (Now.Type == Link::Kind::Cancel) {
    report(L, [&](BackendScheduler &Scheduler, MonotonicTime At,
                  DispatchActions &Out) {
      Scheduler.cancelReplied(L.Connection, At, Out);
    });
  } else {
    Result<StatusReport> Report = parseStatusReport(Response.Body);
    if (!ok(Report))
      return false;
    report(L, [&](BackendScheduler &Scheduler, MonotonicTime At,
                  DispatchActions &Out) {
      Scheduler.statusReplied(L.Connection, valueOf(std::move(Report)), At,
                              Out);
    });
  }
  return L.Http->isOpen();
}

} // namespace mimosa
