// Keeps a request that crashes backend servers from crashing more than two
// (canary requests: Dean and Barroso, "The Tail at Scale", CACM 2013).
//
//   Fingerprint Print = queryFingerprint(Service, QueryText);
//   switch (Guard.decide(Print, Id, Now)) {
//   case QuarantineDecision::Run:     // all sub-requests at once
//   case QuarantineDecision::Canary:  // one sub-request, then canaryEnded()
//   case QuarantineDecision::Wait:    // until a QuarantineRelease names it
//   case QuarantineDecision::Refuse:  // quarantined; it did not run
//   case QuarantineDecision::Busy:    // overloaded; it did not run
//   }
//
// A fingerprint that is not known to be good has one canary at a time on this
// host. Further requests with it wait until the canary has ended:
// * good: all of them run;
// * backend server lost: this is a strike. After the first one the longest
//   waiting request becomes the next canary, after the second one all of them
//   are refused;
// * undecided (cancelled, refused by the backend server, deadline): the longest
//   waiting request becomes the next canary; but after a strike this counts as
//   another one, since the backend server may have been lost unseen.
// They wait rather than share the canary's answer, since their deadlines and
// their places in the queues differ. So one host loses at most two backend
// servers to a fingerprint within 10 min, however often it is sent at once.
//
// This holds only if a request whose canary lost its backend server asks
// decide() again before it is sent to another one.
//
// Own and other hosts' strikes count alike. A strike of this host is to be sent
// to the host set before its caller is answered, see strike_broadcast.h.
//
// A fingerprint known to be good that loses a backend server later is no longer
// known to be good (runLostBackend); its next request is a canary.

#ifndef MIMOSA_QUARANTINE_QUARANTINE_H
#define MIMOSA_QUARANTINE_QUARANTINE_H

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/known_good.h"
#include "quarantine/messages.h"
#include "quarantine/strike_store.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mimosa {

/// The fingerprint of a request.
Fingerprint queryFingerprint(const ServiceId &Service,
                             std::string_view QueryText);

/// What a request may do.
enum class QuarantineDecision { Run, Canary, Wait, Refuse, Busy };

/// How a canary has ended.
enum class CanaryEnd { Good, BackendLost, Undecided };

/// A waiting request and what it may do now: Run, Canary or Refuse.
struct QuarantineRelease {
  RequestId Id;
  QuarantineDecision Decision = QuarantineDecision::Refuse;
};

/// What follows from the end of a canary.
struct CanaryOutcome {
  /// Present if the end is a strike; to be sent to all hosts of the host set.
  std::optional<StrikeNotice> Strike;
  std::vector<QuarantineRelease> Released;
};

/// Settings of a Quarantine.
struct QuarantineOptions {
  Duration Lifetime = Seconds(600);
  size_t KnownGoodCapacity = 32768;
  size_t StrikeCapacity = 4096;
  /// Waiting requests of all fingerprints; further ones are Busy.
  size_t WaitingCapacity = 4096;
  /// A canary without an end counts as undecided after this time, which is
  /// longer than the longest deadline.
  Duration CanaryLifetime = Seconds(11);
};

/// Counters since the start.
struct QuarantineCounters {
  uint64_t Canaries = 0;
  uint64_t Waited = 0;
  uint64_t Refused = 0;
  uint64_t Busy = 0;
  uint64_t OwnStrikes = 0;
  uint64_t PeerStrikes = 0;
};

/// See the head of this file. All methods take a time that does not go back.
class Quarantine {
public:
  /// \p Host and \p HostIncarnation name this host's strikes.
  Quarantine(HostId Host, Incarnation HostIncarnation,
             QuarantineOptions Options = {});

  /// What the request \p Id with \p Print may do. A canary ends with exactly
  /// one canaryEnded().
  QuarantineDecision decide(Fingerprint Print, RequestId Id, MonotonicTime Now);

  /// Notes the end of the canary \p Id; ignored if \p Id is not the canary.
  CanaryOutcome canaryEnded(const ServiceId &Service, Fingerprint Print,
                            RequestId Id, CanaryEnd End, MonotonicTime Now);

  /// Takes a waiting request out, because it was cancelled or has expired;
  /// false if it was not waiting.
  bool stopWaiting(Fingerprint Print, RequestId Id);

  /// Notes that a request that was allowed to run lost a backend server.
  void runLostBackend(Fingerprint Print) { Good.remove(Print); }

  /// Counts another host's strike; returns the waiting requests to refuse.
  std::vector<QuarantineRelease> strikeReceived(const StrikeNotice &Notice,
                                                MonotonicTime Now);

  /// All strikes, for a host that joins the host set.
  std::vector<StrikeNotice> notices(MonotonicTime Now) const {
    return Strikes.notices(Now);
  }

  size_t strikes(Fingerprint Print, MonotonicTime Now) const {
    return Strikes.strikes(Print, Now);
  }
  size_t waiting() const { return WaitingCount; }
  const QuarantineCounters &counters() const { return Counters; }

private:
  /// A canary that runs, and who waits for it.
  struct Canary {
    RequestId Id;
    MonotonicTime StartedAt;
    std::deque<RequestId> Waiting;
  };
  using CanaryMap = std::unordered_map<Fingerprint, Canary>;

  std::vector<QuarantineRelease> releaseAll(Canary &Running,
                                            QuarantineDecision Decision);
  std::vector<QuarantineRelease> startNext(CanaryMap::iterator Running,
                                           MonotonicTime Now);

  HostId Host;
  Incarnation HostIncarnation;
  QuarantineOptions Options;
  QuarantineCounters Counters;
  KnownGood Good;
  StrikeStore Strikes;
  CanaryMap Canaries;
  size_t WaitingCount = 0;
  uint64_t LastSequence = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_QUARANTINE_H
