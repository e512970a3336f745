// Tracks the health of the source of a host's store cache, which is the store
// or another host. Derives from it whether the cache is fresh and how long the
// next watch of the store may wait.
//
//   SourceHealth Source;
//   Source.recordAnswer(Now);           // before its changes are applied
//   Source.recordSuccess(UpToDateAt);   // after each call to the source
//   Source.recordFailure(Now);
//   Source.fresh(Now);
//
// * A failure shorter than FailureGrace does not make the cache stale:
//   otherwise all followers would switch to the store at the same time.
// * If the source is cut off silently, no failure shows until a wait has ended.
//   The cache is therefore also stale MaxAge after it was last known to be up
//   to date, so that followers can get changes from elsewhere in time.
// * A watch that is opened right after the store has dropped its history can
//   stay silent although there are changes. After a failure or a loss of
//   history, watches therefore wait only ShortestWait, and twice as long after
//   each success.

#ifndef MIMOSA_STORE_CACHE_SOURCE_HEALTH_H
#define MIMOSA_STORE_CACHE_SOURCE_HEALTH_H

#include "base/time.h"

#include <algorithm>
#include <optional>

namespace mimosa {

class SourceHealth {
public:
  /// If the store's answer is lost while its connection stays open, only the
  /// end of the wait shows it. Changes must be active within 3 s once the store
  /// has been stable for 4 s.
  static constexpr Duration LongestWait = Milliseconds(1700);
  static constexpr Duration ShortestWait = Milliseconds(400);
  static constexpr Duration FailureGrace = Milliseconds(1000);
  /// Changes must be active within 3 s. Followers are notified of a stale cache
  /// within 0.25 s and then call the store. A cache must not become stale
  /// during a usual watch, which takes 2 s with the pause before it and its
  /// round trip.
  static constexpr Duration MaxAge = Milliseconds(2400);

  /// Records a successful call after which the cache was up to date at \p At.
  void recordSuccess(MonotonicTime At) {
    UpToDateAt = std::max(UpToDateAt.value_or(At), At);
    FailingSince.reset();
    Wait = std::min<Duration>(LongestWait, Wait * 2);
  }
  void recordFailure(MonotonicTime Now) {
    HasFailed = true;
    RecoveredAt.reset();
    if (!FailingSince)
      FailingSince = Now;
    shortenWatches();
  }
  /// Records that the source has answered a call. The time of the first answer
  /// after a failure is recoveredAt().
  void recordAnswer(MonotonicTime Now) {
    if (!HasFailed || RecoveredAt)
      return;
    RecoveredAt = Now;
    if (FailingSince && Now - *FailingSince >= FailureGrace)
      OutageEndedAt = Now;
  }
  /// Records that the leader's source recovered at \p At.
  void recordReportedRecovery(MonotonicTime At) {
    HasFailed = true;
    RecoveredAt = std::max(RecoveredAt.value_or(At), At);
  }
  /// Records that the store was restored from an older copy: entries that are
  /// missing may be written again, as after an outage that ends at \p Now.
  void recordRestore(MonotonicTime Now) {
    HasFailed = true;
    RecoveredAt = Now;
    OutageEndedAt = Now;
    shortenWatches();
  }
  /// Makes the next watches wait briefly, since they may miss changes.
  void shortenWatches() { Wait = ShortestWait; }

  /// Whether the cache is up to date, short failures of the source aside.
  bool fresh(MonotonicTime Now) const {
    return UpToDateAt && age(Now) < MaxAge &&
           (!FailingSince || Now - *FailingSince < FailureGrace);
  }
  /// Time since the cache was last known to be up to date; 0 if it never was.
  Duration age(MonotonicTime Now) const {
    return UpToDateAt ? Now - *UpToDateAt : Duration(0);
  }
  /// When the cache was last known to be up to date; empty if it never was.
  std::optional<MonotonicTime> upToDateAt() const { return UpToDateAt; }
  /// How long the next watch of the store may wait.
  Duration watchWait() const { return Wait; }
  /// When the source recovered from its last failure, as seen by this host or
  /// its leader; empty if it has not failed, or still fails.
  std::optional<MonotonicTime> recoveredAt() const { return RecoveredAt; }
  /// When the last failure ended that was longer than FailureGrace.
  std::optional<MonotonicTime> outageEndedAt() const { return OutageEndedAt; }
  bool hasFailed() const { return HasFailed; }

private:
  std::optional<MonotonicTime> UpToDateAt;
  std::optional<MonotonicTime> FailingSince;
  std::optional<MonotonicTime> RecoveredAt;
  std::optional<MonotonicTime> OutageEndedAt;
  bool HasFailed = false;
  Duration Wait = LongestWait;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_SOURCE_HEALTH_H
