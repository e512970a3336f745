// Frames between daemons over TCP. A frame is a 4-byte big-endian length and a
// MessagePack array [protocol version, type, request id, body map].
//
// PeerServer takes frames from other daemons; PeerClient sends them. A reply
// travels back on the connection that carried its request, so PeerClient only
// ever receives replies:
//
//   Result<PeerFrame> Reply =
//       Peers.call(Host, MessageType::VoteRequest, Body, Milliseconds(300));
//   Peers.send(Host, MessageType::MembershipUpdate, Body);
//
// Connections are opened when needed and closed when idle. Writes of one round
// of the event loop are joined into one system call.

#ifndef MIMOSA_RUNTIME_PEER_H
#define MIMOSA_RUNTIME_PEER_H

#include "base/ids.h"
#include "runtime/fiber_loop.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosa {

/// Types of frames; the numbers are part of the protocol.
enum class MessageType : uint32_t {
  Probe = 1,
  ProbeReply = 2,
  IndirectProbe = 3,
  MembershipUpdate = 4,
  MembershipExchange = 5,
  MembershipExchangeReply = 6,
  ConfigPull = 7,
  ConfigDocument = 8,
  VoteRequest = 12,
  VoteReply = 13,
  OwnershipRelease = 14,
  BackendSummary = 15,
  OwnerAnnouncement = 16,
  ClaimRequest = 20,
  ClaimReply = 21,
  StrikeNotice = 22,
  StrikeAck = 23,
  ClaimOutcome = 24,
  Dispatch = 30,
  DispatchReply = 31,
  DispatchCancel = 32,
  StoreCacheRequest = 40,
  StoreCacheReply = 41,
  StoreCacheOffer = 42,
};

/// One past the highest known type.
constexpr uint32_t MessageTypeLimit = 64;
constexpr size_t MaxFrameBytes = 2 << 20;

struct PeerFrame {
  MessageType Type = MessageType::Probe;
  uint64_t RequestId = 0;
  /// A MessagePack map; see base/message_codec.h.
  std::string Body;
};

/// The frame as it is sent, with its length.
std::string encodeFrame(const PeerFrame &Frame);
/// Decodes what follows the length; fails with BadFrame.
Result<PeerFrame> decodeFrame(std::string_view Bytes);

/// Sends the reply to one request; may be called later and at most once.
using PeerReplier = std::function<void(MessageType, std::string Body)>;

/// Takes the frames that reach this daemon. Called in the fiber of the
/// connection, which reads the next frame after the call has returned: a
/// handler that waits must start a fiber.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  /// Returns false for a type it does not know; the frame is counted.
  virtual bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) = 0;
};

/// Traffic by message type, sent and received, with frame headers.
struct PeerTraffic {
  std::array<uint64_t, MessageTypeLimit> FramesSent{};
  std::array<uint64_t, MessageTypeLimit> BytesSent{};
  std::array<uint64_t, MessageTypeLimit> FramesReceived{};
  std::array<uint64_t, MessageTypeLimit> BytesReceived{};
  uint64_t BadFrames = 0;
  uint64_t UnknownTypes = 0;
};

class PeerServer {
public:
  PeerServer(FiberLoop &Loop, std::string Address, PeerHandler &Handler,
             PeerTraffic &Traffic);
  ~PeerServer();
  /// Listens and starts to accept; fails with BadSetting.
  Result<Done> start();
  /// Closes the listener and all connections.
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> State;
};

class PeerClient {
public:
  PeerClient(FiberLoop &Loop, PeerTraffic &Traffic);
  ~PeerClient();

  /// Sends a frame that needs no reply; losses are not reported.
  void send(const HostId &To, MessageType Type, std::string Body);

  using ReplyCallback = std::function<void(Result<PeerFrame>)>;
  /// Sends a request and calls \p Callback once: with the reply, or with
  /// PeerUnreachable if the connection is lost, or Timeout. The callback must
  /// not suspend.
  void request(const HostId &To, MessageType Type, std::string Body,
               Duration Limit, ReplyCallback Callback);

  /// As request(), but suspends the calling fiber.
  Result<PeerFrame> call(const HostId &To, MessageType Type, std::string Body,
                         Duration Limit);

  /// How a connection to a peer ended.
  enum class ConnectionFailure {
    /// It could not be opened: what was waiting for it was not sent.
    NotConnected,
    /// It was open: what was sent may or may not have arrived.
    Broken,
  };
  /// Sets the callback for lost connections; it must not suspend.
  void onConnectionFailure(
      std::function<void(const HostId &, ConnectionFailure)> Callback);

  /// Drops the connection to \p To, for example when the host is dead.
  void disconnect(const HostId &To);

private:
  struct Impl;
  std::shared_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_PEER_H
