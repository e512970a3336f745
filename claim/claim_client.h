// The root's side of claims: gets a claim of the request key from the claim
// owner before a non-idempotent request is sent to any backend server. It
// performs no I/O; its caller carries out the returned actions.
//
//   RequestId Ticket = Client.begin(Service, Key, Owner, Deadline, Now);
//   perform(Client.takeActions());
//   ...
//   perform(Client.onReply(From, Reply, Now));
//
// Exactly one ClaimDecision follows for each ticket that is not cancelled.
// After Granted the request may run, once, in this process; then exactly one of
// recordOutcome() and release() must be called. After any other decision the
// request must not run.
//
// After a timeout or a change of the owner, the client repeats the request with
// the same nonce, so that the owner finds a grant whose reply was lost instead
// of granting the key again. A grant that arrives after another decision is
// released and never used. NotRun is decided only if the owner replied Refused
// (see ClaimVerdict), or if this root got the grant and released it.

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
  /// Another claim attempt holds the key. The execution of the caller's answer
  /// is that of ClaimDecision::Outcome, or `unknown`.
  AlreadyClaimed,
  /// The request did not run under this claim attempt, but may have run under
  /// an earlier one.
  Unknown,
  /// The claim was refused; the execution of the caller's answer is `not_run`.
  NotRun,
};

struct ClaimDecision {
  RequestId Ticket;
  ClaimDecisionKind Kind = ClaimDecisionKind::Unknown;
  /// The error to answer with, for all kinds but Granted.
  Error Reason;
  /// The outcome of the earlier request, for AlreadyClaimed if it is recorded.
  std::optional<ClaimOutcome> Outcome;
};

using ClaimClientAction =
    std::variant<SendClaimRequest, SendClaimSettlement, ClaimDecision>;
using ClaimClientActions = std::vector<ClaimClientAction>;

struct ClaimClientOptions {
  /// Time after which a request without a reply is repeated.
  Duration RequestTimeout = Milliseconds(300);
  /// Delay before the next request after a host was unreachable or replied
  /// that it is not the owner.
  Duration RetryDelay = Milliseconds(50);
  /// Time after a claim attempt ended in which a late grant is still released.
  Duration LateGrantWindow = Seconds(60);
  /// Limit of such claim attempts; the oldest are dropped first.
  size_t MaxUnusedClaims = 10000;
};

/// The claim attempts of one host, for all services. See the head of this file.
class ClaimClient {
public:
  ClaimClient(HostId Self, Incarnation SelfIncarnation,
              const ClaimClientOptions &Options);

  /// Starts a claim attempt and returns its ticket. \p Owner is empty if the
  /// service has no live host.
  RequestId begin(const ServiceId &Service, const RequestKey &Key,
                  const std::optional<HostId> &Owner, MonotonicTime Deadline,
                  MonotonicTime Now);

  /// Returns the actions of begin(), cancel(), release() and recordOutcome().
  ClaimClientActions takeActions();

  ClaimClientActions onReply(const HostId &From, const ClaimReply &Reply,
                             MonotonicTime Now);
  /// Handles a change of the claim owner of \p Service: claim attempts without
  /// a decision send their request to the new one.
  ClaimClientActions onOwnerChange(const ServiceId &Service,
                                   const std::optional<HostId> &Owner,
                                   MonotonicTime Now);
  /// Handles the failure to send a message to \p Host.
  ClaimClientActions onUnreachable(const HostId &Host, MonotonicTime Now);
  /// Must be called every 10 to 50 ms.
  ClaimClientActions onTick(MonotonicTime Now);

  /// Ends a claim attempt whose caller cancelled the request: no decision
  /// follows. No effect after the decision.
  void cancel(RequestId Ticket, MonotonicTime Now);

  /// Releases the claim of a granted request that did not run and will not.
  void release(RequestId Ticket);

  /// Reports the end of a granted request to the claim owner. \p Answer is the
  /// body of the caller's answer.
  void recordOutcome(RequestId Ticket, ResultCode Code, std::string Answer);

  /// Number of claim attempts without a decision.
  size_t waiting() const { return Pending.size(); }
  /// Number of grants that arrived after another decision.
  uint64_t lateGrants() const { return LateGrants; }

private:
  struct ClaimAttempt {
    ServiceId Service;
    RequestKey Key;
    /// The present claim owner, in this host's view.
    std::optional<HostId> Owner;
    /// The recipient of the last request; in InUse, the host that granted it.
    std::optional<HostId> Recipient;
    MonotonicTime Deadline;
    MonotonicTime RetryAt;
  };

  struct UnusedEntry {
    RequestId Ticket;
    MonotonicTime Since;
  };

  using Attempts = std::map<RequestId, ClaimAttempt>;

  void sendRequest(RequestId Ticket, ClaimAttempt &Attempt, MonotonicTime Now);
  void decide(Attempts::iterator It, ClaimDecision Decision);
  void endWithoutGrant(Attempts::iterator It, ClaimDecisionKind Kind,
                       ResultCode Code, bool SendRelease, MonotonicTime Now);
  void keepUnused(RequestId Ticket, const ClaimAttempt &Attempt,
                  MonotonicTime Now);
  void onGranted(Attempts::iterator It, const HostId &From, MonotonicTime Now);
  void onLateReply(const HostId &From, const ClaimReply &Reply);
  void onRefusal(Attempts::iterator It, const ClaimReply &Reply,
                 MonotonicTime Now);
  void sendSettlement(RequestId Ticket, const ClaimAttempt &Attempt,
                      const HostId &To, SettlementKind Kind,
                      ClaimOutcome Outcome);
  ClaimNonce nonce(RequestId Ticket) const;
  void dropOldUnused(MonotonicTime Now);

  const HostId Self;
  const Incarnation SelfIncarnation;
  const ClaimClientOptions Options;
  RequestId LastTicket;
  Attempts Pending;
  /// Granted claims, until recordOutcome() or release().
  Attempts InUse;
  /// Claim attempts that ended without use; a late grant of one is released.
  std::unordered_map<RequestId, ClaimAttempt> Unused;
  std::deque<UnusedEntry> UnusedByAge;
  uint64_t LateGrants = 0;
  ClaimClientActions Actions;
};

} // namespace mimosa

#endif // MIMOSA_CLAIM_CLAIM_CLIENT_H
