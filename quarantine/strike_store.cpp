#include "quarantine/strike_store.h"

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

std::vector<StrikeNotice> StrikeStore::notices(MonotonicTime Now) const {
  std::vector<StrikeNotice> All;
  for (const auto &[RequestFingerprint, Strikes] : Records) {
    if (expired(Strikes, Now))
      continue;
    for (StrikeNotice Notice : Strikes.Notices) {
      Notice.Age = Now - Strikes.LastStrike;
      All.push_back(std::move(Notice));
    }
  }
  return All;
}

} // namespace mimosa
