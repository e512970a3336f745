// A backend server, or the way to it, takes no bytes for a while, so that a
// request waits in the kernel of this host after it was written.

#include "entry/backend_connection_pool.h"
#include "runtime/child_process_test_util.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <optional>
#include <thread>

namespace mimosa {
namespace {

constexpr Duration Deadline = Milliseconds(150);
/// The server reads again this long after the deadline.
constexpr Duration PauseAfterDeadline = Milliseconds(300);
/// Longer than the receive window of the server, and shorter than the send
/// buffer of the host.
constexpr size_t BodyBytes = 512 * 1024;
constexpr int ReceiveBufferBytes = 4096;

/// Accepts one connection and reads from it only after resume().
class PausedServer {
public:
  PausedServer() {
    int Listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    if (bind(Listener, Generic, Size) != 0 || listen(Listener, 4) != 0 ||
        getsockname(Listener, Generic, &Size) != 0)
      throw std::runtime_error("cannot listen on 127.0.0.1");
    Endpoint = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
    Thread = std::thread([this, Listener] {
      int Socket = accept(Listener, nullptr, nullptr);
      while (Paused)
        std::this_thread::sleep_for(Milliseconds(5));
      char Bytes[16 * 1024];
      ssize_t Count = 0;
      while ((Count = recv(Socket, Bytes, sizeof(Bytes), 0)) > 0)
        Received += static_cast<size_t>(Count);
      close(Socket);
      close(Listener);
    });
  }

  const std::string &address() const { return Endpoint; }
  /// Reads until the client has closed, and returns the number of bytes.
  size_t resume() {
    Paused = false;
    Thread.join();
    return Received;
  }

private:
  std::string Endpoint;
  std::thread Thread;
  std::atomic<bool> Paused{true};
  size_t Received = 0;
};

class EndObserver : public CallObserver {
public:
  void callEnded(CallId, CallResult) override { Ended.set(); }
  FiberEvent Ended;
};

// Guards against a request that reaches its backend server after its caller's
// deadline, with the time that was left when it was written.
TEST(UndeliveredRequest, DoesNotArriveAfterItsDeadline) {
  runInChildProcess([](FiberLoop &Loop) {
    SeededRandom Rng(7);
    ServerRegistry Registry(AvailabilityZoneId("z1"), Rng);
    ReceiveBudget Budget(1 << 20);
    BackendConnectionPool Pool(Loop, Registry, Budget);
    CallScheduler Scheduler(Registry, Pool);
    Pool.setScheduler(Scheduler);
    PausedServer Server;
    BackendServerEntry Entry;
    Entry.Id = BackendServerId("paused");
    Entry.Service = ServiceId("s");
    Entry.Address = Server.address();
    Entry.Zone = AvailabilityZoneId("z1");
    Entry.Slots = 4;
    Registry.setLimits(Entry.Service, 64, 0);
    Registry.update(Entry, Loop.now());

    auto Message = std::make_shared<CallerRequest>();
    Message->Id = CallerRequestId("a1");
    Message->Head = "POST /s/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(BodyBytes) + "\r\n";
    Message->Body.assign(BodyBytes, 'x');
    CallRequest Request;
    Request.Service = Entry.Service;
    Request.Idempotent = true;
    Request.TargetLatency = Deadline;
    Request.Deadline = Loop.now() + Deadline;
    Request.UsefulUntil = Request.Deadline;
    Request.Message = Message;
    EndObserver Observer;
    Scheduler.begin(Request, Observer, Loop.now());
    while (Loop.now() < Request.Deadline + PauseAfterDeadline) {
      Scheduler.onTimer(Loop.now());
      FiberLoop::sleepFor(Milliseconds(5));
    }
    EXPECT_EQ(Pool.counters().CancelledUndelivered, 1u);
    EXPECT_LT(Server.resume(), BodyBytes);
  });
}

} // namespace
} // namespace mimosa
