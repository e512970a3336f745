// The requests that backend servers have answered lately, as evidence that a
// lost answer to an equal request does not show a crash. It is made for hosts
// that answer thousands of different requests a second: the table has a fixed
// size, and an entry is replaced by the next request with its slot. Requests
// that are repeated often, for which the evidence matters most, are soon in the
// table again.

#ifndef MIMOSA_QUARANTINE_ANSWERED_REQUESTS_H
#define MIMOSA_QUARANTINE_ANSWERED_REQUESTS_H

#include "base/time.h"
#include "quarantine/messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosa {

/// See the head of this file. The times that are passed in must not decrease.
class AnsweredRequests {
public:
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
                                          MonotonicTime Now) const;

private:
  struct Entry {
    uint64_t Key = 0;
    MonotonicTime AnsweredAt;
    MonotonicTime LastLoss;
    /// Losses since AnsweredAt.
    uint32_t Losses = 0;
  };

  static uint64_t keyOf(Fingerprint RequestFingerprint,
                        const ServiceId &Service);
  /// The entry of the request; null if there is none.
  const Entry *find(uint64_t Key, MonotonicTime Now) const;

  /// Empty until the first answer.
  std::vector<Entry> Entries;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_ANSWERED_REQUESTS_H
