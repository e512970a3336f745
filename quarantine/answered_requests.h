// The requests that backend servers have answered lately, as evidence that a
// lost answer to an equal request does not show a crash. It is made for hosts
// that answer thousands of different requests a second, and keeps those that
// are repeated; see base/generational_map.h.

#ifndef MIMOSA_QUARANTINE_ANSWERED_REQUESTS_H
#define MIMOSA_QUARANTINE_ANSWERED_REQUESTS_H

#include "base/generational_map.h"
#include "base/time.h"
#include "quarantine/messages.h"

#include <cstdint>
#include <optional>

namespace mimosa {

/// See the head of this file. The times that are passed in must not decrease.
class AnsweredRequests {
public:
  AnsweredRequests();

  /// A backend server of \p Service has answered the request.
  void recordAnswer(Fingerprint RequestFingerprint, const ServiceId &Service,
                    MonotonicTime Now);
  /// An answer was lost; returns whether it may be taken for an accident: the
  /// request has been answered within AnswerLifetime, and few answers in a row
  /// have been lost since.
  bool excuseLoss(Fingerprint RequestFingerprint, const ServiceId &Service,
                  MonotonicTime Now);
  /// When the request was last answered; empty if that is not known any more.
  std::optional<MonotonicTime> answeredAt(Fingerprint RequestFingerprint,
                                          const ServiceId &Service,
                                          MonotonicTime Now);

private:
  struct Answer {
    MonotonicTime At;
    /// Losses since then, and when the last one was counted.
    uint32_t Losses = 0;
    MonotonicTime LastLoss;
  };

  /// The last answer to the request; null if it is not known any more.
  Answer *find(Fingerprint RequestFingerprint, const ServiceId &Service,
               MonotonicTime Now);

  /// By a hash of fingerprint and service.
  GenerationalMap<uint64_t, Answer> Answers;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_ANSWERED_REQUESTS_H
