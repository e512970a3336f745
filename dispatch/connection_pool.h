// The connections of one owner to one backend server. Each carries one exchange
// at a time: a search, a cancel or a status poll.
//
// A connection ends with the process that accepted it, so the incarnation that
// a status reply names on it holds for all its later exchanges. Searches go
// only to connections whose incarnation is the present one: a backend server
// that was restarted behind connections that hang cannot get the load of its
// previous life through a fresh one.

#ifndef MIMOSA_DISPATCH_CONNECTION_POOL_H
#define MIMOSA_DISPATCH_CONNECTION_POOL_H

#include "dispatch/class_queue.h"

namespace mimosa {

enum class ConnectionUse : uint8_t { Opening, Idle, Search, Cancel, Status };

struct Connection {
  ConnectionId Id;
  ConnectionUse Use = ConnectionUse::Opening;
  /// Start of the present use.
  MonotonicTime Since;
  /// The process at the other end; 0 until a status reply on this connection.
  Incarnation Peer;
  /// The present exchange got a byte.
  bool GotByte = false;
  /// The sub-request of a Search or Cancel.
  WorkIndex Index = NoWork;
  /// The send that Index belonged to when the exchange began.
  DispatchId Send;

  bool isOpen() const { return Use != ConnectionUse::Opening; }
  bool isBusy() const { return isOpen() && Use != ConnectionUse::Idle; }
};

class ConnectionPool {
public:
  /// Adds a connection in state Opening.
  ConnectionId add(MonotonicTime Now);
  void remove(ConnectionId Id);
  /// Null if the connection is gone.
  Connection *find(ConnectionId Id);
  /// An idle connection, null if there is none. The one that was added first
  /// is preferred, so that surplus connections stay idle.
  Connection *idle();
  /// An idle connection to the process \p Peer, null if there is none.
  Connection *idleTo(Incarnation Peer);
  /// Begins an exchange on an idle connection.
  static void begin(Connection &C, ConnectionUse Use, WorkIndex Index,
                    DispatchId Send, MonotonicTime Now);
  /// Ends the exchange; the connection is idle. Also notes the answer.
  void end(Connection &C, MonotonicTime Now);

  /// True if another connection answered after \p C began its exchange.
  bool othersAnswered(const Connection &C) const;

  uint32_t size() const { return static_cast<uint32_t>(All.size()); }
  bool anyOpen() const;
  std::vector<Connection> &all() { return All; }
  const std::vector<Connection> &all() const { return All; }

private:
  std::vector<Connection> All;
  uint64_t LastId = 0;
  /// The two latest answers of different connections.
  ConnectionId LastAnswerer;
  MonotonicTime LastAnswer;
  MonotonicTime LastAnswerOfOther;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_CONNECTION_POOL_H
