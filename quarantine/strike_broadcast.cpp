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
  Missing = Recipients;
}

void StrikeBroadcast::acknowledged(const StrikeAck &Ack) {
  if (Ack.Id == Notice.Id)
    failed(Ack.Sender);
}

void StrikeBroadcast::failed(const HostId &Host) {
  Missing.erase(std::remove(Missing.begin(), Missing.end(), Host),
                Missing.end());
}

} // namespace mimosa
