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
  Last = Last.next();
  Claim &C = Pending[Last];
  C = {Service, Key, Owner, std::nullopt, Deadline, Now};
  ask(Last, C, Now);
  return Last;
}

void ClaimClient::ask(RequestId Ticket, Claim &C, MonotonicTime Now) {
  C.AskAgain = Now + Options.AskTimeout;
  if (!C.Owner)
    return;
  C.Asked = C.Owner;
  ClaimRequest Request{C.Service, C.Key, nonce(Ticket), C.Deadline - Now};
  Actions.push_back(SendClaimRequest{*C.Owner, std::move(Request)});
}

void ClaimClient::settle(RequestId Ticket, const Claim &C, const HostId &To,
                         SettlementKind Kind, ClaimOutcome Outcome) {
  Actions.push_back(SendClaimSettlement{
      To, {C.Service, C.Key, nonce(Ticket), Kind, std::move(Outcome)}});
}

void ClaimClient::decide(Claims::iterator Found, ClaimDecision Decision) {
  Decision.Ticket = Found->first;
  Pending.erase(Found);
  Actions.push_back(std::move(Decision));
}

void ClaimClient::remember(RequestId Ticket, const Claim &C,
                           MonotonicTime Now) {
  Unused.emplace(Ticket, C);
  UnusedOrder.push_back({Ticket, Now});
  forgetOld(Now);
}

void ClaimClient::forgetOld(MonotonicTime Now) {
  while (!UnusedOrder.empty() &&
         (UnusedOrder.size() > Options.MostLateGrants ||
          Now - UnusedOrder.front().Since > Options.LateGrantWindow)) {
    Unused.erase(UnusedOrder.front().Ticket);
    UnusedOrder.pop_front();
  }
}

void ClaimClient::abandon(Claims::iterator Found, ClaimDecisionKind Kind,
                          ResultCode Code, bool Release, MonotonicTime Now) {
  const Claim &C = Found->second;
  remember(Found->first, C, Now);
  if (Release && C.Asked)
    settle(Found->first, C, *C.Asked, SettlementKind::Release, {});
  ClaimDecision Decision;
  Decision.Kind = Kind;
  Decision.Reason = {Code, "the request key of service " + C.Service.text() +
                               " was not claimed: " + resultCodeName(Code)};
  decide(Found, std::move(Decision));
}

ClaimClientActions ClaimClient::onReply(const HostId &From,
                                        const ClaimReply &Reply,
                                        MonotonicTime Now) {
  if (Reply.Nonce.Root != Self ||
      Reply.Nonce.RootIncarnation != SelfIncarnation)
    return {};
  auto Found = Pending.find(Reply.Nonce.Counter);
  if (Found == Pending.end()) {
    onLateReply(From, Reply);
    return takeActions();
  }
  // A refusal of a host that is no longer asked says nothing about the host
  // that is asked now.
  bool FromAsked = Found->second.Asked == From;
  switch (Reply.Verdict) {
  case ClaimVerdict::Granted:
    onGranted(Found, From, Now);
    break;
  case ClaimVerdict::AlreadyClaimed: {
    ClaimDecision Decision;
    Decision.Kind = ClaimDecisionKind::AlreadyClaimed;
    Decision.Reason = {ResultCode::AlreadyClaimed,
                       "the request key was claimed by an earlier request"};
    if (Reply.OutcomeKnown)
      Decision.Outcome = Reply.Outcome;
    remember(Found->first, Found->second, Now);
    decide(Found, std::move(Decision));
    break;
  }
  case ClaimVerdict::NotOwner:
    if (FromAsked)
      Found->second.AskAgain = Now + Options.RetryDelay;
    break;
  case ClaimVerdict::Refused:
  case ClaimVerdict::Unavailable:
  default:
    if (FromAsked)
      onRefusal(Found, Reply, Now);
    break;
  }
  return takeActions();
}

