// The protocol between daemons: frames over TCP. A frame is a 4-byte big-endian
// length and a MessagePack array [protocol version, type, request id, body].
//
// PeerServer receives frames from other daemons, PeerClient sends them. Replies
// use the connection of their request, so PeerClient receives only replies:
//
//   Result<PeerFrame> Reply =
//       Peers.call(Host, MessageType::VoteRequest, Body, Milliseconds(300));
//   Peers.send(Host, MessageType::MembershipUpdate, Body);
//
// Connections are opened when needed and closed when idle. Frames that are
// written in one round of the event loop are sent by one system call.

#ifndef MIMOSA_RUNTIME_PEER_H
#define MIMOSA_RUNTIME_PEER_H

#include "base/ids.h"
#include "runtime/fiber_loop.h"
#include "runtime/ingress_budget.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosa {

/// Types of frames. The numbers are part of the protocol.
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
  LiftedLimits = 25,
  SharedUsage = 26,
  RolloutEvidence = 27,
  StrikeQuery = 28,
  StrikeReport = 29,
  Dispatch = 30,
  DispatchReply = 31,
  DispatchCancel = 32,
  StrikeWithdrawal = 33,
  StoreCacheRequest = 40,
  StoreCacheReply = 41,
  StoreCacheOffer = 42,
};

/// All types are below this number.
constexpr uint32_t MessageTypeLimit = 64;
constexpr size_t MaxFrameBytes = 2 << 20;

struct PeerFrame {
  MessageType Type = MessageType::Probe;
  uint64_t RequestId = 0;
  /// A MessagePack map; see base/message_codec.h.
  std::string Body;
};

/// Encodes a frame together with its length.
std::string encodeFrame(const PeerFrame &Frame);
/// Decodes a frame without its length; fails with BadFrame.
Result<PeerFrame> decodeFrame(std::string_view Bytes);

/// Sends the reply to one request. May be called at most once, also after
/// handleFrame() has returned.
using PeerReplier = std::function<void(MessageType, std::string Body)>;

/// Handles the frames that this daemon receives, in the fiber of the
/// connection. The next frame is read after handleFrame() has returned, so a
/// handler that has to wait must start a fiber.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  /// Returns false if the handler does not support the type of the frame, which
  /// is then counted in PeerTraffic::UnknownTypes.
  virtual bool handleFrame(const PeerFrame &Frame, PeerReplier Reply) = 0;
};

/// Traffic counters by message type. Bytes include the frame headers.
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
  /// \p Ingress limits what the connections hold, if given; it must outlive the
  /// server.
  PeerServer(FiberLoop &Loop, std::string Address, PeerHandler &Handler,
             PeerTraffic &Traffic, IngressAddress *Ingress = nullptr);
  ~PeerServer();
  /// Starts to listen and to accept connections; fails with BadSetting.
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

  /// Sends a frame without a reply. It may be lost without notice.
  void send(const HostId &To, MessageType Type, std::string Body);

  using ReplyCallback = std::function<void(Result<PeerFrame>)>;
  /// Sends a request and calls \p Callback once with the reply, or with
  /// PeerUnreachable if the connection fails, or with Timeout. The callback
  /// must not suspend its fiber.
  void request(const HostId &To, MessageType Type, std::string Body,
               Duration Timeout, ReplyCallback Callback);

  /// As request(), but suspends the calling fiber.
  Result<PeerFrame> call(const HostId &To, MessageType Type, std::string Body,
                         Duration Timeout);

  /// How a connection to a peer failed.
  enum class ConnectionFailure {
    /// It could not be opened, and the queued frames were not sent.
    NotConnected,
    /// It was open and has ended, also by disconnect() or because it was idle.
    /// Frames sent on it may or may not have arrived.
    Broken,
  };
  /// Sets the callback for failed connections. It must not suspend its fiber.
  void onConnectionFailure(
      std::function<void(const HostId &, ConnectionFailure)> Callback);

  /// Closes the connection to \p To, for example if the host is dead.
  void disconnect(const HostId &To);

private:
  struct Impl;
  std::shared_ptr<Impl> State;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_PEER_H
