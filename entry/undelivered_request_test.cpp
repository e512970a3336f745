// A backend server, or the way to it, takes no bytes for a while: requests wait
// for their connection to open, or in the kernel of this host after they were
// written.

#include "entry/backend_connection_pool.h"
#include "runtime/child_process_test_util.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <string>
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

/// Listens on a free port of 127.0.0.1, which is stored in \p Endpoint.
int listenOnFreePort(int Backlog, sockaddr_in *Endpoint) {
  int Listener = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof(ReceiveBufferBytes));
  Endpoint->sin_family = AF_INET;
  Endpoint->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(*Endpoint);
  auto *Generic = reinterpret_cast<sockaddr *>(Endpoint);
  if (bind(Listener, Generic, Size) != 0 || listen(Listener, Backlog) != 0 ||
      getsockname(Listener, Generic, &Size) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  return Listener;
}

std::string addressText(const sockaddr_in &Endpoint) {
  return "127.0.0.1:" + std::to_string(ntohs(Endpoint.sin_port));
}

/// Accepts one connection and reads from it only after resume().
class PausedServer {
public:
  PausedServer() : Listener(listenOnFreePort(4, &Endpoint)) {
    Thread = std::thread([this] {
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

  std::string address() const { return addressText(Endpoint); }
  /// Reads until the client has closed, and returns the number of bytes.
  size_t resume() {
    Paused = false;
    Thread.join();
    return Received;
  }

private:
  sockaddr_in Endpoint{};
  int Listener;
  std::thread Thread;
  std::atomic<bool> Paused{true};
  size_t Received = 0;
};

/// Its queue of new connections is full, so that the kernel drops the opening
/// packets of further ones.
class FullServer {
public:
  FullServer() : Listener(listenOnFreePort(0, &Endpoint)) {
    for (int &Filler : Fillers) {
      Filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      if (connect(Filler, reinterpret_cast<sockaddr *>(&Endpoint),
                  sizeof(Endpoint)) != 0 &&
          errno != EINPROGRESS)
        throw std::runtime_error("cannot connect to 127.0.0.1");
    }
  }
  ~FullServer() {
    for (int Filler : Fillers)
      close(Filler);
    close(Listener);
  }

  std::string address() const { return addressText(Endpoint); }
  /// Accepts the connections that fill the queue.
  void acceptFillers() {
    for (size_t I = 0; I < std::size(Fillers); ++I)
      close(accept(Listener, nullptr, nullptr));
  }
  /// The deadline that the next connection's request states; 0 if none.
  int64_t statedDeadlineMs() const {
    int Socket = accept(Listener, nullptr, nullptr);
    char Bytes[4096];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    close(Socket);
    std::string Text(Bytes, static_cast<size_t>(std::max<ssize_t>(0, Count)));
    constexpr std::string_view Name = "Deadline-Ms: ";
    size_t Begin = Text.find(Name);
    return Begin == std::string::npos
               ? 0
               : std::stoll(Text.substr(Begin + Name.size()));
  }

private:
  sockaddr_in Endpoint{};
  int Listener;
  /// A backlog of 0 holds one connection.
  int Fillers[1];
};

/// Sends calls to one backend server.
class SingleServerPool {
public:
  SingleServerPool(FiberLoop &Loop, const std::string &Address)
      : Loop(Loop), Registry(AvailabilityZoneId("z1"), Rng),
        Pool(Loop, Registry, Budget), Scheduler(Registry, Pool) {
    Pool.setScheduler(Scheduler);
    BackendServerEntry Entry;
    Entry.Id = BackendServerId("slow");
    Entry.Service = Service;
    Entry.Address = Address;
    Entry.Zone = AvailabilityZoneId("z1");
    Entry.Slots = 4;
    Registry.setLimits(Service, 64, 0);
    Registry.update(Entry, Loop.now());
  }

  const ConnectionPoolCounters &counters() const { return Pool.counters(); }
  ServerRegistry &registry() { return Registry; }
  BackendServer &server() { return *Registry.find(BackendServerId("slow")); }

  /// Starts a call with a body of \p Length bytes, and runs the scheduler for
  /// \p RunTime.
  void run(size_t Length, Duration Timeout, Duration RunTime) {
    auto Message = std::make_shared<CallerRequest>();
    Message->Id = CallerRequestId("a1");
    Message->Head = "POST /s/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(Length) + "\r\n";
    Message->Body.assign(Length, 'x');
    CallRequest Request;
    Request.Service = Service;
    Request.Idempotent = true;
    Request.TargetLatency = Timeout;
    Request.Deadline = Loop.now() + Timeout;
    Request.UsefulUntil = Request.Deadline;
    Request.Message = Message;
    MonotonicTime End = Loop.now() + RunTime;
    Scheduler.begin(Request, Observer, Loop.now());
    while (Loop.now() < End) {
      Scheduler.onTimer(Loop.now());
      FiberLoop::sleepFor(Milliseconds(5));
    }
  }

private:
  class IgnoringObserver : public CallObserver {
  public:
    void callEnded(CallId, CallResult) override {}
  };

  FiberLoop &Loop;
  ServiceId Service{"s"};
  SeededRandom Rng{7};
  ServerRegistry Registry;
  ReceiveBudget Budget{1 << 20};
  BackendConnectionPool Pool;
  CallScheduler Scheduler;
  IgnoringObserver Observer;
};

// Guards against a request that reaches its backend server after its caller's
// deadline, with the time that was left when it was written.
TEST(UndeliveredRequest, DoesNotArriveAfterItsDeadline) {
  runInChildProcess([](FiberLoop &Loop) {
    PausedServer Server;
    SingleServerPool Pool(Loop, Server.address());
    Pool.run(BodyBytes, Deadline, Deadline + PauseAfterDeadline);
    EXPECT_EQ(Pool.counters().CancelledUndelivered, 1u);
    EXPECT_LT(Server.resume(), BodyBytes);
  });
}

// Guards against a request whose connection opens late and that states the time
// that was left before it waited for the connection.
TEST(UndeliveredRequest, StatesTheTimeLeftOnceItsConnectionIsOpen) {
  runInChildProcess([](FiberLoop &Loop) {
    constexpr Duration LongDeadline = Seconds(4);
    // The kernel repeats a dropped opening packet after 1 s.
    constexpr Duration OpeningDelay = Milliseconds(900);
    FullServer Server;
    SingleServerPool Pool(Loop, Server.address());
    std::thread Opener([&] {
      std::this_thread::sleep_for(Milliseconds(300));
      Server.acceptFillers();
    });
    Pool.run(0, LongDeadline, Seconds(2));
    Opener.join();
    int64_t StatedMs = Server.statedDeadlineMs();
    EXPECT_GT(StatedMs, 0);
    EXPECT_LE(StatedMs, inMilliseconds(LongDeadline - OpeningDelay));
  });
}

// Guards against a request that waited for its connection while its backend
// server asked for a pause or ceased to be usable, and is sent all the same.
TEST(UndeliveredRequest, IsNotSentToAServerThatIsNoLongerUsable) {
  struct Case {
    const char *Name;
    void (*Change)(SingleServerPool &Pool, MonotonicTime Now);
  };
  const Case Cases[] = {
      {"pause",
       [](SingleServerPool &Pool, MonotonicTime Now) {
         ServerNotice Notice;
         Notice.Pause = Seconds(5);
         Pool.registry().recordNotice(Pool.server(), Notice, Now, Now);
       }},
      {"leaving",
       [](SingleServerPool &Pool, MonotonicTime Now) {
         ServerNotice Notice;
         Notice.Leaving = true;
         Pool.registry().recordNotice(Pool.server(), Notice, Now, Now);
       }},
      {"evacuation",
       [](SingleServerPool &Pool, MonotonicTime) {
         Pool.registry().setEvacuatedZones({AvailabilityZoneId("z1")});
       }},
      {"removal",
       [](SingleServerPool &Pool, MonotonicTime) {
         Pool.registry().remove(BackendServerId("slow"));
       }},
  };
  for (const Case &C : Cases)
    runInChildProcess([&C](FiberLoop &Loop) {
      FullServer Server;
      SingleServerPool Pool(Loop, Server.address());
      std::thread Opener([&] {
        std::this_thread::sleep_for(Milliseconds(300));
        Server.acceptFillers();
      });
      ScopedTimer Timer =
          Loop.after(Milliseconds(200), [&] { C.Change(Pool, Loop.now()); });
      Pool.run(0, Seconds(4), Seconds(2));
      Opener.join();
      EXPECT_EQ(Server.statedDeadlineMs(), 0) << C.Name;
      EXPECT_EQ(Pool.counters().Withheld, 1u) << C.Name;
    });
}

} // namespace
} // namespace mimosa
