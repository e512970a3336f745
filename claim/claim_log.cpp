#include "claim/claim_log.h"

#include <utility>

namespace mimosa {

bool ClaimLog::append(uint64_t Sequence, const ClaimRecord &Record) {
  if (!Records.empty() && Sequence != Next)
    return false;
  AppliedRecord Applied{Sequence, Record.TimeMs, {}};
  Applied.Keys.reserve(Record.Released.size() + Record.Claimed.size());
  for (const OutcomeEntry &Entry : Record.Outcomes)
    setOutcome(Entry);
  for (const ClaimPair &Pair : Record.Released)
    release(Pair, Applied);
  for (const ClaimPair &Pair : Record.Claimed)
    claim(Pair, Applied);
  Records.push_back(std::move(Applied));
  Next = Sequence + 1;
  return true;
}

void ClaimLog::release(const ClaimPair &Pair, AppliedRecord &Applied) {
  auto Found = States.find(Pair.Key);
  if (Found == States.end() || Found->second.Nonce != Pair.Nonce)
    return;
  Found->second.Released = true;
  Found->second.Sequence = Applied.Sequence;
  Applied.Keys.push_back(Pair.Key);
}

void ClaimLog::claim(const ClaimPair &Pair, AppliedRecord &Applied) {
  auto [Found, Added] = States.try_emplace(Pair.Key);
  if (!Added && !Found->second.Released)
    return;
  Found->second = {Pair.Nonce, Applied.Sequence, -1, false};
  Applied.Keys.push_back(Pair.Key);
}

const ClaimState *ClaimLog::find(const Digest &Key) const {
  auto Found = States.find(Key);
  return Found == States.end() ? nullptr : &Found->second;
}

bool ClaimLog::setOutcome(const OutcomeEntry &Entry) {
  auto Found = States.find(Entry.Claim.Key);
  if (Found == States.end() || Found->second.Released ||
      Found->second.Nonce != Entry.Claim.Nonce)
    return false;
  Found->second.Code = Entry.Code;
  return true;
}

std::optional<uint64_t> ClaimLog::oldestExpired(int64_t NowMs,
                                                Duration Retention) const {
  if (Records.size() < 2)
    return std::nullopt;
  const AppliedRecord &Oldest = Records.front();
  if (NowMs - Oldest.TimeMs <= inMilliseconds(Retention))
    return std::nullopt;
  return Oldest.Sequence;
}

void ClaimLog::dropOldest() {
  const AppliedRecord &Oldest = Records.front();
  for (const Digest &Key : Oldest.Keys) {
    auto Found = States.find(Key);
    if (Found != States.end() && Found->second.Sequence == Oldest.Sequence)
      States.erase(Found);
  }
  Records.pop_front();
}

void ClaimLog::clear() {
  States.clear();
  Records.clear();
  Next = 1;
}

void AnswerCache::add(const Digest &Nonce, std::string Answer) {
  if (Answer.empty() || Answer.size() > MaxBytes)
    return;
  size_t Size = Answer.size();
  std::string &Entry = Answers[Nonce];
  if (!Entry.empty())
    return;
  Entry = std::move(Answer);
  InsertionOrder.push_back(Nonce);
  Bytes += Size;
  while (Bytes > MaxBytes) {
    auto Oldest = Answers.find(InsertionOrder.front());
    Bytes -= Oldest->second.size();
    Answers.erase(Oldest);
    InsertionOrder.pop_front();
  }
}

std::string AnswerCache::find(const Digest &Nonce) const {
  auto Found = Answers.find(Nonce);
  return Found == Answers.end() ? std::string() : Found->second;
}

void AnswerCache::clear() {
  Answers.clear();
  InsertionOrder.clear();
  Bytes = 0;
}

} // namespace mimosa
