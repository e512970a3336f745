// What a backend server asks of its callers in its answers, and how far this
// host has to hold back because of it.
//
//   Pushback.record(Notice, SentAt, HostCount, Phase, Now);  // each answer
//   if (Pushback.nextSendAt(HostCount) <= Now)
//     Pushback.recordSend(HostCount, Now);                   // each request
//
// A rate limit is one amount for all hosts. Each host uses an equal share, by a
// token bucket (the generic cell rate algorithm of ATM Forum TM 4.1): the sum
// stays within the limit without messages between hosts. A host that learns of
// a limit starts with an empty bucket and a random phase, so that hosts that
// learn of it together do not send together.
//
// A pause is meant for this host alone. It ends with its time, and is cut to a
// bound, so that the words of one backend server cannot take a shard away for
// long.
//
// A backend server that is leaving gets no further requests until its process
// has restarted, which begins a new ServerPushback. One that says so for
// minutes and is still there is taken to be wrong.
//
// A limit may allow a host only one request in many seconds. So hosts tell each
// other when a limit is lifted (messages.h).
//
// Answers can overtake each other. A restriction applies from the answer that
// states it. It is lifted by an answer without it only if the request of that
// answer was sent later, since any other answer may be older.

#ifndef MIMOSA_BALANCE_SERVER_PUSHBACK_H
#define MIMOSA_BALANCE_SERVER_PUSHBACK_H

#include "base/time.h"
#include "routing/caller_request.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mimosa {

/// See the head of this file. The times that are passed in must not decrease.
class ServerPushback {
public:
  /// Records the notice in the answer to a request that was sent at \p SentAt.
  /// \p Phase is a random number from 0 to 1.
  void record(const ServerNotice &Notice, MonotonicTime SentAt,
              uint32_t HostCount, double Phase, MonotonicTime Now);
  /// Forgets that the backend server is leaving if it has been so for too long;
  /// must be called from time to time.
  void expire(MonotonicTime Now);
  /// Lifts the limit because another host has received an answer without it;
  /// false if there is none, or if it was stated so recently that it may be
  /// newer than that answer.
  bool liftLimit(MonotonicTime Now);
  /// Records that a request is sent.
  void recordSend(uint32_t HostCount, MonotonicTime Now);

  /// The earliest time at which this host, one of \p HostCount, may send the
  /// next request; the earliest of all times if it need not hold back.
  MonotonicTime nextSendAt(uint32_t HostCount) const;

  /// The mean time between two requests of one of \p HostCount hosts; 0 if the
  /// rate is not limited.
  Duration sendInterval(uint32_t HostCount) const;

  /// The rate that it accepts from all hosts together; empty if not limited.
  const std::optional<RequestRate> &limit() const { return Limit; }
  /// Whether it is shutting down and wants no further requests.
  bool leaving() const { return LeavingSince.has_value(); }
  MonotonicTime pausedUntil() const { return PausedUntil; }
  /// How often that which it asks for has changed.
  uint64_t changes() const { return Changes; }
  /// Which of its words holds back the next request and how old it is, for
  /// logs: "leaving/AGE", "paused/AGE" or "limited/AGE" with the milliseconds
  /// since it was heard last; "" if none does.
  std::string reasonHeldBack(uint32_t HostCount, MonotonicTime Now) const;
  /// What it asks for, for logs.
  std::string describe(MonotonicTime Now) const;

private:
  /// The time between two requests of one host.
  static Duration interval(RequestRate Limit, uint32_t HostCount);
  /// How far the requests of one host may run ahead of their interval.
  static Duration burstTolerance(Duration Interval);

  std::optional<RequestRate> Limit;
  /// Arrival of the last answer that stated the limit.
  MonotonicTime LimitStatedAt;
  /// When the next request is due if requests are sent at even intervals.
  MonotonicTime NextDueAt;
  MonotonicTime PausedUntil;
  MonotonicTime PauseStatedAt;
  std::optional<MonotonicTime> LeavingSince;
  uint64_t Changes = 0;
};

} // namespace mimosa

#endif // MIMOSA_BALANCE_SERVER_PUSHBACK_H