void ClaimClient::onGranted(Claims::iterator Found, const HostId &From,
                            MonotonicTime Now) {
  Found->second.Asked = From;
  if (Now >= Found->second.Deadline) {
    abandon(Found, ClaimDecisionKind::NotRun, ResultCode::DeadlineExceeded,
            true, Now);
    return;
  }
  Held.emplace(Found->first, Found->second);
  ClaimDecision Decision;
  Decision.Kind = ClaimDecisionKind::Granted;
  decide(Found, std::move(Decision));
}

void ClaimClient::onLateReply(const HostId &From, const ClaimReply &Reply) {
  if (Reply.Verdict != ClaimVerdict::Granted)
    return;
  auto Found = Unused.find(Reply.Nonce.Counter);
  if (Found == Unused.end())
    return;
  ++LateGrants;
  settle(Found->first, Found->second, From, SettlementKind::Release, {});
}

void ClaimClient::onRefusal(Claims::iterator Found, const ClaimReply &Reply,
                            MonotonicTime Now) {
  ClaimDecisionKind Kind = Reply.Verdict == ClaimVerdict::Refused
                               ? ClaimDecisionKind::NotRun
                               : ClaimDecisionKind::Unknown;
  ResultCode Code = Kind == ClaimDecisionKind::NotRun
                        ? static_cast<ResultCode>(Reply.Code)
                        : ResultCode::OutcomeUnknown;
  abandon(Found, Kind, Code, Reply.MayBeRecorded, Now);
}

ClaimClientActions
ClaimClient::onOwnerChange(const ServiceId &Service,
                           const std::optional<HostId> &Owner,
                           MonotonicTime Now) {
  for (auto &[Ticket, C] : Held)
    if (C.Service == Service)
      C.Owner = Owner;
  for (auto &[Ticket, C] : Pending) {
    if (C.Service != Service || C.Owner == Owner)
      continue;
    C.Owner = Owner;
    ask(Ticket, C, Now);
  }
  return takeActions();
}

ClaimClientActions ClaimClient::onUnreachable(const HostId &Host,
                                              MonotonicTime Now) {
  for (auto &[Ticket, C] : Pending)
    if (C.Asked == Host)
      C.AskAgain = std::min(C.AskAgain, Now + Options.RetryDelay);
  return takeActions();
}

ClaimClientActions ClaimClient::onTick(MonotonicTime Now) {
  forgetOld(Now);
  for (auto Each = Pending.begin(); Each != Pending.end();) {
    auto Found = Each++;
    if (Now >= Found->second.Deadline)
      abandon(Found, ClaimDecisionKind::Unknown, ResultCode::DeadlineExceeded,
              true, Now);
    else if (Now >= Found->second.AskAgain)
      ask(Found->first, Found->second, Now);
  }
  return takeActions();
}

void ClaimClient::cancel(RequestId Ticket, MonotonicTime Now) {
  auto Found = Pending.find(Ticket);
  if (Found == Pending.end())
    return;
  const Claim &C = Found->second;
  if (C.Asked)
    settle(Ticket, C, *C.Asked, SettlementKind::Release, {});
  remember(Ticket, C, Now);
  Pending.erase(Found);
}

void ClaimClient::release(RequestId Ticket) {
  auto Found = Held.find(Ticket);
  if (Found == Held.end())
    return;
  const Claim &C = Found->second;
  settle(Ticket, C, C.Owner.value_or(*C.Asked), SettlementKind::Release, {});
  Held.erase(Found);
}

void ClaimClient::recordOutcome(RequestId Ticket, ResultCode Code,
                                std::string Answer) {
  auto Found = Held.find(Ticket);
  if (Found == Held.end())
    return;
  const Claim &C = Found->second;
  settle(Ticket, C, C.Owner.value_or(*C.Asked), SettlementKind::Outcome,
         {static_cast<int>(Code), std::move(Answer)});
  Held.erase(Found);
}

} // namespace mimosa
