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
  if (LostAttempts == 0 || Succeeded ||
      Answered.excuseLoss(RequestFingerprint, Service, Now))
    return std::nullopt;
  StrikeNotice Notice;
  Notice.Id = {Host, HostIncarnation, ++LastSequence};
  Notice.Service = Service;
  Notice.RequestFingerprint = RequestFingerprint;
  Strikes.add(Notice, Now);
  return Notice;
}

std::optional<StrikeWithdrawal>
CrashWatch::recordAnswer(Fingerprint RequestFingerprint,
                         const ServiceId &Service, MonotonicTime Now) {
  Answered.recordAnswer(RequestFingerprint, Service, Now);
  StrikeWithdrawal Out{Service, RequestFingerprint, Duration(0)};
  return Strikes.withdraw(Out, Now) ? std::optional(Out) : std::nullopt;
}

bool CrashWatch::strikeReceived(const StrikeNotice &Notice, MonotonicTime Now) {
  bool Added = Strikes.add(Notice, Now);
  auto AnsweredAt =
      Answered.answeredAt(Notice.RequestFingerprint, Notice.Service, Now);
  if (!Added || !AnsweredAt)
    return Added;
  // Kept as withdrawn, so that the hosts that count it learn of the answer.
  return !Strikes.withdraw(
      {Notice.Service, Notice.RequestFingerprint, Now - *AnsweredAt}, Now);
}

} // namespace mimosa
