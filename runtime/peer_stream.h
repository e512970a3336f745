// One TCP connection that carries frames; shared by PeerServer and PeerClient.
// Only runtime/ includes this.

#ifndef MIMOSA_RUNTIME_PEER_STREAM_H
#define MIMOSA_RUNTIME_PEER_STREAM_H

#include "runtime/asio_fiber.h"
#include "runtime/peer.h"

namespace mimosa {

class PeerStream : public std::enable_shared_from_this<PeerStream> {
public:
  PeerStream(FiberLoop &Loop, PeerTraffic &Traffic);

  /// Fails with PeerUnreachable.
  Result<Done> connect(const tcp::endpoint &To, Duration Limit);
  tcp::socket &socket() { return Socket; }
  /// Sets socket options; call after accepting or connecting.
  void opened();

  /// Queues \p Frame; it is written after the current round of the event loop.
  void write(const PeerFrame &Frame);

  /// Reads frames until the connection ends and hands each to \p Take.
  void readFrames(const std::function<void(PeerFrame)> &Take);

  void close();
  bool isOpen() const { return Open; }
  MonotonicTime lastUse() const { return LastUse; }

private:
  void flush();

  FiberLoop &Loop;
  PeerTraffic &Traffic;
  tcp::socket Socket;
  std::string Waiting;
  std::string Writing;
  bool FlushScheduled = false;
  bool Open = false;
  MonotonicTime LastUse;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_PEER_STREAM_H
