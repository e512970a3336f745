#include "daemon/backend_connections.h"

#include "daemon/backend_messages.h"

#include <optional>

namespace mimosa {

namespace {

constexpr Duration ConnectTimeout = Milliseconds(500);
// The scheduler closes connections that are silent or overdue; this only ends
// an exchange that it has lost sight of.
constexpr Duration ExchangeTimeout = Seconds(30);

} // namespace

struct BackendConnections::Connection {
  enum class Kind { Search, Cancel, Status };
  struct Exchange {
    Kind Type = Kind::Status;
    HttpRequest Request;
  };

  SchedulerId Scheduler;
  ConnectionId Id;
  std::string Address;
  std::unique_ptr<HttpConnection> Http;
  std::optional<Exchange> NextExchange;
  FiberEvent Wake;
  bool Closed = false;

  void startExchange(Kind Type, HttpRequest Request) {
    NextExchange = Exchange{Type, std::move(Request)};
    Wake.set();
  }
};

BackendConnections::BackendConnections(FiberLoop &Loop, Dispatcher &Dispatch,
                                       std::string HostName,
                                       ResultCallback OnResult,
                                       SummaryCallback OnSummaryChanged)
    : Loop(Loop), Dispatch(Dispatch), HostName(std::move(HostName)),
      OnResult(std::move(OnResult)),
      OnSummaryChanged(std::move(OnSummaryChanged)) {}

BackendConnections::~BackendConnections() = default;

void BackendConnections::setAddresses(
    std::unordered_map<BackendServerId, std::string> ByName) {
  Addresses = std::move(ByName);
}

void BackendConnections::carryOut(DispatchActions &Actions) {
  // Carrying out one action may append others, so the list is walked by index.
  for (size_t I = 0; I < Actions.size(); ++I) {
    DispatchAction Action = std::move(Actions[I]);
    std::visit([this](auto &Each) { carryOut(Each); }, Action);
  }
  Actions.clear();
}

BackendConnections::Connection *BackendConnections::find(SchedulerId Scheduler,
                                                         ConnectionId Id) {
  auto It = Connections.find({Scheduler.number(), Id.number()});
  return It == Connections.end() ? nullptr : It->second.get();
}

std::string BackendConnections::requestId(SchedulerId Scheduler,
                                          DispatchId Id) const {
  return HostName + "/" + std::to_string(Scheduler.number()) + "/" +
         std::to_string(Id.number());
}

void BackendConnections::carryOut(OpenConnection &Action) {
  auto C = std::make_shared<Connection>();
  C->Scheduler = Action.Scheduler;
  C->Id = Action.Connection;
  if (const BackendScheduler *Scheduler =
          Dispatch.scheduler(Action.Scheduler)) {
    auto It = Addresses.find(Scheduler->settings().Backend);
    if (It != Addresses.end())
      C->Address = It->second;
  }
  Connections[{Action.Scheduler.number(), Action.Connection.number()}] = C;
  Loop.spawn([this, C] { runConnection(C); });
}

void BackendConnections::carryOut(CloseConnection &Action) {
  Connection *C = find(Action.Scheduler, Action.Connection);
  if (!C)
    return;
  C->Closed = true;
  if (C->Http)
    C->Http->close();
  C->Wake.set();
  Connections.erase({Action.Scheduler.number(), Action.Connection.number()});
}

void BackendConnections::carryOut(SendSearch &Action) {
  if (Connection *C = find(Action.Scheduler, Action.Connection))
    C->startExchange(
        Connection::Kind::Search,
        {"POST", "/search",
         searchBody(Action, requestId(Action.Scheduler, Action.Id))});
}

void BackendConnections::carryOut(SendCancel &Action) {
  if (Connection *C = find(Action.Scheduler, Action.Connection))
    C->startExchange(Connection::Kind::Cancel,
                     {"POST", "/cancel",
                      "{\"request_id\":\"" +
                          requestId(Action.Scheduler, Action.Id) + "\"}"});
}

void BackendConnections::carryOut(PollStatus &Action) {
  if (Connection *C = find(Action.Scheduler, Action.Connection))
    C->startExchange(Connection::Kind::Status, {"GET", "/status", ""});
}

void BackendConnections::carryOut(SubRequestResult &Action) {
  OnResult(std::move(Action));
}

void BackendConnections::carryOut(SummaryChanged &Action) {
  OnSummaryChanged(Action.Scheduler);
}

template <typename Event>
void BackendConnections::notifyScheduler(const Connection &C, Event &&Notify) {
  BackendScheduler *Scheduler = Dispatch.scheduler(C.Scheduler);
  if (!Scheduler)
    return;
  DispatchActions Actions;
  Notify(*Scheduler, Loop.now(), Actions);
  carryOut(Actions);
}

void BackendConnections::reportConnectionLost(Connection &C) {
  if (C.Closed)
    return;
  Connections.erase({C.Scheduler.number(), C.Id.number()});
  notifyScheduler(C, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                         DispatchActions &Out) {
    Scheduler.connectionLost(C.Id, Now, Out);
  });
}

void BackendConnections::runConnection(const std::shared_ptr<Connection> &C) {
  auto Opened = HttpConnection::open(Loop, C->Address, ConnectTimeout);
  if (!ok(Opened)) {
    reportConnectionLost(*C);
    return;
  }
  C->Http = valueOf(std::move(Opened));
  if (C->Closed)
    return;
  notifyScheduler(*C, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                          DispatchActions &Out) {
    Scheduler.connectionOpened(C->Id, Now, Out);
  });
  while (!C->Closed) {
    C->Wake.wait();
    C->Wake.clear();
    if (C->Closed || !C->NextExchange)
      continue;
    if (!exchangeNext(*C)) {
      reportConnectionLost(*C);
      return;
    }
  }
}

bool BackendConnections::exchangeNext(Connection &C) {
  Connection::Exchange Current = std::move(*C.NextExchange);
  C.NextExchange.reset();
  Result<HttpResponse> Reply =
      C.Http->exchange(Current.Request, ExchangeTimeout);
  if (C.Closed)
    return true;
  if (!ok(Reply))
    return false;
  const HttpResponse &Response = valueOf(Reply);
  if (Current.Type == Connection::Kind::Search) {
    notifyScheduler(C, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                           DispatchActions &Out) {
      Scheduler.searchReplied(
          C.Id, parseSearchReply(Response.Status, Response.Body), Now, Out);
    });
  } else if (Current.Type == Connection::Kind::Cancel) {
    notifyScheduler(C, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                           DispatchActions &Out) {
      Scheduler.cancelReplied(C.Id, Now, Out);
    });
  } else {
    Result<StatusReport> Report = parseStatusReport(Response.Body);
    if (!ok(Report))
      return false;
    notifyScheduler(C, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                           DispatchActions &Out) {
      Scheduler.statusReplied(C.Id, valueOf(std::move(Report)), Now, Out);
    });
  }
  return C.Http->isOpen();
}

} // namespace mimosa
