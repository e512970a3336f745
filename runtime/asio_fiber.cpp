#include "runtime/asio_fiber.h"

#include "runtime/endpoint.h"

#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mimosa {

namespace {
/// Rounds of ready fibers after which the io_context is polled although fibers
/// are ready, so that they cannot starve I/O.
constexpr uint32_t PicksPerPoll = 16;
} // namespace

using boost::fibers::context;
using boost::fibers::type;

void AsioScheduler::awakened(context *Fiber) noexcept {
  Fiber->ready_link(Queue);
  if (!Fiber->is_context(type::dispatcher_context))
    ++ReadyFibers;
}

context *AsioScheduler::pick_next() noexcept {
  // Handlers may run here only in the dispatcher's context: a handler that
  // wakes the fiber that is being suspended would make that fiber resume
  // itself. If no fiber is ready, suspend_until() follows and runs the
  // io_context.
  if (context::active()->is_context(type::dispatcher_context) &&
      ReadyFibers > 0 && ++PicksSincePoll >= PicksPerPoll) {
    PicksSincePoll = 0;
    callGuarded("handler", [this] { Io.poll(); });
  }
  if (Queue.empty())
    return nullptr;
  context *Next = &Queue.front();
  Queue.pop_front();
  if (!Next->is_context(type::dispatcher_context))
    --ReadyFibers;
  return Next;
}

void AsioScheduler::suspend_until(
    const std::chrono::steady_clock::time_point &Deadline) noexcept {
  callGuarded("handler", [&] {
    if (Deadline == std::chrono::steady_clock::time_point::max())
      Io.run_one();
    else
      Io.run_one_until(Deadline);
  });
}

void AsioScheduler::notify() noexcept {
  asio::post(Io, [] {});
}

Result<tcp::endpoint> parseEndpoint(std::string_view Address) {
  Error Malformed{ResultCode::BadSetting, "address '" + std::string(Address) +
                                              "' must be an IP address and "
                                              "a port, such as 127.0.0.1:8080"};
  size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return Malformed;
  error_code Failure;
  auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Failure);
  uint16_t Port = 0;
  std::string_view Digits = Address.substr(Colon + 1);
  auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Failure || Parsed.ec != std::errc() ||
      Parsed.ptr != Digits.data() + Digits.size())
    return Malformed;
  return tcp::endpoint(Ip, Port);
}

bool isConnectableAddress(std::string_view Address) {
  Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
  return ok(Endpoint) && valueOf(Endpoint).port() != 0 &&
         !valueOf(Endpoint).address().is_unspecified();
}

void setConnectionOptions(tcp::socket &Connection) {
  error_code Ignored;
  Connection.set_option(tcp::no_delay(true), Ignored);
  // Keep-alive probes detect a dead idle connection; TCP_USER_TIMEOUT detects
  // one with unacknowledged data. A link that is interrupted for longer than
  // about a second usually stays down for long.
  constexpr int KeepAliveIdleS = 1;
  constexpr int KeepAliveIntervalS = 1;
  constexpr int KeepAliveProbes = 3;
  constexpr unsigned UserTimeoutMs = 3500;
  auto Socket = static_cast<int>(Connection.native_handle());
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleS,
             sizeof(KeepAliveIdleS));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalS,
             sizeof(KeepAliveIntervalS));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes,
             sizeof(KeepAliveProbes));
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof(UserTimeoutMs));
}

Result<Done> listenOn(tcp::acceptor &Acceptor, const std::string &Address) {
  Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!ok(Endpoint))
    return errorOf(Endpoint);
  error_code Failure;
  Acceptor.open(valueOf(Endpoint).protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(valueOf(Endpoint), Failure);
  if (!Failure)
    Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (!Failure)
    return Done{};
  // So that it can be tried again.
  error_code Ignored;
  Acceptor.close(Ignored);
  return Error{ResultCode::BadSetting,
               "listening on " + Address + " failed: " + Failure.message()};
}

} // namespace mimosa
