#include "quarantine/crash_watch.h"

#include "base/rendezvous.h"

namespace mimosa {

namespace {
/// A strike takes about 100 bytes; lost answers of harmless requests make up to
/// some hundred a minute.
constexpr size_t StrikeCapacity = 4096;
/// Callers send such a request again for minutes.
constexpr Duration StrikeLifetime = Seconds(600);
} // namespace

Fingerprint requestFingerprint(std::string_view Host,
                               std::string_view RequestLine,
                               std::string_view Body) {
  return Fingerprint(hash64(Body, hash64(RequestLine, hash64(Host))));
}

CrashWatch::CrashWatch(HostId Host, Incarnation HostIncarnation)
    : Host(std::move(Host)), HostIncarnation(HostIncarnation),
      Strikes(StrikeCapacity, StrikeLifetime) {}

std::optional<StrikeNotice>
CrashWatch::recordAttempt(Fingerprint Print, const ServiceId &Service,
                          uint32_t Lost, bool Succeeded, MonotonicTime Now) {
  if (Lost == 0 || Succeeded)
    return std::nullopt;
  StrikeNotice Notice;
  Notice.Id = {Host, HostIncarnation, ++LastSequence};
  Notice.Service = Service;
  Notice.Print = Print;
  Strikes.add(Notice, Now);
  return Notice;
}

} // namespace mimosa
