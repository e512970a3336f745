// Tells all hosts of a service's host set of a strike before the caller of the
// request hears of it, since the caller may send the request again to any of
// them at once.
//
//   StrikeBroadcast Broadcast(Notice, Hosts, Now);
//   for (const HostId &Host : Broadcast.recipients()) send(Host, Notice);
//   Broadcast.acknowledged(Ack);   // on each StrikeAck
//   Broadcast.failed(Host);        // if the notice cannot be sent
//   if (Broadcast.complete(Now)) answerCaller();  // also at deadline()

#ifndef MIMOSA_QUARANTINE_STRIKE_BROADCAST_H
#define MIMOSA_QUARANTINE_STRIKE_BROADCAST_H

#include "base/time.h"
#include "quarantine/messages.h"

#include <vector>

namespace mimosa {

/// Longest time that the caller's answer waits for acknowledgements. A host
/// that has not answered by then is down or cut off, and takes few requests.
constexpr Duration StrikeBroadcastTimeout = Milliseconds(50);

/// See the head of this file.
class StrikeBroadcast {
public:
  /// \p Hosts are the hosts of the set; the sender of \p Notice is left out.
  StrikeBroadcast(StrikeNotice Notice, const std::vector<HostId> &Hosts,
                  MonotonicTime Now);

  const StrikeNotice &notice() const { return Notice; }

  /// Hosts to send the notice to.
  const std::vector<HostId> &recipients() const { return Recipients; }

  /// Hosts that have not acknowledged and have not failed.
  const std::vector<HostId> &missing() const { return Missing; }

  /// Notes an acknowledgement; those of other strikes are ignored.
  void acknowledged(const StrikeAck &Ack);

  /// Notes that \p Host cannot be reached. It is not waited for.
  void failed(const HostId &Host);

  /// Whether all hosts have acknowledged or failed, or the time is over.
  bool complete(MonotonicTime Now) const {
    return Missing.empty() || Now >= EndsAt;
  }

  /// When the broadcast is complete in any case.
  MonotonicTime deadline() const { return EndsAt; }

private:
  StrikeNotice Notice;
  std::vector<HostId> Recipients;
  std::vector<HostId> Missing;
  MonotonicTime EndsAt;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_STRIKE_BROADCAST_H
