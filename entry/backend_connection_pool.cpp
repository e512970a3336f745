#include "entry/backend_connection_pool.h"

#include "base/rendezvous.h"
#include "platform/caller_wire.h"
#include "runtime/log.h"

#include <algorithm>

namespace mimosa {

namespace {

/// Idle connections are closed this long before their backend server would
/// close them, so that no request is sent while the backend server closes.
constexpr Duration KeepAliveMargin = Milliseconds(1200);
/// Used if a backend server does not state how long it keeps idle connections.
constexpr Duration DefaultKeepAliveTimeout = Seconds(5);
/// A request that must not run twice is sent only on a connection that has been
/// idle for at most this time. After the loss of a connection it is not known
/// whether the request ran, so it could not be sent again.
constexpr Duration MaxFreshIdleTime = Milliseconds(400);
/// Requests after which a connection is replaced. Bounds the memory for their
/// ids.
constexpr size_t MaxExchanges = 1024;

/// Requests with equal hashes are kept off one connection like those with equal
/// ids, so a collision has no consequence.
uint32_t hashOf(const CallerRequestId &Id) {
  return static_cast<uint32_t>(hash64(Id.text()));
}

} // namespace

bool BackendConnectionPool::expired(const Connection &C,
                                    MonotonicTime Now) const {
  Duration Timeout = C.KeepAliveTimeout > Duration(0) ? C.KeepAliveTimeout
                                                      : DefaultKeepAliveTimeout;
  return Now - C.IdleSince >
         std::max<Duration>(Duration(0), Timeout - KeepAliveMargin);
}

HttpChannel *BackendConnectionPool::takeIdle(const BackendServerPtr &Server,
                                             const CallerRequestId &Id,
                                             bool FreshOnly) {
  auto Found = IdleChannels.find(Server.get());
  if (Found == IdleChannels.end())
    return nullptr;
  MonotonicTime Now = Loop.now();
  ChannelList &Idle = Found->second;
  for (auto It = Idle.rbegin(); It != Idle.rend(); ++It) {
    HttpChannel *Channel = *It;
    const Connection &C = Connections.at(Channel);
    if (expired(C, Now) || (FreshOnly && Now - C.IdleSince > MaxFreshIdleTime))
      return nullptr;
    if (std::find(C.CarriedIds.begin(), C.CarriedIds.end(), hashOf(Id)) !=
        C.CarriedIds.end())
      continue;
    Idle.erase(std::next(It).base());
    ++Counters.Reused;
    return Channel;
  }
  return nullptr;
}

void BackendConnectionPool::closeIdleAtLimit(const BackendServerPtr &Server) {
  uint32_t Limit = Registry.connectionLimit(*Server);
  while (ConnectionCounts[Server.get()] >= Limit) {
    // Closing the last connection of a backend server removes its list.
    auto Idle = IdleChannels.find(Server.get());
    if (Idle == IdleChannels.end() || Idle->second.empty())
      return;
    closeIdle(Idle->second.front());
  }
}

HttpChannel *
BackendConnectionPool::openConnection(const BackendServerPtr &Server) {
  closeIdleAtLimit(Server);
  auto Opened = HttpChannel::open(Loop, Server->entry().Address, *this, Budget);
  if (!ok(Opened)) {
    logWarn("backend", "event=bad_address server=" + Server->entry().Id.text() +
                           " reason=\"" + errorOf(Opened).Message + "\"");
    return nullptr;
  }
  ++Counters.Opened;
  ++ConnectionCounts[Server.get()];
  HttpChannel *Key = valueOf(Opened).get();
  Connection &C = Connections[Key];
  C.Channel = std::move(valueOf(Opened));
  C.Server = Server;
  return Key;
}

void BackendConnectionPool::send(AttemptId Id, const BackendServerPtr &Server,
                                 const CallRequest &Request,
                                 bool FreshConnection) {
  // The answer to a request without an id can only be the first one on its
  // connection.
  bool HasId = !Request.Message->Id.empty();
  HttpChannel *Channel =
      HasId ? takeIdle(Server, Request.Message->Id, FreshConnection) : nullptr;
  if (!Channel)
    Channel = openConnection(Server);
  if (!Channel) {
    // The scheduler must not be called before send() has returned.
    Loop.spawn([this, Id] { Scheduler->onNotSent(Id, Loop.now()); });
    return;
  }
  Connection &C = Connections.at(Channel);
  C.Attempt = Id;
  C.RequestId = Request.Message->Id;
  C.Busy = true;
  C.CarriedIds.push_back(hashOf(C.RequestId));
  ActiveChannels[Id] = Channel;
  Channel->exchange([this, Message = Request.Message,
                     Deadline = Request.Deadline,
                     Server] { return encode(Message, Deadline, *Server); },
                    Request.Message->IsHeadRequest, Request.MaxAnswerBytes);
}

std::optional<EncodedRequest> BackendConnectionPool::encode(
    const std::shared_ptr<const CallerRequest> &Message, MonotonicTime Deadline,
    const BackendServer &Server) {
  MonotonicTime Now = Loop.now();
  if (Registry.usable(Server) && Now >= Server.pushback().pausedUntil())
    return EncodedRequest{
        encodeBackendHead(*Message, Deadline - Now, Server.entry().Id),
        std::shared_ptr<const std::string>(Message, &Message->Body)};
  ++Counters.Withheld;
  logRequest("backend", "event=withheld request=" + Message->Id.text() +
                            " server=" + Server.entry().Id.text() + " " +
                            Server.pushback().describe(Now));
  return std::nullopt;
}

void BackendConnectionPool::cancel(AttemptId Id) {
  auto Found = ActiveChannels.find(Id);
  if (Found == ActiveChannels.end())
    return;
  HttpChannel *Channel = Found->second;
  ActiveChannels.erase(Found);
  size_t Unacknowledged = Channel->unacknowledgedBytes();
  if (!Channel->connected() || Unacknowledged > 0) {
    ++Counters.CancelledUndelivered;
    const Connection &C = Connections.at(Channel);
    logRequest("backend",
               "event=cancelled_undelivered request=" + C.RequestId.text() +
                   " server=" + C.Server->entry().Id.text() +
                   " connected=" + (Channel->connected() ? "1" : "0") +
                   " bytes=" + std::to_string(Unacknowledged));
  }
  // The request must not arrive later than now.
  Channel->abort();
  removeConnection(Channel);
}

void BackendConnectionPool::removeConnection(HttpChannel *Channel) {
  auto Found = Connections.find(Channel);
  const BackendServer *Server = Found->second.Server.get();
  if (!Found->second.Busy) {
    ChannelList &Channels = IdleChannels[Server];
    Channels.erase(std::remove(Channels.begin(), Channels.end(), Channel),
                   Channels.end());
  }
  if (--ConnectionCounts[Server] == 0) {
    ConnectionCounts.erase(Server);
    IdleChannels.erase(Server);
  }
  Connections.erase(Found);
}

void BackendConnectionPool::closeIdle(HttpChannel *Channel) {
  ++Counters.ClosedIdle;
  Channel->close();
  removeConnection(Channel);
}

void BackendConnectionPool::loseUntrusted(HttpChannel &Channel) {
  Channel.close();
  onClosed(Channel, ChannelCloseReason::Malformed);
}

bool BackendConnectionPool::onResponse(HttpChannel &Channel,
                                       ReceivedHttpResponse Response,
                                       bool Reusable) {
  Connection &C = Connections.at(&Channel);
  DecodedBackendAnswer Decoded =
      decodeBackendAnswer(std::move(Response), C.RequestId);
  using IdState = DecodedBackendAnswer::IdState;
  bool Untrusted = Decoded.Id == IdState::Missing && C.CarriedIds.size() > 1;
  if (Untrusted && !Decoded.Answer.success()) {
    loseUntrusted(Channel);
    return true;
  }
  if (Untrusted || Decoded.Id == IdState::Differs) {
    ++Counters.StrayAnswers;
    logRequest("backend", "event=stray_answer request=" + C.RequestId.text() +
                              " server=" + C.Server->entry().Id.text());
    return false;
  }
  if (Decoded.Answer.Misdirected)
    logRequest("backend",
               "event=server_replaced request=" + C.RequestId.text() +
                   " server=" + C.Server->entry().Id.text() +
                   " address=" + C.Server->entry().Address +
                   " sequence=" + std::to_string(C.Server->entry().Sequence));
  if (Decoded.Answer.Notice.Unreadable)
    logRequest("backend",
               "event=unreadable_notice request=" + C.RequestId.text() +
                   " server=" + C.Server->entry().Id.text());
  AttemptId Id = C.Attempt;
  BackendServerPtr Server = C.Server;
  CallerRequestId RequestId = C.RequestId;
  ActiveChannels.erase(Id);
  if (Decoded.Id == IdState::Missing) {
    ++Counters.AnswersWithoutId;
    Reusable = false;
  }
  if (Reusable && KeepIdle && C.CarriedIds.size() < MaxExchanges) {
    C.Busy = false;
    C.IdleSince = Loop.now();
    if (Decoded.KeepAliveTimeout > Duration(0))
      C.KeepAliveTimeout = Decoded.KeepAliveTimeout;
    IdleChannels[C.Server.get()].push_back(&Channel);
  } else {
    Channel.close();
    removeConnection(&Channel);
  }
  uint64_t ChangesBefore = Server->pushback().changes();
  Scheduler->onAnswered(Id, std::move(Decoded.Answer), Loop.now());
  if (Server->pushback().changes() != ChangesBefore)
    logRequest("backend", "event=pushback server=" + Server->entry().Id.text() +
                              " service=" + Server->entry().Service.text() +
                              " answer_to=" + RequestId.text() +
                              " hosts=" + std::to_string(Registry.hostCount()) +
                              " " + Server->pushback().describe(Loop.now()));
  return true;
}

void BackendConnectionPool::onClosed(HttpChannel &Channel,
                                     ChannelCloseReason Reason) {
  auto Found = Connections.find(&Channel);
  if (Found == Connections.end())
    return;
  bool Busy = Found->second.Busy;
  AttemptId Id = Found->second.Attempt;
  if (Reason == ChannelCloseReason::Malformed) {
    ++Counters.MalformedAnswers;
    logRequest("backend", "event=malformed_answer request=" +
                              Found->second.RequestId.text() + " server=" +
                              Found->second.Server->entry().Id.text());
  }
  removeConnection(&Channel);
  if (!Busy)
    return;
  ActiveChannels.erase(Id);
  if (Reason == ChannelCloseReason::NothingSent)
    Scheduler->onNotSent(Id, Loop.now());
  else
    Scheduler->onLost(Id, Reason == ChannelCloseReason::Malformed, Loop.now());
}

void BackendConnectionPool::closeExpired() {
  MonotonicTime Now = Loop.now();
  std::vector<HttpChannel *> Stale;
  for (const auto &[Key, C] : Connections)
    if (!C.Busy &&
        (!KeepIdle || expired(C, Now) || !Registry.usable(*C.Server)))
      Stale.push_back(Key);
  for (HttpChannel *Channel : Stale)
    closeIdle(Channel);
}

} // namespace mimosa
