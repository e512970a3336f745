// The connections of this host to the backend servers of one service. Carries
// out the actions of a Dispatcher: one fiber per connection opens it, exchanges
// what the dispatcher sends on it and reports the outcome.
//
//   BackendLinks Links(Loop, Dispatch, OnReply, OnSummary);
//   DispatchActions Actions;
//   Dispatch.submit(Backend, Work, Loop.now(), Actions);
//   Links.carryOut(Actions);

#ifndef MIMOSA_DAEMON_BACKEND_LINKS_H
#define MIMOSA_DAEMON_BACKEND_LINKS_H

#include "dispatch/dispatcher.h"
#include "runtime/http.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace mimosa {

class BackendLinks {
public:
  using ReplyCallback = std::function<void(SubRequestResult)>;
  using SummaryCallback = std::function<void(SchedulerId)>;

  /// \p Dispatch must outlive this object. \p HostName begins the request ids
  /// that backend servers see. The callbacks must not suspend.
  BackendLinks(FiberLoop &Loop, Dispatcher &Dispatch, std::string HostName,
               ReplyCallback OnReply, SummaryCallback OnSummary);
  ~BackendLinks();

  /// Sets the addresses of the service's backend servers.
  void setAddresses(std::unordered_map<BackendServerId, std::string> ByName);

  /// Carries out \p Actions and all that follow from them at once.
  void carryOut(DispatchActions &Actions);

private:
  struct Link;
  using LinkKey = std::pair<uint32_t, uint64_t>;

  void carryOut(OpenConnection &Action);
  void carryOut(CloseConnection &Action);
  void carryOut(SendSearch &Action);
  void carryOut(SendCancel &Action);
  void carryOut(PollStatus &Action);
  void carryOut(SubRequestResult &Action);
  void carryOut(SummaryChanged &Action);

  Link *find(SchedulerId Scheduler, ConnectionId Connection);
  void runLink(const std::shared_ptr<Link> &L);
  bool exchangeNext(Link &L);
  void reportLost(Link &L);
  std::string requestId(SchedulerId Scheduler, DispatchId Id) const;
  template <typename Event> void report(const Link &L, Event &&Tell);

  FiberLoop &Loop;
  Dispatcher &Dispatch;
  std::string HostName;
  ReplyCallback OnReply;
  SummaryCallback OnSummary;
  std::unordered_map<BackendServerId, std::string> Addresses;
  std::map<LinkKey, std::shared_ptr<Link>> Links;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_BACKEND_LINKS_H
