// Claims of non-idempotent requests on this host: as the root of a request
// (ClaimClient) and as the claim owner of services (ClaimOwner).
//
//   ClaimDecision Decision = Claims.claim(Service, Key, Deadline); // suspends
//   Claims.settle(Decision.Ticket, Ran, Code, Answer);

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

  /// Sets the live hosts that serve \p Service, of which one is the claim
  /// owner.
  void setHosts(const ServiceId &Service, const std::vector<HostId> &LiveHosts);
  /// Number of live daemons, which share the call budget.
  void setHostCount(size_t Count);
  /// This host did not run for a while; another may have acted as owner.
  void onPause();

  /// Asks for the claim of \p Key; suspends the calling fiber.
  ClaimDecision claim(const ServiceId &Service, const RequestKey &Key,
                      MonotonicTime Deadline);
  /// Ends the use of a granted claim: releases it if the request did not run,
  /// else records the outcome.
  void settle(RequestId Ticket, bool NotRun, ResultCode Code,
              std::string Answer);

  /// False if the frame is not one of claims'.
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
  std::map<ServiceId, std::unique_ptr<ClaimOwner>> Owners;
  std::map<ServiceId, std::optional<HostId>> CurrentOwners;
  std::map<RequestId, PendingClaim *> Pending;
  ScopedTimer Ticks;
};

} // namespace mimosa

#endif // MIMOSA_DAEMON_CLAIM_DRIVER_H
