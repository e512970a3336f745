#include "dispatch/connection_pool.h"

#include <algorithm>

namespace mimosa {

ConnectionId ConnectionPool::add(MonotonicTime Now) {
  Connection C;
  C.Id = ConnectionId(++LastId);
  C.Since = Now;
  All.push_back(C);
  return C.Id;
}

void ConnectionPool::remove(ConnectionId Id) {
  auto IsIt = [Id](const Connection &C) { return C.Id == Id; };
  All.erase(std::remove_if(All.begin(), All.end(), IsIt), All.end());
}

Connection *ConnectionPool::find(ConnectionId Id) {
  for (Connection &C : All)
    if (C.Id == Id)
      return &C;
  return nullptr;
}

Connection *ConnectionPool::idle() {
  for (Connection &C : All)
    if (C.Use == ConnectionUse::Idle)
      return &C;
  return nullptr;
}

Connection *ConnectionPool::idleTo(Incarnation Peer) {
  for (Connection &C : All)
    if (C.Use == ConnectionUse::Idle && C.Peer == Peer)
      return &C;
  return nullptr;
}

void ConnectionPool::begin(Connection &C, ConnectionUse Use, WorkIndex Index,
                           DispatchId Send, MonotonicTime Now) {
  C.Use = Use;
  C.Since = Now;
  C.GotByte = false;
  C.Index = Index;
  C.Send = Send;
}

void ConnectionPool::end(Connection &C, MonotonicTime Now) {
  C.Use = ConnectionUse::Idle;
  C.Since = Now;
  C.Index = NoWork;
  if (LastAnswerer != C.Id) {
    LastAnswerOfOther = LastAnswer;
    LastAnswerer = C.Id;
  }
  LastAnswer = Now;
}

bool ConnectionPool::othersAnswered(const Connection &C) const {
  MonotonicTime Answer = LastAnswerer == C.Id ? LastAnswerOfOther : LastAnswer;
  return Answer > C.Since;
}

bool ConnectionPool::anyOpen() const {
  return std::any_of(All.begin(), All.end(),
                     [](const Connection &C) { return C.isOpen(); });
}

} // namespace mimosa
