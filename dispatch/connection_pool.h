// The connections of one owner to one backend server. Each carries one exchange
// at a time: a search, a cancel or a status poll.
//
// A connection ends with the process that accepted it, so the incarnation in a
// status reply holds for all later exchanges on the same connection. Searches
// are sent only on connections to the current incarnation. Otherwise a backend
// server that restarted while its old connections hang could receive, on a new
// connection, the load that its previous incarnation was able to take.

#ifndef MIMOSA_DISPATCH_CONNECTION_POOL_H
#define MIMOSA_DISPATCH_CONNECTION_POOL_H

#include "dispatch/class_queue.h"

namespace mimosa {

enum class ConnectionUse : uint8_t { Opening, Idle, Search, Cancel, Status };

struct Connection {
  ConnectionId Id;
  ConnectionUse Use = ConnectionUse::Opening;
  /// When the current use began.
  MonotonicTime UseStart;
  /// Incarnation of the peer; 0 until a status reply on this connection.
  Incarnation PeerIncarnation;
  /// The first byte of the current exchange's reply has arrived.
  bool ReceivedByte = false;
  /// The sub-request of a Search or Cancel.
  EntryIndex Index = NoEntry;
  /// The dispatch of Index when the exchange began; Index may have been reused
  /// since.
  DispatchId Dispatch;

  bool isOpen() const { return Use != ConnectionUse::Opening; }
  bool isBusy() const { return isOpen() && Use != ConnectionUse::Idle; }
};

/// See the head of this file.
class ConnectionPool {
public:
  /// Adds a connection in state Opening.
  ConnectionId add(MonotonicTime Now);
  void remove(ConnectionId Id);
  /// Null if the connection was removed.
  Connection *find(ConnectionId Id);
  /// An idle connection, null if there is none. Prefers the oldest, so that
  /// surplus connections stay idle.
  Connection *idle();
  /// An idle connection to the incarnation \p Peer, null if there is none.
  Connection *idleTo(Incarnation Peer);
  /// Begins an exchange on an idle connection.
  static void begin(Connection &C, ConnectionUse Use, EntryIndex Index,
                    DispatchId Dispatch, MonotonicTime Now);
  /// Ends the exchange with a reply; the connection becomes idle.
  void end(Connection &C, MonotonicTime Now);

  /// True if another connection received a reply after \p C began its exchange.
  bool othersReplied(const Connection &C) const;

  uint32_t size() const { return static_cast<uint32_t>(Connections.size()); }
  bool anyOpen() const;
  std::vector<Connection> &all() { return Connections; }
  const std::vector<Connection> &all() const { return Connections; }

private:
  std::vector<Connection> Connections;
  uint64_t LastId = 0;
  /// The latest reply, and the latest one on any other connection.
  ConnectionId LastReplyingConnection;
  MonotonicTime LastReplyAt;
  MonotonicTime LastReplyOfOthersAt;
};

} // namespace mimosa

#endif // MIMOSA_DISPATCH_CONNECTION_POOL_H
