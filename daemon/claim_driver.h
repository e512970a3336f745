// Claims request keys for the non-idempotent requests of which this host is the
// root (ClaimClient), and grants them for the services of which it is the claim
// owner (ClaimOwner). Performs the actions of these classes.
//
//   ClaimDecision Decision = Claims.claim(Service, Key, Deadline); // suspends
//   if (Decision.Kind == ClaimDecisionKind::Granted) {
//     ...                                         // run the request
//     Claims.settle(Decision.Ticket, NotRun, Code, Answer);
//   }

#ifndef MIMOSA_DAEMON_CLAIM_DRIVER_H
#define MIMOSA_DAEMON_CLAIM_DRIVER_H

#include "claim/claim_client.h"
#include "claim/claim_owner.h"
#include "daemon/node_context.h"
#include "platform/key_value_store.h"

#include <memory>

namespace mimosa {

class ClaimDriver {
public:
  ClaimDriver(NodeContext &Context, KeyValueStore &Store);
  ~ClaimDriver();

  /// Sets the live hosts that serve \p Service. One of them is its claim owner.
  void setHosts(const ServiceId &Service, const std::vector<HostId> &LiveHosts);
  /// Sets the number of hosts that share the rate limits of the key-value
  /// service.
  void setHostCount(size_t Count);
  /// To be called after a pause of this process, during which another host may
  /// have become the claim owner.
  void onPause();

  /// Requests the claim of \p Key from the claim owner; suspends the calling
  /// fiber until the decision.
  ClaimDecision claim(const ServiceId &Service, const RequestKey &Key,
                      MonotonicTime Deadline);
  /// Releases a granted claim if the request did not run, else records the
  /// outcome of the request.
  void settle(RequestId Ticket, bool NotRun, ResultCode Code,
              std::string Answer);

  /// Handles the frames of claims; false for any other type.
  bool handleFrame(const PeerFrame &Frame);
  void onHostUnreachable(const HostId &Host);

private:
  struct PendingClaim;

  void perform(ClaimClientActions Actions);
  void perform(const ServiceId &Service, ClaimOwnerActions Actions);
  void sendRequest(const HostId &To, const ClaimRequest &Message);
  void sendSettlement(const HostId &To, const ClaimSettlement &Message);
  void sendReply(const HostId &To, const ClaimReply &Message);
  void listRecords(const ServiceId &Service, const ListClaimRecords &Action);
  void createRecord(const ServiceId &Service, const CreateClaimRecord &Action);
  void removeRecord(const ServiceId &Service, const RemoveClaimRecord &Action);
  ClaimOwner &localOwner(const ServiceId &Service);
  void tick();
  MonotonicTime now() const { return Context.Loop.now(); }

  NodeContext &Context;
  KeyValueStore &Store;
  StoreRateLimiter StoreLimiter;
  ClaimClient Client;
  std::map<ServiceId, std::unique_ptr<ClaimOwner>> LocalOwners;
  /// The claim owner of each service; empty if none of its hosts is alive.
  std::map<ServiceId, std::optional<HostId>> CurrentOwners;
  std::map<RequestId, PendingClaim *> Pending;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_CLAIM_DRIVER_H
