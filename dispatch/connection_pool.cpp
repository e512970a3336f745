#include "dispatch/connection_pool.h"

#include <algorithm>

namespace mimosa {

ConnectionId ConnectionPool::add(MonotonicTime Now) {
  Connection C;
  C.Id = ConnectionId(++LastId);
  C.UseStart = Now;
  Connections.push_back(C);
  return C.Id;
}

void ConnectionPool::remove(ConnectionId Id) {
  auto HasId = [Id](const Connection &C) { return C.Id == Id; };
  Connections.erase(
      std::remove_if(Connections.begin(), Connections.end(), HasId),
      Connections.end());
}

Connection *ConnectionPool::find(ConnectionId Id) {
  for (Connection &C : Connections)
    if (C.Id == Id)
      return &C;
  return nullptr;
}

Connection *ConnectionPool::idle() {
  for (Connection &C : Connections)
    if (C.Use == ConnectionUse::Idle)
      return &C;
  return nullptr;
}

Connection *ConnectionPool::idleTo(Incarnation Peer) {
  for (Connection &C : Connections)
    if (C.Use == ConnectionUse::Idle && C.PeerIncarnation == Peer)
      return &C;
  return nullptr;
}

void ConnectionPool::begin(Connection &C, ConnectionUse Use, EntryIndex Index,
                           DispatchId Dispatch, MonotonicTime Now) {
  C.Use = Use;
  C.UseStart = Now;
  C.ReceivedByte = false;
  C.Index = Index;
  C.Dispatch = Dispatch;
}

void ConnectionPool::end(Connection &C, MonotonicTime Now) {
  C.Use = ConnectionUse::Idle;
  C.UseStart = Now;
  C.Index = NoEntry;
  if (LastReplyingConnection != C.Id) {
    LastReplyOfOthersAt = LastReplyAt;
    LastReplyingConnection = C.Id;
  }
  LastReplyAt = Now;
}

bool ConnectionPool::othersReplied(const Connection &C) const {
  MonotonicTime LastReply =
      LastReplyingConnection == C.Id ? LastReplyOfOthersAt : LastReplyAt;
  return LastReply > C.UseStart;
}

bool ConnectionPool::anyOpen() const {
  return std::any_of(Connections.begin(), Connections.end(),
                     [](const Connection &C) { return C.isOpen(); });
}

} // namespace mimosa
