// What a host's calls for its picture say about their source, and how long the
// next watch may wait.
//
// * A failure of less than the grace does not make the picture stale: followers
//   that left at once would all turn to the store in the same moment.
// * A source that was cut off silently shows no failure until a wait has ended.
//   A picture is therefore also stale some time after it was last known to be
//   up to date, so that followers learn of a change elsewhere in time.
// * A watch that is opened right after the store has dropped its history can
//   stay silent though there are changes (seen on the users' bench: for 5 s).
//   Watches therefore wait briefly after a failure or a loss of history, and
//   twice as long each time that they end well.

#ifndef MIMOSA_STORE_CACHE_SOURCE_HEALTH_H
#define MIMOSA_STORE_CACHE_SOURCE_HEALTH_H

#include "base/time.h"

#include <algorithm>
#include <optional>

namespace mimosa {

class SourceHealth {
public:
  /// The store's answer may be lost while its connection stays open, so that
  /// only the end of the wait shows it. Changes must be in force within 3 s
  /// once the store has been stable for 4 s.
  static constexpr Duration LongestWait = Milliseconds(1700);
  static constexpr Duration ShortestWait = Milliseconds(400);
  static constexpr Duration FailureGrace = Milliseconds(1000);
  /// Changes must be in force within 3 s. Followers notice a stale picture
  /// within 0.25 s and then ask the store; a usual wait with its pause before
  /// and its way takes 2 s.
  static constexpr Duration MaxAge = Milliseconds(2400);

  /// The picture was up to date at \p At.
  void recordSuccess(MonotonicTime At) {
    UpToDateAt = std::max(UpToDateAt.value_or(At), At);
    FailingSince.reset();
    Wait = std::min<Duration>(LongestWait, Wait * 2);
  }
  void recordFailure(MonotonicTime Now) {
    LastFailed = Now;
    if (!FailingSince)
      FailingSince = Now;
    shortenWatches();
  }
  /// The host that this one follows last saw a failure at \p At.
  void recordReportedFailure(MonotonicTime At) {
    LastFailed = std::max(LastFailed.value_or(At), At);
  }
  /// The next watches may stay silent.
  void shortenWatches() { Wait = ShortestWait; }

  /// Whether the picture is up to date but for a short failure.
  bool fresh(MonotonicTime Now) const {
    return UpToDateAt && age(Now) < MaxAge &&
           (!FailingSince || Now - *FailingSince < FailureGrace);
  }
  /// Time since the picture was known to be up to date; 0 before that.
  Duration age(MonotonicTime Now) const {
    return UpToDateAt ? Now - *UpToDateAt : Duration(0);
  }
  Duration watchWait() const { return Wait; }
  std::optional<MonotonicTime> lastFailure() const { return LastFailed; }

private:
  std::optional<MonotonicTime> UpToDateAt;
  std::optional<MonotonicTime> FailingSince;
  std::optional<MonotonicTime> LastFailed;
  Duration Wait = LongestWait;
};

} // namespace mimosa

#endif // MIMOSA_STORE_CACHE_SOURCE_HEALTH_H
