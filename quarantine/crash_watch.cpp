#include "quarantine/crash_watch.h"

#include "base/rendezvous.h"

namespace mimosa {

namespace {
/// A strike takes about 100 bytes. Lost replies to harmless requests cause up
/// to some hundred strikes per minute.
constexpr size_t StrikeCapacity = 4096;
/// Callers repeat a failed request for minutes.
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
CrashWatch::recordAttempt(Fingerprint RequestFingerprint,
                          const ServiceId &Service, uint32_t LostAttempts,
                          bool Succeeded, MonotonicTime Now) {
  if (LostAttempts == 0 || Succeeded)
    return std::nullopt;
  StrikeNotice Notice;
  Notice.Id = {Host, HostIncarnation, ++LastSequence};
  Notice.Service = Service;
  Notice.RequestFingerprint = RequestFingerprint;
  Strikes.add(Notice, Now);
  return Notice;
}

} // namespace mimosa
