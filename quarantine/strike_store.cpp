#include "quarantine/strike_store.h"

#include <algorithm>

namespace mimosa {

bool StrikeStore::add(const StrikeNotice &Notice, MonotonicTime Now) {
  Duration Age = std::max(Notice.Age, Duration::zero());
  if (Age >= Lifetime)
    return false;
  auto Found = Records.find(Notice.Print);
  if (Found != Records.end() && expired(Found->second, Now)) {
    Records.erase(Found);
    Found = Records.end();
  }
  if (Found == Records.end()) {
    makeRoom(Now);
    Found = Records.emplace(Notice.Print, Record{}).first;
    Found->second.LastStrike = Now - Age;
  }
  Record &Target = Found->second;
  for (const StrikeNotice &Known : Target.Notices)
    if (Known.Id == Notice.Id)
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
  auto Worth = [](const auto &Entry) {
    return std::make_pair(Entry.second.Notices.size(), Entry.second.LastStrike);
  };
  Records.erase(std::min_element(
      Records.begin(), Records.end(),
      [&](const auto &A, const auto &B) { return Worth(A) < Worth(B); }));
}

size_t StrikeStore::strikes(Fingerprint Print, MonotonicTime Now) const {
  auto Found = Records.find(Print);
  if (Found == Records.end() || expired(Found->second, Now))
    return 0;
  return Found->second.Notices.size();
}

bool StrikeStore::quarantined(Fingerprint Print, MonotonicTime Now) const {
  return strikes(Print, Now) >= StrikesToQuarantine;
}

std::vector<StrikeNotice> StrikeStore::notices(MonotonicTime Now) const {
  std::vector<StrikeNotice> All;
  for (const auto &[Print, Of] : Records) {
    if (expired(Of, Now))
      continue;
    for (StrikeNotice Notice : Of.Notices) {
      Notice.Age = Now - Of.LastStrike;
      All.push_back(std::move(Notice));
    }
  }
  return All;
}

} // namespace mimosa
