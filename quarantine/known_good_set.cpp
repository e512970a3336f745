#include "quarantine/known_good_set.h"

#include <algorithm>
#include <utility>

namespace mimosa {

KnownGoodSet::KnownGoodSet(size_t Capacity)
    : GenerationSize(std::max<size_t>(1, Capacity / 2)) {}

void KnownGoodSet::add(Fingerprint RequestFingerprint) {
  Old.erase(RequestFingerprint);
  if (Young.count(RequestFingerprint))
    return;
  if (Young.size() >= GenerationSize) {
    Old = std::move(Young);
    Young.clear();
  }
  Young.insert(RequestFingerprint);
}

bool KnownGoodSet::contains(Fingerprint RequestFingerprint) {
  if (Young.count(RequestFingerprint))
    return true;
  if (!Old.count(RequestFingerprint))
    return false;
  add(RequestFingerprint);
  return true;
}

void KnownGoodSet::remove(Fingerprint RequestFingerprint) {
  Young.erase(RequestFingerprint);
  Old.erase(RequestFingerprint);
}

} // namespace mimosa
