// Pool of HTTP connections to backend servers: carries the attempts of a
// CallScheduler, and keeps idle connections open for later attempts.
//
//   BackendConnectionPool Pool(Loop, Registry);
//   CallScheduler Scheduler(Registry, Pool);
//   Pool.setScheduler(Scheduler);
//   ...
//   Pool.closeExpired();   // about once a second
//
// A backend server in trouble may send a second copy of an answer late, when
// the connection is in use again. The id that it echoes tells the copy from the
// answer, as long as no two requests on a connection have the same id: one that
// was declined and is sent again gets another connection. Without an id, only
// the first answer on a connection can be trusted, and the connection is not
// used again after it. On a connection that was used before, a success without
// an id is dropped as a copy; after a failure without one, the connection is
// closed, since no answer may follow it.

#ifndef MIMOSA_ENTRY_BACKEND_CONNECTION_POOL_H
#define MIMOSA_ENTRY_BACKEND_CONNECTION_POOL_H

#include "balance/call_scheduler.h"
#include "platform/backend_wire.h"
#include "runtime/http_channel.h"

namespace mimosa {

struct ConnectionPoolCounters {
  uint64_t Opened = 0;
  uint64_t Reused = 0;
  uint64_t ClosedIdle = 0;
  /// Answers that were dropped because they belonged to other requests, or
  /// could do so.
  uint64_t StrayAnswers = 0;
  /// Answers without an id that were accepted.
  uint64_t AnswersWithoutId = 0;
  /// Connections closed because of bytes that are no valid answer.
  uint64_t MalformedAnswers = 0;
  /// Attempts cancelled before the backend server had acknowledged all bytes of
  /// the request.
  uint64_t CancelledUndelivered = 0;
  /// Requests that were not sent because their backend server had ceased to be
  /// usable, or had asked for a pause, until their connection was established.
  uint64_t Withheld = 0;
};

class BackendConnectionPool : public BackendTransport,
                              private HttpChannelEvents {
public:
  /// \p Budget limits the memory for answers that are being received.
  BackendConnectionPool(FiberLoop &Loop, ServerRegistry &Registry,
                        ReceiveBudget &Budget)
      : Loop(Loop), Registry(Registry), Budget(Budget) {}

  /// Must be called once before the first send(). \p NewScheduler must outlive
  /// this object.
  void setScheduler(CallScheduler &NewScheduler) { Scheduler = &NewScheduler; }

  /// Sets whether connections stay open after an answer. The connections of a
  /// backend server are shared by the hosts that callers are sent to; another
  /// host, which gets a request now and then, must not hold any.
  void setKeepIdle(bool NewKeepIdle) { KeepIdle = NewKeepIdle; }

  void send(AttemptId Id, const BackendServerPtr &Server,
            const CallRequest &Request, bool FreshConnection) override;
  void cancel(AttemptId Id) override;

  /// Closes idle connections that their backend server is about to close, or
  /// whose backend server is not usable any more. Must be called about once a
  /// second.
  void closeExpired();

  size_t openConnections() const { return Connections.size(); }
  const ConnectionPoolCounters &counters() const { return Counters; }

private:
  struct Connection {
    std::shared_ptr<HttpChannel> Channel;
    BackendServerPtr Server;
    AttemptId Attempt;
    CallerRequestId RequestId;
    /// Hashes of the ids of all requests that it has carried.
    std::vector<uint32_t> CarriedIds;
    bool Busy = false;
    MonotonicTime IdleSince;
    Duration KeepAliveTimeout{0};
  };
  using ChannelList = std::vector<HttpChannel *>;

  bool onResponse(HttpChannel &Channel, ReceivedHttpResponse Response,
                  bool Reusable) override;
  void onClosed(HttpChannel &Channel, ChannelCloseReason Reason) override;

  /// The bytes of a request that is sent now; empty if \p Server must not get
  /// it any more.
  std::optional<EncodedRequest>
  encode(const std::shared_ptr<const CallerRequest> &Message,
         MonotonicTime Deadline, const BackendServer &Server);
  /// Ends the attempt on a connection whose answer cannot be trusted.
  void loseUntrusted(HttpChannel &Channel);
  /// An idle connection that can carry the request \p Id; null if there is
  /// none.
  HttpChannel *takeIdle(const BackendServerPtr &Server,
                        const CallerRequestId &Id, bool FreshOnly);
  HttpChannel *openConnection(const BackendServerPtr &Server);
  /// Closes idle connections until one more fits within the connection limit.
  void closeIdleAtLimit(const BackendServerPtr &Server);
  void closeIdle(HttpChannel *Channel);
  void removeConnection(HttpChannel *Channel);
  /// Whether an idle connection is about to be closed by its backend server.
  bool expired(const Connection &C, MonotonicTime Now) const;

  FiberLoop &Loop;
  ServerRegistry &Registry;
  ReceiveBudget &Budget;
  CallScheduler *Scheduler = nullptr;
  ConnectionPoolCounters Counters;
  bool KeepIdle = true;
  std::unordered_map<HttpChannel *, Connection> Connections;
  /// Idle connections by backend server, the most recently used last.
  std::unordered_map<const BackendServer *, ChannelList> IdleChannels;
  std::unordered_map<const BackendServer *, uint32_t> ConnectionCounts;
  std::unordered_map<AttemptId, HttpChannel *> ActiveChannels;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_BACKEND_CONNECTION_POOL_H
