// The times of a planned stop.
//
// Callers keep an address for seconds after the directory has ceased to name
// it, so that a stopping host goes on to accept requests. Each request that it
// has read is answered before the process ends: it is served, refused as not
// run, or, if it takes too long, ended as unknown at finishBy(). See
// CallScheduler::endCallsBy() for which requests are sent on until then.
//
// Performs no I/O; the caller passes the time.

#ifndef MIMOSA_ENTRY_SHUTDOWN_PLAN_H
#define MIMOSA_ENTRY_SHUTDOWN_PLAN_H

#include "base/time.h"

namespace mimosa {

class ShutdownPlan {
public:
  /// The process is killed \p Limit after \p Begin.
  ShutdownPlan(MonotonicTime Begin, Duration Limit)
      : Begin(Begin), Limit(Limit) {}

  /// Until then requests may begin.
  MonotonicTime acceptUntil() const;
  /// By then each request must have ended.
  MonotonicTime finishBy() const;
  /// By then the process ends, whether or not all answers have been written.
  MonotonicTime exitBy() const;

private:
  MonotonicTime Begin;
  Duration Limit;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_SHUTDOWN_PLAN_H
