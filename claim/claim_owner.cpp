#include "claim/claim_owner.h"

#include <algorithm>
#include <utility>

namespace mimosa {

ClaimOwner::ClaimOwner(ServiceId Service, HostId Self,
                       Incarnation SelfIncarnation, StoreRateLimiter &Budget,
                       const ClaimOwnerOptions &Options)
    : Service(std::move(Service)), Self(std::move(Self)),
      SelfIncarnation(SelfIncarnation), Budget(Budget), Options(Options),
      Answers(Options.MostAnswerBytes), RetryDelay(Options.RetryDelay) {}

void ClaimOwner::setWallClock(int64_t WallMs, MonotonicTime Now) {
  ClockMs = WallMs;
  ClockSet = Now;
}

int64_t ClaimOwner::wallMs(MonotonicTime Now) const {
  return ClockMs + inMilliseconds(Now - ClockSet);
}

ClaimOwnerActions ClaimOwner::take() { return std::exchange(Actions, {}); }

ClaimOwnerActions ClaimOwner::start(MonotonicTime Now) {
  if (Phase == PhaseKind::Stopped) {
    beginLoad(Now);
    advance(Now);
  }
  return take();
}

ClaimOwnerActions ClaimOwner::stop() {
  requeueBatch();
  for (const Waiting &W : Queue)
    reply(W, replyTo(W, ClaimVerdict::NotOwner));
  Queue.clear();
  Pending.clear();
  Releases.clear();
  Outcomes.clear();
  Log.clear();
  Answers.clear();
  Phase = PhaseKind::Stopped;
  Synced = false;
  // Replies to calls that are still under way are ignored by their epoch. A
  // record that is created after all is found by whoever loads the log.
  ++Epoch;
  return take();
}

ClaimOwnerActions ClaimOwner::onRequest(const ClaimRequest &Request,
                                        MonotonicTime Now) {
  Waiting W;
  W.Request = Request;
  W.Pair = {digestOf(Request.Key.text()), digestOf(Request.Nonce)};
  W.Arrived = Now;
  W.Expires =
      Now + std::clamp(Request.Remaining, Duration(0), Options.LongestWait);
  if (Phase == PhaseKind::Stopped) {
    reply(W, replyTo(W, ClaimVerdict::NotOwner));
    return take();
  }
  if (Waiting *Same = findWaiting(W.Pair)) {
    Same->Expires = W.Expires;
    Same->Answered = false;
    return take();
  }
  ++Pending[W.Pair.Key];
  if (Phase == PhaseKind::Ready && answerNow(W, Now)) {
    forget(W);
    return take();
  }
  if (Queue.size() >= Options.LongestQueue) {
    refuse(W, ResultCode::Overloaded, false);
    forget(W);
    return take();
  }
  Queue.push_back(std::move(W));
  if (Phase == PhaseKind::Ready)
    write(Now);
  return take();
}

ClaimOwnerActions ClaimOwner::onSettlement(ClaimSettlement Settlement,
                                           MonotonicTime Now) {
  if (Phase != PhaseKind::Stopped) {
    ClaimPair Pair{digestOf(Settlement.Key.text()), digestOf(Settlement.Nonce)};
    if (Settlement.Kind == SettlementKind::Release)
      settleRelease(Pair, Now);
    else
      settleOutcome(Pair, std::move(Settlement.Outcome));
    advance(Now);
  }
  return take();
}

ClaimOwnerActions ClaimOwner::onTick(MonotonicTime Now) {
  advance(Now);
  return take();
}

void ClaimOwner::advance(MonotonicTime Now) {
  if (Phase == PhaseKind::Stopped)
    return;
  if (Phase == PhaseKind::Ready) {
    answerQueue(Now);
    write(Now);
  }
  if (Phase == PhaseKind::Loading)
    load(Now);
  expire(Now);
  if (Phase == PhaseKind::Ready)
    removeOld(Now);
}

bool ClaimOwner::callNow(StoreCallKind Kind, MonotonicTime Oldest,
                         MonotonicTime Now) {
  if (Now - Oldest < Options.LongestCollect)
    return Budget.tryAcquire(Kind, Now);
  Budget.acquireIntoDebt(Kind, Now);
  return true;
}

void ClaimOwner::backOff(MonotonicTime Now) {
  RetryAt = Now + RetryDelay;
  RetryDelay = std::min(2 * RetryDelay, Options.LongestRetryDelay);
}

void ClaimOwner::succeeded(MonotonicTime Now) {
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

void ClaimOwner::load(MonotonicTime Now) {
  if (ListInFlight || Now < RetryAt ||
      !callNow(StoreCallKind::List, LoadStarted, Now))
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
    succeeded(Now);
    Phase = PhaseKind::Ready;
    Synced = true;
  } else if (applyPage(valueOf(Reply))) {
    succeeded(Now);
  } else {
    beginLoad(Now);
    RetryAt = Now + Options.BadRecordDelay;
  }
  advance(Now);
  return take();
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

ClaimReply ClaimOwner::replyTo(const Waiting &W, ClaimVerdict Verdict) const {
  ClaimReply Reply;
  Reply.Service = Service;
  Reply.Nonce = W.Request.Nonce;
  Reply.Verdict = Verdict;
  return Reply;
}

void ClaimOwner::reply(const Waiting &W, ClaimReply Reply) {
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
  Actions.push_back(SendClaimReply{W.Request.Nonce.Root, std::move(Reply)});
}

void ClaimOwner::refuse(const Waiting &W, ResultCode Code, bool MayBeRecorded) {
  // Another attempt with the same key may be granted yet, by this owner or by
  // one that finds its claim in the log.
  bool Alone = Pending[W.Pair.Key] <= 1;
  ClaimVerdict Verdict =
      Synced && Alone ? ClaimVerdict::Refused : ClaimVerdict::Unavailable;
  ClaimReply Refusal = replyTo(W, Verdict);
  Refusal.Code = static_cast<int>(Code);
  Refusal.MayBeRecorded = MayBeRecorded;
  reply(W, std::move(Refusal));
}

bool ClaimOwner::answerFromLog(const Waiting &W) {
  const ClaimState *State = Log.find(W.Pair.Key);
  if (!State)
    return false;
  bool Own = State->Nonce == W.Pair.Nonce;
  if (State->Released) {
    if (Own)
      refuse(W, ResultCode::Cancelled, false);
    return Own;
  }
  if (releasePending({W.Pair.Key, State->Nonce}))
    return false;
  ClaimReply Answer =
      replyTo(W, Own && State->Code < 0 ? ClaimVerdict::Granted
                                        : ClaimVerdict::AlreadyClaimed);
  if (State->Code >= 0) {
    Answer.OutcomeKnown = true;
    Answer.Outcome = {State->Code, Answers.find(State->Nonce)};
  }
  reply(W, std::move(Answer));
  return true;
}

bool ClaimOwner::answerNow(const Waiting &W, MonotonicTime Now) {
  if (answerFromLog(W))
    return true;
  bool Unwritable = StoreDown && Now < RetryAt;
  if (!Unwritable && Log.size() < Options.MostKeys)
    return false;
  refuse(W, Unwritable ? ResultCode::StoreUnavailable : ResultCode::Overloaded,
         false);
  return true;
}

void ClaimOwner::answerQueue(MonotonicTime Now) {
  std::deque<Waiting> Left;
  for (Waiting &W : Queue) {
    if (answerNow(W, Now))
      forget(W);
    else
      Left.push_back(std::move(W));
  }
  Queue.swap(Left);
}

void ClaimOwner::expire(MonotonicTime Now) {
  if (Current)
    for (Waiting &W : Current->Claims)
      if (!W.Answered && Now >= W.Expires) {
        refuse(W, ResultCode::StoreUnavailable, true);
        W.Answered = true;
      }
  std::deque<Waiting> Left;
  for (Waiting &W : Queue) {
    if (Now < W.Expires) {
      Left.push_back(std::move(W));
      continue;
    }
    refuse(W, ResultCode::StoreUnavailable, false);
    forget(W);
  }
  Queue.swap(Left);
}

ClaimOwner::Waiting *ClaimOwner::findWaiting(const ClaimPair &Pair) {
  if (Pending.find(Pair.Key) == Pending.end())
    return nullptr;
  for (Waiting &W : Queue)
    if (W.Pair.Nonce == Pair.Nonce)
      return &W;
  if (Current)
    for (Waiting &W : Current->Claims)
      if (W.Pair.Nonce == Pair.Nonce)
        return &W;
  return nullptr;
}

void ClaimOwner::forget(const Waiting &W) {
  auto Found = Pending.find(W.Pair.Key);
  if (Found != Pending.end() && --Found->second == 0)
    Pending.erase(Found);
}

} // namespace mimosa
