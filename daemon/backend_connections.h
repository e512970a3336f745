// The connections of this host to the backend servers of one service. Performs
// the actions of a Dispatcher: each connection has a fiber that opens it, runs
// one exchange after the other on it and passes each result to its scheduler.
//
//   BackendConnections Connections(Loop, Dispatch, HostName, OnResult,
//                                  OnSummaryChanged);
//   DispatchActions Actions;
//   Dispatch.submit(Backend, std::move(Request), Loop.now(), Actions);
//   Connections.perform(Actions);

#ifndef MIMOSA_DAEMON_BACKEND_CONNECTIONS_H
#define MIMOSA_DAEMON_BACKEND_CONNECTIONS_H

#include "dispatch/dispatcher.h"
#include "runtime/http.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace mimosa {

class BackendConnections {
public:
  using ResultCallback = std::function<void(SubRequestResult)>;
  using SummaryCallback = std::function<void(SchedulerId)>;

  /// \p Dispatch must outlive this object. \p HostName is the prefix of the
  /// request ids that are sent to backend servers. \p OnResult is called for
  /// each result of a sub-request, \p OnSummaryChanged for each scheduler whose
  /// summary changed; they must not suspend.
  BackendConnections(FiberLoop &Loop, Dispatcher &Dispatch,
                     std::string HostName, ResultCallback OnResult,
                     SummaryCallback OnSummaryChanged);
  ~BackendConnections();

  /// Sets the addresses of the service's backend servers, for connections that
  /// are opened from now on.
  void setAddresses(std::unordered_map<BackendServerId, std::string> ByName);

  /// Performs \p Actions, and those that they cause, and clears the list.
  void perform(DispatchActions &Actions);

private:
  struct Connection;
  using ConnectionKey = std::pair<uint32_t, uint64_t>;

  void perform(OpenConnection &Action);
  void perform(CloseConnection &Action);
  void perform(SendSearch &Action);
  void perform(SendCancel &Action);
  void perform(PollStatus &Action);
  void perform(SubRequestResult &Action);
  void perform(SummaryChanged &Action);

  Connection *find(SchedulerId Scheduler, ConnectionId Id);
  void runConnection(const std::shared_ptr<Connection> &Conn);
  bool exchangeNext(Connection &Conn);
  void reportConnectionLost(Connection &Conn);
  std::string requestId(SchedulerId Scheduler, DispatchId Id) const;
  template <typename Event>
  void notifyScheduler(const Connection &Conn, Event &&Notify);

  FiberLoop &Loop;
  Dispatcher &Dispatch;
  std::string HostName;
  ResultCallback OnResult;
  SummaryCallback OnSummaryChanged;
  std::unordered_map<BackendServerId, std::string> Addresses;
  std::map<ConnectionKey, std::shared_ptr<Connection>> Connections;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_BACKEND_CONNECTIONS_H
