// Connections to backend servers: carries the sends of a CallScheduler over
// HTTP and keeps idle connections for later sends.

#ifndef MIMOSA_ENTRY_BACKEND_CHANNELS_H
#define MIMOSA_ENTRY_BACKEND_CHANNELS_H

#include "balance/call_scheduler.h"
#include "runtime/http_channel.h"

namespace mimosa {

struct ChannelCounters {
  uint64_t Opened = 0;
  uint64_t Reused = 0;
  uint64_t ClosedIdle = 0;
  /// Answers to other requests that were dropped.
  uint64_t Strays = 0;
};

class BackendChannels : public BackendTransport, private HttpChannelEvents {
public:
  BackendChannels(FiberLoop &Loop, ServerRegistry &Registry)
      : Loop(Loop), Registry(Registry) {}

  /// To be called once before the first send; \p To must outlive this object.
  void reportTo(CallScheduler &To) { Calls = &To; }

  void send(AttemptId Id, const BackendServerPtr &Server,
            const CallRequest &Request, Duration TimeLeft,
            bool FreshConnection) override;
  void cancel(AttemptId Id) override;

  /// Closes idle connections that their backend server is about to close, or
  /// whose backend server is gone. To be called about once a second.
  void sweep();

  size_t open() const { return Connections.size(); }
  const ChannelCounters &counters() const { return Counters; }

private:
  struct Connection {
    std::shared_ptr<HttpChannel> Channel;
    BackendServerPtr Server;
    AttemptId Attempt;
    CallerRequestId Request;
    bool Busy = false;
    MonotonicTime IdleSince;
    Duration KeepAliveTimeout{0};
  };
  using Pool = std::vector<HttpChannel *>;

  bool answered(HttpChannel &Channel, HttpAnswer Answer, bool MayGoOn) override;
  void ended(HttpChannel &Channel, ChannelEnd End) override;

  HttpChannel *takeIdle(const BackendServerPtr &Server, bool Fresh);
  HttpChannel *openNew(const BackendServerPtr &Server);
  void closeIdleBeyondLimit(const BackendServerPtr &Server);
  void closeIdle(HttpChannel *Channel);
  void drop(HttpChannel *Channel);
  bool expired(const Connection &C, MonotonicTime Now) const;

  FiberLoop &Loop;
  ServerRegistry &Registry;
  CallScheduler *Calls = nullptr;
  ChannelCounters Counters;
  std::unordered_map<HttpChannel *, Connection> Connections;
  /// Idle connections by backend server, the latest used last.
  std::unordered_map<const BackendServer *, Pool> Idle;
  std::unordered_map<const BackendServer *, uint32_t> OpenTo;
  std::unordered_map<AttemptId, HttpChannel *> Running;
};

} // namespace mimosa

#endif // MIMOSA_ENTRY_BACKEND_CHANNELS_H
