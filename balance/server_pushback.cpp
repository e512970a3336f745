#include "balance/server_pushback.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Share of a limit that is used. The rest covers requests that arrive closer
/// together than they were sent.
constexpr double LimitShare = 0.95;
/// A host may send as many requests at once as are due in this time.
constexpr Duration BurstTime = Milliseconds(500);
/// A lower limit counts as this one, since only an answer can show that it is
/// lifted.
constexpr double MinLimitPerSecond = 0.5;
/// A higher limit has no effect, and intervals would have no length.
constexpr double MaxLimitPerSecond = 100000;
/// A longer pause is cut to this one.
constexpr Duration MaxPause = Seconds(30);
/// A backend server that is leaving ends well within this time.
constexpr Duration MaxLeavingTime = Seconds(300);
/// Longer than a message from another host takes.
constexpr Duration MinStatementAge = Milliseconds(250);

} // namespace

Duration ServerPushback::interval(RequestRate Limit, uint32_t HostCount) {
  double PerSecond =
      std::clamp(Limit.PerSecond, MinLimitPerSecond, MaxLimitPerSecond);
  return scaled(Seconds(1), HostCount / (PerSecond * LimitShare));
}

Duration ServerPushback::burstTolerance(Duration Interval) {
  return std::max<Duration>(BurstTime - Interval, Duration(0));
}

void ServerPushback::record(const ServerNotice &Notice, MonotonicTime SentAt,
                            uint32_t HostCount, double Phase,
                            MonotonicTime Now) {
  if (Notice.Leaving && !LeavingSince) {
    LeavingSince = Now;
    ++Changes;
  }
  MonotonicTime PauseEnd = Now + std::min<Duration>(Notice.Pause, MaxPause);
  if (Notice.Pause > Duration(0) && PauseEnd > PausedUntil) {
    Changes += PausedUntil <= Now ? 1 : 0;
    PausedUntil = PauseEnd;
    PauseStatedAt = Now;
  }
  if (Notice.Limit) {
    Duration Interval = interval(*Notice.Limit, HostCount);
    Duration Tolerance = burstTolerance(Interval);
    if (!Limit)
      NextDueAt = Now + Tolerance + scaled(Interval, Phase);
    else
      NextDueAt = std::min(NextDueAt, Now + Tolerance + Interval);
    Changes += Limit != Notice.Limit ? 1 : 0;
    Limit = Notice.Limit;
    LimitStatedAt = Now;
  } else if (Limit && !Notice.Unreadable && SentAt > LimitStatedAt) {
    Limit.reset();
    ++Changes;
  }
}

void ServerPushback::expire(MonotonicTime Now) {
  if (!LeavingSince || Now - *LeavingSince <= MaxLeavingTime)
    return;
  LeavingSince.reset();
  ++Changes;
}

bool ServerPushback::liftLimit(MonotonicTime Now) {
  if (!Limit || Now - LimitStatedAt < MinStatementAge)
    return false;
  Limit.reset();
  ++Changes;
  return true;
}

void ServerPushback::recordSend(uint32_t HostCount, MonotonicTime Now) {
  if (Limit)
    NextDueAt = std::max(NextDueAt, Now) + interval(*Limit, HostCount);
}

MonotonicTime ServerPushback::nextSendAt(uint32_t HostCount) const {
  if (!Limit)
    return PausedUntil;
  return std::max(PausedUntil,
                  NextDueAt - burstTolerance(interval(*Limit, HostCount)));
}

Duration ServerPushback::sendInterval(uint32_t HostCount) const {
  return Limit ? interval(*Limit, HostCount) : Duration(0);
}

std::string ServerPushback::reasonHeldBack(uint32_t HostCount,
                                           MonotonicTime Now) const {
  auto Reason = [Now](const char *Word, MonotonicTime StatedAt) {
    return std::string(Word) + "/" +
           std::to_string(inMilliseconds(Now - StatedAt));
  };
  if (LeavingSince)
    return Reason("leaving", *LeavingSince);
  if (Now < PausedUntil)
    return Reason("paused", PauseStatedAt);
  if (Now < nextSendAt(HostCount))
    return Reason("limited", LimitStatedAt);
  return "";
}

std::string ServerPushback::describe(MonotonicTime Now) const {
  return std::string("leaving=") + (leaving() ? "1" : "0") + " limit_per_s=" +
         (Limit ? std::to_string(Limit->PerSecond) : std::string("none")) +
         " paused_ms=" +
         std::to_string(
             inMilliseconds(std::max<Duration>(PausedUntil - Now, Seconds(0))));
}

} // namespace mimosa
