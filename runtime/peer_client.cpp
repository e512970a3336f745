#include "runtime/peer_stream.h"

#include <queue>
#include <unordered_map>

namespace mimosa {

namespace {
constexpr Duration ConnectTimeout = Milliseconds(500);
constexpr Duration IdleTimeout = Seconds(60);
// Longest delay between the timeout of a request and its callback. A shorter
// interval would wake the process more often.
constexpr Duration SweepInterval = Milliseconds(50);
constexpr size_t MaxQueuedFrames = 4096;
} // namespace

struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl> {
  Impl(FiberLoop &Loop, PeerTraffic &Traffic) : Loop(Loop), Traffic(Traffic) {}

  struct PendingRequest {
    HostId To;
    ReplyCallback Callback;
  };
  struct Peer {
    std::shared_ptr<PeerStream> Stream;
    std::vector<PeerFrame> Queued;
    bool Connecting = false;
  };
  using Expiry = std::pair<MonotonicTime, uint64_t>;

  void start();
  void transmit(const HostId &To, PeerFrame Frame);
  void connect(const HostId &To);
  void runStream(const HostId &To, const std::shared_ptr<PeerStream> &Stream);
  void complete(uint64_t RequestId, Result<PeerFrame> Outcome);
  void failAll(const HostId &To, const Error &Reason);
  void sweep();

  FiberLoop &Loop;
  PeerTraffic &Traffic;
  std::unordered_map<HostId, Peer> Peers;
  std::unordered_map<uint64_t, PendingRequest> Requests;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> ExpiryQueue;
  uint64_t LastRequestId = 0;
  ScopedTimer SweepTimer;
  std::function<void(const HostId &, ConnectionFailure)> FailureCallback;
};

void PeerClient::Impl::start() {
  std::weak_ptr<Impl> Weak = shared_from_this();
  SweepTimer = Loop.every(SweepInterval, [Weak] {
    if (auto Self = Weak.lock())
      Self->sweep();
  });
}

void PeerClient::Impl::transmit(const HostId &To, PeerFrame Frame) {
  Peer &P = Peers[To];
  if (P.Stream && P.Stream->isOpen()) {
    P.Stream->write(Frame);
    return;
  }
  if (P.Queued.size() >= MaxQueuedFrames)
    return;
  P.Queued.push_back(std::move(Frame));
  if (!P.Connecting) {
    P.Connecting = true;
    Loop.spawn([Self = shared_from_this(), To] { Self->connect(To); });
  }
}

void PeerClient::Impl::connect(const HostId &To) {
  auto Stream = std::make_shared<PeerStream>(Loop, Traffic);
  Result<tcp::endpoint> Endpoint = parseEndpoint(To.text());
  Result<Done> Connected =
      ok(Endpoint) ? Stream->connect(valueOf(Endpoint), ConnectTimeout)
                   : Result<Done>(errorOf(Endpoint));
  Peer &P = Peers[To];
  P.Connecting = false;
  std::vector<PeerFrame> Queued = std::move(P.Queued);
  P.Queued.clear();
  if (!ok(Connected)) {
    failAll(To, errorOf(Connected));
    if (FailureCallback)
      FailureCallback(To, ConnectionFailure::NotConnected);
    return;
  }
  P.Stream = Stream;
  for (const PeerFrame &Frame : Queued)
    Stream->write(Frame);
  runStream(To, Stream);
}

void PeerClient::Impl::runStream(const HostId &To,
                                 const std::shared_ptr<PeerStream> &Stream) {
  Stream->readFrames([this](PeerFrame Frame) {
    uint64_t RequestId = Frame.RequestId;
    complete(RequestId, std::move(Frame));
  });
  auto It = Peers.find(To);
  if (It == Peers.end() || It->second.Stream != Stream)
    return;
  It->second.Stream.reset();
  failAll(To, Error{ResultCode::PeerUnreachable,
                    "the connection to peer " + To.text() + " was lost"});
  if (FailureCallback)
    FailureCallback(To, ConnectionFailure::Broken);
}

void PeerClient::Impl::complete(uint64_t RequestId, Result<PeerFrame> Outcome) {
  auto It = Requests.find(RequestId);
  if (It == Requests.end())
    return;
  ReplyCallback Callback = std::move(It->second.Callback);
  Requests.erase(It);
  Callback(std::move(Outcome));
}

void PeerClient::Impl::failAll(const HostId &To, const Error &Reason) {
  std::vector<uint64_t> Failed;
  for (const auto &[RequestId, Request] : Requests)
    if (Request.To == To)
      Failed.push_back(RequestId);
  for (uint64_t RequestId : Failed)
    complete(RequestId, Reason);
}

void PeerClient::Impl::sweep() {
  MonotonicTime Now = Loop.now();
  while (!ExpiryQueue.empty() && ExpiryQueue.top().first <= Now) {
    uint64_t RequestId = ExpiryQueue.top().second;
    ExpiryQueue.pop();
    complete(RequestId,
             Error{ResultCode::Timeout, "the peer did not reply in time"});
  }
  for (auto &[To, P] : Peers)
    if (P.Stream && P.Stream->lastUse() + IdleTimeout < Now)
      P.Stream->close();
}

PeerClient::PeerClient(FiberLoop &Loop, PeerTraffic &Traffic)
    : State(std::make_shared<Impl>(Loop, Traffic)) {
  State->start();
}

PeerClient::~PeerClient() = default;

void PeerClient::send(const HostId &To, MessageType Type, std::string Body) {
  State->transmit(To, {Type, 0, std::move(Body)});
}

void PeerClient::request(const HostId &To, MessageType Type, std::string Body,
                         Duration Timeout, ReplyCallback Callback) {
  uint64_t RequestId = ++State->LastRequestId;
  State->Requests[RequestId] = {To, std::move(Callback)};
  State->ExpiryQueue.emplace(State->Loop.now() + Timeout, RequestId);
  State->transmit(To, {Type, RequestId, std::move(Body)});
}

Result<PeerFrame> PeerClient::call(const HostId &To, MessageType Type,
                                   std::string Body, Duration Timeout) {
  struct Wait {
    FiberEvent Finished;
    Result<PeerFrame> Outcome = Error{};
  };
  auto State = std::make_shared<Wait>();
  request(To, Type, std::move(Body), Timeout,
          [State](Result<PeerFrame> Outcome) {
            State->Outcome = std::move(Outcome);
            State->Finished.set();
          });
  State->Finished.wait();
  return std::move(State->Outcome);
}

void PeerClient::onConnectionFailure(
    std::function<void(const HostId &, ConnectionFailure)> Callback) {
  State->FailureCallback = std::move(Callback);
}

void PeerClient::disconnect(const HostId &To) {
  auto It = State->Peers.find(To);
  if (It != State->Peers.end() && It->second.Stream)
    It->second.Stream->close();
}

} // namespace mimosa
