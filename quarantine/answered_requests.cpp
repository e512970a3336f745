#include "quarantine/answered_requests.h"

#include "base/rendezvous.h"

namespace mimosa {

namespace {

/// 256 KB.
constexpr size_t EntryCount = 8192;
/// A request may begin to crash backend servers, for example with a new version
/// of them. Longer evidence would let it crash more of them.
constexpr Duration AnswerLifetime = Seconds(60);
/// With one answer in ten lost, a harmless request loses this many and one more
/// in a row once in 10,000 times.
constexpr uint32_t ExcusedLosses = 3;
/// Losses within this time count as one: a backend server that crashes loses
/// all answers that it was working on.
constexpr Duration LossInterval = Milliseconds(50);

} // namespace

uint64_t AnsweredRequests::keyOf(Fingerprint RequestFingerprint,
                                 const ServiceId &Service) {
  return hash64(Service.text(), RequestFingerprint.number());
}

const AnsweredRequests::Entry *AnsweredRequests::find(uint64_t Key,
                                                      MonotonicTime Now) const {
  if (Entries.empty())
    return nullptr;
  const Entry &Found = Entries[Key % EntryCount];
  bool Valid = Found.Key == Key && Now - Found.AnsweredAt < AnswerLifetime;
  return Valid ? &Found : nullptr;
}

void AnsweredRequests::recordAnswer(Fingerprint RequestFingerprint,
                                    const ServiceId &Service,
                                    MonotonicTime Now) {
  if (Entries.empty())
    Entries.resize(EntryCount);
  uint64_t Key = keyOf(RequestFingerprint, Service);
  Entries[Key % EntryCount] = {Key, Now, Now, 0};
}

bool AnsweredRequests::excuseLoss(Fingerprint RequestFingerprint,
                                  const ServiceId &Service, MonotonicTime Now) {
  uint64_t Key = keyOf(RequestFingerprint, Service);
  if (!find(Key, Now))
    return false;
  Entry &Found = Entries[Key % EntryCount];
  if (Found.Losses == 0 || Now - Found.LastLoss >= LossInterval) {
    ++Found.Losses;
    Found.LastLoss = Now;
  }
  return Found.Losses <= ExcusedLosses;
}

std::optional<MonotonicTime>
AnsweredRequests::answeredAt(Fingerprint RequestFingerprint,
                             const ServiceId &Service,
                             MonotonicTime Now) const {
  const Entry *Found = find(keyOf(RequestFingerprint, Service), Now);
  return Found ? std::optional(Found->AnsweredAt) : std::nullopt;
}

} // namespace mimosa
