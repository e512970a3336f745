// Quarantines requests that crash every backend server that runs them. Without
// it, a caller that repeats such a request, at one host or at several, crashes
// one backend server after the other.
//
//   if (Crashes.quarantined(RequestFingerprint, Now))
//     refuse();  // the request does not run
//   ...
//   if (auto Notice = Crashes.recordAttempt(RequestFingerprint, Service,
//                                           LostAttempts, Succeeded, Now))
//     sendToHosts(*Notice);
//
// A request attempt that lost the connection to a backend server and got no
// answer from any other is a strike; strike_store.h defines how many strikes
// quarantine a request. A query that got the results of some of its shards is
// not a strike, because a lost reply or a crashed backend server affects single
// shards of harmless queries too.
//
// Answers are lost without a crash, too, and a backend server that crashes for
// another reason loses the answers to many harmless requests. A request that
// crashes each backend server which runs it is never answered. So an answer
// withdraws the strikes against its request at all hosts, and a few losses
// after it are no strikes, see answered_requests.h and
// docs/design/quarantine.md.

#ifndef MIMOSA_QUARANTINE_CRASH_WATCH_H
#define MIMOSA_QUARANTINE_CRASH_WATCH_H

#include "quarantine/answered_requests.h"
#include "quarantine/strike_store.h"

#include <optional>
#include <string_view>

namespace mimosa {

/// The fingerprint of an HTTP request: requests are equal if their host name,
/// request line and body are.
Fingerprint requestFingerprint(std::string_view Host,
                               std::string_view RequestLine,
                               std::string_view Body);

/// Counts the strikes of this host and its peers. See the head of this file.
class CrashWatch : public StrikeLog {
public:
  /// \p Host and \p HostIncarnation are part of the ids of this host's strikes.
  CrashWatch(HostId Host, Incarnation HostIncarnation);

  /// True if a request with this fingerprint must not run.
  bool quarantined(Fingerprint RequestFingerprint, MonotonicTime Now) const {
    return Strikes.quarantined(RequestFingerprint, Now);
  }
  /// Handles the end of a request attempt, of which \p LostAttempts attempts at
  /// backend servers were lost. If it is a strike, counts it and returns a
  /// notice for the other hosts.
  std::optional<StrikeNotice> recordAttempt(Fingerprint RequestFingerprint,
                                            const ServiceId &Service,
                                            uint32_t LostAttempts,
                                            bool Succeeded, MonotonicTime Now);
  /// Handles a request attempt that a backend server of \p Service has answered
  /// and that lost no other one. If this withdraws strikes, returns a message
  /// for the other hosts.
  std::optional<StrikeWithdrawal> recordAnswer(Fingerprint RequestFingerprint,
                                               const ServiceId &Service,
                                               MonotonicTime Now);
  bool strikeReceived(const StrikeNotice &Notice, MonotonicTime Now) override;
  void withdrawalReceived(const StrikeWithdrawal &Withdrawal,
                          MonotonicTime Now) override {
    Strikes.withdraw(Withdrawal, Now);
  }
  const StrikeStore &strikeStore() const override { return Strikes; }

private:
  HostId Host;
  Incarnation HostIncarnation;
  StrikeStore Strikes;
  AnsweredRequests Answered;
  uint64_t LastSequence = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_CRASH_WATCH_H
