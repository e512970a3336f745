// Contains requests that crash each backend server that runs them, and that
// their callers send again, at any host.
//
//   if (Crashes.quarantined(Print, Now))
//     refuse();                               // it has not run
//   ...
//   if (auto Notice = Crashes.recordAttempt(Print, Service, Lost, Succeeded,
//   Now))
//     sendToHosts(*Notice);
//
// A try of a request that lost the connection to a backend server, and got no
// answer from any, is a strike; see strike_store.h for how many it takes. A
// query of which some parts were answered is none: lost answers and crashed
// backend servers hit single parts of harmless queries.

#ifndef MIMOSA_QUARANTINE_CRASH_WATCH_H
#define MIMOSA_QUARANTINE_CRASH_WATCH_H

#include "quarantine/strike_store.h"

#include <optional>
#include <string_view>

namespace mimosa {

/// What makes two requests the same: host name, request line and body.
Fingerprint requestFingerprint(std::string_view Host,
                               std::string_view RequestLine,
                               std::string_view Body);

class CrashWatch {
public:
  /// \p Host and \p HostIncarnation name this host's strikes.
  CrashWatch(HostId Host, Incarnation HostIncarnation);

  bool quarantined(Fingerprint Print, MonotonicTime Now) const {
    return Strikes.quarantined(Print, Now);
  }
  /// Notes the end of a try with \p Lost lost sends. The strike to tell other
  /// hosts of, if it is one.
  std::optional<StrikeNotice> recordAttempt(Fingerprint Print,
                                            const ServiceId &Service,
                                            uint32_t Lost, bool Succeeded,
                                            MonotonicTime Now);
  /// Notes another host's strike.
  void strikeReceived(const StrikeNotice &Notice, MonotonicTime Now) {
    Strikes.add(Notice, Now);
  }

private:
  HostId Host;
  Incarnation HostIncarnation;
  StrikeStore Strikes;
  uint64_t LastSequence = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_CRASH_WATCH_H
