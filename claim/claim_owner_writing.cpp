// The part of ClaimOwner that writes the log.

#include "claim/claim_owner.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace mimosa {

void ClaimOwner::writeNextBatch(MonotonicTime Now) {
  if (CurrentBatch) {
    if (!CurrentBatch->InFlight && Now >= RetryAt)
      resendBatch(Now);
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
  if (!tryAcquireCall(StoreCallKind::Swap, Oldest, Now))
    return;
  CurrentBatch = composeBatch(Now);
  CurrentBatch->InFlight = true;
  Actions.push_back(CreateClaimRecord{
      Epoch, claimRecordKey(Service, Log.nextSequence()), CurrentBatch->Text});
}

void ClaimOwner::resendBatch(MonotonicTime Now) {
  StoreLimiter.acquireIntoDebt(StoreCallKind::Swap, Now);
  CurrentBatch->InFlight = true;
  Actions.push_back(CreateClaimRecord{
      Epoch, claimRecordKey(Service, Log.nextSequence()), CurrentBatch->Text});
}

ClaimOwner::Batch ClaimOwner::composeBatch(MonotonicTime Now) {
  Batch Next;
  ClaimRecord &Record = Next.Record;
  Record.Owner = Self;
  Record.OwnerIncarnation = SelfIncarnation;
  Record.Batch = ++BatchCounter;
  Record.TimeMs = wallMs(Now);
  Record.Outcomes = std::exchange(Outcomes, {});
  while (!Releases.empty() && Record.Released.size() < Options.MaxBatchSize) {
    Record.Released.push_back(Releases.front().Pair);
    Next.Releases.push_back(Releases.front());
    Releases.pop_front();
  }
  // Of several claims of one key only the first is written. The others are
  // answered when the record is applied.
  std::unordered_set<Digest, DigestHash> Keys;
  std::deque<QueuedClaim> Remaining;
  for (QueuedClaim &Claim : Queue) {
    if (Record.Claimed.size() >= Options.MaxBatchSize ||
        !Keys.insert(Claim.Pair.Key).second) {
      Remaining.push_back(std::move(Claim));
      continue;
    }
    Record.Claimed.push_back(Claim.Pair);
    Next.Claims.push_back(std::move(Claim));
  }
  Queue.swap(Remaining);
  Next.Text = printClaimRecord(Record);
  return Next;
}

ClaimOwnerActions ClaimOwner::onCreated(uint64_t ReplyEpoch,
                                        const Result<SwapReply> &Reply,
                                        MonotonicTime Now) {
  if (ReplyEpoch != Epoch || !CurrentBatch)
    return {};
  CurrentBatch->InFlight = false;
  if (!ok(Reply))
    onWriteFailed(errorOf(Reply), Now);
  else if (valueOf(Reply).Swapped)
    finishBatch(Now);
  else
    onConflict(valueOf(Reply).Current, Now);
  advance(Now);
  return takeActions();
}

void ClaimOwner::onWriteFailed(const Error &Failure, MonotonicTime Now) {
  bool FirstFailure = !CurrentBatch->MayBeStored;
  if (Failure.Code != ResultCode::StoreUnavailable)
    CurrentBatch->MayBeStored = true;
  StoreDown = true;
  if (!CurrentBatch->MayBeStored) {
    backOff(Now);
    requeueBatch();
  } else if (FirstFailure) {
    // Usually only the reply was lost, so that an immediate repetition of the
    // write finds its own record.
    RetryAt = Now;
  } else {
    backOff(Now);
  }
}

void ClaimOwner::onConflict(const StoredValue &Stored, MonotonicTime Now) {
  if (Stored.Value == CurrentBatch->Text) {
    ++Counters.LostReplies;
    finishBatch(Now);
    return;
  }
  ++Counters.Conflicts;
  if (applyStored(Log.nextSequence(), Stored.Value)) {
    recordSuccess(Now);
    Synced = true;
    requeueBatch();
    return;
  }
  beginLoad(Now);
  RetryAt = Now + Options.BadRecordDelay;
}

void ClaimOwner::finishBatch(MonotonicTime Now) {
  ++Counters.RecordsWritten;
  recordSuccess(Now);
  Synced = true;
  Log.append(Log.nextSequence(), CurrentBatch->Record);
  Batch Finished = std::move(*CurrentBatch);
  CurrentBatch.reset();
  for (QueuedClaim &Claim : Finished.Claims) {
    if (Claim.Released) {
      removeAttempt(Claim);
      applyRelease(Claim.Pair, Now);
    } else if (answerFromLog(Claim)) {
      // A root whose claim attempt has ended releases the claim when it gets
      // this grant.
      removeAttempt(Claim);
    } else {
      Queue.push_back(std::move(Claim));
    }
  }
}

void ClaimOwner::requeueBatch() {
  if (!CurrentBatch)
    return;
  Batch Failed = std::move(*CurrentBatch);
  CurrentBatch.reset();
  Outcomes.insert(Outcomes.end(), Failed.Record.Outcomes.begin(),
                  Failed.Record.Outcomes.end());
  Releases.insert(Releases.begin(), Failed.Releases.begin(),
                  Failed.Releases.end());
  for (auto Claim = Failed.Claims.rbegin(); Claim != Failed.Claims.rend();
       ++Claim) {
    if (Claim->Answered || Claim->Released)
      removeAttempt(*Claim);
    else
      Queue.push_front(std::move(*Claim));
  }
}

// Settlements.

void ClaimOwner::applyOutcome(const ClaimPair &Pair, ClaimOutcome Outcome) {
  OutcomeEntry Entry{Pair, Outcome.Code};
  if (!Log.setOutcome(Entry))
    return;
  Answers.add(Pair.Nonce, std::move(Outcome.Answer));
  // Outcomes are written together with the next claims and never cause a write
  // of their own. Outcomes beyond a batch are not written; after a change of
  // owner, the execution of their requests is reported as `unknown`.
  if (Outcomes.size() < Options.MaxBatchSize)
    Outcomes.push_back(Entry);
}

void ClaimOwner::applyRelease(const ClaimPair &Pair, MonotonicTime Now) {
  const ClaimState *State = Log.find(Pair.Key);
  bool IsHolder = State && !State->Released && State->Nonce == Pair.Nonce;
  if (IsHolder) {
    if (State->Code < 0 && !releasePending(Pair))
      Releases.push_back({Pair, Now});
    return;
  }
  if (CurrentBatch)
    for (QueuedClaim &Claim : CurrentBatch->Claims)
      if (Claim.Pair.Nonce == Pair.Nonce)
        Claim.Released = true;
  auto Queued =
      std::find_if(Queue.begin(), Queue.end(), [&](const QueuedClaim &Claim) {
        return Claim.Pair.Nonce == Pair.Nonce;
      });
  if (Queued == Queue.end())
    return;
  removeAttempt(*Queued);
  Queue.erase(Queued);
}

bool ClaimOwner::releasePending(const ClaimPair &Pair) const {
  auto Matches = [&](const PendingRelease &Release) {
    return Release.Pair.Nonce == Pair.Nonce;
  };
  if (std::any_of(Releases.begin(), Releases.end(), Matches))
    return true;
  return CurrentBatch && std::any_of(CurrentBatch->Releases.begin(),
                                     CurrentBatch->Releases.end(), Matches);
}

// Removal of old records.

void ClaimOwner::removeExpiredRecord(MonotonicTime Now) {
  if (RemovalInFlight || Now < NextRemoval || StoreDown)
    return;
  std::optional<uint64_t> Oldest =
      Log.oldestExpired(wallMs(Now), Options.Retention);
  if (!Oldest || !StoreLimiter.tryAcquire(StoreCallKind::Remove, Now))
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
  return takeActions();
}

} // namespace mimosa
