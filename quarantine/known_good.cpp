#include "quarantine/known_good.h"

#include <algorithm>
#include <utility>

namespace mimosa {

KnownGood::KnownGood(size_t Capacity)
    : GenerationSize(std::max<size_t>(1, Capacity / 2)) {}

void KnownGood::add(Fingerprint Print) {
  Old.erase(Print);
  if (Young.count(Print))
    return;
  if (Young.size() >= GenerationSize) {
    Old = std::move(Young);
    Young.clear();
  }
  Young.insert(Print);
}

bool KnownGood::contains(Fingerprint Print) {
  if (Young.count(Print))
    return true;
  if (!Old.count(Print))
    return false;
  add(Print);
  return true;
}

void KnownGood::remove(Fingerprint Print) {
  Young.erase(Print);
  Old.erase(Print);
}

} // namespace mimosa
