#include "quarantine/strike_store.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace mimosa {

MonotonicTime StrikeStore::Record::answeredAt(const ServiceId &Service) const {
  for (const Answer &Each : Answers)
    if (Each.Service == Service)
      return Each.At;
  return MonotonicTime::min();
}

bool StrikeStore::add(const StrikeNotice &Notice, MonotonicTime Now) {
  Duration Age = std::max(Notice.Age, Duration::zero());
  if (Age >= Lifetime)
    return false;
  auto Found = Records.find(Notice.RequestFingerprint);
  if (Found != Records.end() && expired(Found->second, Now)) {
    Records.erase(Found);
    Found = Records.end();
  }
  if (Found == Records.end()) {
    makeRoom(Now);
    Found = Records.emplace(Notice.RequestFingerprint, Record{}).first;
    Found->second.LastChange = Now - Age;
  }
  Record &Target = Found->second;
  for (const Strike &Counted : Target.Strikes)
    if (Counted.Notice.Id == Notice.Id)
      return false;
  if (Target.Strikes.size() == StrikesToQuarantine)
    return false;
  MonotonicTime At =
      Now - (Notice.OwnAge < Duration::zero() ? Age : Notice.OwnAge);
  if (At <= Target.answeredAt(Notice.Service))
    return false;
  Target.Strikes.push_back({Notice, At});
  Target.LastChange = std::max(Target.LastChange, Now - Age);
  return true;
}

bool StrikeStore::withdraw(const StrikeWithdrawal &Withdrawal,
                           MonotonicTime Now) {
  auto Found = Records.find(Withdrawal.RequestFingerprint);
  if (Found == Records.end() || expired(Found->second, Now))
    return false;
  Record &Target = Found->second;
  MonotonicTime At = Now - std::max(Withdrawal.Age, Duration::zero());
  auto Withdrawn = std::remove_if(
      Target.Strikes.begin(), Target.Strikes.end(), [&](const Strike &Each) {
        return Each.Notice.Service == Withdrawal.Service && Each.At <= At;
      });
  if (Withdrawn == Target.Strikes.end())
    return false;
  Target.Strikes.erase(Withdrawn, Target.Strikes.end());
  auto Answered = std::find_if(
      Target.Answers.begin(), Target.Answers.end(),
      [&](const Answer &A) { return A.Service == Withdrawal.Service; });
  if (Answered == Target.Answers.end())
    Target.Answers.push_back({Withdrawal.Service, At});
  else
    Answered->At = std::max(Answered->At, At);
  Target.LastChange = std::max(Target.LastChange, At);
  return true;
}

std::vector<StrikeWithdrawal>
StrikeStore::withdrawals(size_t Limit, MonotonicTime Now) const {
  std::vector<StrikeWithdrawal> Out;
  for (const auto &[RequestFingerprint, Entry] : Records)
    if (!expired(Entry, Now))
      for (const Answer &Each : Entry.Answers)
        Out.push_back({Each.Service, RequestFingerprint, Now - Each.At});
  std::sort(Out.begin(), Out.end(),
            [](const StrikeWithdrawal &A, const StrikeWithdrawal &B) {
              return A.Age < B.Age;
            });
  if (Out.size() > Limit)
    Out.resize(Limit);
  return Out;
}

void StrikeStore::makeRoom(MonotonicTime Now) {
  if (Records.size() < Capacity)
    return;
  for (auto It = Records.begin(); It != Records.end();)
    It = expired(It->second, Now) ? Records.erase(It) : std::next(It);
  if (Records.size() < Capacity)
    return;
  auto EvictionOrder = [](const auto &Entry) {
    return std::make_pair(Entry.second.Strikes.size(), Entry.second.LastChange);
  };
  Records.erase(std::min_element(Records.begin(), Records.end(),
                                 [&](const auto &A, const auto &B) {
                                   return EvictionOrder(A) < EvictionOrder(B);
                                 }));
}

size_t StrikeStore::strikes(Fingerprint RequestFingerprint,
                            MonotonicTime Now) const {
  auto Found = Records.find(RequestFingerprint);
  if (Found == Records.end() || expired(Found->second, Now))
    return 0;
  return Found->second.Strikes.size();
}

bool StrikeStore::quarantined(Fingerprint RequestFingerprint,
                              MonotonicTime Now) const {
  return strikes(RequestFingerprint, Now) >= StrikesToQuarantine;
}

std::vector<StrikeNotice> StrikeStore::notices(StrikeScope Scope,
                                               MonotonicTime Now) const {
  std::vector<const Record *> Ranked;
  for (const auto &[RequestFingerprint, Entry] : Records)
    if (inScope(Entry, Scope, Now))
      Ranked.push_back(&Entry);
  std::sort(Ranked.begin(), Ranked.end(), [](const Record *A, const Record *B) {
    return std::make_pair(A->Strikes.size(), A->LastChange) >
           std::make_pair(B->Strikes.size(), B->LastChange);
  });
  std::vector<StrikeNotice> Out;
  for (const Record *Entry : Ranked)
    for (const Strike &Each : Entry->Strikes) {
      Out.push_back(Each.Notice);
      Out.back().Age = Now - Entry->LastChange;
      Out.back().OwnAge = Now - Each.At;
    }
  return Out;
}

uint64_t StrikeStore::digest(StrikeScope Scope, MonotonicTime Now) const {
  uint64_t Digest = 0;
  for (const auto &[RequestFingerprint, Entry] : Records) {
    if (!inScope(Entry, Scope, Now))
      continue;
    std::string Key = std::to_string(RequestFingerprint.number());
    if (!quarantined(Entry)) {
      const StrikeId &Id = Entry.Strikes.front().Notice.Id;
      Key += "/" + Id.Host.text() + "/" +
             std::to_string(Id.HostIncarnation.number()) + "/" +
             std::to_string(Id.Sequence);
    }
    // The order of the records differs between stores.
    Digest ^= hash64(Key);
  }
  return Digest;
}

size_t StrikeStore::quarantinedCount(MonotonicTime Now) const {
  return static_cast<size_t>(
      std::count_if(Records.begin(), Records.end(), [&](const auto &Entry) {
        return inScope(Entry.second, StrikeScope::Quarantined, Now);
      }));
}

} // namespace mimosa
