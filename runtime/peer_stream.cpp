#include "runtime/peer_stream.h"

#include "runtime/log.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mimosa {

namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t ReadBytes = 64 * 1024;

/// Shared by all connections of the thread: separate buffers for several
/// hundred idle connections would take up most of a daemon's memory.
std::array<char, ReadBytes> &readBuffer() {
  static thread_local std::array<char, ReadBytes> Buffer;
  return Buffer;
}
// Bounds the memory for frames to a peer that does not read them.
constexpr size_t MaxQueuedBytes = 16 << 20;
/// Requests of one host that wait for their replies. A host waits for one reply
/// at a time; the others would be of a client that only sends.
constexpr size_t MaxHandledFrames = 16;
// A connection whose data is not acknowledged within this time is closed.
constexpr unsigned UserTimeoutMs = 3000;

uint32_t frameLength(const std::string &Bytes, size_t Offset) {
  uint32_t Length = 0;
  std::memcpy(&Length, Bytes.data() + Offset, sizeof(Length));
  return boost::endian::big_to_native(Length);
}

} // namespace

PeerStream::PeerStream(FiberLoop &Loop, PeerTraffic &Traffic)
    : Loop(Loop), Traffic(Traffic), Socket(Loop.impl().Io),
      LastUse(Loop.now()) {}

Result<Done> PeerStream::connect(const tcp::endpoint &Endpoint,
                                 Duration Timeout) {
  ScopedTimer ConnectTimer = Loop.after(Timeout, [this] { close(); });
  IoOutcome Outcome = awaitIo([&](auto Handler) {
    Socket.async_connect(Endpoint, std::move(Handler));
  });
  if (Outcome.Failure) {
    close();
    return Error{ResultCode::PeerUnreachable,
                 "connecting to a peer failed: " + Outcome.Failure.message()};
  }
  onConnected();
  return Done{};
}

void PeerStream::onConnected() {
  Open = true;
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &UserTimeoutMs, sizeof(UserTimeoutMs));
}

bool PeerStream::openAccount(IngressAddress &Address) {
  Account = IngressAccount::open(
      Address,
      [this] {
        logRequest("peers", "event=evicted received=" +
                                std::to_string(Received.capacity()) +
                                " queued=" +
                                std::to_string(QueuedBytes.capacity() +
                                               WriteBuffer.capacity()));
        close();
      },
      Loop.now());
  return Account != nullptr;
}

bool PeerStream::hold() {
  if (!Account || Account->resize(Received.capacity() + QueuedBytes.capacity() +
                                      WriteBuffer.capacity(),
                                  Loop.now()))
    return true;
  close();
  return false;
}

void PeerStream::write(const PeerFrame &Frame) {
  if (!Open || QueuedBytes.size() > MaxQueuedBytes)
    return;
  std::string Bytes = encodeFrame(Frame);
  auto Type = static_cast<uint32_t>(Frame.Type);
  ++Traffic.FramesSent[Type];
  Traffic.BytesSent[Type] += Bytes.size();
  QueuedBytes += Bytes;
  LastUse = Loop.now();
  if (!hold())
    return;
  if (FlushScheduled)
    return;
  FlushScheduled = true;
  asio::post(Socket.get_executor(),
             [Self = shared_from_this()] { Self->flush(); });
}

void PeerStream::flush() {
  if (!Open || QueuedBytes.empty()) {
    FlushScheduled = false;
    return;
  }
  WriteBuffer.swap(QueuedBytes);
  QueuedBytes.clear();
  asio::async_write(Socket, asio::buffer(WriteBuffer),
                    [Self = shared_from_this()](error_code Failure, size_t) {
                      if (Failure)
                        Self->close();
                      Self->WriteBuffer.clear();
                      Self->WriteBuffer.shrink_to_fit();
                      Self->hold();
                      Self->flush();
                    });
}

void PeerStream::readFrames(const std::function<void(PeerFrame)> &Handle) {
  callGuarded("peer", [&] { readUntilClosed(Handle); });
  close();
  Received = std::string();
}

void PeerStream::readUntilClosed(const std::function<void(PeerFrame)> &Handle) {
  size_t Begin = 0;
  while (Open) {
    IoOutcome Ready = awaitIo([&](auto Handler) {
      Socket.async_wait(tcp::socket::wait_read, std::move(Handler));
    });
    if (Ready.Failure || !Open)
      break;
    error_code Failure;
    size_t Count = Socket.read_some(asio::buffer(readBuffer()), Failure);
    if (Failure == asio::error::would_block)
      continue;
    if (Failure)
      break;
    Received.append(readBuffer().data(), Count);
    LastUse = Loop.now();
    if (!hold())
      break;
    while (Open && Received.size() - Begin >= LengthBytes) {
      awaitReplies();
      if (!Open)
        break;
      uint32_t Length = frameLength(Received, Begin);
      if (Length > MaxFrameBytes) {
        ++Traffic.BadFrames;
        close();
        break;
      }
      if (Received.size() - Begin - LengthBytes < Length)
        break;
      Result<PeerFrame> Frame = decodeFrame(
          std::string_view(Received).substr(Begin + LengthBytes, Length));
      Begin += LengthBytes + Length;
      if (!ok(Frame)) {
        ++Traffic.BadFrames;
        close();
        break;
      }
      auto Type = static_cast<uint32_t>(valueOf(Frame).Type);
      ++Traffic.FramesReceived[Type];
      Traffic.BytesReceived[Type] += LengthBytes + Length;
      if (Account)
        Account->restart(Loop.now());
      Handle(valueOf(std::move(Frame)));
    }
    Received.erase(0, Begin);
    Begin = 0;
    if (Received.empty())
      Received.shrink_to_fit();
    hold();
  }
}

std::shared_ptr<void> PeerStream::countHandled() {
  ++Handled;
  return std::shared_ptr<void>(nullptr, [Weak = weak_from_this()](void *) {
    if (auto Self = Weak.lock()) {
      --Self->Handled;
      Self->HandledChanged.set();
    }
  });
}

void PeerStream::awaitReplies() {
  while (Open && Account && Handled >= MaxHandledFrames) {
    HandledChanged.clear();
    HandledChanged.wait();
  }
}

void PeerStream::close() {
  Open = false;
  HandledChanged.set();
  error_code Ignored;
  Socket.close(Ignored);
}

} // namespace mimosa
