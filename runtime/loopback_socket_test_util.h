// Blocking sockets on loopback, for tests that send and receive raw bytes.

#ifndef MIMOSA_RUNTIME_LOOPBACK_SOCKET_TEST_UTIL_H
#define MIMOSA_RUNTIME_LOOPBACK_SOCKET_TEST_UTIL_H

#include <arpa/inet.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>

namespace mimosa {

/// Opens a connection to \p Address ("ip:port"). Throws if that fails.
inline int connectTo(const std::string &Address) {
  size_t Colon = Address.rfind(':');
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Endpoint.sin_addr);
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Endpoint),
              sizeof(Endpoint)) != 0)
    throw std::runtime_error("cannot connect to " + Address);
  return Socket;
}

/// Listens on a free port of 127.0.0.1, which is stored in \p Address. Throws
/// if that fails.
inline int listenOnLoopback(std::string *Address) {
  constexpr int Backlog = 64;
  int Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Endpoint);
  auto *Generic = reinterpret_cast<sockaddr *>(&Endpoint);
  if (bind(Listener, Generic, Size) != 0 || listen(Listener, Backlog) != 0 ||
      getsockname(Listener, Generic, &Size) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  *Address = "127.0.0.1:" + std::to_string(ntohs(Endpoint.sin_port));
  return Listener;
}

} // namespace mimosa

#endif // MIMOSA_RUNTIME_LOOPBACK_SOCKET_TEST_UTIL_H
