#include "claim/claim_client.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace mimosa {

std::optional<HostId> claimOwner(const ServiceId &Service,
                                 const std::vector<HostId> &LiveHosts) {
  std::string Key = "claims/" + Service.text();
  auto Less = [&](const HostId &A, const HostId &B) {
    uint64_t WeightA = rendezvousWeight(Key, A.text());
    uint64_t WeightB = rendezvousWeight(Key, B.text());
    return WeightA != WeightB ? WeightA < WeightB : A < B;
  };
  auto First = std::max_element(LiveHosts.begin(), LiveHosts.end(), Less);
  if (First == LiveHosts.end())
    return std::nullopt;
  return *First;
}

ClaimClient::ClaimClient(HostId Self, Incarnation SelfIncarnation,
                         const ClaimClientOptions &Options)
    : Self(std::move(Self)), SelfIncarnation(SelfIncarnation),
      Options(Options) {}

ClaimClientActions ClaimClient::takeActions() {
  return std::exchange(Actions, {});
}

ClaimNonce ClaimClient::nonce(RequestId Ticket) const {
  return {Self, SelfIncarnation, Ticket};
}

RequestId ClaimClient::begin(const ServiceId &Service, const RequestKey &Key,
                             const std::optional<HostId> &Owner,
                             MonotonicTime Deadline, MonotonicTime Now) {
  LastTicket = LastTicket.next();
  ClaimAttempt &Attempt = Pending[LastTicket];
  Attempt = {Service, Key, Owner, std::nullopt, Deadline, Now};
  sendRequest(LastTicket, Attempt, Now);
  return LastTicket;
}

void ClaimClient::sendRequest(RequestId Ticket, ClaimAttempt &Attempt,
                              MonotonicTime Now) {
  Attempt.RetryAt = Now + Options.RequestTimeout;
  if (!Attempt.Owner)
    return;
  Attempt.Recipient = Attempt.Owner;
  ClaimRequest Request{Attempt.Service, Attempt.Key, nonce(Ticket),
                       Attempt.Deadline - Now};
  Actions.push_back(SendClaimRequest{*Attempt.Owner, std::move(Request)});
}

void ClaimClient::sendSettlement(RequestId Ticket, const ClaimAttempt &Attempt,
                                 const HostId &To, SettlementKind Kind,
                                 ClaimOutcome Outcome) {
  Actions.push_back(SendClaimSettlement{
      To,
      {Attempt.Service, Attempt.Key, nonce(Ticket), Kind, std::move(Outcome)}});
}

void ClaimClient::decide(Attempts::iterator It, ClaimDecision Decision) {
  Decision.Ticket = It->first;
  Pending.erase(It);
  Actions.push_back(std::move(Decision));
}

void ClaimClient::keepUnused(RequestId Ticket, const ClaimAttempt &Attempt,
                             MonotonicTime Now) {
  Unused.emplace(Ticket, Attempt);
  UnusedByAge.push_back({Ticket, Now});
  dropOldUnused(Now);
}

void ClaimClient::dropOldUnused(MonotonicTime Now) {
  while (!UnusedByAge.empty() &&
         (UnusedByAge.size() > Options.MaxUnusedClaims ||
          Now - UnusedByAge.front().Since > Options.LateGrantWindow)) {
    Unused.erase(UnusedByAge.front().Ticket);
    UnusedByAge.pop_front();
  }
}

void ClaimClient::endWithoutGrant(Attempts::iterator It, ClaimDecisionKind Kind,
                                  ResultCode Code, bool SendRelease,
                                  MonotonicTime Now) {
  const ClaimAttempt &Attempt = It->second;
  keepUnused(It->first, Attempt, Now);
  if (SendRelease && Attempt.Recipient)
    sendSettlement(It->first, Attempt, *Attempt.Recipient,
                   SettlementKind::Release, {});
  ClaimDecision Decision;
  Decision.Kind = Kind;
  Decision.Reason = {Code, "the request key of service " +
                               Attempt.Service.text() +
                               " was not claimed: " + resultCodeName(Code)};
  decide(It, std::move(Decision));
}

ClaimClientActions ClaimClient::onReply(const HostId &From,
                                        const ClaimReply &Reply,
                                        MonotonicTime Now) {
  if (Reply.Nonce.Root != Self ||
      Reply.Nonce.RootIncarnation != SelfIncarnation)
    return {};
  auto It = Pending.find(Reply.Nonce.Counter);
  if (It == Pending.end()) {
    onLateReply(From, Reply);
    return takeActions();
  }
  // A refusal by an earlier recipient does not end the attempt, because the
  // present recipient may still grant the claim.
  bool FromRecipient = It->second.Recipient == From;
  switch (Reply.Verdict) {
  case ClaimVerdict::Granted:
    onGranted(It, From, Now);
    break;
  case ClaimVerdict::AlreadyClaimed: {
    ClaimDecision Decision;
    Decision.Kind = ClaimDecisionKind::AlreadyClaimed;
    Decision.Reason = {ResultCode::AlreadyClaimed,
                       "the request key was claimed by an earlier request"};
    if (Reply.OutcomeKnown)
      Decision.Outcome = Reply.Outcome;
    keepUnused(It->first, It->second, Now);
    decide(It, std::move(Decision));
    break;
  }
  case ClaimVerdict::NotOwner:
    if (FromRecipient)
      It->second.RetryAt = Now + Options.RetryDelay;
    break;
  case ClaimVerdict::Refused:
  case ClaimVerdict::Unavailable:
  default:
    if (FromRecipient)
      onRefusal(It, Reply, Now);
    break;
  }
  return takeActions();
}

