// A backend server for tests that sends bytes which no sound server sends. It
// serves each connection in a thread of its own with blocking sockets, until
// the process ends.

#ifndef MIMOSA_RUNTIME_HOSTILE_SERVER_TEST_UTIL_H
#define MIMOSA_RUNTIME_HOSTILE_SERVER_TEST_UTIL_H

#include "runtime/loopback_socket_test_util.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

namespace mimosa {

/// One request as a hostile server sees it.
struct HostileExchange {
  int Socket = -1;
  std::string Id;
  /// Of the request before on the same connection; empty if there is none.
  std::string PreviousId;
};

/// Writes all of \p Bytes; returns false if the client has closed.
inline bool writeBytes(const HostileExchange &Exchange,
                       const std::string &Bytes) {
  size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count = send(Exchange.Socket, Bytes.data() + Written,
                         Bytes.size() - Written, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Written += static_cast<size_t>(Count);
  }
  return true;
}

/// Writes \p Bytes again and again until the client closes.
inline bool writeWithoutEnd(const HostileExchange &Exchange,
                            const std::string &Bytes) {
  std::string Block;
  while (Block.size() < 16 * 1024)
    Block += Bytes;
  while (writeBytes(Exchange, Block)) {
  }
  return false;
}

inline std::string answerBodyFor(const std::string &Id) {
  return "answer to " + Id;
}

/// The complete answer to the request \p Id.
inline std::string answerTo(const std::string &Id, bool WithId = true) {
  std::string Body = answerBodyFor(Id);
  return "HTTP/1.1 200 OK\r\nServer-Stamp: signed\r\n" +
         (WithId ? "Attempt-Id: " + Id + "\r\n" : "") +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

class HostileServer {
public:
  /// Answers one request; returns whether the connection stays open.
  using Script = std::function<bool(const HostileExchange &)>;

  /// Listens on a free port of 127.0.0.1.
  explicit HostileServer(const Script &Answer) {
    int Listener = listenOnLoopback(&Endpoint);
    std::thread([Listener, Answer] {
      while (true) {
        int Socket = accept(Listener, nullptr, nullptr);
        if (Socket < 0)
          return;
        std::thread([Socket, Answer] { serve(Socket, Answer); }).detach();
      }
    }).detach();
  }

  const std::string &address() const { return Endpoint; }

private:
  static void serve(int Socket, const Script &Answer) {
    int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    HostileExchange Exchange;
    Exchange.Socket = Socket;
    std::string Input;
    char Bytes[4096];
    while (true) {
      size_t End = Input.find("\r\n\r\n");
      if (End == std::string::npos) {
        ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
        if (Count <= 0)
          break;
        Input.append(Bytes, static_cast<size_t>(Count));
        continue;
      }
      constexpr const char *IdHeader = "Attempt-Id: ";
      size_t Begin = Input.find(IdHeader) + std::string(IdHeader).size();
      Exchange.Id = Input.substr(Begin, Input.find("\r\n", Begin) - Begin);
      Input.erase(0, End + 4);
      if (!Answer(Exchange))
        break;
      Exchange.PreviousId = Exchange.Id;
    }
    close(Socket);
  }

  std::string Endpoint;
};

} // namespace mimosa

#endif // MIMOSA_RUNTIME_HOSTILE_SERVER_TEST_UTIL_H
