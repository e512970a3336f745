// Shares the strikes of this host with the others: connects a StrikeLog and
// StrikeExchange with the clock, the frames between hosts and the metrics.
//
//   StrikeSharing Sharing(Loop, Peers, Self, Strikes, Rng, Metrics);
//   Sharing.start(Seeds);
//   Sharing.setHosts(OtherHosts);
//   Sharing.broadcast(Notice);      // for each strike of this host

#ifndef MIMOSA_QUARANTINE_STRIKE_SHARING_H
#define MIMOSA_QUARANTINE_STRIKE_SHARING_H

#include "quarantine/strike_exchange.h"
#include "runtime/fiber_loop.h"
#include "runtime/metrics.h"
#include "runtime/peer.h"

namespace mimosa {

class StrikeSharing {
public:
  StrikeSharing(FiberLoop &Loop, PeerClient &Peers, const HostId &Self,
                StrikeLog &Strikes, Random &Rng, MetricsRegistry &Metrics);

  /// Asks \p Seeds, and from now on the hosts of setHosts(), for their strikes.
  void start(const std::vector<HostId> &Seeds);
  /// Sets the peer addresses of all other hosts.
  void setHosts(std::vector<HostId> Others);
  /// Sends a strike of this host to all others.
  void broadcast(const StrikeNotice &Notice);
  /// Tells all others of an answer to a request with strikes.
  void broadcast(const StrikeWithdrawal &Withdrawal);
  /// Handles a frame of another host; false if it is not about strikes.
  bool handleFrame(const PeerFrame &Frame, const PeerReplier &Reply);

private:
  void sendQueries();
  void receiveStrike(const PeerFrame &Frame);
  void receiveWithdrawal(const PeerFrame &Frame);
  void answerQuery(const PeerFrame &Frame, const PeerReplier &Reply);
  void receiveReport(const HostId &From, const Result<PeerFrame> &Reply);

  FiberLoop &Loop;
  PeerClient &Peers;
  HostId Self;
  StrikeLog &Strikes;
  StrikeExchange Exchange;
  std::vector<HostId> Others;
  bool Listed = false;
  uint64_t AdoptedStrikes = 0;
  ScopedTimer QueryTimer;
};

} // namespace mimosa

#endif // MIMOSA_QUARANTINE_STRIKE_SHARING_H
