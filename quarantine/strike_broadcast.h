// Tracks the broadcast of a strike to the host set of a service. The caller of
// the request gets its answer only when the broadcast is complete, because it
// may then repeat the request at any of these hosts. Performs no I/O.
//
//   StrikeBroadcast Broadcast(Notice, Hosts, Now);
//   for (const HostId &Host : Broadcast.recipients()) send(Host, Notice);
//   Broadcast.onAck(Ack);                         // on each StrikeAck
//   Broadcast.stopWaitingFor(Host);               // if the notice is not sent
//   if (Broadcast.complete(Now)) answerCaller();  // also at deadline()

#ifndef MIMOSA_QUARANTINE_STRIKE_BROADCAST_H
#define MIMOSA_QUARANTINE_STRIKE_BROADCAST_H

#include "base/time.h"
#include "quarantine/messages.h"

#include <vector>

namespace mimosa {

/// Longest time that the caller's answer waits for acknowledgements. A host
/// that has not acknowledged by then is down or unreachable, so few repeated
/// requests reach it.
constexpr Duration StrikeBroadcastTimeout = Milliseconds(50);

/// See the head of this file.
class StrikeBroadcast {
public:
  /// \p Hosts is the host set. The host that detected the strike is left out of
  /// the recipients.
  StrikeBroadcast(StrikeNotice Notice, const std::vector<HostId> &Hosts,
                  MonotonicTime Now);

  const StrikeNotice &notice() const { return Notice; }

  const std::vector<HostId> &recipients() const { return Recipients; }

  /// Recipients whose acknowledgement the broadcast waits for.
  const std::vector<HostId> &unacknowledged() const { return Unacknowledged; }

  /// Handles an acknowledgement; those of other strikes are ignored.
  void onAck(const StrikeAck &Ack);

  /// Stops waiting for \p Host, for example because it cannot be reached.
  void stopWaitingFor(const HostId &Host);

  /// True if no acknowledgement is outstanding or the deadline has passed.
  bool complete(MonotonicTime Now) const {
    return Unacknowledged.empty() || Now >= EndsAt;
  }

  /// When the broadcast completes even without all acknowledgements.
  MonotonicTime deadline() const { return EndsAt; }

private:
  StrikeNotice Notice;
  std::vector<HostId> Recipients;
  std::vector<HostId> Unacknowledged;
  MonotonicTime EndsAt;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_STRIKE_BROADCAST_H
