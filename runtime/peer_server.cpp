#include "runtime/peer_stream.h"

#include <set>

namespace mimosa {

namespace {
constexpr Duration AcceptRetryDelay = Milliseconds(20);
} // namespace

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl> {
  Impl(FiberLoop &Loop, std::string Address, PeerHandler &Handler,
       PeerTraffic &Traffic, IngressAddress *Ingress)
      : Loop(Loop), Address(std::move(Address)), Handler(Handler),
        Traffic(Traffic), Ingress(Ingress), Acceptor(Loop.impl().Io) {}

  void acceptLoop();
  void serve(const std::shared_ptr<PeerStream> &Stream);

  FiberLoop &Loop;
  std::string Address;
  PeerHandler &Handler;
  PeerTraffic &Traffic;
  IngressAddress *Ingress;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<PeerStream>> Streams;
  bool Stopped = false;
};

void PeerServer::Impl::serve(const std::shared_ptr<PeerStream> &Stream) {
  Streams.insert(Stream);
  Stream->readFrames([&](const PeerFrame &Frame) {
    uint64_t RequestId = Frame.RequestId;
    std::weak_ptr<PeerStream> Weak = Stream;
    bool Supported = Handler.handleFrame(
        Frame, [Weak, RequestId, Handled = Stream->countHandled()](
                   MessageType Type, std::string Body) {
          if (auto Live = Weak.lock())
            Live->write({Type, RequestId, std::move(Body)});
        });
    if (!Supported)
      ++Traffic.UnknownTypes;
  });
  Streams.erase(Stream);
}

void PeerServer::Impl::acceptLoop() {
  auto Self = shared_from_this();
  while (!Stopped) {
    auto Stream = std::make_shared<PeerStream>(Loop, Traffic);
    IoOutcome Accepted = awaitIo([&](auto Handler) {
      Acceptor.async_accept(Stream->socket(), std::move(Handler));
    });
    if (Stopped)
      return;
    if (Accepted.Failure) {
      FiberLoop::sleepFor(AcceptRetryDelay);
      continue;
    }
    if (Ingress && !Stream->openAccount(*Ingress))
      continue;
    Stream->onConnected();
    Loop.spawn([Self, Stream] { Self->serve(Stream); });
  }
}

PeerServer::PeerServer(FiberLoop &Loop, std::string Address,
                       PeerHandler &Handler, PeerTraffic &Traffic,
                       IngressAddress *Ingress)
    : State(std::make_shared<Impl>(Loop, std::move(Address), Handler, Traffic,
                                   Ingress)) {}

PeerServer::~PeerServer() = default;

Result<Done> PeerServer::start() {
  Result<Done> Listening = listenOn(State->Acceptor, State->Address);
  if (!ok(Listening))
    return Listening;
  State->Loop.spawnService([Shared = State] { Shared->acceptLoop(); });
  return Done{};
}

void PeerServer::stop() {
  State->Stopped = true;
  error_code Ignored;
  State->Acceptor.close(Ignored);
  auto Open = State->Streams;
  for (const auto &Stream : Open)
    Stream->close();
}

} // namespace mimosa
