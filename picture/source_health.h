// What a host's calls for its picture say about their source, and how long the
// next watch may wait.
//
// * A failure of less than the grace does not make the picture stale: followers
//   that left at once would all turn to the store in the same moment.
// * A watch that is opened right after the store has dropped its history can
//   stay silent though there are changes (seen on the users' bench: for 5 s).
//   Watches therefore wait briefly after a failure or a loss of history, and
//   twice as long each time that they end well.

#ifndef MIMOSA_PICTURE_SOURCE_HEALTH_H
#define MIMOSA_PICTURE_SOURCE_HEALTH_H

#include "base/time.h"

#include <algorithm>
#include <optional>

namespace mimosa {

class SourceHealth {
public:
  /// The store's answer may be lost while its connection stays open, so that
  /// only the end of the wait shows it. Changes must be in force within 3 s
  /// once the store has been stable for 4 s.
  static constexpr Duration LongestWait = Milliseconds(2000);
  static constexpr Duration FirstWait = Milliseconds(400);
  static constexpr Duration Grace = Milliseconds(1000);

  void succeeded() {
    Works = true;
    FailingSince.reset();
    Wait = std::min<Duration>(LongestWait, Wait * 2);
  }
  void failed(MonotonicTime Now) {
    LastFailed = Now;
    if (!FailingSince)
      FailingSince = Now;
    distrust();
  }
  /// The host that this one follows last saw a failure at \p At.
  void failedElsewhere(MonotonicTime At) {
    LastFailed = std::max(LastFailed.value_or(At), At);
  }
  /// The next watches may stay silent.
  void distrust() { Wait = FirstWait; }

  /// Whether the picture is up to date but for a short failure.
  bool fresh(MonotonicTime Now) const {
    return Works && (!FailingSince || Now - *FailingSince < Grace);
  }
  Duration watchWait() const { return Wait; }
  std::optional<MonotonicTime> lastFailure() const { return LastFailed; }

private:
  /// There has been a success.
  bool Works = false;
  std::optional<MonotonicTime> FailingSince;
  std::optional<MonotonicTime> LastFailed;
  Duration Wait = LongestWait;
};

} // namespace mimosa

#endif // MIMOSA_PICTURE_SOURCE_HEALTH_H
