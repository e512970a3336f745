#include "claim/claim_owner.h"

#include <algorithm>
#include <utility>

namespace mimosa {

ClaimOwner::ClaimOwner(ServiceId Service, HostId Self,
                       Incarnation SelfIncarnation,
                       StoreRateLimiter &StoreLimiter,
                       const ClaimOwnerOptions &Options)
    : Service(std::move(Service)), Self(std::move(Self)),
      SelfIncarnation(SelfIncarnation), StoreLimiter(StoreLimiter),
      Options(Options), Answers(Options.MaxAnswerBytes),
      RetryDelay(Options.RetryDelay) {}

void ClaimOwner::setWallClock(int64_t WallMs, MonotonicTime Now) {
  ClockMs = WallMs;
  ClockSet = Now;
}

int64_t ClaimOwner::wallMs(MonotonicTime Now) const {
  return ClockMs + inMilliseconds(Now - ClockSet);
}

ClaimOwnerActions ClaimOwner::takeActions() {
  return std::exchange(Actions, {});
}

ClaimOwnerActions ClaimOwner::start(MonotonicTime Now) {
  if (Phase == PhaseKind::Stopped) {
    beginLoad(Now);
    advance(Now);
  }
  return takeActions();
}

ClaimOwnerActions ClaimOwner::stop() {
  requeueBatch();
  for (const QueuedClaim &Claim : Queue)
    sendReply(Claim, makeReply(Claim, ClaimVerdict::NotOwner));
  Queue.clear();
  AttemptsPerKey.clear();
  Releases.clear();
  Outcomes.clear();
  Log.clear();
  Answers.clear();
  Phase = PhaseKind::Stopped;
  Synced = false;
  // The new epoch makes the replies to calls in flight be ignored. If such a
  // call still creates a record, the next owner finds it when it loads the log.
  ++Epoch;
  return takeActions();
}

ClaimOwnerActions ClaimOwner::onRequest(const ClaimRequest &Request,
                                        MonotonicTime Now) {
  QueuedClaim Claim;
  Claim.Request = Request;
  Claim.Pair = {digestOf(Request.Key.text()), digestOf(Request.Nonce)};
  Claim.Arrived = Now;
  Claim.Expires =
      Now + std::clamp(Request.Remaining, Duration(0), Options.MaxWait);
  if (Phase == PhaseKind::Stopped) {
    sendReply(Claim, makeReply(Claim, ClaimVerdict::NotOwner));
    return takeActions();
  }
  if (QueuedClaim *Duplicate = findClaim(Claim.Pair)) {
    Duplicate->Expires = Claim.Expires;
    Duplicate->Answered = false;
    return takeActions();
  }
  ++AttemptsPerKey[Claim.Pair.Key];
  if (Phase == PhaseKind::Ready && tryAnswer(Claim, Now)) {
    removeAttempt(Claim);
    return takeActions();
  }
  if (Queue.size() >= Options.MaxQueueLength) {
    refuse(Claim, ResultCode::Overloaded, false);
    removeAttempt(Claim);
    return takeActions();
  }
  Queue.push_back(std::move(Claim));
  if (Phase == PhaseKind::Ready)
    writeNextBatch(Now);
  return takeActions();
}

ClaimOwnerActions ClaimOwner::onSettlement(ClaimSettlement Settlement,
                                           MonotonicTime Now) {
  if (Phase != PhaseKind::Stopped) {
    ClaimPair Pair{digestOf(Settlement.Key.text()), digestOf(Settlement.Nonce)};
    if (Settlement.Kind == SettlementKind::Release)
      applyRelease(Pair, Now);
    else
      applyOutcome(Pair, std::move(Settlement.Outcome));
    advance(Now);
  }
  return takeActions();
}

ClaimOwnerActions ClaimOwner::onTick(MonotonicTime Now) {
  advance(Now);
  return takeActions();
}

void ClaimOwner::advance(MonotonicTime Now) {
  if (Phase == PhaseKind::Stopped)
    return;
  if (Phase == PhaseKind::Ready) {
    answerQueue(Now);
    writeNextBatch(Now);
  }
  if (Phase == PhaseKind::Loading)
    loadNextPage(Now);
  expireRequests(Now);
  if (Phase == PhaseKind::Ready)
    removeExpiredRecord(Now);
}

bool ClaimOwner::tryAcquireCall(StoreCallKind Kind, MonotonicTime Oldest,
                                MonotonicTime Now) {
  if (Now - Oldest < Options.MaxCollectTime)
    return StoreLimiter.tryAcquire(Kind, Now);
  StoreLimiter.acquireIntoDebt(Kind, Now);
  return true;
}

void ClaimOwner::backOff(MonotonicTime Now) {
  RetryAt = Now + RetryDelay;
  RetryDelay = std::min(2 * RetryDelay, Options.MaxRetryDelay);
}

void ClaimOwner::recordSuccess(MonotonicTime Now) {
  StoreDown = false;
  RetryDelay = Options.RetryDelay;
  LastReply = Now;
}

// Loading.

void ClaimOwner::beginLoad(MonotonicTime Now) {
  requeueBatch();
  ++Epoch;
  Phase = PhaseKind::Loading;
  Log.clear();
  LoadAfter.clear();
  LoadStarted = Now;
  RetryAt = Now;
  ListInFlight = false;
  RemovalInFlight = false;
  Synced = false;
}

void ClaimOwner::loadNextPage(MonotonicTime Now) {
  if (ListInFlight || Now < RetryAt ||
      !tryAcquireCall(StoreCallKind::List, LoadStarted, Now))
    return;
  ListInFlight = true;
  Actions.push_back(ListClaimRecords{Epoch, claimPrefix(Service), LoadAfter});
}

ClaimOwnerActions
ClaimOwner::onListed(uint64_t ReplyEpoch,
                     const Result<std::vector<StoredEntry>> &Reply,
                     MonotonicTime Now) {
  if (ReplyEpoch != Epoch)
    return {};
  ListInFlight = false;
  if (!ok(Reply)) {
    backOff(Now);
  } else if (valueOf(Reply).empty()) {
    recordSuccess(Now);
    Phase = PhaseKind::Ready;
    Synced = true;
  } else if (applyPage(valueOf(Reply))) {
    recordSuccess(Now);
  } else {
    beginLoad(Now);
    RetryAt = Now + Options.BadRecordDelay;
  }
  advance(Now);
  return takeActions();
}

bool ClaimOwner::applyPage(const std::vector<StoredEntry> &Page) {
  for (const StoredEntry &Entry : Page) {
    std::optional<uint64_t> Sequence = claimSequence(Service, Entry.Key);
    if (!Sequence || !applyStored(*Sequence, Entry.Stored.Value))
      return false;
  }
  LoadAfter = Page.back().Key;
  return true;
}

bool ClaimOwner::applyStored(uint64_t Sequence, const std::string &Text) {
  Result<ClaimRecord> Record = parseClaimRecord(Text);
  if (ok(Record) && Log.append(Sequence, valueOf(Record)))
    return true;
  ++Counters.BadRecords;
  return false;
}

// Answering.

ClaimReply ClaimOwner::makeReply(const QueuedClaim &Claim,
                                 ClaimVerdict Verdict) const {
  ClaimReply Reply;
  Reply.Service = Service;
  Reply.Nonce = Claim.Request.Nonce;
  Reply.Verdict = Verdict;
  return Reply;
}

void ClaimOwner::sendReply(const QueuedClaim &Claim, ClaimReply Reply) {
  switch (Reply.Verdict) {
  case ClaimVerdict::NotOwner:
    break;
  case ClaimVerdict::Granted:
    ++Counters.Granted;
    break;
  case ClaimVerdict::AlreadyClaimed:
    ++Counters.AlreadyClaimed;
    break;
  case ClaimVerdict::Refused:
    ++Counters.Refused;
    break;
  case ClaimVerdict::Unavailable:
    ++Counters.Unavailable;
    break;
  }
  Actions.push_back(SendClaimReply{Claim.Request.Nonce.Root, std::move(Reply)});
}

void ClaimOwner::refuse(const QueuedClaim &Claim, ResultCode Code,
                        bool MayBeRecorded) {
  // Refused would be wrong if another attempt with the same key can still be
  // granted, by this owner or by one that finds the claim in the log.
  bool OnlyAttempt = AttemptsPerKey[Claim.Pair.Key] <= 1;
  ClaimVerdict Verdict =
      Synced && OnlyAttempt ? ClaimVerdict::Refused : ClaimVerdict::Unavailable;
  ClaimReply Refusal = makeReply(Claim, Verdict);
  Refusal.Code = static_cast<int>(Code);
  Refusal.MayBeRecorded = MayBeRecorded;
  sendReply(Claim, std::move(Refusal));
}

bool ClaimOwner::answerFromLog(const QueuedClaim &Claim) {
  const ClaimState *State = Log.find(Claim.Pair.Key);
  if (!State)
    return false;
  bool OwnClaim = State->Nonce == Claim.Pair.Nonce;
  if (State->Released) {
    if (OwnClaim)
      refuse(Claim, ResultCode::Cancelled, false);
    return OwnClaim;
  }
  if (releasePending({Claim.Pair.Key, State->Nonce}))
    return false;
  ClaimReply Answer = makeReply(Claim, OwnClaim && State->Code < 0
                                           ? ClaimVerdict::Granted
                                           : ClaimVerdict::AlreadyClaimed);
  if (State->Code >= 0) {
    Answer.OutcomeKnown = true;
    Answer.Outcome = {State->Code, Answers.find(State->Nonce)};
  }
  sendReply(Claim, std::move(Answer));
  return true;
}

bool ClaimOwner::tryAnswer(const QueuedClaim &Claim, MonotonicTime Now) {
  if (answerFromLog(Claim))
    return true;
  bool Unwritable = StoreDown && Now < RetryAt;
  if (!Unwritable && Log.size() < Options.MaxKeys)
    return false;
  refuse(Claim,
         Unwritable ? ResultCode::StoreUnavailable : ResultCode::Overloaded,
         false);
  return true;
}

void ClaimOwner::answerQueue(MonotonicTime Now) {
  std::deque<QueuedClaim> Remaining;
  for (QueuedClaim &Claim : Queue) {
    if (tryAnswer(Claim, Now))
      removeAttempt(Claim);
    else
      Remaining.push_back(std::move(Claim));
  }
  Queue.swap(Remaining);
}

void ClaimOwner::expireRequests(MonotonicTime Now) {
  if (CurrentBatch)
    for (QueuedClaim &Claim : CurrentBatch->Claims)
      if (!Claim.Answered && Now >= Claim.Expires) {
        refuse(Claim, ResultCode::StoreUnavailable, true);
        Claim.Answered = true;
      }
  std::deque<QueuedClaim> Remaining;
  for (QueuedClaim &Claim : Queue) {
    if (Now < Claim.Expires) {
      Remaining.push_back(std::move(Claim));
      continue;
    }
    refuse(Claim, ResultCode::StoreUnavailable, false);
    removeAttempt(Claim);
  }
  Queue.swap(Remaining);
}

ClaimOwner::QueuedClaim *ClaimOwner::findClaim(const ClaimPair &Pair) {
  if (AttemptsPerKey.find(Pair.Key) == AttemptsPerKey.end())
    return nullptr;
  for (QueuedClaim &Claim : Queue)
    if (Claim.Pair.Nonce == Pair.Nonce)
      return &Claim;
  if (CurrentBatch)
    for (QueuedClaim &Claim : CurrentBatch->Claims)
      if (Claim.Pair.Nonce == Pair.Nonce)
        return &Claim;
  return nullptr;
}

void ClaimOwner::removeAttempt(const QueuedClaim &Claim) {
  auto Found = AttemptsPerKey.find(Claim.Pair.Key);
  if (Found != AttemptsPerKey.end() && --Found->second == 0)
    AttemptsPerKey.erase(Found);
}

} // namespace mimosa
