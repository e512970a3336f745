// A TCP connection that carries frames, used by PeerServer and PeerClient. For
// use within runtime/ only.

#ifndef MIMOSA_RUNTIME_PEER_STREAM_H
#define MIMOSA_RUNTIME_PEER_STREAM_H

#include "runtime/asio_fiber.h"
#include "runtime/peer.h"

namespace mimosa {

class PeerStream : public std::enable_shared_from_this<PeerStream> {
public:
  PeerStream(FiberLoop &Loop, PeerTraffic &Traffic);

  /// Connects to \p Endpoint; fails with PeerUnreachable.
  Result<Done> connect(const tcp::endpoint &Endpoint, Duration Timeout);
  tcp::socket &socket() { return Socket; }
  /// Sets socket options and allows reading and writing. To be called once the
  /// socket is connected.
  void onConnected();
  /// From now on the stream holds no more memory than the budget of \p Address
  /// allows, and is closed when it would. Returns false if there is no room for
  /// it.
  bool openAccount(IngressAddress &Address);

  /// Queues \p Frame, which is written after the current round of the event
  /// loop. Drops it if the connection is closed or its queue is full.
  void write(const PeerFrame &Frame);

  /// Reads frames until the connection ends, and passes each to \p Handle. If
  /// the stream has an account, it reads on only while few frames are handled.
  void readFrames(const std::function<void(PeerFrame)> &Handle);

  /// Counts a frame as being handled until the result is destroyed.
  std::shared_ptr<void> countHandled();

  void close();
  bool isOpen() const { return Open; }
  MonotonicTime lastUse() const { return LastUse; }

private:
  void readUntilClosed(const std::function<void(PeerFrame)> &Handle);
  void flush();
  /// Suspends the calling fiber while too many frames are handled.
  void awaitReplies();
  /// Accounts for all buffers; closes the stream if there is no room.
  bool hold();

  FiberLoop &Loop;
  PeerTraffic &Traffic;
  tcp::socket Socket;
  /// Encoded frames that are not being written yet.
  std::string QueuedBytes;
  std::string WriteBuffer;
  /// Bytes that were received and are not a complete frame yet.
  std::string Received;
  /// Empty for connections that this process has opened.
  std::unique_ptr<IngressAccount> Account;
  bool FlushScheduled = false;
  bool Open = false;
  /// Frames that are being handled, and set when there are fewer.
  size_t Handled = 0;
  FiberEvent HandledChanged;
  MonotonicTime LastUse;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_PEER_STREAM_H
