#include "daemon/strike_driver.h"

#include "quarantine/strike_broadcast.h"

#include <memory>

namespace mimosa {

void StrikeDriver::broadcast(const StrikeNotice &Notice,
                             const std::vector<HostId> &Hosts) {
  struct PendingBroadcast {
    PendingBroadcast(const StrikeNotice &Notice,
                     const std::vector<HostId> &Hosts, MonotonicTime Now)
        : Broadcast(Notice, Hosts, Now) {}
    StrikeBroadcast Broadcast;
    FiberEvent Changed;
  };
  auto State =
      std::make_shared<PendingBroadcast>(Notice, Hosts, Context.Loop.now());
  std::string Body = packBody(Notice);
  // A copy, because replies change the broadcast's own list.
  std::vector<HostId> Recipients = State->Broadcast.recipients();
  for (const HostId &Host : Recipients)
    Context.Peers.request(
        Host, MessageType::StrikeNotice, Body, StrikeBroadcastTimeout,
        [State, Host](const Result<PeerFrame> &Reply) {
          auto Ack = ok(Reply) ? unpackBody<StrikeAck>(valueOf(Reply).Body)
                               : Result<StrikeAck>(errorOf(Reply));
          if (ok(Ack))
            State->Broadcast.onAck(valueOf(Ack));
          else
            State->Broadcast.stopWaitingFor(Host);
          State->Changed.set();
        });
  while (!State->Broadcast.complete(Context.Loop.now())) {
    State->Changed.waitUntil(State->Broadcast.deadline());
    State->Changed.clear();
  }
}

} // namespace mimosa
