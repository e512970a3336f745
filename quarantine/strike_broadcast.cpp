#include "quarantine/strike_broadcast.h"

#include <algorithm>
#include <utility>

namespace mimosa {

StrikeBroadcast::StrikeBroadcast(StrikeNotice Notice,
                                 const std::vector<HostId> &Hosts,
                                 MonotonicTime Now)
    : Notice(std::move(Notice)), EndsAt(Now + StrikeBroadcastTimeout) {
  for (const HostId &Host : Hosts)
    if (Host != this->Notice.Id.Host)
      Recipients.push_back(Host);
  Unacknowledged = Recipients;
}

void StrikeBroadcast::onAck(const StrikeAck &Ack) {
  if (Ack.Id == Notice.Id)
    stopWaitingFor(Ack.Sender);
}

void StrikeBroadcast::stopWaitingFor(const HostId &Host) {
  Unacknowledged.erase(
      std::remove(Unacknowledged.begin(), Unacknowledged.end(), Host),
      Unacknowledged.end());
}

} // namespace mimosa
