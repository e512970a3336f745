// Simulated backend servers that serve the schedulers of several hosts, with
// the faults of docs/design.md, section 1.5. They count the running searches
// themselves and record them in the event log.
//
// A search returns data of the snapshot that the backend server holds. After a
// repartition, servers with an odd index refuse a request for the old snapshot;
// the others answer it from the new one, as a server without a check would.
//
//   FakeBackends Backends(InjectedBug::None, Log, Time, OnDispatcher);
//   Backends.kill(1, Seconds(2));
//   Backends.perform(Host, 1, OpenConnectionAction);

#ifndef MIMOSA_PROOF_FAKE_BACKENDS_H
#define MIMOSA_PROOF_FAKE_BACKENDS_H

#include "backend/backend_directory.h"
#include "base/message_codec.h"
#include "base/random.h"
#include "dispatch/dispatcher.h"
#include "proof/event_log.h"

#include <map>
#include <tuple>

namespace mimosa {

/// The body of a search reply.
struct FakeReplyBody {
  SnapshotId Snapshot;
  std::vector<ShardId> Shards;
  std::string Request;
  MSGPACK_DEFINE_MAP(Snapshot, Shards, Request);
};

class FakeBackends {
public:
  static constexpr size_t Count = 6;
  static constexpr uint32_t Slots = 2;
  using DispatcherCall = std::function<void(Dispatcher &, DispatchActions &)>;
  /// Calls the dispatcher of a host: after its pause if it is paused, and not
  /// at all if it has stopped.
  using RunOnDispatcher = std::function<void(size_t Host, DispatcherCall Call)>;

  FakeBackends(InjectedBug Bug, EventLog &Log, Timeline &Time,
               RunOnDispatcher OnDispatcher);

  /// "b0" to "b5".
  static BackendServerId name(size_t B);
  static size_t index(const BackendServerId &Backend);
  static AvailabilityZoneId zone(size_t B);
  static Partition partition(size_t B) { return Partition(B / 3); }

  // Faults.
  /// Searches take longer for the duration \p For.
  void straggle(size_t B, Duration For);
  /// The process ends, and a new incarnation starts after \p Down.
  void kill(size_t B, Duration Down);
  void turnCold(size_t B);
  /// All open connections stay open but no longer deliver messages.
  void silence(size_t B);
  void drain(size_t B);
  void repartition();
  /// The next search of \p Request runs, but its connection is reset before the
  /// reply.
  void loseReplyOf(const std::string &Request) { LostReplyRequest = Request; }

  /// Carries out an action of host \p Host for backend server \p B.
  void perform(size_t Host, size_t B, const OpenConnection &A);
  void perform(size_t Host, size_t B, const CloseConnection &A);
  void perform(size_t Host, size_t B, const SendSearch &A);
  void perform(size_t Host, size_t B, const SendCancel &A);
  void perform(size_t Host, size_t B, const PollStatus &A);
  /// Sends a search without the scheduler (InjectedBug::LimitIgnored).
  void
  sendBypassingScheduler(size_t Host, size_t B, const SubRequest &Request,
                         const std::function<void(SubRequestResult)> &OnReply);

  /// Called after each answered search with the id of its request.
  std::function<void(const std::string &)> OnSearchAnswered;
  /// Called after a reply was lost because of loseReplyOf().
  std::function<void()> OnReplyLost;

private:
  /// Host, scheduler, and number of a connection or search. The numbers are
  /// unique only within a scheduler.
  using ScopedId = std::tuple<size_t, uint32_t, uint64_t>;
  struct ConnectionState {
    uint64_t IncarnationNumber = 0;
    bool Silent = false;
  };
  struct Server {
    bool Up = true;
    uint64_t IncarnationNumber = 1;
    ReportedState State = ReportedState::Serving;
    uint32_t Capacity = Slots;
    std::string Snapshot = "v1";
    MonotonicTime SlowUntil;
    std::map<ScopedId, ConnectionState> Connections;
    /// Searches sent or running; nullopt until the search has arrived.
    std::map<ScopedId, std::optional<SendSearch>> InFlight;
    /// Capacity that was last reported to an owner.
    uint32_t ReportedCapacity = 0;
  };

  static ScopedId searchIdOf(size_t Host, SchedulerId Scheduler,
                             DispatchId Id) {
    return {Host, Scheduler.number(), Id.number()};
  }
  static ScopedId connectionIdOf(size_t Host, SchedulerId Scheduler,
                                 ConnectionId Connection) {
    return {Host, Scheduler.number(), Connection.number()};
  }
  bool isConnected(size_t B, const ScopedId &Key) const;
  std::vector<ShardId> shardsOf(size_t B) const;
  StatusReport status(size_t B) const;
  void recordReportedCapacity(size_t B);
  void recordSend(const ScopedId &Id, size_t B, const SubRequest &Request);
  void onSearchArrived(size_t Host, size_t B, const SendSearch &A);
  void finishSearch(size_t Host, size_t B, const SendSearch &A);
  void reply(size_t Host, size_t B, const SendSearch &A, SearchReply Answer);
  void breakConnection(size_t B, const ScopedId &Key);
  void scheduleWarmUp(size_t B, uint64_t IncarnationNumber);
  std::string replyBody(size_t B, const SubRequest &Request) const;

  InjectedBug Bug;
  EventLog &Log;
  Timeline &Time;
  RunOnDispatcher OnDispatcher;
  std::vector<Server> Servers;
  SeededRandom Rand{20261204};
  std::string LostReplyRequest;
  uint64_t LastBypassId = 1000000;
};

} // namespace mimosa

#endif // MIMOSA_PROOF_FAKE_BACKENDS_H
