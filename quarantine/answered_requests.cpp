#include "quarantine/answered_requests.h"

#include "base/rendezvous.h"

namespace mimosa {

namespace {

/// Requests; each takes about 70 bytes.
constexpr size_t Capacity = 8192;
/// A request may begin to crash backend servers, for example with a new version
/// of them. Longer evidence would let it crash more of them.
constexpr Duration AnswerLifetime = Seconds(60);
/// With one answer in ten lost, a harmless request loses this many and one more
/// in a row once in 10,000 times.
constexpr uint32_t ExcusedLosses = 3;
/// Losses within this time count as one: a backend server that crashes loses
/// all answers that it was working on.
constexpr Duration LossInterval = Milliseconds(50);

uint64_t keyOf(Fingerprint RequestFingerprint, const ServiceId &Service) {
  return hash64(Service.text(), RequestFingerprint.number());
}

} // namespace

AnsweredRequests::AnsweredRequests() : Answers(Capacity) {}

AnsweredRequests::Answer *AnsweredRequests::find(Fingerprint RequestFingerprint,
                                                 const ServiceId &Service,
                                                 MonotonicTime Now) {
  Answer *Found = Answers.use(keyOf(RequestFingerprint, Service));
  return Found && Now - Found->At < AnswerLifetime ? Found : nullptr;
}

void AnsweredRequests::recordAnswer(Fingerprint RequestFingerprint,
                                    const ServiceId &Service,
                                    MonotonicTime Now) {
  Answers.put(keyOf(RequestFingerprint, Service), {Now});
}

bool AnsweredRequests::excuseLoss(Fingerprint RequestFingerprint,
                                  const ServiceId &Service, MonotonicTime Now) {
  Answer *Found = find(RequestFingerprint, Service, Now);
  if (!Found)
    return false;
  if (Found->Losses == 0 || Now - Found->LastLoss >= LossInterval) {
    ++Found->Losses;
    Found->LastLoss = Now;
  }
  return Found->Losses <= ExcusedLosses;
}

std::optional<MonotonicTime>
AnsweredRequests::answeredAt(Fingerprint RequestFingerprint,
                             const ServiceId &Service, MonotonicTime Now) {
  const Answer *Found = find(RequestFingerprint, Service, Now);
  return Found ? std::optional(Found->At) : std::nullopt;
}

} // namespace mimosa
