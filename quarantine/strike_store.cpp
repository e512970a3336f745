#include "quarantine/strike_store.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace mimosa {

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
    Found->second.LastStrike = Now - Age;
  }
  Record &Target = Found->second;
  for (const StrikeNotice &Counted : Target.Notices)
    if (Counted.Id == Notice.Id)
      return false;
  if (Target.Notices.size() == StrikesToQuarantine)
    return false;
  Target.Notices.push_back(Notice);
  Target.LastStrike = std::max(Target.LastStrike, Now - Age);
  return true;
}

void StrikeStore::makeRoom(MonotonicTime Now) {
  if (Records.size() < Capacity)
    return;
  for (auto It = Records.begin(); It != Records.end();)
    It = expired(It->second, Now) ? Records.erase(It) : std::next(It);
  if (Records.size() < Capacity)
    return;
  auto EvictionOrder = [](const auto &Entry) {
    return std::make_pair(Entry.second.Notices.size(), Entry.second.LastStrike);
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
  return Found->second.Notices.size();
}

bool StrikeStore::quarantined(Fingerprint RequestFingerprint,
                              MonotonicTime Now) const {
  return strikes(RequestFingerprint, Now) >= StrikesToQuarantine;
}

std::vector<StrikeNotice> StrikeStore::notices(StrikeScope Scope,
                                               MonotonicTime Now) const {
  std::vector<const Record *> Ranked;
  for (const auto &[RequestFingerprint, Strikes] : Records)
    if (inScope(Strikes, Scope, Now))
      Ranked.push_back(&Strikes);
  std::sort(Ranked.begin(), Ranked.end(), [](const Record *A, const Record *B) {
    return std::make_pair(A->Notices.size(), A->LastStrike) >
           std::make_pair(B->Notices.size(), B->LastStrike);
  });
  std::vector<StrikeNotice> Out;
  for (const Record *Strikes : Ranked)
    for (StrikeNotice Notice : Strikes->Notices) {
      Notice.Age = Now - Strikes->LastStrike;
      Out.push_back(std::move(Notice));
    }
  return Out;
}

uint64_t StrikeStore::digest(StrikeScope Scope, MonotonicTime Now) const {
  uint64_t Digest = 0;
  for (const auto &[RequestFingerprint, Strikes] : Records) {
    if (!inScope(Strikes, Scope, Now))
      continue;
    std::string Key = std::to_string(RequestFingerprint.number());
    if (!quarantined(Strikes)) {
      const StrikeId &Id = Strikes.Notices.front().Id;
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
