#include "entry/backend_channels.h"

#include "platform/backend_wire.h"
#include "platform/caller_wire.h"
#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Idle connections are closed this long before their backend server would, so
/// that no request crosses its close.
constexpr Duration KeepAliveMargin = Milliseconds(1200);
/// Used where a backend server does not say how long it keeps connections.
constexpr Duration DefaultKeepAlive = Seconds(5);
/// A request that must not run twice goes only onto a connection that has been
/// used so recently; a loss on a stale one could not be repaired.
constexpr Duration FreshIdle = Milliseconds(400);

} // namespace

bool BackendChannels::expired(const Connection &C, MonotonicTime Now) const {
  Duration Kept =
      C.KeepAliveTimeout > Duration(0) ? C.KeepAliveTimeout : DefaultKeepAlive;
  return Now - C.IdleSince >
         std::max<Duration>(Duration(0), Kept - KeepAliveMargin);
}

HttpChannel *BackendChannels::takeIdle(const BackendServerPtr &Server,
                                       bool Fresh) {
  auto Found = Idle.find(Server.get());
  if (Found == Idle.end() || Found->second.empty())
    return nullptr;
  MonotonicTime Now = Loop.now();
  HttpChannel *Latest = Found->second.back();
  const Connection &C = Connections.at(Latest);
  if (expired(C, Now) || (Fresh && Now - C.IdleSince > FreshIdle))
    return nullptr;
  Found->second.pop_back();
  ++Counters.Reused;
  return Latest;
}

void BackendChannels::closeIdleBeyondLimit(const BackendServerPtr &Server) {
  Pool &Waiting = Idle[Server.get()];
  while (!Waiting.empty() &&
         OpenTo[Server.get()] >= Registry.connectionLimit(*Server))
    closeIdle(Waiting.front());
}

HttpChannel *BackendChannels::openNew(const BackendServerPtr &Server) {
  closeIdleBeyondLimit(Server);
  auto Opened = HttpChannel::open(Loop, Server->entry().Address, *this);
  if (!ok(Opened)) {
    logWarn("backend", "event=bad_address server=" + Server->entry().Id.text() +
                           " reason=\"" + errorOf(Opened).Message + "\"");
    return nullptr;
  }
  ++Counters.Opened;
  ++OpenTo[Server.get()];
  HttpChannel *Key = valueOf(Opened).get();
  Connection &C = Connections[Key];
  C.Channel = std::move(valueOf(Opened));
  C.Server = Server;
  return Key;
}

void BackendChannels::send(AttemptId Id, const BackendServerPtr &Server,
                           const CallRequest &Request, Duration TimeLeft,
                           bool FreshConnection) {
  HttpChannel *Channel = takeIdle(Server, FreshConnection);
  if (!Channel)
    Channel = openNew(Server);
  if (!Channel) {
    // Reports must come after send() has returned.
    Loop.spawn([this, Id] { Calls->onNotSent(Id, Loop.now()); });
    return;
  }
  Connection &C = Connections.at(Channel);
  C.Attempt = Id;
  C.Request = Request.Message->Id;
  C.Busy = true;
  Running[Id] = Channel;
  Channel->exchange(
      encodeBackendRequest(*Request.Message, TimeLeft, Server->entry().Id),
      Request.Message->IsHeadRequest);
}

void BackendChannels::cancel(AttemptId Id) {
  auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  HttpChannel *Channel = Found->second;
  Running.erase(Found);
  Channel->close();
  drop(Channel);
}

void BackendChannels::drop(HttpChannel *Channel) {
  auto Found = Connections.find(Channel);
  const BackendServer *Server = Found->second.Server.get();
  if (!Found->second.Busy) {
    Pool &Waiting = Idle[Server];
    Waiting.erase(std::remove(Waiting.begin(), Waiting.end(), Channel),
                  Waiting.end());
  }
  if (--OpenTo[Server] == 0) {
    OpenTo.erase(Server);
    Idle.erase(Server);
  }
  Connections.erase(Found);
}

void BackendChannels::closeIdle(HttpChannel *Channel) {
  ++Counters.ClosedIdle;
  Channel->close();
  drop(Channel);
}

bool BackendChannels::answered(HttpChannel &Channel, HttpAnswer Answer,
                               bool MayGoOn) {
  Connection &C = Connections.at(&Channel);
  DecodedBackendAnswer Decoded =
      decodeBackendAnswer(std::move(Answer), C.Request);
  if (Decoded.IdMismatch) {
    ++Counters.Strays;
    logRequest("backend", "event=stray_answer request=" + C.Request.text() +
                              " server=" + C.Server->entry().Id.text());
    return false;
  }
  if (Decoded.Answer.Misdirected)
    logRequest("backend",
               "event=server_replaced request=" + C.Request.text() +
                   " server=" + C.Server->entry().Id.text() +
                   " address=" + C.Server->entry().Address +
                   " sequence=" + std::to_string(C.Server->entry().Sequence));
  AttemptId Id = C.Attempt;
  Running.erase(Id);
  if (MayGoOn) {
    C.Busy = false;
    C.IdleSince = Loop.now();
    if (Decoded.KeepAliveTimeout > Duration(0))
      C.KeepAliveTimeout = Decoded.KeepAliveTimeout;
    Idle[C.Server.get()].push_back(&Channel);
  } else {
    Channel.close();
    drop(&Channel);
  }
  Calls->onAnswered(Id, std::move(Decoded.Answer), Loop.now());
  return true;
}

void BackendChannels::ended(HttpChannel &Channel, ChannelEnd End) {
  auto Found = Connections.find(&Channel);
  if (Found == Connections.end())
    return;
  bool Busy = Found->second.Busy;
  AttemptId Id = Found->second.Attempt;
  drop(&Channel);
  if (!Busy)
    return;
  Running.erase(Id);
  if (End == ChannelEnd::NothingSent)
    Calls->onNotSent(Id, Loop.now());
  else
    Calls->onLost(Id, End == ChannelEnd::Malformed, Loop.now());
}

void BackendChannels::sweep() {
  MonotonicTime Now = Loop.now();
  std::vector<HttpChannel *> Stale;
  for (const auto &[Key, C] : Connections)
    if (!C.Busy && (expired(C, Now) || !Registry.usable(*C.Server)))
      Stale.push_back(Key);
  for (HttpChannel *Channel : Stale)
    closeIdle(Channel);
}

} // namespace mimosa
