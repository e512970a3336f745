// Runs Boost.Fiber and Boost.Asio in one thread. For use within runtime/ only.
//
// AsioScheduler runs ready fibers in turn and polls the io_context every few
// rounds; when no fiber is ready, it blocks in the io_context until the next
// fiber timer expires. awaitIo() starts an asynchronous operation and suspends
// the calling fiber until the operation has completed:
//
//   IoOutcome Read = awaitIo([&](auto Handler) {
//     Socket.async_read_some(Buffer, std::move(Handler));
//   });

#ifndef MIMOSA_RUNTIME_ASIO_FIBER_H
#define MIMOSA_RUNTIME_ASIO_FIBER_H

#include "runtime/fiber_loop.h"

#include <boost/asio.hpp>
#include <boost/fiber/all.hpp>
#include <deque>
#include <set>
#include <string_view>

namespace mimosa {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Round-robin fiber scheduler that runs an io_context while it is idle.
class AsioScheduler : public boost::fibers::algo::algorithm {
public:
  explicit AsioScheduler(asio::io_context &Io) : Io(Io) {}

  void awakened(boost::fibers::context *Fiber) noexcept override;
  boost::fibers::context *pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override { return ReadyFibers > 0; }
  void suspend_until(
      const std::chrono::steady_clock::time_point &Deadline) noexcept override;
  void notify() noexcept override;

private:
  asio::io_context &Io;
  boost::fibers::scheduler::ready_queue_type Queue;
  size_t ReadyFibers = 0;
  uint32_t PicksSincePoll = 0;
};

struct IoOutcome {
  error_code Failure;
  size_t Bytes = 0;
};

/// Starts an asynchronous operation with \p Start(Handler) and suspends the
/// calling fiber until Handler has been called.
template <typename StartFn> IoOutcome awaitIo(StartFn &&Start) {
  struct Wait {
    boost::fibers::context *Fiber = nullptr;
    bool Finished = false;
    IoOutcome Outcome;
  } State;
  Start([&State](error_code Failure, auto... Bytes) {
    State.Outcome.Failure = Failure;
    if constexpr (sizeof...(Bytes) == 1)
      State.Outcome.Bytes = static_cast<size_t>((Bytes, ...));
    State.Finished = true;
    if (State.Fiber)
      boost::fibers::context::active()->schedule(State.Fiber);
  });
  while (!State.Finished) {
    State.Fiber = boost::fibers::context::active();
    State.Fiber->suspend();
  }
  return State.Outcome;
}

struct FiberLoop::Impl {
  asio::io_context Io{1};
  bool Stopping = false;
  std::function<void()> ReloadCallback;
  /// SIGHUP has arrived before ReloadCallback was set.
  bool ReloadPending = false;
  boost::fibers::condition_variable StopRequested;
  boost::fibers::mutex StopMutex;
};

/// Parses "ip:port"; fails with BadSetting.
Result<tcp::endpoint> parseEndpoint(std::string_view Address);

/// Turns off Nagle's algorithm, and sets TCP timeouts so that a connection to
/// an unreachable host fails within about 4 s. Errors are ignored: without
/// these options the connection is only slower, or fails later.
void setConnectionOptions(tcp::socket &Connection);

/// Makes \p Acceptor listen on \p Address ("ip:port"); fails with BadSetting.
Result<Done> listenOn(tcp::acceptor &Acceptor, const std::string &Address);

} // namespace mimosa

#endif // MIMOSA_RUNTIME_ASIO_FIBER_H
