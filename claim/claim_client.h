// The root's side of claims: asks the claim owner before a non-idempotent
// request is sent to any backend server.
//
//   RequestId Ticket = Client.begin(Service, Key, Owner, Deadline, Now);
//   perform(Client.takeActions());
//   ...
//   perform(Client.onReply(From, Reply, Now));
//
// Exactly one ClaimDecision follows for each ticket. After Granted the request
// may run, once, in this process; then exactly one of recordOutcome() and
// release() is called. After any other decision the request must not run.
//
// The client asks again with the same nonce after a timeout or a change of the
// owner, so that a grant whose reply was lost is found instead of granted anew.
// A grant that arrives after the decision was another is released and never
// used. `not_run` is decided only if the owner knows of no grant of the key, or
// if this root held the grant and released it.

#ifndef MIMOSA_CLAIM_CLAIM_CLIENT_H
#define MIMOSA_CLAIM_CLAIM_CLIENT_H

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "claim/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mimosa {

/// The claim owner of \p Service: the first of \p LiveHosts, the live hosts of
/// its host set, by rendezvous hashing; nothing if there is none.
std::optional<HostId> claimOwner(const ServiceId &Service,
                                 const std::vector<HostId> &LiveHosts);

struct SendClaimRequest {
  HostId To;
  ClaimRequest Request;
};

struct SendClaimSettlement {
  HostId To;
  ClaimSettlement Settlement;
};

enum class ClaimDecisionKind {
  /// This process may run the request once.
  Granted,
  /// Another attempt holds the key; see Outcome. Execution is that of the
  /// outcome, or `unknown`.
  AlreadyClaimed,
  /// Nothing ran under this attempt, but an earlier one may have run.
  Unknown,
  /// Refused; execution is `not_run`.
  NotRun,
};

struct ClaimDecision {
  RequestId Ticket;
  ClaimDecisionKind Kind = ClaimDecisionKind::Unknown;
  /// Why, for Unknown and NotRun; AlreadyClaimed for AlreadyClaimed.
  Error Reason;
  /// With AlreadyClaimed, if it is known.
  std::optional<ClaimOutcome> Outcome;
};

using ClaimClientAction =
    std::variant<SendClaimRequest, SendClaimSettlement, ClaimDecision>;
using ClaimClientActions = std::vector<ClaimClientAction>;

struct ClaimClientOptions {
  /// Time after which an owner that has not replied is asked again.
  Duration AskTimeout = Milliseconds(300);
  /// Delay after a host replied that it is not the owner or was unreachable.
  Duration RetryDelay = Milliseconds(50);
  /// Time for which a late grant is released, and the number of such nonces.
  Duration LateGrantWindow = Seconds(60);
  size_t MostLateGrants = 10000;
};

/// The claims of one host, for all services.
class ClaimClient {
public:
  ClaimClient(HostId Self, Incarnation SelfIncarnation,
              const ClaimClientOptions &Options);

  /// Starts a claim. \p Owner may be empty if no live host is known.
  RequestId begin(const ServiceId &Service, const RequestKey &Key,
                  const std::optional<HostId> &Owner, MonotonicTime Deadline,
                  MonotonicTime Now);

  /// Actions of begin(), cancel(), release() and recordOutcome().
  ClaimClientActions takeActions();

  ClaimClientActions onReply(const HostId &From, const ClaimReply &Reply,
                             MonotonicTime Now);
  /// The claim owner of \p Service changed; claims that wait ask the new one.
  ClaimClientActions onOwnerChange(const ServiceId &Service,
                                   const std::optional<HostId> &Owner,
                                   MonotonicTime Now);
  /// A message to \p Host could not be sent.
  ClaimClientActions onUnreachable(const HostId &Host, MonotonicTime Now);
  /// To be called every 10 to 50 ms.
  ClaimClientActions onTick(MonotonicTime Now);

  /// The caller gave up while the claim waits: there will be no decision. No
  /// effect after the decision.
  void cancel(RequestId Ticket, MonotonicTime Now);

  /// The granted request did not run and will not.
  void release(RequestId Ticket);

  /// The granted request ended. \p Answer is the body of the caller's answer.
  void recordOutcome(RequestId Ticket, ResultCode Code, std::string Answer);

  /// Claims without a decision.
  size_t waiting() const { return Pending.size(); }
  /// Grants that came after the decision was another.
  uint64_t lateGrants() const { return LateGrants; }

private:
  struct Claim {
    ServiceId Service;
    RequestKey Key;
    /// The owner that this host knows of.
    std::optional<HostId> Owner;
    /// The host that was asked last.
    std::optional<HostId> Asked;
    MonotonicTime Deadline;
    MonotonicTime AskAgain;
  };

  struct Abandoned {
    RequestId Ticket;
    MonotonicTime Since;
  };

  using Claims = std::map<RequestId, Claim>;

  void ask(RequestId Ticket, Claim &C, MonotonicTime Now);
  void decide(Claims::iterator Found, ClaimDecision Decision);
  void abandon(Claims::iterator Found, ClaimDecisionKind Kind, ResultCode Code,
               bool Release, MonotonicTime Now);
  void remember(RequestId Ticket, const Claim &C, MonotonicTime Now);
  void onGranted(Claims::iterator Found, const HostId &From, MonotonicTime Now);
  void onLateReply(const HostId &From, const ClaimReply &Reply);
  void onRefusal(Claims::iterator Found, const ClaimReply &Reply,
                 MonotonicTime Now);
  void settle(RequestId Ticket, const Claim &C, const HostId &To,
              SettlementKind Kind, ClaimOutcome Outcome);
  ClaimNonce nonce(RequestId Ticket) const;
  void forgetOld(MonotonicTime Now);

  const HostId Self;
  const Incarnation SelfIncarnation;
  const ClaimClientOptions Options;
  RequestId Last;
  Claims Pending;
  /// Claims in use; Asked is the host that granted them.
  Claims Held;
  /// Claims that ended without use; a grant of theirs is released.
  std::unordered_map<RequestId, Claim> Unused;
  std::deque<Abandoned> UnusedOrder;
  uint64_t LateGrants = 0;
  ClaimClientActions Actions;
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_CLIENT_H
