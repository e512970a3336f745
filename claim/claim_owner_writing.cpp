// The part of ClaimOwner that writes the log.

#include "claim/claim_owner.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace mimosa {

void ClaimOwner::write(MonotonicTime Now) {
  if (Current) {
    if (!Current->InFlight && Now >= RetryAt)
      sendBatch(Now);
    return;
  }
  if ((Queue.empty() && Releases.empty()) || Now < RetryAt)
    return;
  if (Now - LastReply > Options.ReloadAfter) {
    beginLoad(Now);
    return;
  }
  MonotonicTime Oldest = Now;
  if (!Queue.empty())
    Oldest = std::min(Oldest, Queue.front().Arrived);
  if (!Releases.empty())
    Oldest = std::min(Oldest, Releases.front().Arrived);
  if (!callNow(StoreCallKind::Swap, Oldest, Now))
    return;
  Current = compose(Now);
  Current->InFlight = true;
  Actions.push_back(CreateClaimRecord{
      Epoch, claimRecordKey(Service, Log.nextSequence()), Current->Text});
}

void ClaimOwner::sendBatch(MonotonicTime Now) {
  Budget.acquireIntoDebt(StoreCallKind::Swap, Now);
  Current->InFlight = true;
  Actions.push_back(CreateClaimRecord{
      Epoch, claimRecordKey(Service, Log.nextSequence()), Current->Text});
}

ClaimOwner::Batch ClaimOwner::compose(MonotonicTime Now) {
  Batch Next;
  ClaimRecord &Record = Next.Record;
  Record.Owner = Self;
  Record.OwnerIncarnation = SelfIncarnation;
  Record.Batch = ++BatchCounter;
  Record.TimeMs = wallMs(Now);
  Record.Outcomes = std::exchange(Outcomes, {});
  while (!Releases.empty() && Record.Released.size() < Options.LargestBatch) {
    Record.Released.push_back(Releases.front().Pair);
    Next.Releases.push_back(Releases.front());
    Releases.pop_front();
  }
  // Of several requests with one key the first is written; the others are
  // answered when the record is applied.
  std::unordered_set<Digest, DigestHash> Keys;
  std::deque<Waiting> Left;
  for (Waiting &W : Queue) {
    if (Record.Claimed.size() >= Options.LargestBatch ||
        !Keys.insert(W.Pair.Key).second) {
      Left.push_back(std::move(W));
      continue;
    }
    Record.Claimed.push_back(W.Pair);
    Next.Claims.push_back(std::move(W));
  }
  Queue.swap(Left);
  Next.Text = printClaimRecord(Record);
  return Next;
}

ClaimOwnerActions ClaimOwner::onCreated(uint64_t ReplyEpoch,
                                        const Result<SwapReply> &Reply,
                                        MonotonicTime Now) {
  if (ReplyEpoch != Epoch || !Current)
    return {};
  Current->InFlight = false;
  if (!ok(Reply))
    onWriteFailed(errorOf(Reply), Now);
  else if (valueOf(Reply).Swapped)
    finishBatch(Now);
  else
    onConflict(valueOf(Reply).Current, Now);
  advance(Now);
  return take();
}

void ClaimOwner::onWriteFailed(const Error &Failure, MonotonicTime Now) {
  bool FirstLoss = !Current->Uncertain;
  if (Failure.Code != ResultCode::StoreUnavailable)
    Current->Uncertain = true;
  StoreDown = true;
  if (!Current->Uncertain) {
    backOff(Now);
    requeueBatch();
  } else if (FirstLoss) {
    // Most often only the reply was lost, so the repeated write finds its own
    // record at once.
    RetryAt = Now;
  } else {
    backOff(Now);
  }
}

void ClaimOwner::onConflict(const StoredValue &Stored, MonotonicTime Now) {
  if (Stored.Value == Current->Text) {
    ++Counters.LostReplies;
    finishBatch(Now);
    return;
  }
  ++Counters.Conflicts;
  if (applyStored(Log.nextSequence(), Stored.Value)) {
    succeeded(Now);
    Synced = true;
    requeueBatch();
    return;
  }
  beginLoad(Now);
  RetryAt = Now + Options.BadRecordDelay;
}

