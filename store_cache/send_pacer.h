// Paces what a host sends over a link that it shares with more urgent traffic,
// so that bytes which may wait do so here and not in front of others in the
// queue of the link.
//
//   SendPacer Pacer(BytesPerSecond);
//   if (Pacer.maySend(Now))
//     Pacer.recordSent(Bytes, Now);
//   else
//     retryAt(Pacer.nextSendAt());
//
// The load for which it is made: all hosts of a zone ask one host for many
// changes at once, because their leader has failed or many backend servers were
// replaced, while callers' requests run over the same link.

#ifndef MIMOSA_STORE_CACHE_SEND_PACER_H
#define MIMOSA_STORE_CACHE_SEND_PACER_H

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace mimosa {

class SendPacer {
public:
  explicit SendPacer(double BytesPerSecond) : BytesPerSecond(BytesPerSecond) {}

  /// A message may begin while at most Burst of earlier ones is left to send.
  bool maySend(MonotonicTime Now) const { return Now >= nextSendAt(); }
  MonotonicTime nextSendAt() const { return SentUntil - Burst; }
  void recordSent(size_t Bytes, MonotonicTime Now) {
    SentUntil = std::max(SentUntil, Now) +
                Duration(static_cast<int64_t>(static_cast<double>(Bytes) /
                                              BytesPerSecond * 1e6));
  }

private:
  /// Covers late timers.
  static constexpr Duration Burst = Milliseconds(25);

  double BytesPerSecond;
  /// When all messages so far are sent at the permitted rate.
  MonotonicTime SentUntil;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_SEND_PACER_H
