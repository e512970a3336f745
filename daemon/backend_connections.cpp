#include "daemon/backend_connections.h"

#include "daemon/backend_messages.h"

#include <optional>

namespace mimosa {

namespace {

constexpr Duration ConnectTimeout = Milliseconds(500);
// The scheduler closes connections that are silent or overdue. This limit is a
// safeguard for an exchange that the scheduler no longer tracks.
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

void BackendConnections::perform(DispatchActions &Actions) {
  // Performing an action may append others, so the loop runs by index.
  for (size_t I = 0; I < Actions.size(); ++I) {
    DispatchAction Action = std::move(Actions[I]);
    std::visit([this](auto &Each) { perform(Each); }, Action);
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

void BackendConnections::perform(OpenConnection &Action) {
  auto Conn = std::make_shared<Connection>();
  Conn->Scheduler = Action.Scheduler;
  Conn->Id = Action.Connection;
  if (const BackendScheduler *Scheduler =
          Dispatch.scheduler(Action.Scheduler)) {
    auto It = Addresses.find(Scheduler->settings().Backend);
    if (It != Addresses.end())
      Conn->Address = It->second;
  }
  Connections[{Action.Scheduler.number(), Action.Connection.number()}] = Conn;
  Loop.spawn([this, Conn] { runConnection(Conn); });
}

void BackendConnections::perform(CloseConnection &Action) {
  Connection *Conn = find(Action.Scheduler, Action.Connection);
  if (!Conn)
    return;
  Conn->Closed = true;
  if (Conn->Http)
    Conn->Http->close();
  Conn->Wake.set();
  Connections.erase({Action.Scheduler.number(), Action.Connection.number()});
}

void BackendConnections::perform(SendSearch &Action) {
  if (Connection *Conn = find(Action.Scheduler, Action.Connection))
    Conn->startExchange(
        Connection::Kind::Search,
        {"POST", "/search",
         searchBody(Action, requestId(Action.Scheduler, Action.Id))});
}

void BackendConnections::perform(SendCancel &Action) {
  if (Connection *Conn = find(Action.Scheduler, Action.Connection))
    Conn->startExchange(Connection::Kind::Cancel,
                        {"POST", "/cancel",
                         "{\"request_id\":\"" +
                             requestId(Action.Scheduler, Action.Id) + "\"}"});
}

void BackendConnections::perform(PollStatus &Action) {
  if (Connection *Conn = find(Action.Scheduler, Action.Connection))
    Conn->startExchange(Connection::Kind::Status, {"GET", "/status", ""});
}

void BackendConnections::perform(SubRequestResult &Action) {
  OnResult(std::move(Action));
}

void BackendConnections::perform(SummaryChanged &Action) {
  OnSummaryChanged(Action.Scheduler);
}

template <typename Event>
void BackendConnections::notifyScheduler(const Connection &Conn,
                                         Event &&Notify) {
  BackendScheduler *Scheduler = Dispatch.scheduler(Conn.Scheduler);
  if (!Scheduler)
    return;
  DispatchActions Actions;
  Notify(*Scheduler, Loop.now(), Actions);
  perform(Actions);
}

void BackendConnections::reportConnectionLost(Connection &Conn) {
  if (Conn.Closed)
    return;
  Connections.erase({Conn.Scheduler.number(), Conn.Id.number()});
  notifyScheduler(Conn, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                            DispatchActions &Out) {
    Scheduler.connectionLost(Conn.Id, Now, Out);
  });
}

void BackendConnections::runConnection(
    const std::shared_ptr<Connection> &Conn) {
  auto Opened = HttpConnection::open(Loop, Conn->Address, ConnectTimeout);
  if (!ok(Opened)) {
    reportConnectionLost(*Conn);
    return;
  }
  Conn->Http = valueOf(std::move(Opened));
  if (Conn->Closed)
    return;
  notifyScheduler(*Conn, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                             DispatchActions &Out) {
    Scheduler.connectionOpened(Conn->Id, Now, Out);
  });
  while (!Conn->Closed) {
    Conn->Wake.wait();
    Conn->Wake.clear();
    if (Conn->Closed || !Conn->NextExchange)
      continue;
    if (!exchangeNext(*Conn)) {
      reportConnectionLost(*Conn);
      return;
    }
  }
}

bool BackendConnections::exchangeNext(Connection &Conn) {
  Connection::Exchange Current = std::move(*Conn.NextExchange);
  Conn.NextExchange.reset();
  Result<HttpResponse> Reply =
      Conn.Http->exchange(Current.Request, ExchangeTimeout);
  if (Conn.Closed)
    return true;
  if (!ok(Reply))
    return false;
  const HttpResponse &Response = valueOf(Reply);
  if (Current.Type == Connection::Kind::Search) {
    notifyScheduler(Conn, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                              DispatchActions &Out) {
      Scheduler.searchReplied(
          Conn.Id, parseSearchReply(Response.Status, Response.Body), Now, Out);
    });
  } else if (Current.Type == Connection::Kind::Cancel) {
    notifyScheduler(Conn, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                              DispatchActions &Out) {
      Scheduler.cancelReplied(Conn.Id, Now, Out);
    });
  } else {
    Result<StatusReport> Report = parseStatusReport(Response.Body);
    if (!ok(Report))
      return false;
    notifyScheduler(Conn, [&](BackendScheduler &Scheduler, MonotonicTime Now,
                              DispatchActions &Out) {
      Scheduler.statusReplied(Conn.Id, valueOf(std::move(Report)), Now, Out);
    });
  }
  return Conn.Http->isOpen();
}

} // namespace mimosa