void ClaimOwner::finishBatch(MonotonicTime Now) {
  ++Counters.RecordsWritten;
  succeeded(Now);
  Synced = true;
  Log.append(Log.nextSequence(), Current->Record);
  Batch Finished = std::move(*Current);
  Current.reset();
  for (Waiting &W : Finished.Claims) {
    if (W.Released) {
      forget(W);
      settleRelease(W.Pair, Now);
    } else if (answerFromLog(W)) {
      // A root that has given up releases the claim when it gets this grant.
      forget(W);
    } else {
      Queue.push_back(std::move(W));
    }
  }
}

void ClaimOwner::requeueBatch() {
  if (!Current)
    return;
  Batch Failed = std::move(*Current);
  Current.reset();
  Outcomes.insert(Outcomes.end(), Failed.Record.Outcomes.begin(),
                  Failed.Record.Outcomes.end());
  Releases.insert(Releases.begin(), Failed.Releases.begin(),
                  Failed.Releases.end());
  for (auto W = Failed.Claims.rbegin(); W != Failed.Claims.rend(); ++W) {
    if (W->Answered || W->Released)
      forget(*W);
    else
      Queue.push_front(std::move(*W));
  }
}

// Settlements.

void ClaimOwner::settleOutcome(const ClaimPair &Pair, ClaimOutcome Outcome) {
  OutcomeEntry Entry{Pair, Outcome.Code};
  if (!Log.setOutcome(Entry))
    return;
  Answers.add(Pair.Nonce, std::move(Outcome.Answer));
  // Outcomes ride along with the next claims and never cause a write. Those
  // beyond a batch are lost at a change of owner, which answers `unknown`.
  if (Outcomes.size() < Options.LargestBatch)
    Outcomes.push_back(Entry);
}

void ClaimOwner::settleRelease(const ClaimPair &Pair, MonotonicTime Now) {
  const ClaimState *State = Log.find(Pair.Key);
  bool Holds = State && !State->Released && State->Nonce == Pair.Nonce;
  if (Holds) {
    if (State->Code < 0 && !releasePending(Pair))
      Releases.push_back({Pair, Now});
    return;
  }
  if (Current)
    for (Waiting &W : Current->Claims)
      if (W.Pair.Nonce == Pair.Nonce)
        W.Released = true;
  auto Dropped =
      std::find_if(Queue.begin(), Queue.end(), [&](const Waiting &W) {
        return W.Pair.Nonce == Pair.Nonce;
      });
  if (Dropped == Queue.end())
    return;
  forget(*Dropped);
  Queue.erase(Dropped);
}

bool ClaimOwner::releasePending(const ClaimPair &Pair) const {
  auto Same = [&](const PendingRelease &R) {
    return R.Pair.Nonce == Pair.Nonce;
  };
  if (std::any_of(Releases.begin(), Releases.end(), Same))
    return true;
  return Current &&
         std::any_of(Current->Releases.begin(), Current->Releases.end(), Same);
}

// Removal of old records.

void ClaimOwner::removeOld(MonotonicTime Now) {
  if (RemovalInFlight || Now < NextRemoval || StoreDown)
    return;
  std::optional<uint64_t> Oldest = Log.expired(wallMs(Now), Options.Retention);
  if (!Oldest || !Budget.tryAcquire(StoreCallKind::Remove, Now))
    return;
  NextRemoval = Now + Options.RemovalInterval;
  RemovalInFlight = true;
  Actions.push_back(RemoveClaimRecord{Epoch, claimRecordKey(Service, *Oldest)});
}

ClaimOwnerActions ClaimOwner::onRemoved(uint64_t ReplyEpoch,
                                        const Result<Done> &Reply,
                                        MonotonicTime Now) {
  if (ReplyEpoch != Epoch)
    return {};
  RemovalInFlight = false;
  if (ok(Reply)) {
    ++Counters.RecordsRemoved;
    Log.dropOldest();
  }
  advance(Now);
  return take();
}

} // namespace mimosa