void ClaimClient::onGranted(Attempts::iterator It, const HostId &From,
                            MonotonicTime Now) {
  It->second.Recipient = From;
  if (Now >= It->second.Deadline) {
    endWithoutGrant(It, ClaimDecisionKind::NotRun, ResultCode::DeadlineExceeded,
                    true, Now);
    return;
  }
  InUse.emplace(It->first, It->second);
  ClaimDecision Decision;
  Decision.Kind = ClaimDecisionKind::Granted;
  decide(It, std::move(Decision));
}

void ClaimClient::onLateReply(const HostId &From, const ClaimReply &Reply) {
  if (Reply.Verdict != ClaimVerdict::Granted)
    return;
  auto It = Unused.find(Reply.Nonce.Counter);
  if (It == Unused.end())
    return;
  ++LateGrants;
  sendSettlement(It->first, It->second, From, SettlementKind::Release, {});
}

void ClaimClient::onRefusal(Attempts::iterator It, const ClaimReply &Reply,
                            MonotonicTime Now) {
  ClaimDecisionKind Kind = Reply.Verdict == ClaimVerdict::Refused
                               ? ClaimDecisionKind::NotRun
                               : ClaimDecisionKind::Unknown;
  ResultCode Code = Kind == ClaimDecisionKind::NotRun
                        ? static_cast<ResultCode>(Reply.Code)
                        : ResultCode::OutcomeUnknown;
  endWithoutGrant(It, Kind, Code, Reply.MayBeRecorded, Now);
}

ClaimClientActions
ClaimClient::onOwnerChange(const ServiceId &Service,
                           const std::optional<HostId> &Owner,
                           MonotonicTime Now) {
  for (auto &[Ticket, Attempt] : InUse)
    if (Attempt.Service == Service)
      Attempt.Owner = Owner;
  for (auto &[Ticket, Attempt] : Pending) {
    if (Attempt.Service != Service || Attempt.Owner == Owner)
      continue;
    Attempt.Owner = Owner;
    sendRequest(Ticket, Attempt, Now);
  }
  return takeActions();
}

ClaimClientActions ClaimClient::onUnreachable(const HostId &Host,
                                              MonotonicTime Now) {
  for (auto &[Ticket, Attempt] : Pending)
    if (Attempt.Recipient == Host)
      Attempt.RetryAt = std::min(Attempt.RetryAt, Now + Options.RetryDelay);
  return takeActions();
}

ClaimClientActions ClaimClient::onTick(MonotonicTime Now) {
  dropOldUnused(Now);
  for (auto Each = Pending.begin(); Each != Pending.end();) {
    auto It = Each++;
    if (Now >= It->second.Deadline)
      endWithoutGrant(It, ClaimDecisionKind::Unknown,
                      ResultCode::DeadlineExceeded, true, Now);
    else if (Now >= It->second.RetryAt)
      sendRequest(It->first, It->second, Now);
  }
  return takeActions();
}

void ClaimClient::cancel(RequestId Ticket, MonotonicTime Now) {
  auto It = Pending.find(Ticket);
  if (It == Pending.end())
    return;
  const ClaimAttempt &Attempt = It->second;
  if (Attempt.Recipient)
    sendSettlement(Ticket, Attempt, *Attempt.Recipient, SettlementKind::Release,
                   {});
  keepUnused(Ticket, Attempt, Now);
  Pending.erase(It);
}

void ClaimClient::release(RequestId Ticket) {
  auto It = InUse.find(Ticket);
  if (It == InUse.end())
    return;
  const ClaimAttempt &Attempt = It->second;
  sendSettlement(Ticket, Attempt, Attempt.Owner.value_or(*Attempt.Recipient),
                 SettlementKind::Release, {});
  InUse.erase(It);
}

void ClaimClient::recordOutcome(RequestId Ticket, ResultCode Code,
                                std::string Answer) {
  auto It = InUse.find(Ticket);
  if (It == InUse.end())
    return;
  const ClaimAttempt &Attempt = It->second;
  sendSettlement(Ticket, Attempt, Attempt.Owner.value_or(*Attempt.Recipient),
                 SettlementKind::Outcome,
                 {static_cast<int>(Code), std::move(Answer)});
  InUse.erase(It);
}

} // namespace mimosa
