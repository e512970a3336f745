// Keeps a query that crashes backend servers from crashing more than two of
// them (canary requests: Dean and Barroso, "The Tail at Scale", CACM 2013).
//
//   Fingerprint RequestFingerprint = queryFingerprint(Service, QueryText);
//   switch (Guard.decide(RequestFingerprint, Id, Now)) {
//   case QuarantineDecision::Run:     // all sub-requests at once
//   case QuarantineDecision::Canary:  // one sub-request, then canaryEnded()
//   case QuarantineDecision::Wait:    // until a QuarantineRelease contains Id
//   case QuarantineDecision::Refuse:  // quarantined; it did not run
//   case QuarantineDecision::Busy:    // too many wait; it did not run
//   }
//
// A fingerprint that is not known to be good has one canary at a time on this
// host. Further requests with the fingerprint wait for the end of the canary:
// * Good: all waiting requests run.
// * BackendLost: the canary's backend server was lost, which is a strike. After
//   the first strike the longest waiting request becomes the next canary; after
//   the second one all waiting requests are refused.
// * Undecided (cancelled, refused by the backend server, or past its deadline):
//   the longest waiting request becomes the next canary. If the fingerprint
//   already has a strike, an undecided canary counts as the second one, because
//   it may have crashed its backend server undetected.
// Waiting requests do not share the canary's answer, because their deadlines
// and queue positions differ. One host loses at most two backend servers to a
// fingerprint within 10 min, however many requests with it arrive at once. This
// holds only if a request whose canary lost its backend server calls decide()
// again before it is sent to another backend server.
//
// Strikes of this host and of other hosts count alike. The caller of this class
// sends a strike of this host to the host set before it answers the request;
// see strike_broadcast.h.
//
// runLostBackend() and every strike end a fingerprint's known-good state; its
// next request is a canary.

#ifndef MIMOSA_QUARANTINE_QUARANTINE_H
#define MIMOSA_QUARANTINE_QUARANTINE_H

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/known_good_set.h"
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

/// The fingerprint of a query: a hash of its service and its text.
Fingerprint queryFingerprint(const ServiceId &Service,
                             std::string_view QueryText);

/// What a request may do.
enum class QuarantineDecision { Run, Canary, Wait, Refuse, Busy };

/// The result of a canary.
enum class CanaryEnd { Good, BackendLost, Undecided };

/// A request that no longer waits, and what it may do: Run, Canary or Refuse.
struct QuarantineRelease {
  RequestId Id;
  QuarantineDecision Decision = QuarantineDecision::Refuse;
};

/// Actions that follow from the end of a canary.
struct CanaryOutcome {
  /// A strike to send to all hosts of the host set.
  std::optional<StrikeNotice> Strike;
  std::vector<QuarantineRelease> Released;
};

struct QuarantineOptions {
  /// Time from the last strike until a fingerprint's strikes expire.
  Duration Lifetime = Seconds(600);
  size_t KnownGoodCapacity = 32768;
  size_t StrikeCapacity = 4096;
  /// Waiting requests of all fingerprints; further requests get Busy.
  size_t MaxWaiting = 4096;
  /// After this time a canary that has not ended is replaced by the next
  /// request. It is longer than the longest deadline.
  Duration CanaryLifetime = Seconds(11);
};

/// Counters since construction.
struct QuarantineCounters {
  uint64_t Canaries = 0;
  uint64_t Waited = 0;
  uint64_t Refused = 0;
  uint64_t Busy = 0;
  uint64_t OwnStrikes = 0;
  uint64_t PeerStrikes = 0;
};

/// See the head of this file. Times passed as \p Now must not decrease.
class Quarantine {
public:
  /// \p Host and \p HostIncarnation are part of the ids of this host's strikes.
  Quarantine(HostId Host, Incarnation HostIncarnation,
             QuarantineOptions Options = {});

  /// Decides what the request \p Id may do. For each Canary, canaryEnded() must
  /// be called exactly once.
  QuarantineDecision decide(Fingerprint RequestFingerprint, RequestId Id,
                            MonotonicTime Now);

  /// Handles the end of the canary \p Id. If \p Id is no longer the
  /// fingerprint's canary, only a strike is counted.
  CanaryOutcome canaryEnded(const ServiceId &Service,
                            Fingerprint RequestFingerprint, RequestId Id,
                            CanaryEnd End, MonotonicTime Now);

  /// Removes a waiting request that was cancelled or whose deadline has passed;
  /// false if it was not waiting.
  bool stopWaiting(Fingerprint RequestFingerprint, RequestId Id);

  /// Handles the loss of a backend server to a request that got Run.
  void runLostBackend(Fingerprint RequestFingerprint) {
    KnownGood.remove(RequestFingerprint);
  }

  /// Counts another host's strike. Returns the waiting requests that are
  /// refused because of it.
  std::vector<QuarantineRelease> strikeReceived(const StrikeNotice &Notice,
                                                MonotonicTime Now);

  const StrikeStore &strikeStore() const { return Strikes; }

  size_t strikes(Fingerprint RequestFingerprint, MonotonicTime Now) const {
    return Strikes.strikes(RequestFingerprint, Now);
  }
  size_t waiting() const { return WaitingCount; }
  const QuarantineCounters &counters() const { return Counters; }

private:
  /// A running canary and the requests that wait for its end.
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
  KnownGoodSet KnownGood;
  StrikeStore Strikes;
  CanaryMap Canaries;
  size_t WaitingCount = 0;
  uint64_t LastSequence = 0;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_QUARANTINE_H
