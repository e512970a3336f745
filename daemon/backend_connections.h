// The connections of this host to the backend servers of one service. Carries
// out the actions of a Dispatcher: one fiber per connection opens it, exchanges
// what the dispatcher sends on it and reports the outcome.
//
//   BackendConnections Connections(Loop, Dispatch, OnResult, OnSummaryChanged);
//   DispatchActions Actions;
//   Dispatch.submit(Backend, Work, Loop.now(), Actions);
//   Connections.carryOut(Actions);

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

  /// \p Dispatch must outlive this object. \p HostName begins the request ids
  /// that backend servers see. The callbacks must not suspend.
  BackendConnections(FiberLoop &Loop, Dispatcher &Dispatch,
                     std::string HostName, ResultCallback OnResult,
                     SummaryCallback OnSummaryChanged);
  ~BackendConnections();

  /// Sets the addresses of the service's backend servers.
  void setAddresses(std::unordered_map<BackendServerId, std::string> ByName);

  /// Carries out \p Actions and all that follow from them at once.
  void carryOut(DispatchActions &Actions);

private:
  struct Connection;
  using ConnectionKey = std::pair<uint32_t, uint64_t>;

  void carryOut(OpenConnection &Action);
  void carryOut(CloseConnection &Action);
  void carryOut(SendSearch &Action);
  void carryOut(SendCancel &Action);
  void carryOut(PollStatus &Action);
  void carryOut(SubRequestResult &Action);
  void carryOut(SummaryChanged &Action);

  Connection *find(SchedulerId Scheduler, ConnectionId Id);
  void runConnection(const std::shared_ptr<Connection> &C);
  bool exchangeNext(Connection &C);
  void reportConnectionLost(Connection &C);
  std::string requestId(SchedulerId Scheduler, DispatchId Id) const;
  template <typename Event>
  void notifyScheduler(const Connection &C, Event &&Notify);

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
